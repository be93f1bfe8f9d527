//! What the registry says about servers that leave or have left.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_traffic::Departure;

use crate::ServerProcess;

/// Time after which a removed server is forgotten; responses end long before.
const DEPARTURE_TTL: Duration = Duration::from_secs(600);
/// Maximum number of servers that are remembered; the oldest one is dropped beyond it.
const MAX_DEPARTURES: usize = 4_096;

/// The starts of servers that have announced that they leave, or whose registration is gone.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// In the order in which their leaving became known.
    map: IndexMap<ServerProcess, Registered>,
}

/// What the registry says about one start of a server.
#[derive(Debug, Clone, Copy)]
struct Registered {
    departure: Departure,
    /// Number of the last heartbeat.
    heartbeat: u64,
}

impl Departures {
    /// Returns what is known about a start of a server; `None` if it does not leave.
    pub fn get(&self, process: &ServerProcess) -> Option<&Departure> {
        self.map
            .get(process)
            .map(|registered| &registered.departure)
    }

    /// Records a registration with the number of its heartbeat; `leaving` states whether its server is
    /// known to leave. Returns whether anything has changed.
    pub fn on_registered(
        &mut self,
        now: Duration,
        process: ServerProcess,
        heartbeat: u64,
        leaving: bool,
    ) -> bool {
        let Some(registered) = self.map.get_mut(&process) else {
            if leaving {
                self.insert(now, process, heartbeat, None);
            }
            return leaving;
        };
        if !leaving {
            self.map.shift_remove(&process);
            return true;
        }
        if heartbeat <= registered.heartbeat {
            return false;
        }
        registered.heartbeat = heartbeat;
        registered.departure.registered_at = now;
        registered.departure.removed_at = None;
        true
    }

    /// Records that a response of a server states that it leaves.
    pub fn on_stated_leaving(&mut self, now: Duration, process: ServerProcess) {
        if !self.map.contains_key(&process) {
            self.insert(now, process, 0, None);
        }
    }

    /// Records the removal of a registration.
    pub fn on_removed(&mut self, now: Duration, process: ServerProcess) {
        match self.map.get_mut(&process) {
            Some(registered) => registered.departure.removed_at = Some(now),
            None => self.insert(now, process, 0, Some(now)),
        }
    }

    fn insert(
        &mut self,
        now: Duration,
        process: ServerProcess,
        heartbeat: u64,
        removed_at: Option<Duration>,
    ) {
        let is_kept = |at: Duration| now < at + DEPARTURE_TTL;
        self.map
            .retain(|_, registered| registered.departure.removed_at.is_none_or(is_kept));
        if self.map.len() >= MAX_DEPARTURES {
            self.map.shift_remove_index(0);
        }
        let departure = Departure {
            removed_at,
            ..Departure::new(now)
        };
        let registered = Registered {
            departure,
            heartbeat,
        };
        self.map.insert(process, registered);
    }
}
