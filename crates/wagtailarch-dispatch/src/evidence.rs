//! Evidence about parts of prompts that crash engines, and about crashes.

pub(crate) mod part_blame;
mod part_evidence;
pub(crate) mod part_outputs;

pub use part_evidence::{PartEvidence, PartVerdict};
