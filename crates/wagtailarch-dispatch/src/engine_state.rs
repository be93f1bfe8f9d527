//! What is believed of one engine.

use std::{collections::HashMap, time::Duration};

use wagtailarch_types::{InstanceId, Role};

use crate::{EngineTraits, PrefixCache, PrefixLink, ReadQueue, ReadTicket, Urgency};

/// Tokens of a prompt that a prefill engine reads in a millisecond until answers show otherwise.
const READ_TOKENS_PER_MS: f64 = 50.0;
/// Time that reading takes besides, for a million pairs of a new token and one before it.
const READ_MS_PER_MILLION_PAIRS: f64 = 0.37;
/// Factor by which a decode engine reads prompts more slowly than a prefill engine.
const DECODE_READ_SLOWDOWN: f64 = 2.0;
/// Weight of one answer in the learned speed of an engine.
const SPEED_WEIGHT: f64 = 0.15;
/// Bounds of the learned slowness; one odd answer must not exclude an engine.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 6.0);
/// Shortest predicted reading time from which the speed is learned; shorter ones are mostly network.
const LEARN_FROM: Duration = Duration::from_millis(15);
/// Time after which the running requests told by a silent peer are forgotten.
const PEER_RUNNING_TTL: Duration = Duration::from_secs(2);

/// What is believed of one engine: queue, memory, speed and running requests.
#[derive(Debug)]
pub struct EngineState {
    /// Role that the engine registered.
    pub role: Role,
    /// Properties of its service.
    pub traits: EngineTraits,
    /// Prompts that wait.
    pub queue: ReadQueue,
    /// Prefixes that it holds.
    pub cache: PrefixCache,
    /// Measured reading time in relation to the expected one.
    slowness: f64,
    /// Requests of this instance that generate there.
    own_running: u32,
    /// Requests of peers that generate there, and when that was told.
    peers_running: HashMap<InstanceId, (u32, Duration)>,
}

/// A prompt that this instance has sent to an engine.
#[derive(Debug, Clone, Copy)]
pub struct Read {
    /// Place in the queue.
    pub ticket: ReadTicket,
}

impl EngineState {
    /// Creates the state of an engine of which nothing is known.
    pub fn new(role: Role, traits: EngineTraits) -> Self {
        Self {
            role,
            queue: ReadQueue::default(),
            cache: PrefixCache::new(traits.kv_capacity_tokens),
            traits,
            slowness: 1.0,
            own_running: 0,
            peers_running: HashMap::new(),
        }
    }

    /// Returns the time that reading a prompt takes, beyond what the engine holds of it.
    pub fn read_time(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> Duration {
        let held = self.cache.held_tokens(prefixes).min(prompt_tokens);
        let new = f64::from(prompt_tokens - held);
        let pairs = new * (f64::from(held) + new / 2.0);
        let mut ms = new / READ_TOKENS_PER_MS + pairs / 1e6 * READ_MS_PER_MILLION_PAIRS;
        if self.role != Role::Prefill {
            ms *= DECODE_READ_SLOWDOWN;
        }
        Duration::from_secs_f64(ms * self.slowness / 1_000.0)
    }

    /// Returns the tokens of a prompt that the engine would have to read.
    pub fn new_tokens(&self, prefixes: &[PrefixLink], prompt_tokens: u32) -> u32 {
        prompt_tokens.saturating_sub(self.cache.held_tokens(prefixes))
    }

    /// Adds a prompt of this instance.
    pub fn start_read(
        &mut self,
        now: Duration,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Read {
        let work = self.read_time(prefixes, prompt_tokens);
        self.cache.insert(prefixes);
        let ticket = self.queue.add(now, urgency, work);
        Read { ticket }
    }

    /// Notes that the engine has read a prompt; returns the correction for peers in milliseconds.
    pub fn finish_read(&mut self, now: Duration, read: &Read) -> f64 {
        let ticket = &read.ticket;
        if ticket.wait.is_zero() && ticket.work >= LEARN_FROM {
            let started = ticket.expected.saturating_sub(ticket.work);
            let took = now.saturating_sub(started).as_secs_f64();
            let ratio = self.slowness * took / ticket.work.as_secs_f64();
            let mixed = self.slowness * (1.0 - SPEED_WEIGHT) + ratio * SPEED_WEIGHT;
            self.slowness = mixed.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        }
        self.queue.finish(now, ticket)
    }

    /// Returns how much slower than expected the engine reads.
    pub fn slowness(&self) -> f64 {
        self.slowness
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
