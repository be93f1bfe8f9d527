//! The instances that share the rate limits of servers.

use wagtailarch_types::{InstanceId, rendezvous_weight};

/// The entry instances, as one of them sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitMembers {
    /// This instance; `None` until it knows whether there are others.
    pub own: Option<InstanceId>,
    /// The other instances whose notes arrive.
    pub live: Vec<InstanceId>,
    /// Number of listed instances, including this one.
    pub listed: usize,
}

impl LimitMembers {
    /// Returns the instance that coordinates the limit of a server, or the evidence on a part, with
    /// this key.
    ///
    /// Instances with the same live members select the same one.
    pub fn coordinator(&self, key: impl Into<u64>) -> Option<&InstanceId> {
        let key = key.into();
        let members = self.live.iter().chain(&self.own);
        let weight = |member: &&InstanceId| rendezvous_weight(key, member);
        self.own.as_ref()?;
        members.max_by_key(weight)
    }

    /// Returns whether this instance is the coordinator for a key.
    pub fn is_coordinator(&self, key: impl Into<u64>) -> bool {
        self.own.is_some() && self.coordinator(key) == self.own.as_ref()
    }

    /// Returns the part of a limit that this instance may grant as coordinator: the equal shares of
    /// the instances whose notes arrive, since the others use theirs.
    pub fn reachable_share(&self) -> f64 {
        let reachable = self.live.len() + 1;
        (reachable as f64 * self.equal_share()).min(1.0)
    }

    /// Returns the part of a limit that each instance uses while the coordinator does not respond.
    pub fn equal_share(&self) -> f64 {
        1.0 / self.listed.max(1) as f64
    }
}
