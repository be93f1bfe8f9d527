//! The local view of one engine.

use std::{collections::HashMap, time::Duration};

use wagtailarch_types::{InstanceId, Role};

use crate::{
    EngineProperties, PrefillNumber, PrefillQueue, PrefillSample, PrefixCache, PrefixLink, Urgency,
};

/// Prompt tokens per millisecond that a reference prefill engine prefills.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Additional prefill time for the attention of one million pairs of a new token and a preceding
/// token.
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.37;
/// Ratio of the prefill time on a decode engine to the one on a prefill engine.
const DECODE_ENGINE_PREFILL_FACTOR: f64 = 2.0;
/// Time that the scheduling steps of an engine add to each prefill.
const STEP_OVERHEAD_MS: f64 = 6.0;
/// Weight of one sample in the learned slowdown of an engine.
const SAMPLE_WEIGHT: f64 = 0.08;
/// Bounds of one sample, which may include the wait for prompts that were not reported to this
/// instance.
const SAMPLE_RANGE: (f64, f64) = (0.5, 3.0);
/// Bounds of the learned slowdown, so that outliers do not exclude an engine.
const SLOWDOWN_RANGE: (f64, f64) = (0.7, 4.0);
/// Shortest reference prefill time that yields a sample; for shorter prompts, the network takes too
/// large a part of the measured time.
const MIN_SAMPLED_TIME: Duration = Duration::from_millis(25);
/// Time of a call that is not prefill: connection setup and the round trip.
const CALL_OVERHEAD: Duration = Duration::from_millis(3);
/// Lower bound of the measured prefill time.
const MIN_PREFILL_TIME: Duration = Duration::from_micros(500);
/// Share of the gap between two events of a stream that prefill on the same engine may take.
///
/// The rest is left for decoding the tokens of the event.
const PREFILL_SHARE_OF_GAP: f64 = 0.35;
/// Gap objective of a service whose routes state none.
const DEFAULT_GAP_OBJECTIVE: Duration = Duration::from_millis(200);
/// Time after which the running requests that a peer reported expire.
const PEER_RUNNING_TTL: Duration = Duration::from_secs(2);

/// The local view of one engine: its queue, prefix cache, speed and running requests.
#[derive(Debug)]
pub struct EngineState {
    /// Role in the registration of the engine.
    pub role: Role,
    /// Properties of the service.
    pub properties: EngineProperties,
    /// Shortest gap objective among the routes of the service.
    pub gap_objective: Duration,
    /// Prompts that wait for their prefill or are being prefilled.
    pub queue: PrefillQueue,
    /// Prefixes that the engine is expected to have cached.
    pub cache: PrefixCache,
    /// Prefill time of the service's engines relative to the reference engine; see
    /// [`PrefillSpeed`](crate::PrefillSpeed).
    pub service_slowdown: f64,
    /// Prefill time of this engine relative to the other engines of its service.
    engine_slowdown: f64,
    /// Requests of this instance that the engine decodes.
    own_running: u32,
    /// Requests of each peer that the engine decodes, with the time of the report.
    peers_running: HashMap<InstanceId, (u32, Duration)>,
}

impl EngineState {
    /// Creates the state of an engine without any load, cached prefixes or measurements.
    pub fn new(role: Role, properties: EngineProperties) -> Self {
        Self {
            role,
            gap_objective: DEFAULT_GAP_OBJECTIVE,
            queue: PrefillQueue::default(),
            cache: PrefixCache::new(properties.kv_capacity_tokens),
            properties,
            service_slowdown: 1.0,
            engine_slowdown: 1.0,
            own_running: 0,
            peers_running: HashMap::new(),
        }
    }

