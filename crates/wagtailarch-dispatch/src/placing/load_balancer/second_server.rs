//! Selection of the server for a second call.

use std::time::Duration;

use wagtailarch_types::{InstanceId, ServiceName, ZoneName};
use wagtailarch_wire::permit::PermitRank;

use super::LoadBalancer;
use crate::{ServerEndpoint, servers::backend::Backend};

/// Load in requests per slot from which a server has no room for a second call: all slots are taken.
const FULL_LOAD: f64 = 1.0;

impl LoadBalancer {
    /// Selects a plain server of a service that has room for a second call and is not in `excluded`.
    pub fn select_second_server(
        &self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        rank: PermitRank,
        excluded: &[InstanceId],
    ) -> Option<ServerEndpoint> {
        let usable = self.usable(now, service, rank, excluded);
        let with_room = usable.filter(|backend| load_per_slot(backend) < FULL_LOAD);
        self.cheapest(now, service, zone, with_room)
    }

    /// Returns the share of the slots of a service's available servers that are taken; 1 without
    /// servers.
    ///
    /// What waits at one server takes no room at the others.
    pub fn service_load(&self, now: Duration, service: &ServiceName) -> f64 {
        let (mut taken, mut slots) = (0.0, 0.0);
        for backend in self.available(now, service, &[]) {
            let own_slots = f64::from(backend.server.slots.max(1));
            let own_load = match backend.at_connection_limit(self.instances) {
                true => FULL_LOAD,
                false => load_per_slot(backend).min(FULL_LOAD),
            };
            taken += own_load * own_slots;
            slots += own_slots;
        }
        if slots == 0.0 {
            return FULL_LOAD;
        }
        taken / slots
    }

    /// Returns the servers of a service that are not in backoff.
    pub fn available_servers(
        &self,
        now: Duration,
        service: &ServiceName,
    ) -> impl Iterator<Item = &InstanceId> {
        let available = self.available(now, service, &[]);
        available.map(|backend| &backend.server.id)
    }
}

/// Returns the greater of the load from this instance and the one that the server reported last.
fn load_per_slot(backend: &Backend) -> f64 {
    let slots = f64::from(backend.server.slots.max(1));
    (f64::from(backend.in_flight) / slots).max(backend.reported_load)
}
