//! Placement of generations: the selection of the engines that prefill the prompt and decode the
//! output.

mod weighing;

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{Role, Urgency, VersionKey, ZoneName, rendezvous_weight};
use wagtailarch_wire::permit::PermitRank;

#[cfg(doc)]
use crate::PrefillSpeed;
use crate::{EngineState, PrefixLink, ServerEndpoint, servers::backend::Backend};

pub(crate) use weighing::weigh;

/// Overhead of one call to an engine: connection setup and the round trip. It does not scale with
/// the speed of the engine.
const CALL_OVERHEAD_MS: f64 = 3.0;
/// Time to the first token that is not prefill, on a reference engine.
const FIRST_TOKEN_OVERHEAD_MS: f64 = 12.0;
/// Cost of an engine in another availability zone: the added latency and the price of the traffic.
///
/// This cost and those below are in milliseconds of a reference engine and scale with the slowdown
/// of the service; see [`PrefillSpeed`].
const OTHER_ZONE_MS: f64 = 12.0;
/// Weight of the prefill time, which is counted in addition to the time to the first event.
///
/// It keeps prompts on the engines that have their prefixes cached, even if other engines are idle.
const PREFILL_TIME_WEIGHT: f64 = 1.5;
/// Cost of a prefill that stalls the streams of its engine beyond their gap objective.
///
/// It applies only if no prefill engine is available.
const STALLED_STREAMS_MS: f64 = 150.0;
/// Cost per millisecond of prefill on a decode engine for each stream that it delays.
///
/// Without this cost, the prefill of short prompts alone took half of the time of the decode
/// engines.
const DELAYED_STREAM_WEIGHT: f64 = 0.15;
/// Cost of a decode engine for each request that runs on it, since requests slow each other down.
const RUNNING_REQUEST_MS: f64 = 1.0;
/// The same for a request that may crash the engine and so break the others off.
const ISOLATED_RUNNING_REQUEST_MS: f64 = 50.0;
/// Cost for each position of an engine below the first in the preference order of the prompt's
/// prefix.
const AFFINITY_RANK_MS: f64 = 4.0;
/// Number of engines of a role that are compared for a request: the ones that its prefix prefers.
///
/// All engines are compared only if none of these can meet the objective. Each prefix prefers
/// different engines, so that all engines are used and each prefix is cached on few of them.
/// Instances whose view of the load is some tens of milliseconds old therefore do not all select
/// the same idle engine. The limit also bounds the time to place a request: comparing 3,800 engines
/// takes 0.75 ms.
const MAX_CANDIDATES: usize = 12;
/// Multiple of the objective up to which a generation counts as nearly on time.
///
/// Predictions are wrong by up to this factor when prompts arrive at several instances at the same
/// time.
const NEAR_OBJECTIVE_FACTOR: f64 = 2.0;
/// Share of the remaining client timeout after which a first event is useless.
const USABLE_TIMEOUT_SHARE: f64 = 0.85;
/// Ratio of the attempt timeout to the predicted time to the first event.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 3;
/// Shortest attempt timeout.
///
/// An engine that has not responded is mostly still working on the prompt, and another engine would
/// repeat the prefill while other prompts are queued.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
/// Shortest time after which a refused client may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time after which a refused client may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// A generation to be placed on engines.
#[derive(Debug, Clone, Copy)]
pub struct GenerationRequest<'a> {
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: &'a [PrefixLink],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Time left until the first event is late.
    pub objective_left: Duration,
    /// Time left until the client disconnects if it has received no event.
    pub client_timeout_left: Duration,
    /// Availability zone of this instance.
    pub zone: &'a ZoneName,
    /// Rank among the requests to rate-limited engines.
    pub rank: PermitRank,
    /// Whether the request is to run beside few others, since it may crash its engine.
    pub isolated: bool,
    /// Software version that the engines must have; absent for a stream without events.
    pub version: Option<VersionKey>,
}

impl GenerationRequest<'_> {
    /// Returns whether an engine has the required software version.
    pub(crate) fn accepts(&self, engine: &Backend) -> bool {
        self.version
            .is_none_or(|version| version == engine.version_key)
    }
}

/// Engine that prefills the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrefillPlan {
    /// The decode engine prefills the prompt itself.
    Direct,
    /// A separate engine prefills the prompt and transfers its KV cache to the decode engine.
    Split(Box<ServerEndpoint>),
}

/// The engines of a generation and the predictions for it.
#[derive(Debug, Clone, PartialEq)]
pub struct GenerationPlan {
    /// Engine that prefills the prompt.
    pub prefill: PrefillPlan,
    /// Engine that decodes the output.
    pub decode: ServerEndpoint,
    /// Whether the first event is expected within the objective.
    pub urgency: Urgency,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted time that the prompt waits before its prefill.
    pub prefill_wait: Duration,
    /// Predicted duration of the prefill.
    pub prefill_time: Duration,
    /// Predicted number of tokens to prefill; the other tokens are in the prefix cache of the
    /// engine.
    pub new_tokens: u32,
}

