//! Splitting a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// Greatest size of one event; a longer one is passed on in pieces without its number.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits the bytes of a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of events that are not whole.
    buffer: BytesMut,
    /// Bytes at the start of `buffer` that hold no end of an event.
    searched: usize,
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes with the empty line that ends it.
    pub bytes: Bytes,
    /// Its number.
    pub id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = match self.find_end() {
            Some(end) => end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len(),
            None => return None,
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Takes the bytes that belong to no whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the end of the first event: the byte after its empty line.
    fn find_end(&mut self) -> Option<usize> {
        // An end may begin up to three bytes before what was searched.
        let start = self.searched.saturating_sub(3);
        for index in start..self.buffer.len() {
            let rest = &self.buffer[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(index + 4);
            }
        }
        self.searched = self.buffer.len();
        None
    }
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
