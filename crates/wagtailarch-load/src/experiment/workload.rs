//! Generation of the requests of a run.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::EngineModel;
use super::scenario::Scenario;

/// Number of distinct shared prefixes.
const PREFIX_COUNT: u32 = 60;
/// Share of the prompt that belongs to the shared prefix.
const PREFIX_SHARE: f64 = 0.3;
/// Number of teams that send requests.
pub(crate) const TEAM_COUNT: u32 = 8;

/// All requests of a run, which are the same for every policy.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Requests in the order of arrival.
    pub requests: Vec<RequestSpec>,
}

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSpec {
    /// Time of arrival in seconds.
    pub at_s: f64,
    /// Index of the entry instance that receives the request.
    pub instance: usize,
    /// Index of the team.
    pub team: u32,
    /// Identifier of the shared prefix.
    pub prefix: u64,
    /// Length of the shared prefix in tokens.
    pub prefix_tokens: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Length of the output in tokens, which is unknown to the policies.
    pub output_tokens: u32,
    /// Limit of the client on the output tokens.
    pub max_tokens: u32,
}

impl Workload {
    /// Generates the requests of a run from a seed.
    ///
    /// Arrivals are a Poisson process, lengths are uniform between 0.5 and 1.5 times their means,
    /// and prefixes follow a Zipf distribution.
    pub fn new(
        scenario: &Scenario,
        engines: usize,
        instances: usize,
        model: &EngineModel,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut requests = Vec::new();
        let mut at_s = 0.0;
        loop {
            let rate = scenario.requests_per_s(at_s, engines, model);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            // A longer gap is cut to 0.5 s and drawn again with the rate at that time, so that
            // arrivals follow a rising rate.
            let gap_s = -uniform.ln() / rate;
            if gap_s > 0.5 {
                at_s += 0.5;
                continue;
            }
            at_s += gap_s;
            if at_s >= scenario.duration_s {
                return Self { requests };
            }
            let point = scenario.at(at_s);
            let mut draw_length = |mean: f64| (mean * rng.random_range(0.5..1.5)).max(1.0) as u32;
            let prompt_tokens = draw_length(point.prompt_tokens);
            let output_tokens = draw_length(point.output_tokens);
            let max_tokens_factor = rng.random_range(1.0..1.5);
            requests.push(RequestSpec {
                at_s,
                instance: rng.random_range(0..instances),
                team: rng.random_range(0..TEAM_COUNT),
                prefix: zipf(&mut rng),
                prefix_tokens: (f64::from(prompt_tokens) * PREFIX_SHARE) as u32,
                prompt_tokens,
                output_tokens,
                max_tokens: (f64::from(output_tokens) * max_tokens_factor) as u32,
            });
        }
    }
}

/// Draws a prefix from a Zipf distribution: the probability of the n-th is proportional to 1/n.
fn zipf(rng: &mut ChaCha8Rng) -> u64 {
    let total: f64 = (1..=PREFIX_COUNT).map(|rank| 1.0 / f64::from(rank)).sum();
    let mut remaining = rng.random_range(0.0..total);
    for rank in 1..=PREFIX_COUNT {
        remaining -= 1.0 / f64::from(rank);
        if remaining <= 0.0 {
            return u64::from(rank);
        }
    }
    u64::from(PREFIX_COUNT)
}
