//! Which engines read the prompt of a generation and generate its output.

use std::{cmp::Reverse, time::Duration};

use indexmap::IndexMap;
use wagtailarch_types::{Role, Urgency, ZoneName, rendezvous_weight};

#[cfg(doc)]
use crate::PrefillSpeed;
use crate::{EngineState, PrefixLink, ServerEndpoint, backend::Backend};

/// Time of a call to an engine and back, its connection included, whatever the engine's pace.
const CALL_MS: f64 = 3.0;
/// Time from the start of a request at an engine to its first token besides reading, at the assumed pace.
const START_MS: f64 = 12.0;
/// Cost of using an engine in another availability zone, for its latency and the price of bytes.
///
/// This and the costs below stand for the time of an engine of the assumed pace; see [`PrefillSpeed`].
const OTHER_ZONE_MS: f64 = 12.0;
/// Share of the time an engine spends on reading that counts beside the time to the first token.
///
/// It keeps prompts on engines that hold their parts while others are idle.
const WORK_WEIGHT: f64 = 1.5;
/// Cost of reading on an engine whose streams pause for too long by it.
///
/// It counts only where no engine is left that just reads.
const PAUSED_STREAMS_MS: f64 = 150.0;
/// Cost of a millisecond of reading on a decode engine for each stream that it delays there.
///
/// Without it the short prompts alone took half of the decode engines' time on a measured day.
const DELAYED_STREAM_WEIGHT: f64 = 0.15;
/// Cost of a decode engine for each running request, since each slows the others.
const RUNNING_MS: f64 = 1.0;
/// Cost for each rank below the first in the order of engines that a prefix prefers.
const RANK_MS: f64 = 4.0;
/// Engines of a role that are compared for a request, those that its prefix prefers.
///
/// More are compared only if none of these is in time. Every prefix has preferred engines of its own, so
/// that together all are used, a part lives in few memories, and instances whose knowledge is some tens
/// of milliseconds old do not all choose the one engine that was idle then. It also bounds the time to
/// place a request: all 3,800 engines of the design size took 0.75 ms.
const MAX_CANDIDATES: usize = 12;
/// Multiple of the objective up to which a predicted first event is late by little.
///
/// Predictions are wrong by up to as much when prompts arrive together at several instances.
const NEAR_OBJECTIVES: f64 = 2.0;
/// Share of the client's patience after which a first token is useless.
const USEFUL_SHARE: f64 = 0.85;
/// Factor between the predicted time and the time after which a silent engine is given up.
const PATIENCE_FACTOR: u32 = 3;
/// Shortest time after which a silent engine is given up.
///
/// It mostly still works on the prompt, which another engine would have to read anew while prompts
/// queue. Mean worth over the standard days of both small sites: 0.60 at 0.7 s, 0.61 at 1.2 s, 0.64 at
/// 2 s, 0.65 at 4 s; with engines that hang or go dark 0.73 at 0.7 s and 0.75 at 4 s.
const MIN_PATIENCE: Duration = Duration::from_secs(4);
/// Shortest time after which a refused client is asked to return.
const MIN_RETURN: Duration = Duration::from_millis(300);
/// Longest time after which a refused client is asked to return.
const MAX_RETURN: Duration = Duration::from_secs(3);

/// A generation to be placed.
#[derive(Debug, Clone, Copy)]
pub struct GenerationRequest<'a> {
    /// Prefixes of its prompt, the shortest first.
    pub prefixes: &'a [PrefixLink],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Time until the first event is late.
    pub objective_left: Duration,
    /// Time until the client leaves if no event arrives.
    pub client_timeout_left: Duration,
    /// Availability zone of this instance.
    pub zone: &'a ZoneName,
}

/// Where the prompt is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrefillPlan {
    /// The engine that generates reads it too.
    Direct,
    /// Another engine reads it and hands it over.
    Split(ServerEndpoint),
}

/// Engines for a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct GenerationPlan {
    /// Where the prompt is read.
    pub prefill: PrefillPlan,
    /// Engine that generates.
    pub decode: ServerEndpoint,
    /// Whether the first event is expected in time.
    pub urgency: Urgency,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Predicted time for which the prompt waits before it is read.
    pub prefill_wait: Duration,
    /// Predicted time for which it is read.
    pub prefill_time: Duration,
    /// Tokens that are expected to be read; the engine holds the others.
    pub new_tokens: u32,
}

impl GenerationPlan {
    /// Returns the time after which an engine that has sent nothing is given up for another one.
    ///
    /// `client_timeout_left` is the time until the client leaves if no event arrives.
    pub fn attempt_timeout(&self, client_timeout_left: Duration) -> Duration {
        let expected = self.first_event * PATIENCE_FACTOR;
        expected.max(MIN_PATIENCE).min(client_timeout_left)
    }
}

/// What becomes of a generation.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// It is sent to engines.
    Use(GenerationPlan),
    /// No engine can produce its first event while the client waits.
    Refuse {
        /// Predicted time to the first event.
        first_event: Duration,
        /// Time after which the client may return.
        retry_after: Duration,
    },
    /// No engine may be used.
    NoEngine,
}

