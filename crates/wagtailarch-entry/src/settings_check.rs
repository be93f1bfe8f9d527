//! Checks of a settings file that report every finding with its place.

use std::{fmt, ops::Range};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::settings::Settings;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
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

/// Parses settings; on failure returns all findings in the order of their place.
pub fn parse_settings(text: &str) -> Result<Settings, Vec<Finding>> {
    let mut check = Check {
        text,
        findings: Vec::new(),
    };
    match DeTable::parse(text) {
        Ok(root) => {
            check.table(root.get_ref(), "", &ROOT, root.span());
            check.relations(root.get_ref(), root.span());
        }
        Err(error) => check.add(
            error.span(),
            error.message().to_owned(),
            "correct the syntax",
        ),
    }
    if !check.findings.is_empty() {
        check
            .findings
            .sort_by_key(|finding| (finding.line, finding.column));
        return Err(check.findings);
    }
    toml::from_str(text).map_err(|error| {
        check.add(
            error.span(),
            error.message().to_owned(),
            "see docs/entry.md",
        );
        check.findings
    })
}

/// What a key may hold.
#[derive(Clone, Copy)]
enum Shape {
    Text,
    Address,
    KeyHash,
    Integer { min: i64, max: i64 },
    Table(&'static [Key]),
    Tables(&'static [Key]),
}

/// One known key.
#[derive(Clone, Copy)]
struct Key {
    name: &'static str,
    required: bool,
    shape: Shape,
}

const fn required(name: &'static str, shape: Shape) -> Key {
    Key {
        name,
        required: true,
        shape,
    }
}

const fn optional(name: &'static str, shape: Shape) -> Key {
    Key {
        name,
        required: false,
        shape,
    }
}

/// A duration in milliseconds of at most a day.
const fn time(name: &'static str) -> Key {
    optional(
        name,
        Shape::Integer {
            min: 1,
            max: 86_400_000,
        },
    )
}

const fn bound(name: &'static str, min: i64, max: i64) -> Key {
    optional(name, Shape::Integer { min, max })
}

const ROOT: [Key; 13] = [
    required("instance", Shape::Text),
    required("zone", Shape::Text),
    required("client_address", Shape::Address),
    required("admin_address", Shape::Address),
    optional("peer_address", Shape::Address),
    optional("platform_address", Shape::Address),
    optional("fleet_file", Shape::Text),
    bound("traffic_threads", 0, 1024),
    optional("timeouts", Shape::Table(&TIMEOUTS)),
    optional("limits", Shape::Table(&LIMITS)),
    optional("client_tls", Shape::Table(&CLIENT_TLS)),
    optional("peers", Shape::Table(&PEERS)),
    optional("admin_key", Shape::Tables(&ADMIN_KEY)),
];

const TIMEOUTS: [Key; 12] = [
    time("header_ms"),
    time("body_ms"),
    time("connect_ms"),
    time("first_token_ms"),
    time("frame_ms"),
    time("service_ms"),
    time("deadline_ms"),
    time("client_stall_ms"),
    bound("drain_delay_ms", 0, 86_400_000),
    time("drain_ms"),
    time("list_ms"),
    time("report_ms"),
];

const LIMITS: [Key; 12] = [
    // hyper refuses a read buffer below 8 KiB.
    bound("header_bytes", 8_192, 1 << 20),
    bound("body_bytes", 1, 1 << 30),
    bound("bodies_bytes", 1, 1 << 32),
    bound("connections", 1, 1_000_000),
    bound("requests", 1, 1_000_000),
    bound("streams_per_connection", 1, 65_536),
    bound("client_buffer_frames", 1, 65_536),
    bound("frame_bytes", 1_024, 1 << 24),
    bound("max_tokens", 1, 1 << 24),
    bound("response_buffer_bytes", 0, 1 << 24),
    bound("backends", 1, 1_000_000),
    bound("idle_per_backend", 0, 65_536),
];

const CLIENT_TLS: [Key; 2] = [
    required("cert_file", Shape::Text),
    required("key_file", Shape::Text),
];

const PEERS: [Key; 4] = [
    required("ca_file", Shape::Text),
    required("cert_file", Shape::Text),
    required("key_file", Shape::Text),
    optional("seed", Shape::Tables(&SEED)),
];

const SEED: [Key; 3] = [
    required("instance", Shape::Text),
    required("zone", Shape::Text),
    required("address", Shape::Address),
];

const ADMIN_KEY: [Key; 2] = [
    required("name", Shape::Text),
    required("key_hash", Shape::KeyHash),
];

/// A check in progress.
struct Check<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, span: Option<Range<usize>>, message: String, hint: impl Into<String>) {
        let offset = span.map_or(0, |span| span.start).min(self.text.len());
        let before = &self.text.as_bytes()[..offset];
        let line_start = before
            .iter()
            .rposition(|&b| b == b'\n')
            .map_or(0, |at| at + 1);
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

