//! Times parsing, validation and splitting of a fleet of the design size, and counts the bytes
//! that a change of one team moves to each instance.
//!
//! Run with `cargo run --release -p wagtailarch-fleet --example full_size [file]`; the generated
//! fleet file is written to `file` if one is named.

use std::error::Error;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use wagtailarch_fleet::{
    Fleet, FleetContent, Manifest, Parts, assemble, diff, format_key_hash, split,
};
use wagtailarch_types::hash_key;

/// Teams of the design size.
const TEAM_COUNT: usize = 29_000;
/// Configuration changes a day of the design size.
const CHANGES_PER_DAY: usize = 4_900;
/// Runs of which the median counts.
const RUNS: usize = 9;
/// Changes over which the moved bytes are averaged.
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
        drop(assemble(&content, |hash| find(&parts, hash)))
    });
    print_median("diff with itself", || drop(diff(&fleet, &fleet)));
    print_moved_bytes(fleet, content, parts)
}

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

/// Changes one team after the other and prints what an instance has to read for each change.
fn print_moved_bytes(
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
    let moved = (manifest_bytes + part_bytes) / SAMPLED_CHANGES;
    let per_s = (moved * CHANGES_PER_DAY) as f64 / Duration::from_secs(86_400).as_secs_f64();
    println!("manifest: {} bytes", manifest_bytes / SAMPLED_CHANGES);
    println!(
        "parts per changed team: {:.2}",
        part_count as f64 / SAMPLED_CHANGES as f64
    );
    println!("bytes per changed team, manifest and parts: {moved}");
    println!("at {CHANGES_PER_DAY} changes a day: {per_s:.0} bytes/s for each instance");
    Ok(())
}

fn find<'p>(parts: &'p Parts, hash: &str) -> Option<&'p [u8]> {
    parts.get(hash).map(Vec::as_slice)
}

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
