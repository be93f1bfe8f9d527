//! The requests of a run.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::EngineModel;
use super::scenario::Scenario;

/// Number of prefixes that requests share.
const PREFIXES: u32 = 60;
/// Share of the prompt that belongs to the shared prefix.
const PREFIX_SHARE: f64 = 0.3;
/// Teams that send requests.
pub(crate) const TEAMS: u32 = 8;

/// All requests of a run, in the order of their arrival; the same for every policy.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Requests.
    pub requests: Vec<RequestSpec>,
}

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSpec {
    /// Arrival in seconds.
    pub at_s: f64,
    /// Entry instance that the balancer chose.
    pub instance: usize,
    /// Team.
    pub team: u32,
    /// Shared prefix.
    pub prefix: u64,
    /// Length of the shared prefix in tokens.
    pub prefix_tokens: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens that the model generates; no policy knows it.
    pub output_tokens: u32,
    /// Greatest number of tokens that the client permits.
    pub max_tokens: u32,
}

impl Workload {
    /// Draws the requests of a run: Poisson arrivals, lengths within half and one and a half of
    /// their means, prefixes with Zipf weights.
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
            // A short bound on the gap keeps up with a rate that rises.
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
            let mut length = |mean: f64| (mean * rng.random_range(0.5..1.5)).max(1.0) as u32;
            let prompt_tokens = length(point.prompt_tokens);
            let output_tokens = length(point.output_tokens);
            let slack = rng.random_range(1.0..1.5);
            requests.push(RequestSpec {
                at_s,
                instance: rng.random_range(0..instances),
                team: rng.random_range(0..TEAMS),
                prefix: zipf(&mut rng),
                prefix_tokens: (f64::from(prompt_tokens) * PREFIX_SHARE) as u32,
                prompt_tokens,
                output_tokens,
                max_tokens: (f64::from(output_tokens) * slack) as u32,
            });
        }
    }
}

/// Draws a prefix; the n-th is drawn in proportion to 1/n.
fn zipf(rng: &mut ChaCha8Rng) -> u64 {
    let total: f64 = (1..=PREFIXES).map(|rank| 1.0 / f64::from(rank)).sum();
    let mut left = rng.random_range(0.0..total);
    for rank in 1..=PREFIXES {
        left -= 1.0 / f64::from(rank);
        if left <= 0.0 {
            return u64::from(rank);
        }
    }
    u64::from(PREFIXES)
}
