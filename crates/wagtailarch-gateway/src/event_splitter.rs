//! Splitting a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

/// Greatest size of one event with the comments before it; a longer one is no event.
///
/// Events have a few hundred bytes; with the 2,000 connections of an instance this is 128 MB at worst.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Splits the bytes of a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of events that are not whole.
    buffer: BytesMut,
    /// Bytes at the start of `buffer` that hold no end of an event.
    searched: usize,
    /// Start of the last block in `buffer`; those before it hold only comments.
    block_start: usize,
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes with the empty line that ends it, after those of the comments before it.
    pub bytes: Bytes,
    /// Its number.
    pub id: Option<u64>,
}

/// an event has more than 65536 bytes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// Blocks that hold only comments are no events and stay before the one that follows, so that
    /// comments alone never look like progress.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let Some(end) = self.find_end() else {
            return match self.buffer.len() > MAX_EVENT_BYTES {
                true => Err(EventTooLong),
                false => Ok(None),
            };
        };
        let id = event_id(&self.buffer[self.block_start..end]);
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        self.block_start = 0;
        Ok(Some(StreamEvent { bytes, id }))
    }

    /// Takes the bytes that belong to no whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.block_start = 0;
        self.buffer.split().freeze()
    }

    /// Returns the end of the first event: the byte after its empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The line end before an empty line may lie up to two bytes before what was searched.
        let mut index = self.searched.saturating_sub(2).max(self.block_start);
        while let Some(line_end) = self.buffer[index..].iter().position(|&byte| byte == b'\n') {
            index += line_end + 1;
            let rest = &self.buffer[index..];
            let end = match rest {
                [b'\n', ..] => index + 1,
                [b'\r', b'\n', ..] => index + 2,
                _ => continue,
            };
            if !only_comments(&self.buffer[self.block_start..end]) {
                return Some(end);
            }
            self.block_start = end;
            index = end;
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Tells whether all lines of a block are comments or empty.
fn only_comments(block: &[u8]) -> bool {
    let mut lines = block.split(|&byte| byte == b'\n');
    lines.all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the number in the last `id` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|&byte| byte == b'\n').rev();
    for line in lines {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).ok()?;
        return text.trim().parse().ok();
    }
    None
}
