//! Logging with one line of `key=value` pairs per event.

use std::{
    fmt::{self, Write as _},
    io::{self, Write as _},
    sync::{Mutex, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use slog::{Drain, KV, Key, Level, Logger, OwnedKVList, Record, Serializer, o};

use crate::{LineLimit, Verdict};

/// Log records that may wait for output; further ones are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 1_024;

/// Lines that a process writes in a second; about 60 KB a second at 200 bytes a line.
const LINES_PER_S: u32 = 300;

/// Where lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Creates the logger of a process; a thread of its own writes, so that no caller waits.
///
/// At most `LINES_PER_S` lines are written in a second, failures before routine lines (level debug);
/// a line with the field `left_out` says how many were not. The returned guard writes out waiting
/// records when it is dropped.
pub fn logger(output: LogOutput, instance: &str, zone: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = slog_async::Async::new(LineDrain::new(output).ignore_res())
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

/// Writes one line per record.
#[derive(Debug)]
struct LineDrain {
    output: LogOutput,
    limit: Mutex<LineLimit>,
    started: Instant,
}

impl LineDrain {
    fn new(output: LogOutput) -> Self {
        Self {
            output,
            limit: Mutex::new(LineLimit::new(LINES_PER_S)),
            started: Instant::now(),
        }
    }

    fn write(&self, line: &str) -> io::Result<()> {
        match self.output {
            LogOutput::Stdout => io::stdout().write_all(line.as_bytes()),
            LogOutput::Stderr => io::stderr().write_all(line.as_bytes()),
        }
    }
}

impl Drain for LineDrain {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let routine = record.level() == Level::Debug || record.level() == Level::Trace;
        let verdict = self
            .limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .on_line(self.started.elapsed(), routine);
        let Verdict::Write { left_out } = verdict else {
            return Ok(());
        };
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
        if left_out > 0 {
            line.pair("left_out", left_out);
        }
        line.0.push('\n');
        self.write(&line.0)
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
