//! Duties: calls to the platform that one instance at a time makes.

use crate::{ServiceName, ZoneName};

/// Kind of a duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DutyKind {
    /// Reports of the use of each team.
    Usage,
    /// Orders for the number of servers of a service.
    Scale,
}

/// What one sequence of fencing numbers belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DutySubject {
    /// Reports of the use of each team.
    Usage,
    /// Number of servers of a service in a zone.
    Scale {
        /// Service.
        service: ServiceName,
        /// Availability zone.
        zone: ZoneName,
    },
}

impl DutySubject {
    /// Returns the name of the subject, which is unique among all subjects.
    ///
    /// It consists of ASCII letters, digits, `.`, `_` and `-`, so that it can be part of a path: other
    /// bytes of a name are written as `.` with two hexadecimal digits.
    pub fn name(&self) -> String {
        match self {
            Self::Usage => "usage".to_owned(),
            Self::Scale { service, zone } => {
                format!("scale_{}_{}", escaped(service), escaped(zone))
            }
        }
    }

    /// Returns the kind of the duty.
    pub const fn kind(&self) -> DutyKind {
        match self {
            Self::Usage => DutyKind::Usage,
            Self::Scale { .. } => DutyKind::Scale,
        }
    }
}

fn escaped(name: &str) -> String {
    let mut text = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => text.push(char::from(byte)),
            _ => text.push_str(&format!(".{byte:02x}")),
        }
    }
    text
}
