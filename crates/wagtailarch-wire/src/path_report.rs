//! What an instance says about its paths to the backend servers, in its load notes.

use serde::{Deserialize, Serialize};

/// Maximum number of services named in a report; an instance with more says that all are lost.
///
/// A report then has at most 86 bytes, and 4 while no path is lost.
const MAX_LISTED: usize = 16;

/// What an instance says about its paths to the backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathReport {
    /// Services to whose servers the instance has no path.
    pub lost: LostPaths,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Number of requests of other instances that it serves.
    pub served_for_peers: u16,
}

/// Services to whose servers an instance has no path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LostPaths {
    /// Hashes of these services.
    Listed(Vec<u32>),
    /// More services than a report names.
    All,
}

impl Default for LostPaths {
    fn default() -> Self {
        Self::Listed(Vec::new())
    }
}

impl FromIterator<u32> for LostPaths {
    fn from_iter<T: IntoIterator<Item = u32>>(services: T) -> Self {
        let listed: Vec<_> = services.into_iter().take(MAX_LISTED + 1).collect();
        match listed.len() > MAX_LISTED {
            true => Self::All,
            false => Self::Listed(listed),
        }
    }
}

impl LostPaths {
    /// Returns whether the path to a service is lost.
    pub fn contains(&self, service: u32) -> bool {
        match self {
            Self::Listed(services) => services.contains(&service),
            Self::All => true,
        }
    }
}

impl PathReport {
    /// Returns an upper estimate of the encoded size.
    pub fn estimated_bytes(&self) -> usize {
        match &self.lost {
            LostPaths::Listed(services) => 6 + services.len() * 5,
            LostPaths::All => 5,
        }
    }
}
