//! The lagging list of live and leaving instances.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::platform::{InstanceList, ListedInstance, ListedState};

/// Older lists kept for the lag.
const MAX_HISTORY: usize = 1024;
/// Instances on the list.
const MAX_INSTANCES: usize = 10_000;

/// The list with its history.
#[derive(Debug, Default)]
pub struct Instances {
    items: IndexMap<InstanceId, ListedInstance>,
    revision: u64,
    /// Lists with the time they came up, newest last, at most [`MAX_HISTORY`].
    history: VecDeque<(Instant, InstanceList)>,
    /// Age of the lists that readers see.
    pub lag: Duration,
}

impl Instances {
    /// Creates an empty list that readers see `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Adds or replaces an instance; returns false if the list is full.
    pub fn register(&mut self, item: ListedInstance, now: Instant) -> bool {
        if self.items.len() >= MAX_INSTANCES && !self.items.contains_key(&item.id) {
            return false;
        }
        self.items.insert(item.id.clone(), item);
        self.record(now);
        true
    }

    /// Sets the state of an instance; returns whether it is on the list.
    pub fn set_state(&mut self, id: &str, state: ListedState, now: Instant) -> bool {
        let Some(item) = self.items.get_mut(id) else {
            return false;
        };
        item.state = state;
        self.record(now);
        true
    }

    /// Removes an instance; returns whether it was on the list.
    pub fn remove(&mut self, id: &str, now: Instant) -> bool {
        let found = self.items.shift_remove(id).is_some();
        if found {
            self.record(now);
        }
        found
    }

    /// Returns the newest list that is at least as old as the lag.
    pub fn list(&self, now: Instant) -> InstanceList {
        let old_enough = |entry: &&(Instant, InstanceList)| now - entry.0 >= self.lag;
        let entry = self.history.iter().rev().find(old_enough);
        entry.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn record(&mut self, now: Instant) {
        self.revision += 1;
        let items = self.items.values().cloned().collect();
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((
            now,
            InstanceList {
                revision: self.revision,
                items,
            },
        ));
    }
}
