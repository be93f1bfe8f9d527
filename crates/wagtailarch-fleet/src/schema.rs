//! Keys of the fleet file: shapes, units, bounds.

use std::fmt;

/// One key of a table.
#[derive(Debug)]
pub(crate) struct KeySpec {
    pub(crate) name: &'static str,
    pub(crate) shape: Shape,
    pub(crate) required: bool,
}

/// What the value of a key must be.
#[derive(Debug)]
pub(crate) enum Shape {
    /// Name of at most [`MAX_NAME_CHARS`] letters, digits, `.`, `_` and `-`.
    Name,
    /// List of different names, at least as many as given.
    Names(usize),
    /// Text with a description of its form.
    Text(&'static str),
    /// `true` or `false`.
    Flag,
    /// Whole number with its bounds.
    Count(u32, u32),
    /// Number.
    Number(NumberSpec),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// Table.
    Table,
    /// Array of tables, at most as many as given.
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

/// Greatest length of a name; names become object keys and metric labels.
pub(crate) const MAX_NAME_CHARS: usize = 64;
/// Engines of the design size; no fleet can meet bounds that demand more.
pub(crate) const MAX_ENGINES: u64 = 3_800;
/// Greatest number of names in a list.
pub(crate) const MAX_NAMES: usize = 1_000;
/// Greatest number of availability zones.
pub(crate) const MAX_ZONES: usize = 64;

/// Unit suffixes of keys, the longest first.
const UNIT_SUFFIXES: &[&str] = &[
    "_per_min", "_percent", "_minutes", "_seconds", "_per_ms", "_per_s", "_per_h", "_bytes",
    "_ratio", "_min", "_ms", "_us", "_kb", "_mb", "_s", "_h",
];

const fn required(name: &'static str, shape: Shape) -> KeySpec {
    KeySpec {
        name,
        shape,
        required: true,
    }
}

const fn optional(name: &'static str, shape: Shape) -> KeySpec {
    KeySpec {
        name,
        shape,
        required: false,
    }
}

const fn from(unit: &'static str, min: f64, max: f64) -> Shape {
    Shape::Number(NumberSpec {
        unit,
        min,
        min_permitted: true,
        max,
    })
}

const fn above(unit: &'static str, min: f64, max: f64) -> Shape {
    Shape::Number(NumberSpec {
        unit,
        min,
        min_permitted: false,
        max,
    })
}

/// Keys of the file itself.
pub(crate) const FILE: &[KeySpec] = &[
    required("fleet", Shape::Table),
    required("policy", Shape::Table),
    optional("model", Shape::Tables(1_000)),
    optional("group", Shape::Tables(1_000)),
    optional("service", Shape::Tables(1_000)),
    optional("team", Shape::Tables(100_000)),
];

/// Keys of `[fleet]`.
pub(crate) const FLEET: &[KeySpec] = &[
    required("name", Shape::Name),
    required("region", Shape::Name),
    required("zones", Shape::Names(1)),
];

/// Keys of `[policy]`.
pub(crate) const POLICY: &[KeySpec] = &[
    required("goodput_weight", from("weight", 0.0, 1.0)),
    required("role_change_weight", from("weight", 0.0, 1.0)),
    required("role_change_cost_s", above("seconds", 0.0, 3_600.0)),
    required("mix_horizon_s", above("seconds", 0.0, 86_400.0)),
    required("retry_budget_ratio", from("retries per request", 0.0, 1.0)),
    required(
        "retry_budget_floor_per_s",
        from("retries per second", 0.0, 10_000.0),
    ),
];

/// Keys of `[[model]]`.
pub(crate) const MODEL: &[KeySpec] = &[
    required("name", Shape::Name),
    required("versions", Shape::Names(1)),
    optional("adapters", Shape::Names(0)),
];

/// Keys of `[[group]]`.
pub(crate) const GROUP: &[KeySpec] = &[
    required("name", Shape::Name),
    required("kind", Shape::Choice(&["engine", "service"])),
    optional("checks_fencing", Shape::Flag),
    optional("model", Shape::Name),
    optional("version", Shape::Name),
    optional("adapters", Shape::Names(0)),
    required("max_running", Shape::Count(1, 100_000)),
    optional("roles", Shape::Table),
];

/// Keys of `[group.roles]`.
pub(crate) const ROLES: &[KeySpec] = &[
    optional("prefill", Shape::Table),
    optional("decode", Shape::Table),
    optional("mixed", Shape::Table),
];

/// Keys of `[group.roles.<role>]`.
pub(crate) const BOUNDS: &[KeySpec] = &[
    required("min", Shape::Count(0, u32::MAX)),
    required("max", Shape::Count(0, u32::MAX)),
];

/// Keys of `[[service]]`.
pub(crate) const SERVICE: &[KeySpec] = &[
    required("name", Shape::Name),
    required("group", Shape::Name),
    optional("model", Shape::Name),
    optional(
        "path_prefix",
        Shape::Text("a path that begins and ends with a slash"),
    ),
    optional("route", Shape::Tables(1_000)),
];

/// Keys of `[[service.route]]`.
pub(crate) const ROUTE: &[KeySpec] = &[
    required("method", Shape::Choice(METHODS)),
    required(
        "path",
        Shape::Text("a path within the path_prefix of the service"),
    ),
    optional("idempotent", Shape::Flag),
];

/// Keys of `[[team]]`.
pub(crate) const TEAM: &[KeySpec] = &[
    required("name", Shape::Name),
    required(
        "key_hash",
        Shape::Text("\"blake3:\" and 64 lower-case hexadecimal digits"),
    ),
    required("requests_per_s", above("requests per second", 0.0, 1e7)),
    required("tokens_per_s", from("tokens per second", 0.0, 1e9)),
    optional("weight", above("weight", 0.0, 1_000.0)),
    optional("priority", Shape::Choice(&["low", "normal", "high"])),
    optional("services", Shape::Names(0)),
];

/// Methods that a route may name.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl Shape {
    /// Returns the unit of a number.
    pub(crate) fn unit(&self) -> Option<&'static str> {
        match self {
            Self::Number(number) => Some(number.unit),
            _ => None,
        }
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => write!(
                f,
                "a name of 1 to {MAX_NAME_CHARS} letters, digits, '.', '_' and '-' in quotes"
            ),
            Self::Names(least) => write!(f, "a list of {least} to {MAX_NAMES} names in quotes"),
            Self::Text(form) => write!(f, "{form}, in quotes"),
            Self::Flag => f.write_str("true or false without quotes"),
            Self::Count(min, u32::MAX) => write!(f, "a whole number from {min}"),
            Self::Count(min, max) => write!(f, "a whole number from {min} to {max}"),
            Self::Number(number) => {
                let from = if number.min_permitted {
                    "from"
                } else {
                    "above"
                };
                let NumberSpec { unit, min, max, .. } = number;
                write!(f, "a number ({unit}) {from} {min} and at most {max}")
            }
            Self::Choice(words) => write!(f, "one of \"{}\"", words.join("\", \"")),
            Self::Table => f.write_str("a table"),
            Self::Tables(max) => write!(f, "an array of at most {max} tables"),
        }
    }
}

/// What an unknown key was probably meant to be.
pub(crate) enum Guess {
    /// This key with another unit or none.
    Unit(&'static KeySpec),
    /// This key misspelt.
    Spelling(&'static KeySpec),
    /// Nothing similar.
    None,
}

/// Finds the key of `specs` that `key` was probably meant to be.
pub(crate) fn guess(specs: &'static [KeySpec], key: &str) -> Guess {
    for spec in specs {
        let has_unit = without_unit(spec.name) != spec.name || without_unit(key) != key;
        if has_unit && without_unit(spec.name) == without_unit(key) {
            return Guess::Unit(spec);
        }
    }
    let distance = |spec: &&KeySpec| strsim::damerau_levenshtein(spec.name, key);
    match specs.iter().min_by_key(distance) {
        Some(spec) if distance(&spec) <= 2.min(spec.name.len() / 2) => Guess::Spelling(spec),
        _ => Guess::None,
    }
}

fn without_unit(key: &str) -> &str {
    for suffix in UNIT_SUFFIXES {
        if let Some(rest) = key.strip_suffix(suffix) {
            return rest;
        }
    }
    key
}
