//! Evidence about requests and parts of prompts that crash servers.

pub(crate) mod part_blame;
mod part_evidence;
pub(crate) mod part_outputs;
pub(crate) mod request_crashes;

pub use part_evidence::{PartEvidence, PartVerdict};