impl GenerationPlan {
    /// Returns the time after which an attempt without any response is abandoned and another engine
    /// is tried.
    ///
    /// `client_timeout_left` is the time until the client disconnects if it has received no event.
    pub fn attempt_timeout(&self, client_timeout_left: Duration) -> Duration {
        let expected = self.first_event * ATTEMPT_TIMEOUT_FACTOR;
        expected.max(MIN_ATTEMPT_TIMEOUT).min(client_timeout_left)
    }

    /// Returns whether the first event would be in time on engines with the speed of the reference
    /// engine, relative to which the prefill time was predicted with `slowdown`.
    pub(crate) fn is_in_time_at_reference_speed(
        &self,
        slowdown: f64,
        client_timeout_left: Duration,
    ) -> bool {
        let reference_time = self.prefill_time.div_f64(slowdown);
        let excess = self.prefill_time.saturating_sub(reference_time);
        self.first_event.saturating_sub(excess) <= client_timeout_left.mul_f64(USABLE_TIMEOUT_SHARE)
    }
}

/// The outcome of placing a generation.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// The generation is sent to these engines.
    Use(GenerationPlan),
    /// No engine can produce the first event before the client disconnects.
    Refuse {
        /// Predicted time to the first event.
        first_event: Duration,
        /// Time after which the client may retry.
        retry_after: Duration,
    },
    /// No engine is available.
    NoEngine,
}

/// Selects the decode engine for a prompt that was prefilled by an engine in `prefill_zone`.
pub(crate) fn place_decode<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    prefill_zone: &ZoneName,
    engines: impl Iterator<Item = &'a Backend>,
) -> Option<ServerEndpoint> {
    let engines: Vec<_> = engines.collect();
    let best = |limit| best_decode_engine(now, request, prefill_zone, &engines, limit);
    best(MAX_CANDIDATES).or_else(|| best(engines.len()))
}

/// Selects the decode engine with the lowest cost among the `limit` engines that the prompt
/// prefers.
fn best_decode_engine(
    now: Duration,
    request: &GenerationRequest<'_>,
    prefill_zone: &ZoneName,
    engines: &[&Backend],
    limit: usize,
) -> Option<ServerEndpoint> {
    let key = affinity_key(request.prefixes);
    let decode_engines = preferred_engines(engines, key, limit, |role| role != Role::Prefill);
    let costs = decode_engines.iter().filter_map(|(decode_engine, rank)| {
        let state = decode_engine.engine.as_ref()?;
        let wait_ms = ms(state.queue.wait(now, Urgency::OnTime));
        let cost_ms = wait_ms * PREFILL_TIME_WEIGHT
            + zone_cost_ms(prefill_zone, &decode_engine.server.zone) * state.service_slowdown
            + decode_cost(now, request, decode_engine, *rank)?;
        Some((cost_ms, decode_engine))
    });
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, decode_engine)| decode_engine.server.endpoint())
}

/// Returns the cost in milliseconds of decoding on an engine; `None` if all its slots are in use.
fn decode_cost(
    now: Duration,
    request: &GenerationRequest<'_>,
    decode_engine: &Backend,
    rank: usize,
) -> Option<f64> {
    let state = decode_engine.engine.as_ref()?;
    let running = state.running(now);
    if running >= state.properties.slots {
        return None;
    }
    let running_ms = match request.isolated {
        true => ISOLATED_RUNNING_REQUEST_MS,
        false => RUNNING_REQUEST_MS,
    };
    let cost_ms = f64::from(running) * running_ms
        + rank as f64 * AFFINITY_RANK_MS
        + zone_cost_ms(&decode_engine.server.zone, request.zone)
        + decode_engine.failure_cost(now);
    Some(cost_ms * state.service_slowdown)
}

/// A combination of engines with its predicted times and its cost in milliseconds.
struct Candidate<'a> {
    prefill_engine: Option<&'a Backend>,
    decode_engine: &'a Backend,
    prefill_wait_ms: f64,
    prefill_ms: f64,
    new_tokens: u32,
    first_event_ms: f64,
    cost_ms: f64,
    /// Whether the prefill stalls streams of its engine beyond their gap objective.
    stalls_streams: bool,
}

/// Places a generation on the given engines, which must all be available.
pub(crate) fn place<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: impl Iterator<Item = &'a Backend>,
) -> Placement {
    let versions = by_version(engines);
    let preferred = place_among(now, request, &versions, MAX_CANDIDATES);
    let most = versions.iter().map(Vec::len).max().unwrap_or(0);
    match &preferred {
        Placement::Use(plan) if plan.urgency == Urgency::OnTime => preferred,
        _ if most <= MAX_CANDIDATES => preferred,
        _ => place_among(now, request, &versions, most),
    }
}

