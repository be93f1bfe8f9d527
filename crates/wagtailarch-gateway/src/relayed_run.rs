//! A run of a stream's request, and how far its response has been read.

use wagtailarch_wire::{event_splitter::EventSplitter, forward::StreamEnd};

use crate::generation::StartedGeneration;

/// A run of a stream's request, and how far its response has been read.
#[derive(Debug)]
pub struct RelayedRun {
    /// The run with the rest of its response.
    pub started: StartedGeneration,
    /// Bytes of the response that form no complete event yet.
    pub splitter: EventSplitter,
    /// Whether the run goes on after events of another one.
    pub is_resumed: bool,
    /// Whether the run has sent a complete event.
    pub has_event: bool,
    /// Whether an event of the run has been recorded as output of the prompt's parts.
    pub output_recorded: bool,
    /// Error in the data after the last event, reported once the valid events are sent.
    pub data_error: Option<&'static str>,
    /// End that the other instance states for the response that goes through it.
    pub stated_end: Option<StreamEnd>,
}

impl RelayedRun {
    /// Creates the state of a run of which nothing has been read.
    pub fn new(started: StartedGeneration, is_resumed: bool) -> Self {
        Self {
            started,
            splitter: EventSplitter::default(),
            is_resumed,
            has_event: false,
            output_recorded: false,
            data_error: None,
            stated_end: None,
        }
    }
}
