//! Validation of a settings file, which reports errors with their positions: all of them in a
//! syntactically correct file, otherwise only the first syntax error.

use std::{fmt, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::settings::Settings;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
    /// Hint how to correct the error.
    pub hint: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            message,
            hint,
        } = self;
        write!(f, "{line}:{column}: {message}; hint: {hint}")
    }
}

/// Parses settings; on failure, returns all findings sorted by position.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut checker = Checker {
        text,
        findings: Vec::new(),
    };
    match DeTable::parse(text) {
        Ok(root) => {
            checker.check_table(root.get_ref(), "", &ROOT, root.span());
            checker.check_related_keys(root.get_ref(), root.span());
        }
        Err(error) => checker.add(
            error.span(),
            error.message().to_owned(),
            "correct the syntax",
        ),
    }
    if !checker.findings.is_empty() {
        checker
            .findings
            .sort_by_key(|finding| (finding.line, finding.column));
        return Err(checker.findings);
    }
    toml::from_str(text).map_err(|error| {
        checker.add(
            error.span(),
            error.message().to_owned(),
            "see docs/entry.md",
        );
        checker.findings
    })
}

/// Type and range of the value of a key.
#[derive(Clone, Copy)]
enum ValueType {
    Text,
    Address,
    KeyHash,
    Integer { min: i64, max: i64 },
    Table(&'static [KeySpec]),
    Tables(&'static [KeySpec]),
}

/// Specification of a known key.
#[derive(Clone, Copy)]
struct KeySpec {
    name: &'static str,
    required: bool,
    value_type: ValueType,
}

const fn required(name: &'static str, value_type: ValueType) -> KeySpec {
    KeySpec {
        name,
        required: true,
        value_type,
    }
}

const fn optional(name: &'static str, value_type: ValueType) -> KeySpec {
    KeySpec {
        name,
        required: false,
        value_type,
    }
}

/// Creates an optional key for a duration in milliseconds of at most one day.
const fn duration_ms(name: &'static str) -> KeySpec {
    optional(
        name,
        ValueType::Integer {
            min: 1,
            max: 86_400_000,
        },
    )
}

/// Creates an optional key for an integer from `min` to `max`.
const fn integer(name: &'static str, min: i64, max: i64) -> KeySpec {
    optional(name, ValueType::Integer { min, max })
}

const ROOT: [KeySpec; 13] = [
    required("instance", ValueType::Text),
    required("zone", ValueType::Text),
    required("client_address", ValueType::Address),
    required("admin_address", ValueType::Address),
    optional("peer_address", ValueType::Address),
    optional("platform_address", ValueType::Address),
    optional("fleet_file", ValueType::Text),
    integer("traffic_threads", 0, 1024),
    optional("timeouts", ValueType::Table(&TIMEOUTS)),
    optional("limits", ValueType::Table(&LIMITS)),
    optional("client_tls", ValueType::Table(&CLIENT_TLS)),
    optional("peers", ValueType::Table(&PEERS)),
    optional("admin_key", ValueType::Tables(&ADMIN_KEY)),
];

const TIMEOUTS: [KeySpec; 12] = [
    duration_ms("header_ms"),
    duration_ms("body_ms"),
    duration_ms("connect_ms"),
    duration_ms("first_token_ms"),
    duration_ms("frame_ms"),
    duration_ms("service_ms"),
    duration_ms("deadline_ms"),
    duration_ms("client_stall_ms"),
    integer("drain_delay_ms", 0, 86_400_000),
    duration_ms("drain_ms"),
    duration_ms("list_ms"),
    duration_ms("report_ms"),
];

const LIMITS: [KeySpec; 12] = [
    // hyper panics if the read buffer is smaller than 8 KiB.
    integer("header_bytes", 8_192, 1 << 20),
    integer("body_bytes", 1, 1 << 30),
    integer("bodies_bytes", 1, 1 << 32),
    integer("connections", 1, 1_000_000),
    integer("requests", 1, 1_000_000),
    integer("streams_per_connection", 1, 65_536),
    integer("client_buffer_frames", 1, 65_536),
    integer("frame_bytes", 1_024, 1 << 24),
    integer("max_tokens", 1, 1 << 24),
    integer("response_buffer_bytes", 0, 1 << 24),
    integer("backends", 1, 1_000_000),
    integer("idle_per_backend", 0, 65_536),
];

const CLIENT_TLS: [KeySpec; 2] = [
    required("cert_file", ValueType::Text),
    required("key_file", ValueType::Text),
];

const PEERS: [KeySpec; 4] = [
    required("ca_file", ValueType::Text),
    required("cert_file", ValueType::Text),
    required("key_file", ValueType::Text),
    optional("seed", ValueType::Tables(&SEED)),
];

const SEED: [KeySpec; 3] = [
    required("instance", ValueType::Text),
    required("zone", ValueType::Text),
    required("address", ValueType::Address),
];

const ADMIN_KEY: [KeySpec; 2] = [
    required("name", ValueType::Text),
    required("key_hash", ValueType::KeyHash),
];

/// Collects the findings while a settings file is checked.
struct Checker<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    /// Adds a finding at the start of `span`, or at the start of the file without one.
    fn add(&mut self, span: Option<Range<usize>>, message: String, hint: impl Into<String>) {
        let offset = span.map_or(0, |span| span.start).min(self.text.len());
        let before = &self.text.as_bytes()[..offset];
        let line_start = before
            .iter()
            .rposition(|&b| b == b'\n')
            .map_or(0, |newline| newline + 1);
        self.findings.push(Finding {
            line: before.iter().filter(|&&b| b == b'\n').count() + 1,
            column: String::from_utf8_lossy(&before[line_start..])
                .chars()
                .count()
                + 1,
            message,
            hint: hint.into(),
        });
    }

    /// Checks that a table contains all required keys and no unknown ones, and checks its values.
    fn check_table(
        &mut self,
        table: &DeTable<'_>,
        path: &str,
        keys: &[KeySpec],
        span: Range<usize>,
    ) {
        for (name, value) in table {
            let full_path = join_path(path, name.get_ref());
            let Some(key) = keys.iter().find(|key| key.name == name.get_ref().as_ref()) else {
                let known: Vec<_> = keys.iter().map(|key| key.name).collect();
                let hint = format!("known keys here: {}", known.join(", "));
                self.add(
                    Some(name.span()),
                    format!("unknown key {full_path:?}"),
                    hint,
                );
                continue;
            };
            self.check_value(value, &full_path, key.value_type);
        }
        for key in keys.iter().filter(|key| key.required) {
            if !table.keys().any(|name| name.get_ref().as_ref() == key.name) {
                let full_path = join_path(path, key.name);
                self.add(
                    Some(span.clone()),
                    format!("key {full_path:?} is missing"),
                    "add the key; docs/entry.md describes it",
                );
            }
        }
    }

    /// Checks the type and range of a value.
    fn check_value(&mut self, value: &Spanned<DeValue<'_>>, path: &str, value_type: ValueType) {
        let span = Some(value.span());
        match (value_type, value.get_ref()) {
            (ValueType::Text, DeValue::String(text)) => {
                if text.is_empty() {
                    self.add(span, format!("{path:?} is empty"), "give a name or a path");
                }
            }
            (ValueType::Address, DeValue::String(text)) => {
                if text.parse::<std::net::SocketAddr>().is_err() {
                    let message = format!("{path:?} is {text:?}, which is no address");
                    self.add(
                        span,
                        message,
                        "write ip:port, for instance \"127.0.0.1:8080\"",
                    );
                }
            }
            (ValueType::KeyHash, DeValue::String(text)) => {
                if crate::auth::parse_key_hash(text).is_none() {
                    let message = format!("{path:?} is no key hash");
                    self.add(span, message, "write \"blake3:\" and 64 hexadecimal digits");
                }
            }
            (ValueType::Integer { min, max }, DeValue::Integer(number)) => {
                let parsed = i64::from_str_radix(number.as_str(), number.radix());
                if !parsed.is_ok_and(|number| (min..=max).contains(&number)) {
                    let message = format!("{path:?} is out of range");
                    self.add(span, message, format!("use a number from {min} to {max}"));
                }
            }
            (ValueType::Table(keys), DeValue::Table(table)) => {
                self.check_table(table, path, keys, value.span());
            }
            (ValueType::Tables(keys), DeValue::Array(items)) => {
                for item in items {
                    self.check_value(item, path, ValueType::Table(keys));
                }
            }
            (value_type, _) => {
                let hint = format!("write {}", describe(value_type));
                self.add(span, format!("{path:?} has the wrong type"), hint);
            }
        }
    }

    /// Checks the rules that relate two keys to each other.
    fn check_related_keys(&mut self, root: &DeTable<'_>, span: Range<usize>) {
        let span_of = |name: &str| {
            root.iter()
                .find(|(key, _)| key.get_ref().as_ref() == name)
                .map(|(key, _)| key.span())
        };
        if span_of("platform_address").is_none() && span_of("fleet_file").is_none() {
            let message = "neither \"platform_address\" nor \"fleet_file\" is given".to_owned();
            self.add(Some(span), message, "give the platform's address");
        }
        match (span_of("peer_address"), span_of("peers")) {
            (Some(key_span), None) => {
                let message = "\"peer_address\" needs the table \"peers\"".to_owned();
                self.add(
                    Some(key_span),
                    message,
                    "name the PEM files; `wagtail-keys` makes them",
                );
            }
            (None, Some(key_span)) => {
                let message = "the table \"peers\" has no effect".to_owned();
                self.add(
                    Some(key_span),
                    message,
                    "add \"peer_address\" or remove the table",
                );
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
}

/// Returns the full name of a key in the table at `path`.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns a description of the values of a type, for hints.
const fn describe(value_type: ValueType) -> &'static str {
    match value_type {
        ValueType::Text | ValueType::KeyHash => "a string",
        ValueType::Address => "a string with ip:port",
        ValueType::Integer { .. } => "an integer",
        ValueType::Table(_) => "a table",
        ValueType::Tables(_) => "an array of tables",
    }
}
