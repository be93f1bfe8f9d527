//! Tests of applying and reading configurations with faults and concurrent calls.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wagtailarch_fleet::{Fleet, MANIFEST_KEY, Manifest};
use wagtailarch_platform::{
    ApplyOutcome, ConfigError, ConfigStore, FakeFaults, FakePlatform, ListPage, Platform,
    PlatformError, PlatformFuture, Precondition, RetryLimits, Versioned,
};
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{InstanceList, WatchResponse};

type Outcome = Result<ApplyOutcome, ConfigError>;

fn fleet(weight: f64) -> Fleet {
    let text = include_str!("../../../examples/budapest.toml");
    let mut fleet = Fleet::parse("budapest.toml", text).unwrap();
    fleet.teams[0].weight = weight;
    fleet
}

fn store(platform: &Arc<FakePlatform>) -> ConfigStore {
    store_with_attempts(platform, 12)
}

fn store_with_attempts(platform: &Arc<FakePlatform>, attempts: u32) -> ConfigStore {
    let limits = RetryLimits {
        attempts,
        initial_backoff: Duration::ZERO,
        max_backoff: Duration::from_millis(1),
    };
    ConfigStore::with_limits(Arc::clone(platform) as Arc<dyn Platform>, "test", limits)
}

fn platform(seed: u64, faults: FakeFaults) -> Arc<FakePlatform> {
    Arc::new(FakePlatform::new(seed, faults))
}

fn current_manifest(platform: &FakePlatform) -> Option<Manifest> {
    let object = platform.peek(MANIFEST_KEY)?;
    Some(serde_json::from_slice(&object.value).unwrap())
}

/// Returns faults that lose responses in all ways and cause stale reads.
fn lossy() -> FakeFaults {
    FakeFaults {
        unavailable_ratio: 0.1,
        lost_response_ratio: 0.25,
        lost_write_ratio: 0.15,
        late_write_ratio: 0.15,
        stale_get_ratio: 0.3,
        ..FakeFaults::default()
    }
}

fn is_unknown(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Err(ConfigError::Platform(PlatformError::Unknown(_)))
    )
}

/// Guards against concurrent applies with the same base of which several or none succeed, or that
/// report a wrong outcome.
#[rstest]
#[tokio::test]
async fn exactly_one_of_concurrent_applies_succeeds() {
    const OPERATORS: u64 = 8;
    let mut reported = 0;
    for seed in 0..150 {
        let platform = platform(seed, FakeFaults::default());
        let base = store(&platform).apply(0, &fleet(0.5), 1).await.unwrap();
        assert_eq!(base, ApplyOutcome::Applied(1));
        platform.set_faults(lossy());
        let applies = (0..OPERATORS).map(|n| {
            let store = store(&platform);
            async move { store.apply(1, &fleet(1.0 + n as f64), 100 + n).await }
        });
        let outcomes: Vec<Outcome> = join_all(applies).await;
        platform.apply_late_writes();
        let manifest = current_manifest(&platform).unwrap();
        assert!(manifest.generation <= 2, "seed {seed}: {outcomes:?}");
        for (n, outcome) in outcomes.iter().enumerate() {
            let succeeded = manifest.generation == 2 && manifest.apply_nonce == 100 + n as u64;
            match outcome {
                Ok(ApplyOutcome::Applied(generation)) => {
                    assert!(
                        succeeded && *generation == 2,
                        "seed {seed}: {n} reported success"
                    );
                    reported += 1;
                }
                Ok(ApplyOutcome::Conflict { in_force }) => {
                    assert!(
                        !succeeded && *in_force == 2,
                        "seed {seed}: {n} reported a conflict"
                    );
                }
                Ok(ApplyOutcome::Unchanged(_)) => panic!("seed {seed}: {n} reported no change"),
                outcome => assert!(
                    !succeeded || is_unknown(outcome),
                    "seed {seed}: {n} {outcome:?}"
                ),
            }
        }
    }
    assert!(
        reported > 140,
        "only {reported} of 150 successful applies were reported"
    );
}

