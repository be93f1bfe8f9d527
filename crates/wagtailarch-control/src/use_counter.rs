//! The use of teams that one instance counts, and what its keepers have of it.

use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use wagtailarch_types::{BootId, InstanceId, TeamName};
use wagtailarch_wire::team_use::{UseAccepted, UseCounts, WindowCounts, WindowId};

/// Maximum size in bytes of the counts in one message, which then fits into one packet of a network.
const MAX_COUNT_BYTES: usize = 1_100;
/// Size in bytes of a count besides the team's name: length of the name and the number.
const COUNT_BYTES: usize = 4;
/// Maximum number of messages to one keeper at a time; the rest follows with the next ones.
const MAX_MESSAGES: usize = 32;
/// Number of messages whose acceptance is awaited; those before are sent again.
const MAX_AWAITED: usize = 4 * MAX_MESSAGES;

/// Counts by window and team.
type Counts = BTreeMap<WindowId, IndexMap<TeamName, u64>>;

/// The use of teams that one instance counts.
///
/// A window is kept until it is known as reported, or dropped as too old.
#[derive(Debug)]
pub struct UseCounter {
    instance: InstanceId,
    boot: BootId,
    counts: Counts,
    /// Last window that was reported or dropped.
    closed_through: WindowId,
    /// Last window that is known as reported; 0 if none is.
    reported_through: WindowId,
    keepers: IndexMap<InstanceId, KeeperView>,
    /// Number of the last message.
    number: u32,
}

/// What one keeper has accepted.
#[derive(Debug, Default)]
struct KeeperView {
    /// Start of the keeper; `None` until it has accepted a message.
    boot: Option<BootId>,
    accepted: Counts,
    accepted_complete: WindowId,
    /// Messages whose acceptance is awaited, the oldest one first.
    awaited: VecDeque<UseCounts>,
}

impl UseCounter {
    /// Creates the counter of one start of an instance.
    pub fn new(instance: InstanceId, boot: BootId) -> Self {
        Self {
            instance,
            boot,
            counts: Counts::new(),
            closed_through: 0,
            reported_through: 0,
            keepers: IndexMap::new(),
            number: 0,
        }
    }

    /// Counts a request of a team that began to run in a window; returns `false` if the window has been
    /// reported, so that the request is missing there.
    pub fn count(&mut self, window: WindowId, team: &TeamName) -> bool {
        if window <= self.closed_through {
            return false;
        }
        let teams = self.counts.entry(window).or_default();
        *teams.entry(team.clone()).or_default() += 1;
        true
    }

    /// Returns the messages for a keeper; `ended` is the last window that has ended.
    pub fn messages(&mut self, keeper: &InstanceId, ended: WindowId) -> Vec<UseCounts> {
        let view = self.keepers.entry(keeper.clone()).or_default();
        let mut parts: Vec<Vec<WindowCounts>> = Vec::new();
        let mut part: Vec<WindowCounts> = Vec::new();
        let mut bytes = 0;
        let mut is_complete = true;
        for (window, teams) in &self.counts {
            let accepted = view.accepted.get(window);
            for (team, count) in teams {
                if accepted.and_then(|accepted| accepted.get(team)) >= Some(count) {
                    continue;
                }
                is_complete &= *window > ended;
                let size = team.len() + COUNT_BYTES;
                if bytes + size > MAX_COUNT_BYTES && bytes > 0 {
                    parts.push(std::mem::take(&mut part));
                    bytes = 0;
                }
                bytes += size;
                match part.last_mut() {
                    Some(last) if last.window == *window => last.teams.push((team.clone(), *count)),
                    _ => part.push(WindowCounts {
                        window: *window,
                        teams: vec![(team.clone(), *count)],
                    }),
                }
            }
        }
        if !part.is_empty() {
            parts.push(part);
        }
        let complete_through = match is_complete {
            true => ended,
            false => view.accepted_complete,
        };
        if parts.is_empty() && complete_through > view.accepted_complete {
            parts.push(Vec::new());
        }
        parts.truncate(MAX_MESSAGES);
        let mut messages = Vec::with_capacity(parts.len());
        for windows in parts {
            self.number = self.number.wrapping_add(1);
            messages.push(UseCounts {
                sender: self.instance.clone(),
                boot: self.boot,
                number: self.number,
                reported_through: self.reported_through,
                complete_through,
                windows,
            });
        }
        view.awaited.extend(messages.iter().cloned());
        let excess = view.awaited.len().saturating_sub(MAX_AWAITED);
        view.awaited.drain(..excess);
        messages
    }

    /// Records that a keeper has accepted a message.
    pub fn on_accepted(&mut self, accepted: &UseAccepted) {
        self.on_reported(accepted.reported_through);
        let Some(view) = self.keepers.get_mut(&accepted.keeper) else {
            return;
        };
        if view.boot.is_some_and(|boot| boot != accepted.boot) {
            // A new start of the keeper has nothing that the earlier one accepted.
            view.accepted.clear();
            view.accepted_complete = 0;
        }
        view.boot = Some(accepted.boot);
        let mut awaited = view.awaited.iter();
        let Some(index) = awaited.position(|message| message.number == accepted.number) else {
            return;
        };
        let Some(message) = view.awaited.remove(index) else {
            return;
        };
        view.accepted_complete = view.accepted_complete.max(message.complete_through);
        for window in message.windows {
            if window.window <= self.closed_through {
                continue;
            }
            let teams = view.accepted.entry(window.window).or_default();
            for (team, count) in window.teams {
                let known = teams.entry(team).or_default();
                *known = (*known).max(count);
            }
        }
    }

    /// Drops the windows through `window`, which were reported.
    pub fn on_reported(&mut self, window: WindowId) {
        self.reported_through = self.reported_through.max(window);
        self.drop_through(window);
    }

    /// Drops the windows through `window`; returns the number of requests that were not reported.
    pub fn drop_through(&mut self, window: WindowId) -> u64 {
        if window <= self.closed_through {
            return 0;
        }
        self.closed_through = window;
        let kept = self.counts.split_off(&(window + 1));
        let dropped = std::mem::replace(&mut self.counts, kept);
        for view in self.keepers.values_mut() {
            view.accepted = view.accepted.split_off(&(window + 1));
        }
        let dropped = dropped.range(self.reported_through + 1..);
        dropped.flat_map(|(_, teams)| teams.values()).sum()
    }

    /// Drops what other instances than `keepers` have accepted.
    pub fn set_keepers(&mut self, keepers: &[InstanceId]) {
        self.keepers.retain(|name, _| keepers.contains(name));
    }

    /// Returns the last window that is known as reported; 0 if none is.
    pub fn reported_through(&self) -> WindowId {
        self.reported_through
    }
}
