//! The figures of the servers that are compared for a request, without selecting one.

use std::time::Duration;

use wagtailarch_types::{ServiceName, ZoneName};
use wagtailarch_wire::{
    explanation::{Exclusion, Figures, WeighedChoice},
    permit::PermitRank,
};

use super::{LoadBalancer, plain_cost};
use crate::{GenerationRequest, placing::placement, servers::backend::Backend};

impl LoadBalancer {
    /// Returns the plain servers of a service with the figures by which they are compared: those that
    /// can be selected first, each group by its cost.
    pub fn weigh_servers(
        &self,
        now: Duration,
        service: &ServiceName,
        zone: &ZoneName,
        rank: PermitRank,
    ) -> Vec<WeighedChoice> {
        let usual_s = self.usual_s(service);
        let of_service = self.backends.values();
        let of_service = of_service.filter(|backend| backend.server.service == *service);
        let mut weighed: Vec<_> = of_service
            .map(|backend| {
                let cost = plain_cost(now, backend, zone, usual_s);
                let choice = WeighedChoice {
                    server: backend.server.id.clone(),
                    zone: backend.server.zone.clone(),
                    in_flight: backend.in_flight,
                    failure_rate: backend.health.failure_rate(now),
                    excluded_by: self.exclusion(now, backend, rank),
                    figures: Figures::Plain {
                        reported_load: backend.reported_load,
                        cost,
                    },
                };
                (cost, choice)
            })
            .collect();
        weighed.sort_by(|(a_cost, a), (b_cost, b)| {
            let excluded = a.excluded_by.is_some().cmp(&b.excluded_by.is_some());
            excluded.then_with(|| a_cost.total_cmp(b_cost))
        });
        weighed.into_iter().map(|(_, choice)| choice).collect()
    }

    /// Returns the engines that are compared for a generation, the cheapest first; engines that
    /// cannot be selected are left out.
    pub fn weigh_engines(
        &self,
        now: Duration,
        service: &ServiceName,
        request: &GenerationRequest<'_>,
    ) -> Vec<WeighedChoice> {
        let usable = self.usable(now, service, request.rank, &[]);
        placement::weigh(
            now,
            request,
            usable.filter(|backend| request.accepts(backend)),
        )
    }

    fn exclusion(&self, now: Duration, backend: &Backend, rank: PermitRank) -> Option<Exclusion> {
        if !backend.health.is_available(now) {
            return Some(Exclusion::Backoff);
        }
        if backend.at_connection_limit(self.instances) {
            return Some(Exclusion::ConnectionLimit);
        }
        let may_have_permit = backend.may_have_permit(now, rank, &self.limit_members);
        (!may_have_permit).then_some(Exclusion::RateLimit)
    }
}
