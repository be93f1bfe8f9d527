//! The sums of the teams' use at a keeper.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use wagtailarch_types::{BootId, InstanceId, TeamName};
use wagtailarch_wire::team_use::{UseCounts, WindowId};

/// Maximum number of counts, about 60 MB; the largest fleet needs 250,000 for each window of 5 seconds.
const MAX_COUNTS: usize = 1_000_000;

/// The sums of the teams' use at a keeper.
///
/// The counts of one instance, start and window are joined by maximum: repeated, late and reordered
/// messages change nothing.
#[derive(Debug, Default)]
pub struct UseSums {
    windows: BTreeMap<WindowId, WindowSums>,
    /// Last window of which an instance has sent all its counts.
    complete: IndexMap<InstanceId, WindowId>,
    /// Last window that was reported or dropped.
    closed_through: WindowId,
    /// Last window that is known as reported; 0 if none is.
    reported_through: WindowId,
    /// Number of counts of all windows.
    counts: usize,
}

#[derive(Debug, Default)]
struct WindowSums {
    origins: IndexMap<(InstanceId, BootId), IndexMap<TeamName, u64>>,
    totals: IndexMap<TeamName, u64>,
}

impl UseSums {
    /// Joins the counts of an instance; returns `false` if there is no room, so that the message must not
    /// be accepted.
    ///
    /// `newest` is the present window by the own clock. Windows after the next one are left out, since
    /// they would take room until they end.
    pub fn on_counts(&mut self, message: &UseCounts, newest: WindowId) -> bool {
        self.on_reported(message.reported_through);
        let new_counts: usize = message.windows.iter().map(|w| w.teams.len()).sum();
        if self.counts + new_counts > MAX_COUNTS {
            return false;
        }
        for window in &message.windows {
            let is_outside =
                window.window <= self.closed_through || window.window > newest.saturating_add(1);
            if is_outside || window.teams.is_empty() {
                continue;
            }
            let sums = self.windows.entry(window.window).or_default();
            let origin = (message.sender.clone(), message.boot);
            let teams = sums.origins.entry(origin).or_default();
            for (team, count) in &window.teams {
                let known = match teams.get_mut(team) {
                    Some(known) => known,
                    None => {
                        self.counts += 1;
                        teams.entry(team.clone()).or_default()
                    }
                };
                let added = count.saturating_sub(*known);
                *known += added;
                let total = sums.totals.entry(team.clone()).or_default();
                *total = total.saturating_add(added);
            }
        }
        let complete = self.complete.entry(message.sender.clone()).or_default();
        *complete = (*complete).max(message.complete_through);
        true
    }

    /// Returns whether all of `instances` have sent all their counts of a window.
    pub fn is_complete<'a>(
        &self,
        window: WindowId,
        mut instances: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        instances.all(|instance| self.complete.get(instance) >= Some(&window))
    }

    /// Returns the requests of each team that began to run in a window.
    pub fn totals(&self, window: WindowId) -> IndexMap<TeamName, u64> {
        let sums = self.windows.get(&window);
        sums.map(|sums| sums.totals.clone()).unwrap_or_default()
    }

    /// Drops the windows through `window`, which were reported.
    pub fn on_reported(&mut self, window: WindowId) {
        self.reported_through = self.reported_through.max(window);
        self.drop_through(window);
    }

    /// Drops the windows through `window`.
    pub fn drop_through(&mut self, window: WindowId) {
        if window <= self.closed_through {
            return;
        }
        self.closed_through = window;
        self.windows = self.windows.split_off(&(window + 1));
        let origins = self.windows.values().flat_map(|sums| sums.origins.values());
        self.counts = origins.map(IndexMap::len).sum();
    }

    /// Drops what is known of other instances than `live`.
    pub fn retain_instances(&mut self, live: &[InstanceId]) {
        self.complete.retain(|name, _| live.contains(name));
    }

    /// Returns the last window that is known as reported; 0 if none is.
    pub fn reported_through(&self) -> WindowId {
        self.reported_through
    }
}
