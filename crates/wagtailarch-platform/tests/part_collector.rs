//! Tests that unreferenced configuration parts are removed and that referenced parts stay.

use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use rstest::rstest;
use smol_str::format_smolstr;
use wagtailarch_fleet::{Fleet, MANIFEST_KEY, Manifest, assemble, part_key};
use wagtailarch_platform::{
    ApplyOutcome, ConfigStore, FakeFaults, FakePlatform, ListPage, PartCollector, Platform,
    PlatformError, PlatformFuture, Precondition, RetryLimits, Versioned,
};
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{InstanceList, WatchResponse};

/// Time between two steps, longer than the grace period of unreferenced parts.
const STEP_INTERVAL: Duration = Duration::from_secs(1_000);

fn fleet(variant: u32, team_count: usize) -> Fleet {
    let text = include_str!("../../../examples/budapest.toml");
    let mut fleet = Fleet::parse("budapest.toml", text).unwrap();
    let template = fleet.teams[0].clone();
    for number in fleet.teams.len()..team_count {
        let mut team = template.clone();
        team.name = format_smolstr!("team-{number}");
        fleet.teams.push(team);
    }
    fleet.teams[0].weight = f64::from(variant + 1);
    fleet
}

fn store(platform: &Arc<FakePlatform>) -> ConfigStore {
    let limits = RetryLimits {
        attempts: 12,
        initial_backoff: Duration::ZERO,
        max_backoff: Duration::from_millis(1),
    };
    ConfigStore::with_limits(Arc::clone(platform) as Arc<dyn Platform>, "test", limits)
}

fn collector(platform: &Arc<FakePlatform>) -> PartCollector {
    PartCollector::new(Arc::clone(platform) as Arc<dyn Platform>)
}

/// Assembles the configuration from the current state of the platform, without faults.
fn current_fleet(platform: &FakePlatform) -> Result<Fleet, String> {
    let object = platform.peek(MANIFEST_KEY).ok_or("no manifest")?;
    let manifest: Manifest = serde_json::from_slice(&object.value).unwrap();
    let parts = part_values(platform);
    let find = |hash: &str| Some(parts.get(&part_key(hash))?.as_ref());
    assemble(&manifest.content, find).map_err(|error| error.to_string())
}

fn part_values(platform: &FakePlatform) -> std::collections::HashMap<String, bytes::Bytes> {
    platform.set_faults(FakeFaults::default());
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let page = std::thread::scope(|scope| {
        let listing = scope.spawn(|| {
            runtime
                .unwrap()
                .block_on(platform.list("part/", None, 9999))
        });
        listing.join().unwrap().unwrap()
    });
    let items = page.items.into_iter();
    items.map(|item| (item.key, item.value)).collect()
}

/// Guards against parts that accumulate with each change, and against the removal of referenced
/// parts, with and without index parts.
#[rstest]
#[case::buckets(2)]
#[case::index_parts(1_200)]
#[tokio::test]
async fn only_unreferenced_parts_are_removed(#[case] team_count: usize) {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    let store = store(&platform);
    let mut generation = 0;
    for variant in 0..4 {
        let fleet = fleet(variant, team_count);
        let nonce = 7 + u64::from(variant);
        let applied = store.apply(generation, &fleet, nonce).await;
        generation += 1;
        assert_eq!(applied, Ok(ApplyOutcome::Applied(generation)));
    }
    let before = part_values(&platform).len();
    let mut collector = collector(&platform);
    let mut removed = 0;
    for step in 0..20 {
        removed += collector.step(STEP_INTERVAL * step).await.unwrap().removed;
    }
    let changed = if team_count > 1_024 { 2 } else { 1 };
    assert_eq!(removed, 3 * changed);
    assert_eq!(part_values(&platform).len(), before - removed);
    assert_eq!(current_fleet(&platform).unwrap().teams[0].weight, 4.0);
}

/// Guards against the removal of a part before a slow reader of the previous manifest has read it.
#[tokio::test]
async fn recently_unreferenced_parts_stay() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    let store = store(&platform);
    store.apply(0, &fleet(0, 2), 1).await.unwrap();
    store.apply(1, &fleet(1, 2), 2).await.unwrap();
    let mut collector = collector(&platform);
    for second in [0, 100, 300, 599] {
        let collected = collector.step(Duration::from_secs(second)).await.unwrap();
        assert_eq!(collected.removed, 0);
    }
    let collected = collector.step(Duration::from_secs(600)).await.unwrap();
    assert_eq!(collected.removed, 1);
}

