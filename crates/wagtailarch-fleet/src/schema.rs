//! Schema of the fleet file: the keys of its tables with the types, units and bounds of their
//! values.

use std::fmt;

/// One key of a table.
#[derive(Debug)]
pub(crate) struct KeySpec {
    pub(crate) name: &'static str,
    pub(crate) value_type: ValueType,
    pub(crate) required: bool,
}

/// Type of the value of a key.
#[derive(Debug)]
pub(crate) enum ValueType {
    /// Name of at most [`MAX_NAME_CHARS`] letters, digits, `.`, `_` and `-`.
    Name,
    /// List of distinct names with its minimum length.
    Names(usize),
    /// Text with a description of its format.
    Text(&'static str),
    /// List of texts with a description of their format.
    Texts(&'static str),
    /// `true` or `false`.
    Boolean,
    /// Whole number with its minimum and maximum.
    Count(u32, u32),
    /// Integer or fraction with its unit and bounds.
    Number(NumberSpec),
    /// One of these texts.
    Choice(&'static [&'static str]),
    /// Table.
    Table,
    /// Array of tables with its maximum length.
    Tables(usize),
}

/// Unit and bounds of a number.
#[derive(Debug)]
pub(crate) struct NumberSpec {
    pub(crate) unit: &'static str,
    pub(crate) min: f64,
    /// Whether `min` itself is permitted.
    pub(crate) min_permitted: bool,
    pub(crate) max: f64,
}

/// Maximum length of a name; names become object keys and metric labels.
pub(crate) const MAX_NAME_CHARS: usize = 64;
/// Number of engines in the largest supported fleet; role bounds that demand more cannot be met.
pub(crate) const MAX_ENGINES: u64 = 3_800;
/// Maximum number of names in a list.
pub(crate) const MAX_NAMES: usize = 1_000;
/// Maximum number of availability zones.
pub(crate) const MAX_ZONES: usize = 64;

/// Unit suffixes of keys, the longest first so that a key loses its whole unit.
const UNIT_SUFFIXES: &[&str] = &[
    "_per_min", "_percent", "_minutes", "_seconds", "_per_ms", "_per_s", "_per_h", "_bytes",
    "_ratio", "_min", "_ms", "_us", "_kb", "_mb", "_s", "_h",
];

const fn required(name: &'static str, value_type: ValueType) -> KeySpec {
    KeySpec {
        name,
        value_type,
        required: true,
    }
}

const fn optional(name: &'static str, value_type: ValueType) -> KeySpec {
    KeySpec {
        name,
        value_type,
        required: false,
    }
}

/// Returns the type of a number of at least `min`.
const fn number_from(unit: &'static str, min: f64, max: f64) -> ValueType {
    ValueType::Number(NumberSpec {
        unit,
        min,
        min_permitted: true,
        max,
    })
}

/// Returns the type of a number greater than `min`.
const fn number_above(unit: &'static str, min: f64, max: f64) -> ValueType {
    ValueType::Number(NumberSpec {
        unit,
        min,
        min_permitted: false,
        max,
    })
}

/// Keys of the file itself.
pub(crate) const FILE: &[KeySpec] = &[
    required("fleet", ValueType::Table),
    required("policy", ValueType::Table),
    optional("model", ValueType::Tables(1_000)),
    optional("group", ValueType::Tables(1_000)),
    optional("service", ValueType::Tables(1_000)),
    optional("team", ValueType::Tables(100_000)),
];

/// Keys of `[fleet]`.
pub(crate) const FLEET: &[KeySpec] = &[
    required("name", ValueType::Name),
    required("region", ValueType::Name),
    required("zones", ValueType::Names(1)),
];

/// Keys of `[policy]`.
pub(crate) const POLICY: &[KeySpec] = &[
    required("goodput_weight", number_from("weight", 0.0, 1.0)),
    required("role_change_weight", number_from("weight", 0.0, 1.0)),
    required("role_change_cost_s", number_above("seconds", 0.0, 3_600.0)),
    required("mix_horizon_s", number_above("seconds", 0.0, 86_400.0)),
    required(
        "retry_budget_ratio",
        number_from("retries per request", 0.0, 1.0),
    ),
    required(
        "retry_budget_floor_per_s",
        number_from("retries per second", 0.0, 10_000.0),
    ),
];

/// Keys of `[[model]]`.
pub(crate) const MODEL: &[KeySpec] = &[
    required("name", ValueType::Name),
    required("versions", ValueType::Names(1)),
    optional("adapters", ValueType::Names(0)),
];

/// Keys of `[[group]]`.
pub(crate) const GROUP: &[KeySpec] = &[
    required("name", ValueType::Name),
    required("kind", ValueType::Choice(&["engine", "service"])),
    optional("checks_fencing", ValueType::Boolean),
    optional("model", ValueType::Name),
    optional("version", ValueType::Name),
    optional("adapters", ValueType::Names(0)),
    required("max_running", ValueType::Count(1, 100_000)),
    optional("roles", ValueType::Table),
];

/// Keys of `[group.roles]`.
pub(crate) const ROLES: &[KeySpec] = &[
    optional("prefill", ValueType::Table),
    optional("decode", ValueType::Table),
    optional("mixed", ValueType::Table),
];

/// Keys of `[group.roles.<role>]`.
pub(crate) const BOUNDS: &[KeySpec] = &[
    required("min", ValueType::Count(0, u32::MAX)),
    required("max", ValueType::Count(0, u32::MAX)),
];

/// Keys of `[[service]]`.
pub(crate) const SERVICE: &[KeySpec] = &[
    required("name", ValueType::Name),
    required("group", ValueType::Name),
    optional("model", ValueType::Name),
    optional(
        "path_prefix",
        ValueType::Text("a path that begins and ends with a slash"),
    ),
    optional("route", ValueType::Tables(1_000)),
];

/// Keys of `[[service.route]]`.
pub(crate) const ROUTE: &[KeySpec] = &[
    required("method", ValueType::Choice(METHODS)),
    required(
        "path",
        ValueType::Text("a path within the path_prefix of the service"),
    ),
    optional("idempotent", ValueType::Boolean),
];

/// Keys of `[[team]]`.
pub(crate) const TEAM: &[KeySpec] = &[
    required("name", ValueType::Name),
    required(
        "key_hash",
        ValueType::Text("\"blake3:\" and 64 lower-case hexadecimal digits"),
    ),
    required(
        "requests_per_s",
        number_above("requests per second", 0.0, 1e7),
    ),
    required("tokens_per_s", number_from("tokens per second", 0.0, 1e9)),
    optional("weight", number_above("weight", 0.0, 1_000.0)),
    optional("priority", ValueType::Choice(&["low", "normal", "high"])),
    optional("services", ValueType::Names(0)),
    optional(
        "further_key_hashes",
        ValueType::Texts("\"blake3:\" and 64 lower-case hexadecimal digits each"),
    ),
];

/// HTTP methods that a route may have.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl ValueType {
    /// Returns the unit if this is a number.
    pub(crate) fn unit(&self) -> Option<&'static str> {
        match self {
            Self::Number(number) => Some(number.unit),
            _ => None,
        }
    }
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => write!(
                f,
                "a name of 1 to {MAX_NAME_CHARS} letters, digits, '.', '_' and '-' in quotes"
            ),
            Self::Names(min) => write!(f, "a list of {min} to {MAX_NAMES} names in quotes"),
            Self::Text(format) => write!(f, "{format}, in quotes"),
            Self::Texts(format) => write!(f, "a list of texts in quotes, {format}"),
            Self::Boolean => f.write_str("true or false without quotes"),
            Self::Count(min, u32::MAX) => write!(f, "a whole number from {min}"),
            Self::Count(min, max) => write!(f, "a whole number from {min} to {max}"),
            Self::Number(number) => {
                let relation = if number.min_permitted {
                    "from"
                } else {
                    "above"
                };
                let NumberSpec { unit, min, max, .. } = number;
                write!(f, "a number ({unit}) {relation} {min} and at most {max}")
            }
            Self::Choice(options) => write!(f, "one of \"{}\"", options.join("\", \"")),
            Self::Table => f.write_str("a table"),
            Self::Tables(max) => write!(f, "an array of at most {max} tables"),
        }
    }
}

/// The key that an unknown key probably stands for.
pub(crate) enum Suggestion {
    /// The unknown key is this key with another unit or none.
    Unit(&'static KeySpec),
    /// The unknown key is a misspelling of this key.
    Spelling(&'static KeySpec),
    /// No key is similar.
    None,
}

/// Returns the key of `specs` that the unknown `key` probably stands for.
pub(crate) fn suggest_key(specs: &'static [KeySpec], key: &str) -> Suggestion {
    for spec in specs {
        let has_unit = without_unit(spec.name) != spec.name || without_unit(key) != key;
        if has_unit && without_unit(spec.name) == without_unit(key) {
            return Suggestion::Unit(spec);
        }
    }
    let distance = |spec: &&KeySpec| strsim::damerau_levenshtein(spec.name, key);
    match specs.iter().min_by_key(distance) {
        Some(spec) if distance(&spec) <= 2.min(spec.name.len() / 2) => Suggestion::Spelling(spec),
        _ => Suggestion::None,
    }
}

/// Returns a key without its unit suffix.
fn without_unit(key: &str) -> &str {
    for suffix in UNIT_SUFFIXES {
        if let Some(rest) = key.strip_suffix(suffix) {
            return rest;
        }
    }
    key
}
