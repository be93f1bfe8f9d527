//! Configuration shared by the fuzz tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns the number in an environment variable, or `default` without a valid one.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Returns the configuration of a fuzz test. The environment variables `WAGTAIL_FUZZ_CASES` and
/// `WAGTAIL_FUZZ_SEED` override the number of cases and the seed.
pub fn fuzz_config(default_cases: u64) -> Config {
    Config {
        cases: env_number("WAGTAIL_FUZZ_CASES", default_cases) as u32,
        rng_seed: RngSeed::Fixed(env_number("WAGTAIL_FUZZ_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}