    fn table(&mut self, table: &DeTable<'_>, path: &str, keys: &[Key], span: Range<usize>) {
        for (name, value) in table {
            let full = join(path, name.get_ref());
            let Some(key) = keys.iter().find(|key| key.name == name.get_ref().as_ref()) else {
                let known: Vec<_> = keys.iter().map(|key| key.name).collect();
                let hint = format!("known keys here: {}", known.join(", "));
                self.add(Some(name.span()), format!("unknown key {full:?}"), hint);
                continue;
            };
            self.value(value, &full, key.shape);
        }
        for key in keys.iter().filter(|key| key.required) {
            if !table.keys().any(|name| name.get_ref().as_ref() == key.name) {
                let full = join(path, key.name);
                self.add(
                    Some(span.clone()),
                    format!("key {full:?} is missing"),
                    "add the key; docs/entry.md describes it",
                );
            }
        }
    }

    fn value(&mut self, value: &Spanned<DeValue<'_>>, path: &str, shape: Shape) {
        let span = Some(value.span());
        match (shape, value.get_ref()) {
            (Shape::Text, DeValue::String(text)) => {
                if text.is_empty() {
                    self.add(span, format!("{path:?} is empty"), "give a name or a path");
                }
            }
            (Shape::Address, DeValue::String(text)) => {
                if text.parse::<std::net::SocketAddr>().is_err() {
                    let message = format!("{path:?} is {text:?}, which is no address");
                    self.add(
                        span,
                        message,
                        "write ip:port, for instance \"127.0.0.1:8080\"",
                    );
                }
            }
            (Shape::KeyHash, DeValue::String(text)) => {
                if crate::auth::parse_key_hash(text).is_none() {
                    let message = format!("{path:?} is no key hash");
                    self.add(span, message, "write \"blake3:\" and 64 hexadecimal digits");
                }
            }
            (Shape::Integer { min, max }, DeValue::Integer(number)) => {
                let parsed = i64::from_str_radix(number.as_str(), number.radix());
                if !parsed.is_ok_and(|number| (min..=max).contains(&number)) {
                    let message = format!("{path:?} is out of range");
                    self.add(span, message, format!("use a number from {min} to {max}"));
                }
            }
            (Shape::Table(keys), DeValue::Table(table)) => {
                self.table(table, path, keys, value.span());
            }
            (Shape::Tables(keys), DeValue::Array(items)) => {
                for item in items {
                    self.value(item, path, Shape::Table(keys));
                }
            }
            (shape, _) => {
                let hint = format!("write {}", expected(shape));
                self.add(span, format!("{path:?} has the wrong type"), hint);
            }
        }
    }

    /// Checks rules that concern two keys.
    fn relations(&mut self, root: &DeTable<'_>, span: Range<usize>) {
        let place = |name: &str| {
            root.iter()
                .find(|(key, _)| key.get_ref().as_ref() == name)
                .map(|(key, _)| key.span())
        };
        if place("platform_address").is_none() && place("fleet_file").is_none() {
            let message = "neither \"platform_address\" nor \"fleet_file\" is given".to_owned();
            self.add(Some(span), message, "give the platform's address");
        }
        match (place("peer_address"), place("peers")) {
            (Some(at), None) => {
                let message = "\"peer_address\" needs the table \"peers\"".to_owned();
                self.add(
                    Some(at),
                    message,
                    "name the PEM files; `wagtail-keys` makes them",
                );
            }
            (None, Some(at)) => {
                let message = "the table \"peers\" has no effect".to_owned();
                self.add(
                    Some(at),
                    message,
                    "add \"peer_address\" or remove the table",
                );
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

const fn expected(shape: Shape) -> &'static str {
    match shape {
        Shape::Text | Shape::KeyHash => "a string",
        Shape::Address => "a string with ip:port",
        Shape::Integer { .. } => "an integer",
        Shape::Table(_) => "a table",
        Shape::Tables(_) => "an array of tables",
    }
}
