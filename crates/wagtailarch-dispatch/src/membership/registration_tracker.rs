//! Tracking of the entry instances that are registered in the store.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

/// Time without notes after which a registered instance is removed.
///
/// Each registered instance takes a share of the retry budget and of the connections to servers, so
/// that instances that are gone for good have to be removed. One that was only partitioned
/// registers again.
const EXPIRY_TIMEOUT: Duration = Duration::from_secs(600);
/// Number of consecutive lists without this instance after which it registers again; a list may be
/// seconds old.
const MAX_LISTS_WITHOUT_OWN: u32 = 2;

/// Tracks which registered instances are unresponsive, and whether this instance is registered.
#[derive(Debug, Default)]
pub struct RegistrationTracker {
    /// Registered instances that are not live, with the time since when.
    unresponsive_since: IndexMap<InstanceId, Duration>,
    /// Number of consecutive lists without this instance.
    lists_without_own: u32,
}

impl RegistrationTracker {
    /// Applies a list of all registered instances and the instances that are live at present.
    ///
    /// Returns the expired instances. Without any live instance, this one may be partitioned itself
    /// and reports none as expired.
    pub fn on_list(
        &mut self,
        now: Duration,
        own: &InstanceId,
        listed: &[InstanceId],
        live: &[InstanceId],
    ) -> Vec<InstanceId> {
        self.lists_without_own = match listed.contains(own) {
            true => 0,
            false => self.lists_without_own + 1,
        };
        if live.is_empty() {
            self.unresponsive_since.clear();
            return Vec::new();
        }
        let is_unresponsive = |name: &InstanceId| name != own && !live.contains(name);
        self.unresponsive_since
            .retain(|name, _| listed.contains(name) && is_unresponsive(name));
        let unresponsive = listed.iter().filter(|name| is_unresponsive(name));
        for name in unresponsive {
            self.unresponsive_since.entry(name.clone()).or_insert(now);
        }
        let expired = self.unresponsive_since.iter();
        let expired = expired.filter(|(_, since)| now.saturating_sub(**since) >= EXPIRY_TIMEOUT);
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether this instance has to register again.
    pub fn must_register_again(&self) -> bool {
        self.lists_without_own >= MAX_LISTS_WITHOUT_OWN
    }
}
