//! Order of prompts by how late their first event is expected.

use serde::{Deserialize, Serialize};

/// Whether the first event of a generation is expected in time; engines prefill prompts in this
/// order.
///
/// A prompt that is slightly late therefore delays no prompt that is on time, and is still
/// prefilled before prompts that are much later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Urgency {
    /// The first event is expected within the objective.
    OnTime,
    /// The first event is expected to be slightly late.
    Near,
    /// The first event is late; the prompt is prefilled when no other prompt waits.
    Late,
}
