//! Tests that claim log entries are removed after their retention and never before.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailarch_platform::{ClaimCollector, FakeFaults, FakePlatform, Platform, Precondition};

const PARTITIONS: u32 = 3;
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

fn collector(platform: &Arc<FakePlatform>) -> ClaimCollector {
    ClaimCollector::new(Arc::clone(platform) as Arc<dyn Platform>, PARTITIONS)
}

fn key(partition: u32, seq: u64) -> String {
    format!("claims/{partition:02}/{seq:020}")
}

async fn create(platform: &FakePlatform, partition: u32, seq: u64) {
    let (key, value) = (key(partition, seq), Bytes::from_static(b"{}"));
    let written = platform.put(&key, value, Precondition::Absent).await;
    written.unwrap();
}

/// Guards against entries that are never removed, and against an emptied log: a writer that finds
/// the log empty would start at number 0 while another one continues at the end.
#[tokio::test]
async fn old_entries_are_removed_and_the_newest_stays() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    for seq in 0..100 {
        create(&platform, 1, seq).await;
    }
    let mut collector = collector(&platform);
    let mut removed = 0;
    for minute in 0..25 * 60 {
        let now = Duration::from_secs(60 * minute);
        removed += collector.step(|| now).await.unwrap().removed;
        assert!(removed == 0 || now >= RETENTION, "{removed} at {now:?}");
    }
    assert_eq!(removed, 99);
    assert!(platform.peek(&key(1, 99)).is_some());
}

/// Guards against a retention that restarts with each change of the lease holder, which happens
/// about once a day.
#[tokio::test]
async fn a_new_holder_continues_the_retention() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    for seq in 0..10 {
        create(&platform, 0, seq).await;
    }
    let mut removed = 0;
    for hour in 0..30 {
        // Each holder has its own clock and runs steps for an hour.
        let mut collector = collector(&platform);
        for minute in 0..60 {
            let now = Duration::from_secs(1_000_000 - 7_919 * hour + 60 * minute);
            removed += collector.step(|| now).await.unwrap().removed;
        }
    }
    assert_eq!(removed, 9);
}

/// Guards against the removal of an entry within its retention when collectors are paused, run
/// concurrently with different clocks, lose responses and receive stale reads.
#[rstest]
#[tokio::test]
async fn entries_within_their_retention_stay(#[values(0.0, 0.2)] fault_ratio: f64) {
    let mut removed = 0;
    for seed in 0..30 {
        removed += run_concurrently(seed, fault_ratio).await;
    }
    assert!(removed > 0, "no run has removed an entry");
}

async fn run_concurrently(seed: u64, fault_ratio: f64) -> usize {
    let platform = Arc::new(FakePlatform::new(seed, FakeFaults::default()));
    let faults = FakeFaults {
        lost_response_ratio: fault_ratio,
        lost_write_ratio: fault_ratio / 2.0,
        late_write_ratio: fault_ratio / 2.0,
        stale_get_ratio: fault_ratio / 2.0,
        ..FakeFaults::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut collectors = [collector(&platform), collector(&platform)];
    let clock_offsets = [0, 5_000_000].map(Duration::from_secs);
    let mut created: Vec<(Duration, u32, u64)> = Vec::new();
    let mut next = [0; PARTITIONS as usize];
    let (mut now, mut removed) = (Duration::ZERO, 0);
    for _ in 0..800 {
        now += Duration::from_secs(rng.random_range(30..900));
        let partition = rng.random_range(0..PARTITIONS);
        platform.set_faults(FakeFaults::default());
        create(&platform, partition, next[partition as usize]).await;
        created.push((now, partition, next[partition as usize]));
        next[partition as usize] += 1;
        platform.set_faults(faults.clone());
        // The first collector runs most of the steps; the other one is often paused.
        let active = usize::from(rng.random_bool(0.1));
        let step = collectors[active]
            .step(|| now + clock_offsets[active])
            .await;
        removed += step.map_or(0, |step| step.removed);
        let newest_first = created.iter().rev();
        for (at, partition, seq) in newest_first.take_while(|(at, ..)| now < *at + RETENTION) {
            let object = platform.peek(&key(*partition, *seq));
            assert!(
                object.is_some(),
                "seed {seed}: {seq} of {partition}, {at:?}"
            );
        }
    }
    removed
}
