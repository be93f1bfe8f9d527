//! End-to-end tests of serving without failures, during a rolling restart and after a crash.

use std::time::Duration;

use rustix::process::Signal;
use wagtailarch_e2e::weights::{ALL, MODELS};
use wagtailarch_e2e::{FleetOptions, HarnessError, LoadHandle, TestFleet, lock_fleet, scenario};

/// Guards against responses that are lost, duplicated or mixed up although no process fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn load_without_failures_is_completed() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let load = LoadHandle::start(scenario(1, 100.0, ALL), fleet.targets(), Some(300));
    let report = load.join().await?;
    assert_eq!(report.completed, 300, "{report}");
    assert!(!report.has_faults(), "{report}");
    Ok(())
}

/// Guards against an entry instance that aborts or refuses requests during its shutdown (G8).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_aborts_no_request() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let mut fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(2, 60.0, ALL), fleet.targets(), None);
    load.wait_completed(50).await?;
    for number in 0..fleet.entries.len() {
        let status = fleet.entries[number]
            .process
            .stop(Duration::from_secs(20))
            .await?;
        assert!(status.success(), "{}", fleet.entries[number].process.log());
        fleet.restart_entry(number).await?;
        load.wait_completed(30).await?;
    }
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    Ok(())
}

/// Guards against streams that are lost or corrupted when their engine crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_engine_loses_no_stream() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(3, 40.0, MODELS), fleet.targets(), None);
    load.wait_completed(50).await?;
    let is_running = async |fleet: &TestFleet| Ok(fleet.engine_report(0).await?.running > 0);
    fleet
        .wait_until("a running request on engine-0", is_running)
        .await?;
    fleet.engines[0].process.signal(Signal::KILL);
    load.wait_completed(100).await?;
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    Ok(())
}
