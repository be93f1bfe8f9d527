//! End-to-end tests of configuration changes, orders to engines and leases.

use std::time::Duration;

use rustix::process::Signal;
use wagtailarch_e2e::weights::MODELS;
use wagtailarch_e2e::{
    ConfigSource, FleetFile, FleetOptions, HarnessError, LoadHandle, TestFleet, VERSIONS,
    lock_fleet, scenario,
};
use wagtailarch_types::{BackendState, Role};

/// Exit code of `wagtailctl` for a conflict.
const CONFLICT: i32 = 3;

fn options() -> FleetOptions {
    FleetOptions {
        source: ConfigSource::Platform,
        ..FleetOptions::default()
    }
}

/// Returns the fleet file with another model version.
fn other_version(options: &FleetOptions) -> FleetFile {
    FleetFile {
        version: VERSIONS[1].into(),
        ..options.file.clone()
    }
}

/// Waits until all engines serve a model version.
async fn wait_for_version(fleet: &TestFleet, version: &str) -> Result<(), HarnessError> {
    let awaited = format!("version {version} on all engines");
    fleet
        .wait_until(&awaited, async |fleet| {
            for number in 0..fleet.engines.len() {
                let report = fleet.engine_report(number).await?;
                if report.version != version || report.state != BackendState::Serving {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

/// Returns the sums of aborted requests and conflicting orders over all engines.
async fn aborts_and_conflicts(fleet: &TestFleet) -> Result<(u64, u64), HarnessError> {
    let mut sums = (0, 0);
    for number in 0..fleet.engines.len() {
        let counters = fleet.engine_counters(number).await?;
        sums.0 += counters.aborted_requests;
        sums.1 += counters.order_conflicts;
    }
    Ok(sums)
}

/// Guards against an operator who overwrites a configuration that another one applied at the same
/// time (G9).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_several_concurrent_applies_succeeds() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    let file = |number: u32| FleetFile {
        requests_per_s: 50_000.0 + f64::from(number),
        ..options.file.clone()
    };
    let files: Vec<_> = (0..4).map(file).collect();
    let (a, b, c, d) = tokio::join!(
        fleet.apply(&files[0], "1"),
        fleet.apply(&files[1], "1"),
        fleet.apply(&files[2], "1"),
        fleet.apply(&files[3], "1"),
    );
    let outputs = [a?, b?, c?, d?];
    let with_code = |code| outputs.iter().filter(|output| output.code == code).count();
    assert_eq!((with_code(0), with_code(CONFLICT)), (1, 3), "{outputs:?}");
    let winner = outputs
        .iter()
        .position(|output| output.code == 0)
        .unwrap_or(0);
    fleet.wait_in_force(2).await?;
    let stored = fleet.ctl(&["get"]).await?;
    let limit = format!("requests_per_s = {:.1}", files[winner].requests_per_s);
    assert!(stored.text.contains(&limit), "{}", stored.text);
    Ok(())
}

/// Guards against requests that are aborted or refused while engines load another version (G2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_version_aborts_no_request() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    let mut load = LoadHandle::start(scenario(21, 30.0, MODELS), fleet.targets(), None);
    load.wait_completed(30).await?;
    fleet.apply(&other_version(&options), "1").await?.check()?;
    wait_for_version(&fleet, VERSIONS[1]).await?;
    load.wait_completed(30).await?;
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    assert_eq!(aborts_and_conflicts(&fleet).await?, (0, 0), "{report}");
    Ok(())
}

/// Guards against requests that are aborted or refused while engines change roles (G2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_roles_abort_no_request() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    let mut load = LoadHandle::start(scenario(22, 30.0, MODELS), fleet.targets(), None);
    load.wait_completed(30).await?;
    let file = FleetFile {
        roles: [(1, 1), (1, 1), (0, 0)],
        ..options.file
    };
    fleet.apply(&file, "1").await?.check()?;
    fleet
        .wait_until(
            "a prefill and a decode engine in each zone",
            async |fleet| {
                let mut counts = [0, 0];
                for number in 0..fleet.engines.len() {
                    let report = fleet.engine_report(number).await?;
                    match report.role {
                        Role::Prefill => counts[0] += 1,
                        Role::Decode => counts[1] += 1,
                        Role::Mixed => {}
                    }
                }
                Ok(counts == [2, 2])
            },
        )
        .await?;
    load.wait_completed(60).await?;
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    assert_eq!(aborts_and_conflicts(&fleet).await?, (0, 0), "{report}");
    Ok(())
}

/// Guards against orders of a lease holder that was paused for longer than its term and still
/// considers itself the holder (G1, G3).
#[rstest::rstest]
#[case::checking_engines(true)]
#[case::other_engines(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_lease_holder_gives_no_conflicting_order(
    #[case] checks_fencing: bool,
) -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let mut options = options();
    options.engines = 3;
    options.file.zones.truncate(1);
    options.file.checks_fencing = checks_fencing;
    let zone = options.file.zones[0].clone();
    let fleet = TestFleet::start(options.clone()).await?;
    fleet
        .wait_until("a lease", async |fleet| {
            Ok(fleet.lease(&zone).await.is_ok())
        })
        .await?;
    let before = fleet.lease(&zone).await?;
    let holder = fleet
        .entries
        .iter()
        .find(|entry| entry.id == before.holder.as_str());
    let holder = holder.expect("the holder is an entry instance");
    fleet.apply(&other_version(&options), "1").await?.check()?;
    // The holder is paused during the rollout, after an engine has accepted the first order.
    fleet
        .wait_until("a first order", async |fleet| {
            let mut orders = 0;
            for number in 0..fleet.engines.len() {
                orders += fleet.engine_report(number).await?.fencing_number;
            }
            Ok(orders > 0)
        })
        .await?;
    holder.process.signal(Signal::STOP);
    fleet
        .wait_until("another lease holder", async |fleet| {
            Ok(fleet.lease(&zone).await?.number > before.number)
        })
        .await?;
    holder.process.signal(Signal::CONT);
    wait_for_version(&fleet, VERSIONS[1]).await?;
    // Orders that the resumed holder had already sent would arrive within this time.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(aborts_and_conflicts(&fleet).await?, (0, 0));
    Ok(())
}