/// Guards against generations that several applies created and against missing generations, over
/// many applies in a row.
#[rstest]
#[tokio::test]
async fn each_generation_is_created_by_one_apply() {
    for seed in 0..25 {
        let platform = platform(seed, lossy());
        let operators = (0..5_u64).map(|n| {
            let store = store(&platform);
            async move {
                let mut outcomes = Vec::new();
                for round in 0..12 {
                    let base = match store.current().await {
                        Ok(manifest) => manifest.map_or(0, |manifest| manifest.generation),
                        Err(_) => continue,
                    };
                    let weight = (1 + n * 100 + round) as f64;
                    outcomes.push(store.apply(base, &fleet(weight), n * 100 + round + 1).await);
                }
                outcomes
            }
        });
        let outcomes: Vec<Outcome> = join_all(operators).await.into_iter().flatten().collect();
        platform.apply_late_writes();
        let last = current_manifest(&platform).unwrap().generation;
        let mut applies_by_generation = BTreeMap::new();
        for outcome in &outcomes {
            if let Ok(ApplyOutcome::Applied(generation)) = outcome {
                *applies_by_generation.entry(*generation).or_insert(0) += 1;
            }
        }
        assert!(
            applies_by_generation.values().all(|count| *count == 1),
            "seed {seed}: {applies_by_generation:?}"
        );
        let unknown = outcomes
            .iter()
            .filter(|outcome| is_unknown(outcome))
            .count() as u64;
        let reported = applies_by_generation.len() as u64;
        assert!(
            reported + unknown >= last && reported <= last,
            "seed {seed}: {reported} {unknown} {last}"
        );
        assert!(last > 12, "seed {seed}: only {last} generations");
    }
}

/// Number of reads of an object of which not all are stale: 0.4^40 is below 1e-15.
const OBSERVER_ATTEMPTS: u32 = 40;

/// Guards against an observer that returns to an older configuration after a stale read.
#[rstest]
#[tokio::test]
async fn generations_never_decrease_for_an_observer() {
    let mut stale_reads = 0;
    for seed in 0..20 {
        let faults = FakeFaults {
            stale_get_ratio: 0.4,
            ..FakeFaults::default()
        };
        let platform = platform(seed, faults);
        let store = || store_with_attempts(&platform, OBSERVER_ATTEMPTS);
        let writer = async {
            let store = store();
            for n in 0..20_u32 {
                let base = store
                    .newest_manifest()
                    .map_or(0, |manifest| manifest.generation);
                store
                    .apply(base, &fleet(1.0 + f64::from(n)), 1 + u64::from(n))
                    .await
                    .unwrap();
            }
        };
        let observers = join_all((0..4).map(|_| async {
            let (store, mut newest_generation, mut last_version, mut decreases) =
                (store(), 0, 0, 0);
            for _ in 0..100 {
                let version = platform
                    .get(MANIFEST_KEY)
                    .await
                    .unwrap()
                    .map_or(0, |o| o.version);
                decreases += u32::from(version < last_version);
                last_version = version;
                let Some(manifest) = store.current().await.unwrap() else {
                    assert_eq!(newest_generation, 0);
                    continue;
                };
                assert!(manifest.generation >= newest_generation, "seed {seed}");
                newest_generation = manifest.generation;
                store.load(&manifest).await.unwrap();
            }
            decreases
        }));
        let ((), decreases) = tokio::join!(writer, observers);
        stale_reads += decreases.into_iter().sum::<u32>();
    }
    assert!(stale_reads > 100, "only {stale_reads} reads were stale");
}

/// Platform that loses the response to the write of a manifest while other applies succeed.
struct SupersedingPlatform {
    inner: Arc<FakePlatform>,
    later_applies: u64,
}

