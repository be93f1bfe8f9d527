//! The plan of a run: when which request is sent, from a seed alone.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailarch_standin::token::BYTES_PER_TOKEN;

use super::outcome::RequestKind;
use super::scenario::{MixPhase, Scenario, TokenRange};

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number in the run, from 0.
    pub number: u64,
    /// Time since the start of the run.
    pub at: Duration,
    /// Kind of request.
    pub kind: RequestKind,
    /// Whether a model request uses the chat call instead of the completions call.
    pub chat: bool,
    /// Index of the bearer key.
    pub key_index: usize,
    /// Prompt, or body of a plain call; holds a mark that is unique in the run.
    pub prompt: String,
    /// Greatest number of tokens of the answer.
    pub max_tokens: u32,
}

/// Iterator over the arrivals of a run.
#[derive(Debug)]
pub struct ArrivalSchedule<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    number: u64,
    at: Duration,
    /// Number of requests; if absent, the phases run once.
    requests: Option<u64>,
}

impl<'a> ArrivalSchedule<'a> {
    /// Creates the plan of a checked scenario.
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

    /// Draws an exponential time between arrivals.
    fn gap(&mut self, rate_per_s: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate_per_s)
    }

    fn kind(&mut self, mix: &MixPhase) -> RequestKind {
        let weights = mix.weights;
        let shares = [
            (RequestKind::Stream, weights.stream),
            (RequestKind::Whole, weights.whole),
            (RequestKind::Get, weights.get),
            (RequestKind::Post, weights.post),
            (RequestKind::Direct, weights.direct),
        ];
        let total: f64 = shares.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.rng.random_range(0.0..total);
        let mut kind = RequestKind::Stream;
        for (candidate, weight) in shares {
            if weight <= 0.0 {
                continue;
            }
            kind = candidate;
            if drawn < weight {
                break;
            }
            drawn -= weight;
        }
        kind
    }

    /// Composes shared text, the unique mark and filler up to the drawn length.
    fn prompt(&mut self, mix: &MixPhase) -> String {
        let bytes = draw(&mut self.rng, mix.prompt_tokens) as usize * BYTES_PER_TOKEN;
        let family = self.rng.random_range(0..mix.families);
        let mut prompt = String::with_capacity(bytes + 48);
        let shared = (mix.shared_tokens as usize * BYTES_PER_TOKEN).min(bytes);
        while prompt.len() < shared {
            prompt.push_str(&format!("family {family} text; "));
        }
        prompt.truncate(shared);
        prompt.push_str(&format!("<<load {} {}>>", self.scenario.seed, self.number));
        while prompt.len() < bytes {
            prompt.push_str(&format!(" word {}", self.rng.next_u32() % 1000));
        }
        prompt
    }
}

impl Iterator for ArrivalSchedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let rate_per_s = self.scenario.mix_at(self.at).rate_per_s;
        let gap = self.gap(rate_per_s);
        self.at += gap;
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
            kind: self.kind(&mix),
            chat: self.rng.random(),
            key_index: self.rng.random_range(0..self.scenario.keys.len()),
            prompt: self.prompt(&mix),
            max_tokens: draw(&mut self.rng, mix.output_tokens),
        };
        self.number += 1;
        Some(arrival)
    }
}

fn draw(rng: &mut ChaCha8Rng, range: TokenRange) -> u32 {
    rng.random_range(range.min..=range.max)
}
