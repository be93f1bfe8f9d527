//! Logging of events as lines of `key=value` pairs.

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

/// Maximum number of log records that wait for output; further ones are dropped and counted.
const QUEUE_RECORDS: usize = 1_024;

/// Maximum number of lines that a process writes in a second: about 60 KB/s at 200 bytes per line.
const LINES_PER_S: u32 = 300;

/// Maximum time for writing queued lines when the process ends; standard output may no longer be
/// read.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The log of a process, written to standard output.
///
/// A separate thread writes the lines, so that callers are not blocked if standard output is slow
/// or not read. At most `LINES_PER_S` lines are written in a second, half of which are reserved for
/// lines above level debug. The field `left_out` of a line contains the number of lines that the
/// limit dropped before it.
pub struct ProcessLog {
    /// Logger whose lines contain the name and the zone of the instance.
    pub logger: Logger,
    /// Lines that were dropped by the rate limit or because the queue was full. Lines that
    /// cannot be written before the process ends are not counted.
    pub dropped_lines: Counter,
    guard: Option<AsyncGuard>,
}

impl ProcessLog {
    /// Creates a log and starts the thread that writes its lines.
    pub fn start(instance: &str, zone: &str) -> Self {
        let dropped_lines = Counter::default();
        let lines = LineDrain::new(dropped_lines.clone());
        let builder = AsyncCore::custom(lines.ignore_res()).chan_size(QUEUE_RECORDS);
        let (queue, guard) = builder.build_with_guard();
        let drain = RecordQueue {
            queue,
            dropped_lines: dropped_lines.clone(),
        };
        let values = o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
        Self {
            logger: Logger::root(drain.fuse(), values),
            dropped_lines,
            guard: Some(guard),
        }
    }

    /// Creates a log that writes nothing.
    pub fn discard() -> Self {
        Self {
            logger: discard_logger(),
            dropped_lines: Counter::default(),
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
    /// Writes queued lines, for at most `FLUSH_TIMEOUT`.
    fn drop(&mut self) {
        let Some(guard) = self.guard.take() else {
            return;
        };
        let (done_sender, done_receiver) = mpsc::channel();
        let flush_thread = thread::Builder::new().spawn(move || {
            drop(guard);
            // The receiver no longer exists after the timeout.
            let _ = done_sender.send(());
        });
        if flush_thread.is_ok() {
            // Lines that are still queued are dropped when the process ends.
            let _ = done_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Queue of records for the writing thread; records that do not fit are dropped and counted.
struct RecordQueue {
    queue: AsyncCore,
    dropped_lines: Counter,
}

impl Drain for RecordQueue {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if self.queue.log(record, values).is_err() {
            self.dropped_lines.inc();
        }
        Ok(())
    }
}

/// Creates a logger that discards all events.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes a line to standard output for each record, within the rate limit.
#[derive(Debug)]
struct LineDrain {
    dropped_lines: Counter,
    limit: Mutex<LineRateLimit>,
    started: Instant,
}

impl LineDrain {
    fn new(dropped_lines: Counter) -> Self {
        Self {
            dropped_lines,
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
        let decision = self
            .limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .check_line(self.started.elapsed(), routine);
        let LineDecision::Write { dropped } = decision else {
            self.dropped_lines.inc();
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
        line.push_pair("event", *record.msg());
        let serialized = values
            .serialize(record, &mut line)
            .and_then(|()| record.kv().serialize(record, &mut line));
        serialized.map_err(io::Error::other)?;
        if dropped > 0 {
            line.push_pair("left_out", dropped);
        }
        line.0.push('\n');
        io::stdout().write_all(line.0.as_bytes())
    }
}

/// A log line that is being built.
struct Line(String);

impl Line {
    /// Appends a pair; empty values and values with spaces, quotes, equals signs, control or
    /// non-ASCII characters are quoted.
    fn push_pair(&mut self, key: &str, value: impl fmt::Display) {
        let text = value.to_string();
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        let _ = if !text.is_empty() && text.chars().all(is_plain) {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
    }
}

impl Serializer for Line {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.push_pair(key, value);
        Ok(())
    }
}
