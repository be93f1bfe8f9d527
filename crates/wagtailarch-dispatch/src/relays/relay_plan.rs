//! Selection of the source of updates: the store or another instance.
//!
//! A few instances of each availability zone, the relays, read from the store; the others receive
//! the same objects and versions from them. The calls to the store therefore grow with the number
//! of zones and not with the number of instances. Relays are not elected: instances that list the
//! same members select the same relays. An instance with a different list may ask the store itself,
//! or an instance that does not relay.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, rendezvous_weight};

use crate::{ReaderName, StoreAccess};

/// Number of members of a zone for each relay, which bounds the requests that a relay serves.
const MEMBERS_PER_RELAY: usize = 30;
/// Minimum number of relays of a zone, so that one is left if another fails.
const MIN_RELAYS: usize = 2;
/// Time for which a relay that failed is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Time for which a relay without data is not asked again. It is short, since a relay detects soon
/// that the store is available again.
const NO_DATA_BACKOFF: Duration = Duration::from_millis(500);
/// Time since the first response without data for which an instance without objects still asks
/// relays without data. They may be starting, as all relays do after a power failure.
const STARTUP_GRACE: Duration = Duration::from_millis(700);
/// Time after the start for which an instance that knows no member of its zone waits before it asks
/// the store.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Selects the source of updates for the objects of a kind.
#[derive(Debug)]
pub struct RelayPlan {
    reader: ReaderName,
    /// Relays that failed or had no data, with the time until which they are not asked.
    backoffs: IndexMap<InstanceId, Duration>,
    /// Time of the first response without data since the last successful response.
    no_data_since: Option<Duration>,
}

/// Source of updates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store.
    Store,
    /// Another instance of the same zone.
    Relay(InstanceId),
    /// No source may be asked at present.
    Wait,
}

impl RelayPlan {
    /// Creates the plan of a reader that has asked no source yet.
    pub fn new(reader: ReaderName) -> Self {
        Self {
            reader,
            backoffs: IndexMap::new(),
            no_data_since: None,
        }
    }

    /// Returns the source that the instance `own` asks next.
    ///
    /// `others` are the members of its zone, which may include `own`; `age` is the time since its
    /// start. The reader calls the store if it is the source.
    pub fn source(
        &mut self,
        now: Duration,
        age: Duration,
        own: &InstanceId,
        others: &[InstanceId],
        store: &mut StoreAccess,
    ) -> UpdateSource {
        self.backoffs.retain(|_, until| *until > now);
        if others.is_empty() {
            return match age < DISCOVERY_TIMEOUT {
                true => UpdateSource::Wait,
                false => self.call_store(now, store),
            };
        }
        let relays = relays(own, others, MEMBERS_PER_RELAY);
        if relays.contains(&own) {
            return self.call_store(now, store);
        }
        let key = rendezvous_weight(0, own);
        let usable = relays.iter().filter(|relay| !self.is_in_backoff(relay));
        let preferred = usable.max_by_key(|relay| rendezvous_weight(key, relay));
        if let Some(relay) = preferred {
            return UpdateSource::Relay((*relay).clone());
        }
        if self.no_data_since.is_some() && !store.is_due(self.reader, now) {
            return UpdateSource::Wait;
        }
        self.call_store(now, store)
    }

    fn call_store(&self, now: Duration, store: &mut StoreAccess) -> UpdateSource {
        store.on_call(self.reader, now);
        UpdateSource::Store
    }

    /// Records a response that shows that a relay or the store can be read.
    pub fn on_response(&mut self) {
        self.no_data_since = None;
    }

    /// Records that a relay could not be reached or was stale.
    pub fn on_failure(&mut self, now: Duration, relay: &InstanceId) {
        self.backoffs.insert(relay.clone(), now + FAILURE_BACKOFF);
    }

    /// Records that a relay has no data: it is starting, or the store does not respond to it.
    ///
    /// `has_objects` states whether this instance has read objects before. While it has none, it
    /// is not ready, and relays that start get time to read them.
    pub fn on_no_data(&mut self, now: Duration, relay: &InstanceId, has_objects: bool) {
        let since = *self.no_data_since.get_or_insert(now);
        if has_objects || now.saturating_sub(since) >= STARTUP_GRACE {
            self.backoffs.insert(relay.clone(), now + NO_DATA_BACKOFF);
        }
    }

    fn is_in_backoff(&self, relay: &InstanceId) -> bool {
        self.backoffs.contains_key(relay)
    }
}

/// Returns the relays among the members of a zone: one for every `per_relay` members, but at least
/// `MIN_RELAYS` if there are as many members.
///
/// If `others` includes `own`, it counts twice.
pub(crate) fn relays<'a>(
    own: &'a InstanceId,
    others: &'a [InstanceId],
    per_relay: usize,
) -> Vec<&'a InstanceId> {
    let mut members: Vec<_> = others.iter().chain([own]).collect();
    let count = members.len().div_ceil(per_relay).max(MIN_RELAYS);
    members.sort_by_key(|member| Reverse(rendezvous_weight(0, member)));
    members.truncate(count);
    members
}