/// Chooses the engine that generates from a prompt that an engine in `reader_zone` has read.
pub(crate) fn place_decode<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    reader_zone: &ZoneName,
    engines: impl Iterator<Item = &'a Backend>,
) -> Option<ServerEndpoint> {
    let engines: Vec<_> = engines.collect();
    let best = |limit| best_generator(now, request, reader_zone, &engines, limit);
    best(MAX_CANDIDATES).or_else(|| best(engines.len()))
}

/// Chooses among the `limit` engines that the prompt prefers the one that generates.
fn best_generator(
    now: Duration,
    request: &GenerationRequest<'_>,
    reader_zone: &ZoneName,
    engines: &[&Backend],
    limit: usize,
) -> Option<ServerEndpoint> {
    let key = affinity_key(request.prefixes);
    let generators = ranked(engines, key, limit, |role| role != Role::Prefill);
    let costs = generators.iter().filter_map(|(generator, rank)| {
        let state = generator.engine.as_ref()?;
        let wait_ms = ms(state.queue.wait(now, Urgency::OnTime));
        let cost_ms = wait_ms * WORK_WEIGHT
            + zone_cost(reader_zone, &generator.server.zone) * state.pace
            + generate_cost(now, request, generator, *rank)?;
        Some((cost_ms, generator))
    });
    let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, generator)| generator.server.endpoint())
}

/// Returns the cost of generating on an engine in milliseconds; `None` if it has no free slot.
fn generate_cost(
    now: Duration,
    request: &GenerationRequest<'_>,
    generator: &Backend,
    rank: usize,
) -> Option<f64> {
    let state = generator.engine.as_ref()?;
    let running = state.running(now);
    if running >= state.traits.slots {
        return None;
    }
    let cost_ms = f64::from(running) * RUNNING_MS
        + rank as f64 * RANK_MS
        + zone_cost(&generator.server.zone, request.zone)
        + generator.failure_cost(now);
    Some(cost_ms * state.pace)
}

/// A possibility with its predicted time and its cost, both in milliseconds.
struct Candidate<'a> {
    reader: Option<&'a Backend>,
    generator: &'a Backend,
    read_wait_ms: f64,
    read_ms: f64,
    new_tokens: u32,
    first_ms: f64,
    cost_ms: f64,
    /// Whether streams of the engine that reads pause for too long.
    pauses_streams: bool,
}

/// Places a generation on engines of `engines`; those that may not be used are left out before.
pub(crate) fn place<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: impl Iterator<Item = &'a Backend>,
) -> Placement {
    let engines: Vec<_> = engines.collect();
    let preferred = place_among(now, request, &engines, MAX_CANDIDATES);
    match &preferred {
        Placement::Use(plan) if plan.urgency == Urgency::OnTime => preferred,
        _ if engines.len() <= MAX_CANDIDATES => preferred,
        _ => place_among(now, request, &engines, engines.len()),
    }
}

/// Places a generation on one of the `limit` engines of each role that its prompt prefers.
fn place_among(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: &[&Backend],
    limit: usize,
) -> Placement {
    for urgency in [Urgency::OnTime, Urgency::Near, Urgency::Late] {
        let options = options(now, request, engines, limit, urgency);
        if options.is_empty() {
            return Placement::NoEngine;
        }
        let limit_ms = match urgency {
            Urgency::OnTime => ms(request.objective_left),
            Urgency::Near => ms(request.objective_left) * NEAR_OBJECTIVES,
            Urgency::Late => ms(request.client_timeout_left) * USEFUL_SHARE,
        };
        let fitting = options.iter().filter(|option| option.first_ms <= limit_ms);
        if let Some(best) = fitting.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms)) {
            return Placement::Use(best.plan(urgency));
        }
        if urgency == Urgency::Late {
            let first_ms = options.iter().map(|option| option.first_ms);
            let first_ms = first_ms.fold(f64::INFINITY, f64::min);
            return Placement::Refuse {
                first_event: from_ms(first_ms),
                retry_after: from_ms(first_ms - limit_ms).clamp(MIN_RETURN, MAX_RETURN),
            };
        }
    }
    Placement::NoEngine
}

impl Candidate<'_> {
    fn plan(&self, urgency: Urgency) -> GenerationPlan {
        let prefill = match self.reader {
            Some(reader) => PrefillPlan::Split(reader.server.endpoint()),
            None => PrefillPlan::Direct,
        };
        GenerationPlan {
            prefill,
            decode: self.generator.server.endpoint(),
            urgency,
            first_event: from_ms(self.first_ms),
            prefill_wait: from_ms(self.read_wait_ms),
            prefill_time: from_ms(self.read_ms),
            new_tokens: self.new_tokens,
        }
    }
}