    /// Returns the predicted prefill time of a prompt without the tokens that the engine has
    /// cached.
    pub fn prefill_time(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> Duration {
        let cached = self.cache.cached_tokens(prefixes).min(prompt_tokens);
        let new_tokens = f64::from(prompt_tokens - cached);
        let pairs = new_tokens * (f64::from(cached) + new_tokens / 2.0);
        let mut ms =
            new_tokens / PREFILL_TOKENS_PER_MS + pairs / 1e6 * ATTENTION_MS_PER_MILLION_PAIRS;
        if self.role != Role::Prefill {
            ms *= DECODE_ENGINE_PREFILL_FACTOR;
        }
        ms += STEP_OVERHEAD_MS;
        Duration::from_secs_f64(ms * self.slowdown() / 1_000.0)
    }

    /// Returns the number of tokens of a prompt that the engine does not have cached.
    pub fn new_tokens(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> u32 {
        prompt_tokens.saturating_sub(self.cache.cached_tokens(prefixes))
    }

    /// Returns whether a prefill that takes `prefill_time` would stall the running streams of the
    /// engine beyond their gap objective.
    ///
    /// An engine prefills a chunk between two decode steps, regardless of the urgency of the
    /// prompt. All queued prefills therefore delay the next event of each stream.
    pub fn stalls_streams(&self, now: Duration, prefill_time: Duration) -> bool {
        let queued_prefill = self.queue.wait(now, Urgency::Late) + prefill_time;
        self.running(now) > 0 && queued_prefill > self.gap_objective.mul_f64(PREFILL_SHARE_OF_GAP)
    }

    /// Adds a prompt of `sender` to the queue and returns its predicted prefill time here and on the
    /// reference engine.
    pub fn start_prefill(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> (Duration, Duration) {
        let work = self.prefill_time(prefixes, prompt_tokens);
        self.cache.insert(prefixes);
        self.queue.add(now, sender, number, urgency, work);
        (work, work.div_f64(self.slowdown()))
    }

    /// Removes a finished or abandoned prompt of `sender` from the queue; `reference_time` is its
    /// prefill time on the reference engine.
    ///
    /// Returns its measured time if the prompt is `completed` and long enough. If other prompts were
    /// queued, or arrived earlier than a late one was its turn, that time includes the wait for them.
    pub fn finish_prefill(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        reference_time: Duration,
        completed: bool,
    ) -> Option<PrefillSample> {
        let prompt = self.queue.remove(now, sender, number)?;
        if !completed || reference_time < MIN_SAMPLED_TIME {
            return None;
        }
        let took = now
            .saturating_sub(prompt.added_at)
            .saturating_sub(CALL_OVERHEAD);
        let ratio = took.max(MIN_PREFILL_TIME).as_secs_f64() / reference_time.as_secs_f64();
        if !prompt.queue_was_empty || prompt.urgency == Urgency::Late {
            return Some(PrefillSample::AtMost(ratio));
        }
        let deviation = ratio / self.slowdown();
        let sample = self.engine_slowdown * deviation.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let smoothed = self.engine_slowdown * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
        self.engine_slowdown = smoothed.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        Some(PrefillSample::Exact(ratio))
    }

    /// Predicts how long a new prompt waits for its prefill.
    ///
    /// A late prompt also waits for the prompts on time that arrive after it. At a peak its turn
    /// never comes before its client disconnects, so that it has to be refused immediately.
    pub fn prefill_wait(&self, now: Duration, urgency: Urgency) -> Duration {
        let wait = self.queue.wait(now, urgency);
        match urgency {
            Urgency::OnTime | Urgency::Near => wait,
            Urgency::Late => wait.div_f64(1.0 - self.queue.urgent_utilization(now)),
        }
    }

    /// Returns the prefill time of this engine relative to the reference engine.
    fn slowdown(&self) -> f64 {
        self.service_slowdown * self.engine_slowdown
    }

    /// Adds `delta` to the number of requests of this instance that the engine decodes.
    pub fn add_running(&mut self, delta: i32) {
        self.own_running = self.own_running.saturating_add_signed(delta);
    }

    /// Returns the number of requests of this instance that the engine decodes.
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Records how many requests of a peer the engine decodes.
    pub fn set_peer_running(&mut self, now: Duration, peer: &InstanceId, running: u32) {
        if running == 0 {
            self.peers_running.remove(peer);
            return;
        }
        self.peers_running.insert(peer.clone(), (running, now));
    }

    /// Returns the number of requests of all instances that the engine decodes.
    pub fn running(&self, now: Duration) -> u32 {
        let fresh = |reported_at: Duration| now.saturating_sub(reported_at) < PEER_RUNNING_TTL;
        let peers = self.peers_running.values();
        let from_peers: u32 = peers
            .filter(|(_, reported_at)| fresh(*reported_at))
            .map(|(n, _)| n)
            .sum();
        self.own_running + from_peers
    }
}
