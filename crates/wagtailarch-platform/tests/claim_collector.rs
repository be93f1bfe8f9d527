//! Checks that claim log entries go after their retention and never before.

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

/// Guards against entries that stay for ever, and against a log that becomes empty, in which a
/// writer would begin at number 0 beside one that goes on at the end.
#[tokio::test]
async fn old_entries_go_and_the_newest_stays() {
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

/// Guards against a retention that starts anew with each change of the lease holder, which comes
/// about once a day.
#[tokio::test]
async fn a_new_holder_continues() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    for seq in 0..10 {
        create(&platform, 0, seq).await;
    }
    let mut removed = 0;
    for hour in 0..30 {
        // Each holder has a clock of its own and makes steps for an hour.
        let mut collector = collector(&platform);
        for minute in 0..60 {
            let now = Duration::from_secs(1_000_000 - 7_919 * hour + 60 * minute);
            removed += collector.step(|| now).await.unwrap().removed;
        }
    }
    assert_eq!(removed, 9);
}

/// Guards against an entry that is removed within its retention when collectors are paused, race
/// each other with clocks of their own, lose answers and read out of date.
#[rstest]
#[tokio::test]
async fn young_entries_stay(#[values(0.0, 0.2)] fault_ratio: f64) {
    let mut removed = 0;
    for seed in 0..30 {
        removed += race(seed, fault_ratio).await;
    }
    assert!(removed > 0, "no run has removed anything");
}

async fn race(seed: u64, fault_ratio: f64) -> usize {
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
    let offsets = [0, 5_000_000].map(Duration::from_secs);
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
        // The first collector works most of the time; the other one is often paused.
        let active = usize::from(rng.random_bool(0.1));
        let step = collectors[active].step(|| now + offsets[active]).await;
        removed += step.map_or(0, |step| step.removed);
        let young = created.iter().rev();
        for (at, partition, seq) in young.take_while(|(at, ..)| now < *at + RETENTION) {
            let kept = platform.peek(&key(*partition, *seq));
            assert!(kept.is_some(), "seed {seed}: {seq} of {partition}, {at:?}");
        }
    }
    removed
}
