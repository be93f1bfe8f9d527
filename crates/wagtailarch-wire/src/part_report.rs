//! Reports between entry instances about parts of prompts that crash servers.

use serde::{Deserialize, Serialize};

/// Hash of the model and the identifier of a part of a prompt, or of a whole request.
pub type PartKey = u64;

/// Depth of a whole request, which is the deepest part of itself.
pub const WHOLE_REQUEST: u8 = u8::MAX;

/// Maximum number of reports of each kind in a merged note; the others are reported again.
const MAX_MERGED: usize = 24;

/// Evidence about parts of prompts, as one instance reports it to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReports {
    /// Crashes of servers.
    pub crashes: Vec<CrashReport>,
    /// Outputs of parts that were suspected.
    pub outputs: Vec<OutputReport>,
    /// Parts that are blamed.
    pub blames: Vec<BlameReport>,
}

/// A crash of a server and the parts of the requests that it was beginning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// `server_key` of the server.
    pub server: u32,
    /// Age of the crash in milliseconds.
    pub age_ms: u32,
    /// Parts that may be guilty.
    pub parts: Vec<ReportedPart>,
}

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPart {
    /// Key of the part.
    pub key: PartKey,
    /// Number of parts before it, or [`WHOLE_REQUEST`].
    pub depth: u8,
}

impl ReportedPart {
    /// Creates the part that a whole request is of itself.
    pub const fn request(key: PartKey) -> Self {
        Self {
            key,
            depth: WHOLE_REQUEST,
        }
    }

    /// Returns whether this is a whole request.
    pub const fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST
    }
}

/// Output of a request with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputReport {
    /// Key of the part.
    pub part: PartKey,
    /// Age of the output in milliseconds.
    pub age_ms: u32,
}

/// A part that is blamed for crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameReport {
    /// Key of the part.
    pub part: PartKey,
    /// Age of its last crash in milliseconds.
    pub age_ms: u32,
    /// Number of trials that ended in a crash.
    pub trials: u8,
}

impl PartReports {
    /// Adds the reports of an older note of the same instance, so that they are not lost when a
    /// newer one is forwarded in its place.
    pub fn merge_older(&mut self, older: Self) {
        append(&mut self.crashes, older.crashes);
        append(&mut self.outputs, older.outputs);
        append(&mut self.blames, older.blames);
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.outputs.is_empty() && self.blames.is_empty()
    }

    /// Returns an upper estimate of the encoded size.
    pub fn estimated_bytes(&self) -> usize {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|crash| 12 + crash.parts.len() * 11);
        crashes.sum::<usize>() + self.outputs.len() * 15 + self.blames.len() * 16
    }
}

fn append<T>(reports: &mut Vec<T>, older: Vec<T>) {
    let room = MAX_MERGED.saturating_sub(reports.len());
    reports.extend(older.into_iter().take(room));
}
