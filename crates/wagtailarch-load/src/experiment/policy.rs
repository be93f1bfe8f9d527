//! The policies that are compared.

/// A policy: how requests are admitted and routed and how roles change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Admission, router and role planner of this project.
    Wagtail,
    /// Admission and router; the initial roles stay.
    FixedSplit,
    /// Admission and router; roles change when the prefill queue or the decode slots in use cross a
    /// threshold.
    Threshold,
    /// Round robin over mixed engines, without admission.
    RoundRobin,
    /// The mixed engine with the fewest requests, without admission.
    LeastRequests,
    /// Admission and router; roles follow a plan computed from the future load. Each run uses the
    /// best of several plans, so the result is close to an upper bound.
    Foresight,
}

impl PolicyKind {
    /// All policies, in the order of the results.
    pub const ALL: [Self; 6] = [
        Self::Wagtail,
        Self::FixedSplit,
        Self::Threshold,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::Foresight,
    ];

    /// Returns the name used on the command line and in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Wagtail => "wagtail",
            Self::FixedSplit => "fixed-split",
            Self::Threshold => "threshold",
            Self::RoundRobin => "round-robin",
            Self::LeastRequests => "least-requests",
            Self::Foresight => "foresight",
        }
    }

    /// Returns whether the policy uses the admission and router of this project.
    pub(crate) const fn uses_router(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastRequests)
    }
}
