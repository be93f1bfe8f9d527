//! The figures of the engines that are compared for a generation.

use std::time::Duration;

use wagtailarch_types::Urgency;
use wagtailarch_wire::explanation::{Figures, WeighedChoice};

use super::{
    Candidate, GenerationRequest, MAX_CANDIDATES, Placement, by_version, candidates, place_among,
    without_stalls,
};
use crate::servers::backend::Backend;

/// Returns the engines that [`super::place`] compares for a request, the cheapest first.
pub(crate) fn weigh<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: impl Iterator<Item = &'a Backend>,
) -> Vec<WeighedChoice> {
    let versions = by_version(engines);
    let most = versions.iter().map(Vec::len).max().unwrap_or(0);
    let urgency = |limit| match place_among(now, request, &versions, limit) {
        Placement::Use(plan) => plan.urgency,
        Placement::Refuse { .. } | Placement::NoEngine => Urgency::Late,
    };
    let (limit, urgency) = match urgency(MAX_CANDIDATES) {
        Urgency::OnTime => (MAX_CANDIDATES, Urgency::OnTime),
        Urgency::Near | Urgency::Late => (most.max(MAX_CANDIDATES), urgency(most)),
    };
    let engines = versions.iter();
    let compared = engines.flat_map(|engines| candidates(now, request, engines, limit, urgency));
    let mut compared = without_stalls(compared.collect());
    compared.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let compared = compared.iter();
    compared.map(|candidate| candidate.weighed(now)).collect()
}

impl Candidate<'_> {
    fn weighed(&self, now: Duration) -> WeighedChoice {
        let decode_engine = self.decode_engine;
        let state = decode_engine.engine.as_ref();
        WeighedChoice {
            server: decode_engine.server.id.clone(),
            zone: decode_engine.server.zone.clone(),
            in_flight: decode_engine.in_flight,
            failure_rate: decode_engine.health.failure_rate(now),
            excluded_by: None,
            figures: Figures::Engines {
                prefill_engine: self.prefill_engine.map(|engine| engine.server.id.clone()),
                prefill_wait_ms: self.prefill_wait_ms,
                prefill_ms: self.prefill_ms,
                new_tokens: self.new_tokens,
                first_event_ms: self.first_event_ms,
                running: state.map_or(0, |state| state.running(now)),
                stalls_streams: self.stalls_streams,
                cost_ms: self.cost_ms,
            },
        }
    }
}
