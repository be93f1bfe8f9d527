//! Logging with one line of `key=value` pairs per event.

use std::{
    fmt::{self, Write as _},
    io::{self, Write as _},
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{Drain, KV, Key, Logger, OwnedKVList, Record, Serializer, o};

/// Log records that may wait for output; further ones are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 4_096;

/// Creates the logger of a process; it writes to standard error from a thread of its own.
///
/// The returned guard writes out waiting records when it is dropped.
pub fn logger(instance: &str, zone: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = slog_async::Async::new(LineDrain.ignore_res())
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let values = o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
    (Logger::root(drain.fuse(), values), guard)
}

/// Creates a logger that discards every event.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes one line per record to standard error.
#[derive(Debug)]
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut line = Line(String::with_capacity(256));
        let level = record.level().as_str().to_lowercase();
        let _ = write!(
            line.0,
            "ts={}.{:03} level={level}",
            now.as_secs(),
            now.subsec_millis()
        );
        line.pair("event", *record.msg());
        let written = values
            .serialize(record, &mut line)
            .and_then(|()| record.kv().serialize(record, &mut line));
        written.map_err(io::Error::other)?;
        line.0.push('\n');
        io::stderr().write_all(line.0.as_bytes())
    }
}

/// A line in the making.
struct Line(String);

impl Line {
    /// Appends a pair; values with spaces, quotes or control characters are quoted.
    fn pair(&mut self, key: &str, value: impl fmt::Display) {
        let text = value.to_string();
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        let _ = if !text.is_empty() && text.chars().all(plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.pair(key, value);
        Ok(())
    }
}
