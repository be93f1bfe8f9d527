//! What is believed of one engine.

use std::{collections::HashMap, time::Duration};

use wagtailarch_types::{InstanceId, Role};

use crate::{EngineProperties, PrefillNumber, PrefillQueue, PrefixCache, PrefixLink, Urgency};

/// Tokens of a prompt that a prefill engine of the assumed pace reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 50.0;
/// Time that reading takes besides, for a million pairs of a new token and one before it.
const READ_MS_PER_MILLION_PAIRS: f64 = 0.37;
/// Factor by which a decode engine reads prompts more slowly than a prefill engine.
const DECODE_READ_SLOWDOWN: f64 = 2.0;
/// Time that the steps of an engine add to each prompt.
const STEP_MS: f64 = 6.0;
/// Weight of one answer in the learned slowness of an engine.
const SPEED_WEIGHT: f64 = 0.08;
/// Bounds of one sample, which may hold the time of prompts that were not told.
const SAMPLE_RANGE: (f64, f64) = (0.5, 3.0);
/// Bounds of the learned slowness; odd answers must not exclude an engine.
const SLOWNESS_RANGE: (f64, f64) = (0.7, 4.0);
/// Shortest time at the assumed pace from which is learned; of shorter prompts the network is too large
/// a part.
const LEARN_FROM: Duration = Duration::from_millis(25);
/// Time of a call that is not spent on reading: its connection and the way to the engine and back.
const CALL_TIME: Duration = Duration::from_millis(3);
/// Shortest time that a prompt counts as having taken.
const MIN_READ_TIME: Duration = Duration::from_micros(500);
/// Share of the pause between two events that reading on the same engine may take.
///
/// The rest is left for the tokens of the event.
const READ_SHARE_OF_GAP: f64 = 0.35;
/// Pause between two events that is on time if no route of the service states one.
const DEFAULT_GAP: Duration = Duration::from_millis(200);
/// Time after which the running requests told by a silent peer are forgotten.
const PEER_RUNNING_TTL: Duration = Duration::from_secs(2);

/// What is believed of one engine: queue, memory, speed and running requests.
#[derive(Debug)]
pub struct EngineState {
    /// Role that the engine registered.
    pub role: Role,
    /// Properties of its service.
    pub traits: EngineProperties,
    /// Longest pause between two events that is on time for all streams of the service.
    pub gap_objective: Duration,
    /// Prompts that wait.
    pub queue: PrefillQueue,
    /// Prefixes that it holds.
    pub cache: PrefixCache,
    /// Pace of the service's engines in relation to the assumed one; see [`PrefillSpeed`](crate::PrefillSpeed).
    pub pace: f64,
    /// Slowness of this engine in relation to the others of its service.
    slowness: f64,
    /// Requests of this instance that generate there.
    own_running: u32,
    /// Requests of peers that generate there, and when that was told.
    peers_running: HashMap<InstanceId, (u32, Duration)>,
}

impl EngineState {
    /// Creates the state of an engine of which nothing is known.
    pub fn new(role: Role, traits: EngineProperties) -> Self {
        Self {
            role,
            gap_objective: DEFAULT_GAP,
            queue: PrefillQueue::default(),
            cache: PrefixCache::new(traits.kv_capacity_tokens),
            traits,
            pace: 1.0,
            slowness: 1.0,
            own_running: 0,
            peers_running: HashMap::new(),
        }
    }

