//! One attempt of a request on its way through the model.

use wagtailarch_traffic::{Admitted, Selection};
use wagtailarch_types::Phase;

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Job {
    /// Entry instance that has accepted it.
    pub instance: usize,
    /// Engine on which it is.
    pub engine: usize,
    pub phase: Phase,
    /// Hash of the prefix that it shares with others, and its length.
    pub prefix: u64,
    pub prefix_tokens: u32,
    pub prompt_tokens: u32,
    pub prompt_left: u32,
    pub output_tokens: u32,
    pub max_tokens: u32,
    pub generated: u32,
    /// Absolute time by which the whole answer must be there.
    pub deadline_s: f64,
    /// Attempts so far.
    pub attempts: u32,
    /// Load that it counts for in the router.
    pub pick: Option<Selection>,
    /// Share that it counts for in admission.
    pub admitted: Option<Admitted>,
}

impl Job {
    /// Notes that the prompt no longer waits.
    pub fn prompt_done(&mut self) {
        if let Some(pick) = &mut self.pick {
            pick.finish_prefill();
        }
        if let Some(admitted) = &mut self.admitted {
            admitted.finish_prefill();
        }
    }
}
