//! Rank of prompts by their expected lateness.

use serde::{Deserialize, Serialize};

/// Whether the first event of a generation is expected in time; an engine reads prompts in this order.
///
/// A prompt that is late by little so costs none that is on time, and is still read before those that
/// are late by much.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Urgency {
    /// The first event is expected within the objective.
    OnTime,
    /// The first event is expected to be late by little.
    Near,
    /// The first event is late; the prompt is read when nothing else waits.
    Late,
}