/// Groups engines by their software version.
fn by_version<'a>(engines: impl Iterator<Item = &'a Backend>) -> Vec<Vec<&'a Backend>> {
    let mut versions: IndexMap<VersionKey, Vec<&Backend>> = IndexMap::new();
    for engine in engines {
        versions.entry(engine.version_key).or_default().push(engine);
    }
    versions.into_values().collect()
}

/// Places a generation on the `limit` engines of each software version and role that its prompt
/// prefers.
fn place_among(
    now: Duration,
    request: &GenerationRequest<'_>,
    versions: &[Vec<&Backend>],
    limit: usize,
) -> Placement {
    for urgency in [Urgency::OnTime, Urgency::Near, Urgency::Late] {
        let engines = versions.iter();
        let candidates =
            engines.flat_map(|engines| candidates(now, request, engines, limit, urgency));
        let candidates = without_stalls(candidates.collect());
        if candidates.is_empty() {
            return Placement::NoEngine;
        }
        let limit_ms = match urgency {
            Urgency::OnTime => ms(request.objective_left),
            Urgency::Near => ms(request.objective_left) * NEAR_OBJECTIVE_FACTOR,
            Urgency::Late => ms(request.client_timeout_left) * USABLE_TIMEOUT_SHARE,
        };
        let in_time = candidates
            .iter()
            .filter(|candidate| candidate.first_event_ms <= limit_ms);
        if let Some(best) = in_time.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) {
            return Placement::Use(best.plan(urgency));
        }
        if urgency == Urgency::Late {
            let first_event_ms = candidates.iter().map(|candidate| candidate.first_event_ms);
            let first_event_ms = first_event_ms.fold(f64::INFINITY, f64::min);
            return Placement::Refuse {
                first_event: from_ms(first_event_ms),
                retry_after: from_ms(first_event_ms - limit_ms)
                    .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            };
        }
    }
    Placement::NoEngine
}

impl Candidate<'_> {
    fn plan(&self, urgency: Urgency) -> GenerationPlan {
        let prefill = match self.prefill_engine {
            Some(prefill_engine) => PrefillPlan::Split(Box::new(prefill_engine.server.endpoint())),
            None => PrefillPlan::Direct,
        };
        GenerationPlan {
            prefill,
            decode: self.decode_engine.server.endpoint(),
            urgency,
            first_event: from_ms(self.first_event_ms),
            prefill_wait: from_ms(self.prefill_wait_ms),
            prefill_time: from_ms(self.prefill_ms),
            new_tokens: self.new_tokens,
        }
    }
}

/// Returns every candidate that can be the best one.
///
/// The cost of a split generation is a sum of the costs of its prefill engine, its decode engine
/// and the transfer between their zones. Only the best decode engine of each zone is therefore
/// combined with each prefill engine. All engines have the same software version.
fn candidates<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: &[&'a Backend],
    limit: usize,
    urgency: Urgency,
) -> Vec<Candidate<'a>> {
    let key = affinity_key(request.prefixes);
    let mut candidates = Vec::new();
    let mut best_by_zone: IndexMap<&ZoneName, (&Backend, f64)> = IndexMap::new();
    for (decode_engine, rank) in
        preferred_engines(engines, key, limit, |role| role != Role::Prefill)
    {
        let Some(state) = &decode_engine.engine else {
            continue;
        };
        let Some(decode_cost_ms) = decode_cost(now, request, decode_engine, rank) else {
            continue;
        };
        candidates.push(direct_candidate(
            now,
            request,
            decode_engine,
            state,
            urgency,
            decode_cost_ms,
        ));
        let wait_ms = ms(state.prefill_wait(now, urgency));
        let cost_ms = decode_cost_ms + wait_ms * PREFILL_TIME_WEIGHT;
        let zone = &decode_engine.server.zone;
        if best_by_zone
            .get(zone)
            .is_none_or(|(_, lowest)| cost_ms < *lowest)
        {
            best_by_zone.insert(zone, (decode_engine, cost_ms));
        }
    }
    for (prefill_engine, rank) in
        preferred_engines(engines, key, limit, |role| role == Role::Prefill)
    {
        let Some(state) = &prefill_engine.engine else {
            continue;
        };
        let prefill_wait_ms = ms(state.prefill_wait(now, urgency));
        let prefill_ms = ms(state.prefill_time(request.prefixes, request.prompt_tokens));
        let new_tokens = state.new_tokens(request.prefixes, request.prompt_tokens);
        let preference_ms = rank as f64 * AFFINITY_RANK_MS
            + zone_cost_ms(&prefill_engine.server.zone, request.zone)
            + prefill_engine.failure_cost(now);
        let prefill_cost_ms =
            prefill_ms * PREFILL_TIME_WEIGHT + preference_ms * state.service_slowdown;
        for (zone, (decode_engine, decode_engine_ms)) in &best_by_zone {
            let same_zone = prefill_engine.server.zone == **zone;
            let first_event_ms = prefill_wait_ms
                + prefill_ms
                + transfer_ms(state, request.prompt_tokens, same_zone)
                + 2.0 * call_ms(state);
            let cross_zone_ms =
                zone_cost_ms(&prefill_engine.server.zone, zone) * state.service_slowdown;
            candidates.push(Candidate {
                prefill_engine: Some(prefill_engine),
                decode_engine,
                prefill_wait_ms,
                prefill_ms,
                new_tokens,
                first_event_ms,
                cost_ms: first_event_ms + prefill_cost_ms + decode_engine_ms + cross_zone_ms,
                stalls_streams: false,
            });
        }
    }
    candidates
}

