//! Logging with one line of `key=value` pairs per event.

use std::{
    fmt::{self, Write as _},
    io::{self, Write as _},
    sync::{Mutex, PoisonError, mpsc},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use prometheus_client::metrics::counter::Counter;
use slog::{Drain, KV, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};
use slog_async::{AsyncCore, AsyncGuard};

use crate::{LineDecision, LineRateLimit};

/// Log records that may wait for output; further ones are dropped and counted by the drain.
const QUEUE_RECORDS: usize = 1_024;

/// Lines that a process writes in a second; about 60 KB a second at 200 bytes a line.
const LINES_PER_S: u32 = 300;

/// Time that waiting lines are given at the end of a process; what reads them may have stopped.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// The log of a process, written to standard output.
///
/// A thread of its own writes, so that no caller waits, whatever reads the lines. At most
/// `LINES_PER_S` lines are written in a second, failures before routine lines (level debug); a line
/// with the field `left_out` says how many were not.
pub struct ProcessLog {
    /// Logger whose lines name the instance and its zone.
    pub logger: Logger,
    /// Lines that were not written, because of the limit or because nothing reads them.
    pub lost_lines: Counter,
    guard: Option<AsyncGuard>,
}

impl ProcessLog {
    /// Starts the thread that writes.
    pub fn start(instance: &str, zone: &str) -> Self {
        let lost_lines = Counter::default();
        let lines = LineDrain::new(lost_lines.clone());
        let builder = AsyncCore::custom(lines.ignore_res()).chan_size(QUEUE_RECORDS);
        let (queue, guard) = builder.build_with_guard();
        let drain = CountingQueue {
            queue,
            lost_lines: lost_lines.clone(),
        };
        let values = o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
        Self {
            logger: Logger::root(drain.fuse(), values),
            lost_lines,
            guard: Some(guard),
        }
    }

    /// Creates a log that writes nothing.
    pub fn discard() -> Self {
        Self {
            logger: discard_logger(),
            lost_lines: Counter::default(),
            guard: None,
        }
    }
}

impl fmt::Debug for ProcessLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ProcessLog").finish_non_exhaustive()
    }
}

impl Drop for ProcessLog {
    /// Writes out waiting lines, for at most `FLUSH_LIMIT`.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let (done, flushed) = mpsc::channel();
        let flushing = thread::Builder::new().spawn(move || {
            drop(guard);
            // Nothing waits any more after the limit.
            let _ = done.send(());
        });
        if flushing.is_ok() {
            // Lines that are still waiting are lost with the process.
            let _ = flushed.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// Queue of records in front of the thread that writes; it drops and counts what has no room.
struct CountingQueue {
    queue: AsyncCore,
    lost_lines: Counter,
}

impl Drain for CountingQueue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.queue.log(record, values).is_err() {
            self.lost_lines.inc();
        }
        Ok(())
    }
}

/// Creates a logger that discards every event.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes one line per record.
#[derive(Debug)]
struct LineDrain {
    lost_lines: Counter,
    limit: Mutex<LineRateLimit>,
    started: Instant,
}

impl LineDrain {
    fn new(lost_lines: Counter) -> Self {
        Self {
            lost_lines,
            limit: Mutex::new(LineRateLimit::new(LINES_PER_S)),
            started: Instant::now(),
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
            .check_line(self.started.elapsed(), routine);
        let LineDecision::Write { dropped } = verdict else {
            self.lost_lines.inc();
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
        if dropped > 0 {
            line.pair("left_out", dropped);
        }
        line.0.push('\n');
        io::stdout().write_all(line.0.as_bytes())
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
