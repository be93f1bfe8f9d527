//! The servers that are known to leave.

use indexmap::IndexSet;

use crate::ServerProcess;

/// Maximum number of servers that are remembered; the oldest one is dropped beyond it.
///
/// A server that leaves is gone within seconds, so that this covers a release of all servers of the
/// largest deployments.
const MAX_SERVERS: usize = 4_096;

/// The servers that have said that they leave, in a registration or in a response.
///
/// It holds for one start of a server, whatever is registered, listed or removed later.
#[derive(Debug, Default)]
pub struct LeavingServers {
    /// The servers, in the order in which their leaving became known.
    processes: IndexSet<ServerProcess>,
}

impl LeavingServers {
    /// Adds a server; returns false if it was known to leave.
    pub fn insert(&mut self, process: ServerProcess) -> bool {
        let is_new = self.processes.insert(process);
        if self.processes.len() > MAX_SERVERS {
            self.processes.shift_remove_index(0);
        }
        is_new
    }

    /// Returns whether a server is known to leave.
    pub fn contains(&self, process: &ServerProcess) -> bool {
        self.processes.contains(process)
    }
}
