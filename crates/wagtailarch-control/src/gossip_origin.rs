//! The gossiped facts of one origin, and the indexes that an instance assigns to names.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_types::{Assignment, BootId, InstanceId, TeamName};
use wagtailarch_wire::peer::{InstanceInfo, Item, UrgentBody};

use crate::GossipEvent;
use crate::gossip::urgent_slot;

/// Maximum number of facts of one origin: two for each of 512 engines and 60 teams, 64 urgent
/// messages, the heartbeat and the instance's information, rounded up.
const MAX_ITEMS: usize = 1_280;

/// Facts of one origin.
#[derive(Debug)]
pub(crate) struct Origin {
    pub(crate) boot_id: BootId,
    /// Highest version of any fact ever applied.
    pub(crate) version: u64,
    pub(crate) received_at: Duration,
    pub(crate) info: Option<InstanceInfo>,
    /// The newest fact of each key and when it arrived; at most `MAX_ITEMS`.
    items: IndexMap<Key, (VersionedItem, Duration)>,
}

/// A fact and the version that its origin assigned to it.
#[derive(Debug, Clone)]
pub(crate) struct VersionedItem {
    pub(crate) version: u64,
    pub(crate) item: Item,
}

/// Subject of a fact. A newer fact replaces an older one with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Key {
    Heartbeat,
    Instance,
    EngineName(u16),
    Engine(u16),
    TeamName(u16),
    Team(u16),
    Urgent(u64),
}

impl Key {
    fn of(item: &Item) -> Self {
        match item {
            Item::Heartbeat => Self::Heartbeat,
            Item::Instance(_) => Self::Instance,
            Item::EngineName { index, .. } => Self::EngineName(*index),
            Item::Engine { index, .. } => Self::Engine(*index),
            Item::TeamName { index, .. } => Self::TeamName(*index),
            Item::Team { index, .. } => Self::Team(*index),
            Item::Urgent(urgent) => Self::Urgent(urgent_slot(urgent.seq)),
        }
    }
}

impl Origin {
    pub(crate) fn new(boot_id: BootId, now: Duration) -> Self {
        Self {
            boot_id,
            version: 0,
            received_at: now,
            info: None,
            items: IndexMap::new(),
        }
    }

    /// Adds a fact of this instance under the next version.
    pub(crate) fn push(&mut self, now: Duration, item: Item) {
        self.version += 1;
        let version = self.version;
        self.insert(now, VersionedItem { version, item });
    }

    /// Adds a fact of this instance unless it equals the last one with the same key.
    pub(crate) fn push_if_changed(&mut self, now: Duration, item: Item) {
        let last = self.items.get(&Key::of(&item));
        if last.is_some_and(|(last, _)| last.item == item) {
            return;
        }
        self.push(now, item);
    }

    /// Adds the usage of a team unless it is within one step (9%) of the last one. Gossiping every
    /// step took 1.7 KB/s of an instance's budget of 2 KB/s.
    pub(crate) fn push_usage(&mut self, now: Duration, item: Item) {
        let last = self.items.get(&Key::of(&item));
        if let (Some((last, _)), Item::Team { usage, .. }) = (last, &item)
            && let Item::Team { usage: known, .. } = &last.item
        {
            let is_near = |index: usize| usage.0[index].abs_diff(known.0[index]) <= 1;
            let becomes_zero = usage.0 == [0, 0] && known.0 != [0, 0];
            if is_near(0) && is_near(1) && !becomes_zero {
                return;
            }
        }
        self.push(now, item);
    }

