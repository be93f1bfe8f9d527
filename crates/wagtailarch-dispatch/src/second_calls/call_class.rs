//! Classes of calls that take similar times.

use wagtailarch_types::ServiceName;

use crate::RequestKind;

/// Calls whose times are compared with each other.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CallClass {
    /// Service that is called.
    pub service: ServiceName,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Size of the requests.
    pub size: SizeClass,
}

/// A range of sizes, each four times as wide as the one below.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SizeClass(u8);

impl SizeClass {
    /// Returns the class of a request by the tokens of its prompt, or the bytes of its body if it has
    /// no prompt.
    pub const fn of(size: u32) -> Self {
        Self(((u32::BITS - size.leading_zeros()) / 2) as u8)
    }
}