/// Guards against a manifest that refers to a removed part when applies use old parts again while
/// they are removed, responses are lost and writes take effect late. Also guards against an apply
/// that reports a conflict although there was no other apply.
#[rstest]
#[tokio::test]
async fn concurrent_applies_keep_their_parts(#[values(0.0, 0.2)] fault_ratio: f64) {
    // The runs mostly wait for delayed calls, so they are run concurrently.
    join_all((0..100).map(|seed| run_concurrently(seed, fault_ratio))).await;
}

async fn run_concurrently(seed: u64, fault_ratio: f64) {
    let faults = FakeFaults {
        lost_response_ratio: fault_ratio,
        lost_write_ratio: fault_ratio / 2.0,
        late_write_ratio: fault_ratio / 2.0,
        stale_get_ratio: fault_ratio / 2.0,
        max_delay: Duration::from_millis(2),
        ..FakeFaults::default()
    };
    let platform = Arc::new(FakePlatform::new(seed, faults));
    let store = store(&platform);
    let mut collector = collector(&platform);
    let collecting = async {
        for step in 0..60 {
            // After an error the next step continues.
            let _ = collector.step(STEP_INTERVAL * step).await;
        }
    };
    let applying = async {
        let mut conflicts = 0;
        for round in 0..12 {
            let base = store
                .newest_manifest()
                .map_or(0, |manifest| manifest.generation);
            let nonce = seed * 100 + u64::from(round) + 1;
            let applied = store.apply(base, &fleet(round % 3, 2), nonce).await;
            let _ = store.current().await;
            let is_conflict = matches!(applied, Ok(ApplyOutcome::Conflict { .. }));
            conflicts += u32::from(is_conflict);
        }
        conflicts
    };
    let ((), conflicts) = tokio::join!(collecting, applying);
    platform.apply_late_writes();
    if fault_ratio == 0.0 {
        assert_eq!(conflicts, 0, "seed {seed}");
    }
    current_fleet(&platform).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
}

/// Guards against an apply that mistakes an old part for the one that it wrote: the write was lost,
/// and a collector that replaced the manifest before the apply removes the part afterwards.
#[tokio::test]
async fn a_part_whose_write_was_lost_is_written_again() {
    let platform = Arc::new(FakePlatform::new(1, FakeFaults::default()));
    let store = store(&platform);
    store.apply(0, &fleet(0, 2), 1).await.unwrap();
    store.apply(1, &fleet(1, 2), 2).await.unwrap();
    let applying = HookedPlatform::new(&platform);
    applying.lose_part.store(true, Ordering::Relaxed);
    let collecting = Arc::new(HookedPlatform::new(&platform));
    let mut collector = PartCollector::new(Arc::clone(&collecting) as Arc<dyn Platform>);
    collector.step(Duration::ZERO).await.unwrap();
    let applier = ConfigStore::new(Arc::new(applying), "test");
    *collecting.before_delete.lock().unwrap() = Some(Box::pin(async move {
        let applied = applier.apply(2, &fleet(0, 2), 3).await;
        assert_eq!(applied, Ok(ApplyOutcome::Applied(3)));
    }));
    let collected = collector.step(STEP_INTERVAL).await.unwrap();
    assert_eq!(collected.removed, 0);
    assert_eq!(current_fleet(&platform).unwrap().teams[0].weight, 1.0);
}

type Hook = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Platform that loses the first write of a part or runs a hook before a removal.
struct HookedPlatform {
    inner: Arc<FakePlatform>,
    lose_part: AtomicBool,
    before_delete: Mutex<Option<Hook>>,
}

impl HookedPlatform {
    fn new(inner: &Arc<FakePlatform>) -> Self {
        Self {
            inner: Arc::clone(inner),
            lose_part: AtomicBool::new(false),
            before_delete: Mutex::new(None),
        }
    }
}

impl Platform for HookedPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        self.inner.get(key)
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        if key.starts_with("part/") && self.lose_part.swap(false, Ordering::Relaxed) {
            return Box::pin(async { Err(PlatformError::Unknown("lost".into())) });
        }
        self.inner.put(key, value, expect)
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: Option<ObjectVersion>,
    ) -> PlatformFuture<'a, ()> {
        Box::pin(async move {
            let hook = self.before_delete.lock().unwrap().take();
            if let Some(hook) = hook {
                hook.await;
            }
            self.inner.delete(key, version).await
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage> {
        self.inner.list(prefix, after, limit)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse> {
        self.inner.watch(prefix, since, wait)
    }

    fn instances(&self) -> PlatformFuture<'_, InstanceList> {
        self.inner.instances()
    }
}
