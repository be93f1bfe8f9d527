//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

/// Maximum size of an event including the comments before it.
///
/// Events have a few hundred bytes; with the 2,000 connections of an instance this limit allows 128
/// MB in total.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Splits the bytes of a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that do not form a complete event yet.
    buffer: BytesMut,
    /// Length of the start of `buffer` that is known to contain no end of an event.
    searched: usize,
    /// Start of the last block in `buffer`; the blocks before it contain only comments.
    block_start: usize,
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event with its final empty line, preceded by the comments before it.
    pub bytes: Bytes,
    /// Value of the `id` field.
    pub id: Option<u64>,
}

/// an event has more than 65536 bytes
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    ///
    /// A block that contains only comments is no event; it is returned with the next event, so that
    /// comments alone never count as progress.
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

    /// Returns whether a stream that ends here was broken off inside an event or a line.
    ///
    /// Must be called after all complete events have been taken.
    pub fn is_inside_event(&self) -> bool {
        let block = &self.buffer[self.block_start..];
        let ends_line = block.is_empty() || block.ends_with(b"\n");
        !ends_line || !only_comments(block)
    }

    /// Returns the number of remaining bytes.
    pub fn rest_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the remaining bytes, which form no complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.block_start = 0;
        self.buffer.split().freeze()
    }

    /// Returns the end of the first event: the offset after its empty line.
    fn find_end(&mut self) -> Option<usize> {
        // The line end before an empty line may lie up to two bytes before the end of the searched
        // part.
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

/// Returns whether all lines of a block are comments or empty.
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