    /// Applies a fact of another instance and returns the update that follows from it, if any. A
    /// fact whose version is not newer is ignored.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        item: VersionedItem,
    ) -> Option<GossipEvent> {
        if item.version <= self.version {
            return None;
        }
        self.version = item.version;
        self.received_at = now;
        let event = match &item.item {
            Item::Heartbeat => Some(GossipEvent::Heartbeat(instance.clone())),
            Item::Instance(info) => {
                self.info = Some(info.clone());
                Some(GossipEvent::Instance(
                    instance.clone(),
                    self.boot_id,
                    info.clone(),
                ))
            }
            Item::Engine { index, load } => self.engine(*index).map(|(engine, assignment)| {
                GossipEvent::Engine(engine.clone(), assignment.clone(), load.unpack())
            }),
            Item::Team { index, usage } => self.team(*index).map(|team| {
                let (requests_per_s, tokens_per_s) = usage.unpack();
                GossipEvent::Team(instance.clone(), team.clone(), requests_per_s, tokens_per_s)
            }),
            Item::EngineName { .. } | Item::TeamName { .. } | Item::Urgent(_) => None,
        };
        self.insert(now, item);
        event
    }

    /// Returns the facts after `version` in the order of their versions.
    pub(crate) fn items_after(&self, version: u64) -> Vec<&VersionedItem> {
        let mut items: Vec<_> = self
            .items
            .values()
            .map(|(item, _)| item)
            .filter(|item| item.version > version)
            .collect();
        items.sort_unstable_by_key(|item| item.version);
        items
    }

    /// Removes urgent messages that arrived at least `ttl` ago.
    pub(crate) fn expire_urgent(&mut self, now: Duration, ttl: Duration) {
        self.items
            .retain(|key, (_, at)| !matches!(key, Key::Urgent(_)) || now < *at + ttl);
    }

    /// Removes the name and the load of an engine.
    pub(crate) fn remove_engine(&mut self, index: u16) {
        self.items.swap_remove(&Key::EngineName(index));
        self.items.swap_remove(&Key::Engine(index));
    }

    fn insert(&mut self, now: Duration, item: VersionedItem) {
        let key = Key::of(&item.item);
        if self.items.len() >= MAX_ITEMS && !self.items.contains_key(&key) {
            return;
        }
        self.items.insert(key, (item, now));
    }

    fn engine(&self, index: u16) -> Option<(&InstanceId, &Assignment)> {
        match &self.items.get(&Key::EngineName(index))?.0.item {
            Item::EngineName {
                engine, assignment, ..
            } => Some((engine, assignment)),
            _ => None,
        }
    }

    fn team(&self, index: u16) -> Option<&TeamName> {
        match &self.items.get(&Key::TeamName(index))?.0.item {
            Item::TeamName { team, .. } => Some(team),
            _ => None,
        }
    }
}

/// Indexes that this instance assigns to names, so that gossip sends each name once.
#[derive(Debug)]
pub(crate) struct OwnIndexes {
    limit: usize,
    /// Names by index; at most `limit`.
    names: Vec<Option<SmolStr>>,
    by_name: IndexMap<SmolStr, u16>,
}

impl OwnIndexes {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit: limit.min(usize::from(u16::MAX)),
            names: Vec::new(),
            by_name: IndexMap::new(),
        }
    }

    /// Returns the index of `name` and assigns one if it has none; `None` if all are in use.
    pub(crate) fn index(&mut self, name: &SmolStr) -> Option<u16> {
        if let Some(index) = self.by_name.get(name) {
            return Some(*index);
        }
        let index = match self.names.iter().position(Option::is_none) {
            Some(free) => free,
            None if self.names.len() < self.limit => {
                self.names.push(None);
                self.names.len() - 1
            }
            None => return None,
        };
        self.names[index] = Some(name.clone());
        self.by_name.insert(name.clone(), index as u16);
        Some(index as u16)
    }

    /// Frees the indexes of the names for which `keep` returns false, and returns these indexes.
    pub(crate) fn retain(&mut self, keep: impl Fn(&SmolStr) -> bool) -> Vec<u16> {
        let mut freed = Vec::new();
        for (index, name) in self.names.iter_mut().enumerate() {
            let Some(removed) = name.take_if(|name| !keep(name)) else {
                continue;
            };
            self.by_name.swap_remove(&removed);
            freed.push(index as u16);
        }
        freed
    }
}

/// Returns an upper bound on the encoded size of an item.
pub(crate) fn item_bytes(item: &Item) -> usize {
    // Version, discriminant, index and lengths.
    const OVERHEAD: usize = 24;
    OVERHEAD
        + match item {
            Item::Heartbeat | Item::Engine { .. } | Item::Team { .. } => 0,
            Item::Instance(info) => 16 + info.peer_address.len(),
            Item::EngineName {
                engine, assignment, ..
            } => {
                let adapters = assignment.adapters.iter().map(|name| name.len() + 3);
                let names = engine.len() + assignment.model.len() + assignment.version.len();
                16 + names + adapters.sum::<usize>()
            }
            Item::TeamName { team, .. } => team.len(),
            Item::Urgent(urgent) => {
                let body = match &urgent.body {
                    UrgentBody::Leaving { backend } | UrgentBody::Drain { backend, .. } => {
                        backend.len()
                    }
                    UrgentBody::Strike {
                        backend,
                        fingerprints,
                    } => backend.len() + 19 * fingerprints.len(),
                    UrgentBody::Quarantined { backend, .. } => 24 + backend.len(),
                    UrgentBody::NewGeneration { .. } => 10,
                };
                48 + urgent.origin.len() + urgent.zone.len() + body
            }
        }
}
