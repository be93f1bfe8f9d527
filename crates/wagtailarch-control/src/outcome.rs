//! Results of platform calls, as the runners pass them to the decisions.

use wagtailarch_types::ObjectVersion;

/// Result of reading one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome<T> {
    /// The record and the version of its object.
    Found(T, ObjectVersion),
    /// No such object exists.
    Absent,
    /// The platform did not answer, or the record is malformed.
    Failed,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and gave the object this version.
    Written(ObjectVersion),
    /// The object has another version; the write did not take effect.
    Conflict,
    /// The write did not take effect.
    Failed,
    /// The write may have taken effect or may still do so.
    Unknown,
}
