//! The list of live and leaving instances, which is read with a lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::platform::{InstanceList, ListedInstance, ListedState};

/// Maximum number of recorded lists.
const MAX_HISTORY: usize = 1024;
/// Maximum number of listed instances.
const MAX_INSTANCES: usize = 10_000;

/// Registered instances and the history of their list.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    items: IndexMap<InstanceId, ListedInstance>,
    revision: u64,
    /// Lists with the times of their creation, the newest last; at most [`MAX_HISTORY`].
    history: VecDeque<(Instant, InstanceList)>,
    /// Time by which the list that is read lags behind changes.
    pub lag: Duration,
}

impl InstanceRegistry {
    /// Creates an empty registry whose lists are read with a lag.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Adds or replaces an instance; returns `false` if the list is full.
    pub fn register(&mut self, item: ListedInstance, now: Instant) -> bool {
        if self.items.len() >= MAX_INSTANCES && !self.items.contains_key(&item.id) {
            return false;
        }
        self.items.insert(item.id.clone(), item);
        self.record(now);
        true
    }

    /// Sets the state of an instance and returns whether it is listed.
    pub fn set_state(&mut self, id: &str, state: ListedState, now: Instant) -> bool {
        let Some(item) = self.items.get_mut(id) else {
            return false;
        };
        item.state = state;
        self.record(now);
        true
    }

    /// Removes an instance and returns whether it was listed.
    pub fn remove(&mut self, id: &str, now: Instant) -> bool {
        let found = self.items.shift_remove(id).is_some();
        if found {
            self.record(now);
        }
        found
    }

    /// Returns the newest list that is at least as old as the lag; an empty list if there is none.
    pub fn list(&self, now: Instant) -> InstanceList {
        let is_old_enough = |entry: &&(Instant, InstanceList)| now - entry.0 >= self.lag;
        let entry = self.history.iter().rev().find(is_old_enough);
        entry.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds the current list to the history.
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