/// Lists the ways to serve a generation that can be the best.
///
/// The cost of a split is a sum over its reader, its generator and their zones, so that only the best
/// generator of each zone needs to be tried with each reader.
///
/// At a peak of long prompts no stream is paused for another prompt as long as engines that only read
/// are left: every event of all streams of the engine would be late, and each would hold its slot for
/// as much longer.
fn options<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    engines: &[&'a Backend],
    limit: usize,
    urgency: Urgency,
) -> Vec<Candidate<'a>> {
    let key = affinity_key(request.prefixes);
    let mut options = Vec::new();
    let mut best: IndexMap<&ZoneName, (&Backend, f64)> = IndexMap::new();
    for (generator, rank) in ranked(engines, key, limit, |role| role != Role::Prefill) {
        let Some(state) = &generator.engine else {
            continue;
        };
        let Some(generate_ms) = generate_cost(now, request, generator, rank) else {
            continue;
        };
        options.push(direct(now, request, generator, state, urgency, generate_ms));
        let wait_ms = ms(state.prefill_wait(now, urgency));
        let cost_ms = generate_ms + wait_ms * WORK_WEIGHT;
        let zone = &generator.server.zone;
        if best.get(zone).is_none_or(|(_, known)| cost_ms < *known) {
            best.insert(zone, (generator, cost_ms));
        }
    }
    for (reader, rank) in ranked(engines, key, limit, |role| role == Role::Prefill) {
        let Some(state) = &reader.engine else {
            continue;
        };
        let read_wait_ms = ms(state.prefill_wait(now, urgency));
        let read_ms = ms(state.prefill_time(request.prefixes, request.prompt_tokens));
        let new_tokens = state.new_tokens(request.prefixes, request.prompt_tokens);
        let preference_ms = rank as f64 * RANK_MS
            + zone_cost(&reader.server.zone, request.zone)
            + reader.failure_cost(now);
        let reader_ms = read_ms * WORK_WEIGHT + preference_ms * state.pace;
        for (zone, (generator, generator_ms)) in &best {
            let same_zone = reader.server.zone == **zone;
            let first_ms = read_wait_ms
                + read_ms
                + transfer_ms(state, request.prompt_tokens, same_zone)
                + 2.0 * call_ms(state);
            let apart_ms = zone_cost(&reader.server.zone, zone) * state.pace;
            options.push(Candidate {
                reader: Some(reader),
                generator,
                read_wait_ms,
                read_ms,
                new_tokens,
                first_ms,
                cost_ms: first_ms + reader_ms + generator_ms + apart_ms,
                pauses_streams: false,
            });
        }
    }
    if options.iter().any(|option| option.reader.is_some()) {
        options.retain(|option| !option.pauses_streams);
    }
    options
}

/// Returns the way in which the generating engine reads the prompt itself.
fn direct<'a>(
    now: Duration,
    request: &GenerationRequest<'_>,
    generator: &'a Backend,
    state: &EngineState,
    urgency: Urgency,
    generate_ms: f64,
) -> Candidate<'a> {
    let running = state.running(now);
    let read_wait_ms = ms(state.prefill_wait(now, urgency));
    let prefill_time = state.prefill_time(request.prefixes, request.prompt_tokens);
    let read_ms = ms(prefill_time);
    let first_ms = read_wait_ms + read_ms + call_ms(state);
    let pauses_streams = state.pauses_streams(now, prefill_time);
    let pause_ms = if pauses_streams {
        PAUSED_STREAMS_MS
    } else {
        0.0
    };
    Candidate {
        reader: None,
        generator,
        read_wait_ms,
        read_ms,
        new_tokens: state.new_tokens(request.prefixes, request.prompt_tokens),
        first_ms,
        cost_ms: first_ms
            + read_ms * WORK_WEIGHT
            + generate_ms
            + read_ms * f64::from(running) * DELAYED_STREAM_WEIGHT
            + pause_ms,
        pauses_streams,
    }
}

/// Returns the key by which engines are preferred: the longest prefix that others may share.
fn affinity_key(prefixes: &[PrefixLink]) -> u64 {
    let shared = prefixes.len().saturating_sub(2);
    prefixes.get(shared).map_or(0, |link| link.hash)
}

/// Returns the first `limit` engines of some roles in the order of preference that all instances agree
/// on, with their ranks.
fn ranked<'a>(
    engines: &[&'a Backend],
    key: u64,
    limit: usize,
    wanted: impl Fn(Role) -> bool,
) -> Vec<(&'a Backend, usize)> {
    let mut found: Vec<_> = engines
        .iter()
        .filter(|backend| backend.engine.as_ref().is_some_and(|e| wanted(e.role)))
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

/// Returns the time that the memory of a prompt takes from one engine to another.
fn transfer_ms(from: &EngineState, tokens: u32, same_zone: bool) -> f64 {
    let bits = f64::from(tokens) * from.traits.kv_token_bytes as f64 * 8.0;
    let bits_per_ms = (from.traits.link_mbps * 1_000.0).max(1.0);
    let factor = if same_zone { 1.0 } else { 2.0 };
    bits / bits_per_ms * factor
}

/// Returns the time of a call to an engine that reads or generates, besides waiting and reading.
fn call_ms(state: &EngineState) -> f64 {
    CALL_MS + START_MS * state.pace
}

fn zone_cost(zone: &ZoneName, own: &ZoneName) -> f64 {
    if zone == own { 0.0 } else { OTHER_ZONE_MS }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(MAX_RETURN)
}
