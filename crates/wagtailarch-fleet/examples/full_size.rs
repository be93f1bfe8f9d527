//! Measures the time to parse, validate and split a fleet of the largest supported size, and the
//! number of bytes that each instance reads when one team changes.
//!
//! Run with `cargo run --release -p wagtailarch-fleet --example full_size [file]`; the generated
//! fleet file is written to `file` if it is given.

use std::error::Error;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use wagtailarch_fleet::{
    Fleet, FleetContent, Manifest, Parts, assemble, diff, format_key_hash, split,
};
use wagtailarch_types::hash_key;

/// Number of teams in the largest supported fleet.
const TEAM_COUNT: usize = 29_000;
/// Configuration changes per day in the largest supported fleet.
const CHANGES_PER_DAY: usize = 4_900;
/// Number of runs for the median of each time.
const RUNS: usize = 9;
/// Number of changes over which the bytes read are averaged.
const SAMPLED_CHANGES: usize = 200;

fn main() -> Result<(), Box<dyn Error>> {
    let text = full_size_file()?;
    if let Some(path) = std::env::args_os().nth(1) {
        std::fs::write(path, &text)?;
    }
    let fleet =
        Fleet::parse("full-size.toml", &text).map_err(|findings| findings[0].to_string())?;
    let (content, parts) = split(&fleet);
    let bytes: usize = parts.values().map(Vec::len).sum();
    println!("teams: {}, file: {} bytes", fleet.teams.len(), text.len());
    println!("parts: {} with {bytes} bytes", parts.len());
    print_median("parse and validate", || {
        drop(Fleet::parse("full-size.toml", &text))
    });
    print_median("split", || drop(split(&fleet)));
    print_median("assemble", || {
        drop(assemble(&content, |hash| lookup(&parts, hash)))
    });
    print_median("diff with itself", || drop(diff(&fleet, &fleet)));
    print_bytes_read(fleet, content, parts)
}

/// Returns the text of a fleet file of the largest supported size.
fn full_size_file() -> Result<String, std::fmt::Error> {
    let example = include_str!("../../../examples/budapest.toml");
    let mut text = example
        .split("[[team]]")
        .next()
        .unwrap_or_default()
        .to_owned();
    for number in 0..TEAM_COUNT {
        let hash = format_key_hash(&hash_key(&format!("key-{number}")));
        let (requests_per_s, tokens_per_s) = (5 + number % 40, 10_000 + 1_000 * (number % 90));
        write!(
            text,
            "[[team]]\nname = \"team-{number:05}\"\nkey_hash = \"{hash}\"\n\
             requests_per_s = {requests_per_s}.0\ntokens_per_s = {tokens_per_s}.0\n\
             weight = 1.0\npriority = \"normal\"\nservices = [\"fedel\", \"lids\"]\n\n"
        )?;
    }
    Ok(text)
}

/// Changes teams one after another and prints what an instance reads for each change.
fn print_bytes_read(
    mut fleet: Fleet,
    content: FleetContent,
    mut parts: Parts,
) -> Result<(), Box<dyn Error>> {
    let mut manifest = Manifest::next(None, content, u64::MAX, "an-operator");
    let (mut manifest_bytes, mut part_bytes, mut part_count) = (0, 0, 0);
    for change in 0..SAMPLED_CHANGES {
        let index = (change * 7_919) % TEAM_COUNT;
        fleet.teams[index].weight += 0.5;
        let (content, new_parts) = split(&fleet);
        manifest = Manifest::next(Some(&manifest), content, u64::MAX, "an-operator");
        manifest_bytes += serde_json::to_vec(&manifest)?.len();
        for (hash, value) in &new_parts {
            if !parts.contains_key(hash) {
                part_bytes += value.len();
                part_count += 1;
            }
        }
        parts = new_parts;
    }
    let bytes_read = (manifest_bytes + part_bytes) / SAMPLED_CHANGES;
    let per_s = (bytes_read * CHANGES_PER_DAY) as f64 / Duration::from_secs(86_400).as_secs_f64();
    println!("manifest: {} bytes", manifest_bytes / SAMPLED_CHANGES);
    println!(
        "parts per changed team: {:.2}",
        part_count as f64 / SAMPLED_CHANGES as f64
    );
    println!("bytes per changed team, manifest and parts: {bytes_read}");
    println!("at {CHANGES_PER_DAY} changes a day: {per_s:.0} bytes/s for each instance");
    Ok(())
}

fn lookup<'p>(parts: &'p Parts, hash: &str) -> Option<&'p [u8]> {
    parts.get(hash).map(Vec::as_slice)
}

/// Runs a function several times and prints the median and longest time.
fn print_median(name: &str, run: impl Fn()) {
    let mut times: Vec<Duration> = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let start = Instant::now();
        run();
        times.push(start.elapsed());
    }
    times.sort_unstable();
    let (median, longest) = (times[RUNS / 2], times[RUNS - 1]);
    println!("{name}: median {median:.1?}, longest {longest:.1?} of {RUNS} runs");
}
