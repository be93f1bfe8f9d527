//! Logging of events to standard error, each as one line of `key=value` pairs.

use std::fmt::{self, Write as _};
use std::io::Write as _;

use slog::{Drain, KV, Key, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Drain that formats a record as one line of `key=value` pairs.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Line(String::with_capacity(128));
        line.push_pair("level", record.level().as_short_str());
        line.push_pair("event", &record.msg().to_string());
        // Formatting into a string cannot fail; errors of standard error are ignored, so that the
        // program continues.
        let _ = record.kv().serialize(record, &mut line);
        let _ = values.serialize(record, &mut line);
        line.0.push('\n');
        let _ = std::io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

/// A log line that is being formatted.
struct Line(String);

impl Line {
    /// Appends a pair; empty values and values with spaces, quotes, `=` or line breaks are quoted.
    fn push_pair(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let unquoted = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
        let _ = if unquoted {
            write!(self.0, "{key}={value}")
        } else {
            write!(self.0, "{key}={value:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.push_pair(key, &value.to_string());
        Ok(())
    }
}

/// Creates the logger of a stand-in and logs its start with the note that it is not for production.
pub fn start_logger(program: &'static str) -> Logger {
    let drain = slog_async::Async::new(LineDrain.fuse())
        .chan_size(4096)
        .build()
        .fuse();
    let logger = Logger::root(drain, o!("program" => program));
    slog::warn!(logger, "started"; "note" => "stand-in, not for production");
    logger
}