    /// Returns the time that reading a prompt takes, beyond what the engine holds of it.
    pub fn prefill_time(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> Duration {
        let held = self.cache.held_tokens(prefixes).min(prompt_tokens);
        let new = f64::from(prompt_tokens - held);
        let pairs = new * (f64::from(held) + new / 2.0);
        let mut ms = new / READ_TOKENS_PER_MS + pairs / 1e6 * READ_MS_PER_MILLION_PAIRS;
        if self.role != Role::Prefill {
            ms *= DECODE_READ_SLOWDOWN;
        }
        ms += STEP_MS;
        Duration::from_secs_f64(ms * self.factor() / 1_000.0)
    }

    /// Returns the tokens of a prompt that the engine would have to read.
    pub fn new_tokens(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> u32 {
        prompt_tokens.saturating_sub(self.cache.held_tokens(prefixes))
    }

    /// Tells whether running streams pause for too long if a prompt that takes `prefill_time` is read here.
    ///
    /// An engine reads a piece between the tokens of its streams, whatever the rank of the prompt, so
    /// that all that waits there delays the event that each of them produces at the time.
    pub fn pauses_streams(&self, now: Duration, prefill_time: Duration) -> bool {
        let reading = self.queue.wait(now, Urgency::Late) + prefill_time;
        self.running(now) > 0 && reading > self.gap_objective.mul_f64(READ_SHARE_OF_GAP)
    }

    /// Adds a prompt of `sender` and returns the time that reading it takes.
    pub fn start_prefill(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Duration {
        let work = self.prefill_time(prefixes, prompt_tokens);
        self.cache.insert(prefixes);
        self.queue.add(now, sender, number, urgency, work);
        work
    }

    /// Notes that the engine has read a prompt of `sender`; `learn` tells whether its time counts.
    ///
    /// Returns the time that it took in relation to the one at the assumed pace, if nothing else waited
    /// at the engine: otherwise the time tells of the queue, not of the engine.
    pub fn finish_prefill(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        learn: bool,
    ) -> Option<f64> {
        let prompt = self.queue.remove(now, sender, number)?;
        let assumed = prompt.work.div_f64(self.factor());
        if !learn || !prompt.alone || prompt.urgency == Urgency::Late || assumed < LEARN_FROM {
            return None;
        }
        let took = now.saturating_sub(prompt.added).saturating_sub(CALL_TIME);
        let ratio = took.max(MIN_READ_TIME).as_secs_f64() / assumed.as_secs_f64();
        let deviation = ratio / self.factor();
        let sample = self.slowness * deviation.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let mixed = self.slowness * (1.0 - SPEED_WEIGHT) + sample * SPEED_WEIGHT;
        self.slowness = mixed.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        Some(ratio)
    }

    /// Predicts how long a new prompt waits here before it is read.
    ///
    /// A late one also waits for those that are on time and still to come: at a peak it is never read
    /// while its client waits, and has to be refused at once.
    pub fn prefill_wait(&self, now: Duration, urgency: Urgency) -> Duration {
        let wait = self.queue.wait(now, urgency);
        match urgency {
            Urgency::OnTime | Urgency::Near => wait,
            Urgency::Late => wait.div_f64(1.0 - self.queue.urgent_share(now)),
        }
    }

    /// Returns the time that reading takes in relation to the one at the assumed pace.
    fn factor(&self) -> f64 {
        self.pace * self.slowness
    }

    /// Changes the number of requests of this instance that generate on the engine.
    pub fn add_running(&mut self, by: i32) {
        self.own_running = self.own_running.saturating_add_signed(by);
    }

    /// Returns the number of requests of this instance that generate on the engine.
    pub fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Notes how many requests of a peer generate on the engine.
    pub fn set_peer_running(&mut self, now: Duration, peer: &InstanceId, running: u32) {
        if running == 0 {
            self.peers_running.remove(peer);
            return;
        }
        self.peers_running.insert(peer.clone(), (running, now));
    }

    /// Returns the requests of all instances that generate on the engine.
    pub fn running(&self, now: Duration) -> u32 {
        let fresh = |at: Duration| now.saturating_sub(at) < PEER_RUNNING_TTL;
        let peers = self.peers_running.values();
        let told: u32 = peers.filter(|(_, at)| fresh(*at)).map(|(n, _)| n).sum();
        self.own_running + told
    }
}
