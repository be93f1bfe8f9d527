//! Results of platform calls that callers pass to the types of this crate.

use wagtailarch_types::ObjectVersion;

/// Result of reading one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The record and the version of its object.
    Found(T, ObjectVersion),
    /// No such object exists.
    Absent,
    /// The platform sent no response, or the record is malformed.
    Failed,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(ObjectVersion),
    /// The write did not take effect, since the object has another version.
    Conflict,
    /// The write did not take effect.
    Failed,
    /// It is unknown whether the write took effect; it may still do so later.
    Unknown,
}
