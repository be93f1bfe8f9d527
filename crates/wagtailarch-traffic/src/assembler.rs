//! Assembly of one response from the frames of its attempts (G4).

use smol_str::SmolStr;
use wagtailarch_types::{AttemptNo, RequestId, parse_request_id};
use wagtailarch_wire::engine::{FinishReason, Frame, Usage};

/// Maximum size in bytes of the text of one response.
const MAX_EMITTED_BYTES: usize = 4 << 20;

/// Assembles one response from the frames of its attempts.
///
/// Only a frame of this request and the current attempt with the next index is accepted, so each
/// token is delivered once and in order. All other frames are dropped and counted.
#[derive(Debug)]
pub struct Assembler {
    request: RequestId,
    /// Current attempt; 0 before the first.
    attempt: AttemptNo,
    /// Number of delivered tokens.
    next_index: u32,
    /// Text of the delivered tokens; at most `MAX_EMITTED_BYTES`.
    emitted: String,
    state: AttemptState,
    drops: DropCounts,
}

/// Whether the current attempt can still deliver tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    /// No attempt has started, or the current one ended by handing over its KV cache.
    Idle,
    /// The current attempt may deliver tokens.
    Open,
    /// The response is complete.
    Finished,
}

/// The outcome of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The text of the next token, to be sent to the client.
    Deliver(String),
    /// The text of the last token; the response is complete.
    Finished {
        /// Text of the last token.
        text: String,
        /// Why the response ended.
        finish: FinishReason,
        /// Token counts, if the engine sent them.
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
    /// The frame belongs to another request.
    OtherRequest,
    /// The frame belongs to another attempt.
    OtherAttempt,
    /// Its token has already been delivered.
    Duplicate,
    /// Tokens before it are missing; the stream is broken and a new attempt must resume it.
    Gap,
    /// The response or the attempt is complete.
    Closed,
    /// The response would exceed the size limit.
    TooLong,
}

/// Number of dropped frames by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Frames of another request.
    pub other_request: u64,
    /// Frames of another attempt.
    pub other_attempt: u64,
    /// Frames whose token had already been delivered.
    pub duplicate: u64,
    /// Frames after missing tokens.
    pub gap: u64,
    /// Frames after the end of the response or the attempt.
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
            state: AttemptState::Idle,
            drops: DropCounts::default(),
        }
    }

    /// Starts the next attempt and returns its number.
    ///
    /// Frames of earlier attempts are dropped from now on. A finished response stays finished.
    pub fn start_attempt(&mut self) -> AttemptNo {
        self.attempt += 1;
        if self.state != AttemptState::Finished {
            self.state = AttemptState::Open;
        }
        self.attempt
    }

    /// Processes a frame, which may belong to any attempt of any request.
    pub fn accept(&mut self, frame: Frame) -> FrameOutcome {
        if let Some(reason) = self.drop_reason(&frame) {
            self.drops.count(reason);
            return FrameOutcome::Dropped(reason);
        }
        if let Some(handle) = frame.kv_handle {
            self.state = AttemptState::Idle;
            return FrameOutcome::KvReady(handle);
        }
        self.emitted.push_str(&frame.text);
        self.next_index += 1;
        let Some(finish) = frame.finish else {
            return FrameOutcome::Deliver(frame.text);
        };
        self.state = AttemptState::Finished;
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

    /// Returns whether the response is complete.
    pub fn is_finished(&self) -> bool {
        self.state == AttemptState::Finished
    }

    /// Returns the number of dropped frames by reason.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Returns why a frame must be dropped, or `None` if it is accepted.
    fn drop_reason(&self, frame: &Frame) -> Option<DropReason> {
        if parse_request_id(&frame.request) != Some(self.request) {
            return Some(DropReason::OtherRequest);
        }
        if frame.attempt != self.attempt {
            return Some(DropReason::OtherAttempt);
        }
        if self.state != AttemptState::Open {
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
    /// Returns the total number of dropped frames.
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
