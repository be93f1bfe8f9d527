//! Assembly of one response from the frames of its attempts (G4).

use smol_str::SmolStr;
use wagtailarch_types::{AttemptNo, RequestId, parse_request_id};
use wagtailarch_wire::engine::{Finish, Frame, Usage};

/// Greatest size in bytes of the text of one answer.
const MAX_EMITTED_BYTES: usize = 4 << 20;

/// Assembles one response from the frames of its attempts.
///
/// Only the frame with the own request, the current attempt and the next index is accepted, so
/// each token is delivered once and in order. All others are dropped and counted.
#[derive(Debug)]
pub struct Assembler {
    request: RequestId,
    /// Current attempt; 0 before the first.
    attempt: AttemptNo,
    /// Number of delivered tokens.
    next_index: u32,
    /// Text of the delivered tokens; at most `MAX_EMITTED_BYTES`.
    emitted: String,
    state: State,
    drops: DropCounts,
}

/// Whether the current attempt can still deliver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No attempt has started, or the current one has handed over its KV cache.
    Idle,
    /// The current attempt delivers.
    Open,
    /// The answer is complete.
    Finished,
}

/// What became of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The text of the next token, to be sent to the client.
    Deliver(String),
    /// The text of the last token; the answer is complete.
    Finished {
        /// Text of the last token.
        text: String,
        /// Why the answer ended.
        finish: Finish,
        /// Token counts, if the engine gave them.
        usage: Option<Usage>,
    },
    /// The prefill attempt ended with this KV handle.
    KvReady(SmolStr),
    /// The frame was dropped.
    Dropped(DropReason),
}

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// It belongs to another request.
    OtherRequest,
    /// It belongs to another attempt.
    OtherAttempt,
    /// Its token was delivered before.
    Duplicate,
    /// Tokens before it are missing; the stream is broken and a new attempt must resume.
    Gap,
    /// The answer or the attempt is complete.
    Closed,
    /// The answer exceeds the size limit.
    TooLong,
}

/// Number of dropped frames by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Frames of another request.
    pub other_request: u64,
    /// Frames of another attempt.
    pub other_attempt: u64,
    /// Frames whose token was delivered before.
    pub duplicate: u64,
    /// Frames after missing tokens.
    pub gap: u64,
    /// Frames after the end.
    pub closed: u64,
    /// Frames beyond the size limit.
    pub too_long: u64,
}

impl Assembler {
    /// Creates an assembler for `request` without any attempt.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            attempt: 0,
            next_index: 0,
            emitted: String::new(),
            state: State::Idle,
            drops: DropCounts::default(),
        }
    }

    /// Starts the next attempt; frames of earlier attempts are dropped from now on.
    ///
    /// A finished answer stays finished.
    pub fn start_attempt(&mut self) -> AttemptNo {
        self.attempt += 1;
        if self.state != State::Finished {
            self.state = State::Open;
        }
        self.attempt
    }

    /// Takes a frame of any attempt of any request.
    pub fn accept(&mut self, frame: Frame) -> FrameOutcome {
        if let Some(reason) = self.drop_reason(&frame) {
            self.drops.count(reason);
            return FrameOutcome::Dropped(reason);
        }
        if let Some(handle) = frame.kv_handle {
            self.state = State::Idle;
            return FrameOutcome::KvReady(handle);
        }
        self.emitted.push_str(&frame.text);
        self.next_index += 1;
        let Some(finish) = frame.finish else {
            return FrameOutcome::Deliver(frame.text);
        };
        self.state = State::Finished;
        FrameOutcome::Finished {
            text: frame.text,
            finish,
            usage: frame.usage,
        }
    }

    /// Returns the text of the delivered tokens.
    pub fn emitted(&self) -> &str {
        &self.emitted
    }

    /// Returns the number of delivered tokens, which is the index of the next one.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Tells whether the answer is complete.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns the number of dropped frames by reason.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    fn drop_reason(&self, frame: &Frame) -> Option<DropReason> {
        if parse_request_id(&frame.request) != Some(self.request) {
            return Some(DropReason::OtherRequest);
        }
        if frame.attempt != self.attempt {
            return Some(DropReason::OtherAttempt);
        }
        if self.state != State::Open {
            return Some(DropReason::Closed);
        }
        if frame.kv_handle.is_some() {
            return None;
        }
        if frame.index < self.next_index {
            return Some(DropReason::Duplicate);
        }
        if frame.index > self.next_index {
            return Some(DropReason::Gap);
        }
        if self.emitted.len() + frame.text.len() > MAX_EMITTED_BYTES {
            return Some(DropReason::TooLong);
        }
        None
    }
}

impl DropCounts {
    /// Returns the number of dropped frames of every reason.
    pub fn total(&self) -> u64 {
        self.other_request
            + self.other_attempt
            + self.duplicate
            + self.gap
            + self.closed
            + self.too_long
    }

    fn count(&mut self, reason: DropReason) {
        let counter = match reason {
            DropReason::OtherRequest => &mut self.other_request,
            DropReason::OtherAttempt => &mut self.other_attempt,
            DropReason::Duplicate => &mut self.duplicate,
            DropReason::Gap => &mut self.gap,
            DropReason::Closed => &mut self.closed,
            DropReason::TooLong => &mut self.too_long,
        };
        *counter += 1;
    }
}
