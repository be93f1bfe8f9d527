//! Limits and prices of the servers that may be ordered for a service.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ZoneName;

/// How many servers of a service may be ordered, and at what price.
#[derive(Debug, Clone, PartialEq)]
pub struct ScalingLimits {
    /// Minimum number of servers per availability zone, of both kinds together.
    pub min_servers: u32,
    /// Maximum number of servers per availability zone, of both kinds together; at least
    /// `min_servers`.
    pub max_servers: u32,
    /// Time after which an ordered server starts to serve; above 0.
    pub start_time: Duration,
    /// Price of a server that may be reclaimed, relative to a regular server; absent if such
    /// servers cannot be ordered.
    pub reclaimable_price: Option<f64>,
    /// Price of a server and second by availability zone; each is above 0.
    pub zone_prices: IndexMap<ZoneName, f64>,
}

impl ScalingLimits {
    /// Returns the price of a server and second in a zone; 1 if the configuration states none.
    pub fn zone_price(&self, zone: &ZoneName) -> f64 {
        self.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}
