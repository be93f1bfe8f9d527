//! The policies that are compared.

/// A policy: how requests are admitted and routed and how roles change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decision code of this project: admission, router and role planner.
    Wagtail,
    /// Admission and router with the roles of the start.
    FixedSplit,
    /// Admission and router; roles change by thresholds on queue and batch.
    Threshold,
    /// Mixed engines in turn, without admission.
    RoundRobin,
    /// The mixed engine with the fewest own requests, without admission.
    LeastRequests,
    /// Admission and router; roles change ahead of the load, which it knows. The best of several
    /// plans per run is taken, so it is close to an upper bound.
    Foresight,
}

impl PolicyKind {
    /// All policies, in the order of the table.
    pub const ALL: [Self; 6] = [
        Self::Wagtail,
        Self::FixedSplit,
        Self::Threshold,
        Self::RoundRobin,
        Self::LeastRequests,
        Self::Foresight,
    ];

    /// Returns the textual form.
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

    /// Tells whether admission and router of this project are used.
    pub(crate) const fn uses_router(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastRequests)
    }
}
