//! Which entry instances stay listed in the store.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

/// Silence after which a listed instance is removed.
///
/// Each listed instance takes a part of the retry budget and of the connections to servers, so that
/// those that are gone for good have to go. A machine that was only cut off lists itself again.
const GONE_AFTER: Duration = Duration::from_secs(600);
/// Lists in a row without this instance after which it lists itself again; a list may be seconds old.
const MISSING_LISTS: u32 = 2;

/// What one instance believes of the list of instances.
#[derive(Debug, Default)]
pub struct RegistrationTracker {
    /// Listed instances that are not heard, and since when.
    silent_since: IndexMap<InstanceId, Duration>,
    /// Lists in a row without this instance.
    missing: u32,
}

impl RegistrationTracker {
    /// Takes over a list of all instances and those that are heard at present.
    ///
    /// Returns the instances that are gone. An instance that hears nobody may be cut off itself and
    /// names none.
    pub fn on_list(
        &mut self,
        now: Duration,
        own: &InstanceId,
        listed: &[InstanceId],
        heard: &[InstanceId],
    ) -> Vec<InstanceId> {
        self.missing = match listed.contains(own) {
            true => 0,
            false => self.missing + 1,
        };
        if heard.is_empty() {
            self.silent_since.clear();
            return Vec::new();
        }
        let is_silent = |name: &InstanceId| name != own && !heard.contains(name);
        self.silent_since
            .retain(|name, _| listed.contains(name) && is_silent(name));
        let silent = listed.iter().filter(|name| is_silent(name));
        for name in silent {
            self.silent_since.entry(name.clone()).or_insert(now);
        }
        let gone = self.silent_since.iter();
        let gone = gone.filter(|(_, since)| now.saturating_sub(**since) >= GONE_AFTER);
        gone.map(|(name, _)| name.clone()).collect()
    }

    /// Tells whether this instance has to list itself again.
    pub fn must_register_again(&self) -> bool {
        self.missing >= MISSING_LISTS
    }
}