impl Platform for SupersedingPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        self.inner.get(key)
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        Box::pin(async move {
            let result = self.inner.put(key, value, expect).await;
            if key != MANIFEST_KEY {
                return result;
            }
            for n in 0..self.later_applies {
                let file = fleet(3.0 + n as f64);
                let applied = store(&self.inner).apply(1 + n, &file, 50 + n).await;
                assert_eq!(applied, Ok(ApplyOutcome::Applied(2 + n)));
            }
            Err(PlatformError::Unknown("lost".into()))
        })
    }

    fn delete<'a>(&'a self, key: &'a str, at: Option<ObjectVersion>) -> PlatformFuture<'a, ()> {
        self.inner.delete(key, at)
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

/// Guards against an apply that reports a conflict although it succeeded, because others followed
/// before it read the manifest back.
#[rstest]
#[case::alone(0, true)]
#[case::superseded(8, true)]
#[case::no_longer_listed(9, false)]
#[tokio::test]
async fn a_superseded_apply_is_recognized(#[case] later_applies: u64, #[case] is_listed: bool) {
    let inner = platform(1, FakeFaults::default());
    let platform = Arc::new(SupersedingPlatform {
        inner,
        later_applies,
    });
    let outcome = ConfigStore::new(platform, "slow")
        .apply(0, &fleet(2.0), 7)
        .await;
    if is_listed {
        assert_eq!(outcome, Ok(ApplyOutcome::Applied(1)));
    } else {
        assert!(is_unknown(&outcome), "{outcome:?}");
    }
}

/// Guards against an apply that is reported as successful or unknown in an outage.
#[rstest]
#[tokio::test]
async fn an_outage_applies_nothing() {
    let platform = platform(1, FakeFaults::default());
    platform.set_outage(true);
    let outcome = store(&platform).apply(0, &fleet(1.0), 1).await;
    let unavailable = PlatformError::Unavailable("simulated outage".into());
    assert_eq!(outcome, Err(ConfigError::Platform(unavailable)));
    platform.set_outage(false);
    assert_eq!(store(&platform).current().await, Ok(None));
}

/// Guards against an apply with a wrong base that overwrites the configuration, and against a new
/// generation for a file that is already in force.
#[rstest]
#[tokio::test]
async fn a_wrong_base_conflicts_and_an_equal_file_changes_nothing() {
    let platform = platform(1, FakeFaults::default());
    let store = store(&platform);
    let conflict = |in_force| Ok(ApplyOutcome::Conflict { in_force });
    assert_eq!(store.apply(3, &fleet(1.0), 1).await, conflict(0));
    assert_eq!(
        store.apply(0, &fleet(1.0), 2).await,
        Ok(ApplyOutcome::Applied(1))
    );
    assert_eq!(
        store.apply(1, &fleet(1.0), 3).await,
        Ok(ApplyOutcome::Unchanged(1))
    );
    assert_eq!(store.apply(0, &fleet(2.0), 4).await, conflict(1));
    assert_eq!(
        store.apply(1, &fleet(2.0), 5).await,
        Ok(ApplyOutcome::Applied(2))
    );
    let manifest = store.current().await.unwrap().unwrap();
    assert_eq!(
        (manifest.generation, manifest.applied_by.as_str()),
        (2, "test")
    );
    assert_eq!(store.load(&manifest).await.unwrap().teams.len(), 3);
}

/// Guards against loading a configuration from a part whose content does not match its hash.
#[rstest]
#[tokio::test]
async fn altered_parts_are_rejected() {
    let platform = platform(1, FakeFaults::default());
    store(&platform).apply(0, &fleet(1.0), 1).await.unwrap();
    let manifest = current_manifest(&platform).unwrap();
    let key = format!("part/{}", manifest.content.core);
    platform
        .put(&key, "{}".into(), Precondition::Any)
        .await
        .unwrap();
    let loaded = store(&platform).load(&manifest).await;
    assert!(matches!(loaded, Err(ConfigError::Part(_))), "{loaded:?}");
}

/// Guards against a cache that reads unchanged parts again or keeps the parts of old generations.
#[rstest]
#[tokio::test]
async fn only_changed_parts_are_read() {
    let platform = platform(1, FakeFaults::default());
    let (writer, reader) = (store(&platform), store(&platform));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut fleet = fleet(1.0);
    let template = fleet.teams[0].clone();
    for n in 0..2_000 {
        let mut team = template.clone();
        team.name = format!("t{n}").into();
        fleet.teams.push(team);
    }
    writer.apply(0, &fleet, 1).await.unwrap();
    let first = reader.current().await.unwrap().unwrap();
    reader.load(&first).await.unwrap();
    let mut cores = HashSet::from([first.content.core]);
    for generation in 1..10 {
        let index = rng.random_range(0..fleet.teams.len());
        fleet.teams[index].weight += 1.0;
        writer
            .apply(generation, &fleet, 1 + generation)
            .await
            .unwrap();
        let manifest = reader.current().await.unwrap().unwrap();
        let before = platform.calls();
        let loaded = reader.load(&manifest).await.unwrap();
        assert_eq!(
            platform.calls() - before,
            2,
            "one index part and one bucket"
        );
        assert_eq!(loaded.teams.len(), fleet.teams.len());
        cores.insert(manifest.content.core);
    }
    assert_eq!(cores.len(), 1);
}
