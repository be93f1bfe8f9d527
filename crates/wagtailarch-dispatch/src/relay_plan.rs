//! Which instance asks the store for news, and which one it asks another instance.
//!
//! A few instances of each availability zone, the relays, read from the store; the others get the same
//! objects and versions from them. The calls to the store so grow with the zones and not with the
//! instances. No relay is elected: instances that list the same members agree, and one that disagrees
//! asks the store itself.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{InstanceId, rendezvous_weight};

/// Members of a zone for each relay, so that a relay answers a bounded number of instances.
const MEMBERS_PER_RELAY: usize = 30;
/// Fewest relays of a zone, so that one is left when another fails.
const MIN_RELAYS: usize = 2;
/// Time for which a relay that failed is not asked again.
const SUSPECT_FOR: Duration = Duration::from_secs(5);
/// Time for which a relay that knows nothing is not asked again; it hears of a store that returns soon.
const UNKNOWN_FOR: Duration = Duration::from_millis(500);
/// Time for which a relay may know nothing yet; it may be starting, as all may after a loss of power.
const START_PATIENCE: Duration = Duration::from_millis(700);
/// Time after the start for which an instance waits to hear of others before it asks the store.
const ALONE_PATIENCE: Duration = Duration::from_millis(2_200);
/// Time between two calls to a store that relays say is lost.
///
/// Calls are priced while the store is down too, and relays hear of its return within a second. An
/// unstable store extends the bounds by five seconds and more.
const LOST_STORE_PAUSE: Duration = Duration::from_secs(4);

/// Decides whom one instance asks for the objects of a kind.
#[derive(Debug, Default)]
pub struct RelayPlan {
    /// Relays that failed, and until when they are not asked.
    suspects: IndexMap<InstanceId, Duration>,
    /// Since when the asked relay has known nothing.
    unknown_since: Option<Duration>,
    /// When all relays last knew nothing and the store was asked.
    store_asked: Option<Duration>,
}

/// Whom to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store.
    Store,
    /// An instance of the same zone.
    Relay(InstanceId),
    /// Nobody yet.
    Wait,
}

impl RelayPlan {
    /// Returns whom the instance `own` asks.
    ///
    /// `others` are the other members of its zone, `age` the time since its start.
    pub fn source(
        &mut self,
        now: Duration,
        age: Duration,
        own: &InstanceId,
        others: &[InstanceId],
    ) -> UpdateSource {
        self.suspects.retain(|_, until| *until > now);
        if others.is_empty() {
            return match age < ALONE_PATIENCE {
                true => UpdateSource::Wait,
                false => UpdateSource::Store,
            };
        }
        let relays = relays(own, others, MEMBERS_PER_RELAY);
        if relays.contains(&own) {
            return UpdateSource::Store;
        }
        let key = rendezvous_weight(0, own);
        let usable = relays.iter().filter(|relay| !self.is_suspect(relay));
        let nearest = usable.max_by_key(|relay| rendezvous_weight(key, relay));
        if let Some(relay) = nearest {
            return UpdateSource::Relay((*relay).clone());
        }
        let pause_over = |at| now.saturating_sub(at) >= LOST_STORE_PAUSE;
        if self.unknown_since.is_some() && !self.store_asked.is_none_or(pause_over) {
            return UpdateSource::Wait;
        }
        self.store_asked = Some(now);
        UpdateSource::Store
    }

    /// Tells whether `own` is the relay of its zone whose watches are short, so that one notices first that
    /// the store is silent.
    pub fn is_first_relay(own: &InstanceId, others: &[InstanceId]) -> bool {
        relays(own, others, MEMBERS_PER_RELAY).first() == Some(&own)
    }

    /// Notes that a relay or the store answered.
    pub fn on_response(&mut self) {
        self.unknown_since = None;
        self.store_asked = None;
    }

    /// Notes that a relay could not be reached, or was found deaf.
    pub fn on_failure(&mut self, now: Duration, relay: &InstanceId) {
        self.suspects.insert(relay.clone(), now + SUSPECT_FOR);
    }

    /// Notes that a relay knows nothing at present: it starts, or the store does not answer it.
    pub fn on_unknown(&mut self, now: Duration, relay: &InstanceId) {
        let since = *self.unknown_since.get_or_insert(now);
        if now.saturating_sub(since) >= START_PATIENCE {
            self.suspects.insert(relay.clone(), now + UNKNOWN_FOR);
        }
    }

    fn is_suspect(&self, relay: &InstanceId) -> bool {
        self.suspects.contains_key(relay)
    }
}

/// Returns the relays among the members of a zone, one for each `per_relay` members.
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
