//! Schedule of a run: the time and content of each request, fixed by the scenario and its seed.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailarch_standin::token::BYTES_PER_TOKEN;

use super::outcome::RequestKind;
use super::scenario::{MixPhase, Scenario, TokenRange};

/// A scheduled request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request in the run, from 0.
    pub number: u64,
    /// Time of the request since the start of the run.
    pub at: Duration,
    /// Kind of request.
    pub kind: RequestKind,
    /// Whether a model request uses the chat completions API instead of the completions API.
    pub chat: bool,
    /// Index of the bearer key in the scenario.
    pub key_index: usize,
    /// Prompt, or body of a plain call. It contains a marker that is unique in the run.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}

/// An iterator over the arrivals of a run.
#[derive(Debug)]
pub struct ArrivalSchedule<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    /// Number of the next request.
    number: u64,
    /// Time of the last request.
    at: Duration,
    /// Number of requests; if `None`, the phases run once.
    requests: Option<u64>,
}

impl<'a> ArrivalSchedule<'a> {
    /// Creates the schedule of a valid scenario.
    pub fn new(scenario: &'a Scenario, requests: Option<u64>) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        Self {
            scenario,
            rng,
            number: 0,
            at: Duration::ZERO,
            requests,
        }
    }

    /// Draws the time until the next arrival from an exponential distribution.
    fn draw_interval(&mut self, rate_per_s: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate_per_s)
    }

    /// Draws the kind of a request by the weights of the mix.
    fn draw_kind(&mut self, mix: &MixPhase) -> RequestKind {
        let weights = mix.weights;
        let kind_weights = [
            (RequestKind::Stream, weights.stream),
            (RequestKind::Whole, weights.whole),
            (RequestKind::Get, weights.get),
            (RequestKind::Post, weights.post),
            (RequestKind::Direct, weights.direct),
        ];
        let total: f64 = kind_weights.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        let mut kind = RequestKind::Stream;
        for (candidate, weight) in kind_weights {
            if weight <= 0.0 {
                continue;
            }
            kind = candidate;
            if remaining < weight {
                break;
            }
            remaining -= weight;
        }
        kind
    }

    /// Composes a prompt of random length from the prefix of a random family, the unique marker and
    /// filler.
    fn compose_prompt(&mut self, mix: &MixPhase) -> String {
        let prompt_bytes = draw_length(&mut self.rng, mix.prompt_tokens) as usize * BYTES_PER_TOKEN;
        let family = self.rng.random_range(0..mix.families);
        let mut prompt = String::with_capacity(prompt_bytes + 48);
        let shared_bytes = (mix.shared_tokens as usize * BYTES_PER_TOKEN).min(prompt_bytes);
        while prompt.len() < shared_bytes {
            prompt.push_str(&format!("family {family} text; "));
        }
        prompt.truncate(shared_bytes);
        prompt.push_str(&format!("<<load {} {}>>", self.scenario.seed, self.number));
        while prompt.len() < prompt_bytes {
            prompt.push_str(&format!(" word {}", self.rng.next_u32() % 1000));
        }
        prompt
    }
}

impl Iterator for ArrivalSchedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let rate_per_s = self.scenario.mix_at(self.at).rate_per_s;
        let interval = self.draw_interval(rate_per_s);
        self.at += interval;
        let ended = match self.requests {
            Some(requests) => self.number >= requests,
            None => self.at >= self.scenario.duration(),
        };
        if ended {
            return None;
        }
        let mix = self.scenario.mix_at(self.at);
        let arrival = Arrival {
            number: self.number,
            at: self.at,
            kind: self.draw_kind(&mix),
            chat: self.rng.random(),
            key_index: self.rng.random_range(0..self.scenario.keys.len()),
            prompt: self.compose_prompt(&mix),
            max_tokens: draw_length(&mut self.rng, mix.output_tokens),
        };
        self.number += 1;
        Some(arrival)
    }
}

/// Draws a number of tokens.
fn draw_length(rng: &mut ChaCha8Rng, range: TokenRange) -> u32 {
    rng.random_range(range.min..=range.max)
}