/// Excludes candidates that stall running streams while a prefill engine is available, even at a
/// peak of long prompts: every event of all streams of the engine would be late, and each stream
/// would occupy its slot for longer.
fn without_stalls(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates
        .iter()
        .any(|candidate| candidate.prefill_engine.is_some())
    {
        candidates.retain(|candidate| !candidate.stalls_streams);
    }
    candidates
}

/// Returns the candidate in which the decode engine prefills the prompt itself.
fn direct_candidate<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    decode_engine: &'a Backend,
    state: &EngineState,
    urgency: Urgency,
    decode_cost_ms: f64,
) -> Candidate<'a> {
    let running = state.running(now);
    let prefill_wait_ms = ms(state.prefill_wait(now, urgency));
    let prefill_time = state.prefill_time(request.prefixes, request.prompt_tokens);
    let prefill_ms = ms(prefill_time);
    let first_event_ms = prefill_wait_ms + prefill_ms + call_ms(state);
    let stalls_streams = state.stalls_streams(now, prefill_time);
    let stall_ms = if stalls_streams {
        STALLED_STREAMS_MS
    } else {
        0.0
    };
    Candidate {
        prefill_engine: None,
        decode_engine,
        prefill_wait_ms,
        prefill_ms,
        new_tokens: state.new_tokens(request.prefixes, request.prompt_tokens),
        first_event_ms,
        cost_ms: first_event_ms
            + prefill_ms * PREFILL_TIME_WEIGHT
            + decode_cost_ms
            + prefill_ms * f64::from(running) * DELAYED_STREAM_WEIGHT
            + stall_ms,
        stalls_streams,
    }
}

/// Returns the hash of the longest prefix that other prompts may share, which determines the
/// preference order of the engines.
fn affinity_key(prefixes: &[PrefixLink]) -> u64 {
    let shared = prefixes.len().saturating_sub(2);
    prefixes.get(shared).map_or(0, |link| link.hash)
}

/// Returns the first `limit` engines with an accepted role, each with its position in the
/// preference order of `key`. All instances compute the same order.
fn preferred_engines<'a>(
    engines: &[&'a Backend],
    key: u64,
    limit: usize,
    accepts_role: impl Fn(Role) -> bool,
) -> Vec<(&'a Backend, usize)> {
    let mut found: Vec<_> = engines
        .iter()
        .filter(|backend| {
            backend
                .engine
                .as_ref()
                .is_some_and(|e| accepts_role(e.role))
        })
        .map(|&backend| (rendezvous_weight(key, &backend.server.id), backend))
        .collect();
    if found.len() > limit {
        found.select_nth_unstable_by_key(limit, |(weight, _)| Reverse(*weight));
        found.truncate(limit);
    }
    found.sort_by_key(|(weight, _)| Reverse(*weight));
    let ranked = found.into_iter().enumerate();
    ranked.map(|(rank, (_, backend))| (backend, rank)).collect()
}

/// Returns the time to transfer the KV cache of a prompt between two engines.
fn transfer_ms(from: &EngineState, tokens: u32, same_zone: bool) -> f64 {
    let bits = f64::from(tokens) * from.properties.kv_token_bytes as f64 * 8.0;
    let bits_per_ms = (from.properties.link_mbps * 1_000.0).max(1.0);
    let factor = if same_zone { 1.0 } else { 2.0 };
    bits / bits_per_ms * factor
}

/// Returns the overhead of a call to an engine, without waiting and prefill.
fn call_ms(state: &EngineState) -> f64 {
    CALL_OVERHEAD_MS + FIRST_TOKEN_OVERHEAD_MS * state.service_slowdown
}

fn zone_cost_ms(zone: &ZoneName, own: &ZoneName) -> f64 {
    if zone == own { 0.0 } else { OTHER_ZONE_MS }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(MAX_RETRY_AFTER)
}
