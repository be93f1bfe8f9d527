//! End-to-end tests of failures of entry instances, the platform and backend servers.

use std::time::Duration;

use http::{Method, StatusCode};
use rustix::process::Signal;
use wagtailarch_e2e::weights::{ALL, MODELS, PLAIN};
use wagtailarch_e2e::{
    FleetOptions, HarnessError, HttpResponse, LoadHandle, MODEL, TestFleet, lock_fleet, scenario,
};
use wagtailarch_load::load::RequestKind;
use wagtailarch_wire::platform::ListedState;

/// Guards against lost requests of other entry instances when one is killed, and against calls that
/// run twice when the client repeats them with the same idempotency key (G6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry_instance_loses_only_its_own_requests() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut scenario = scenario(11, 60.0, ALL);
    scenario.post_repeats = 3;
    let mut load = LoadHandle::start(scenario, fleet.entry_targets(), None);
    load.wait_completed(60).await?;
    fleet.entries[0].process.signal(Signal::KILL);
    load.wait_completed(100).await?;
    let report = load.finish().await?;
    let killed = fleet.entries[0].client.to_string();
    let lost_by_others = report
        .lost_by_target
        .keys()
        .filter(|target| **target != killed)
        .count();
    assert_eq!(lost_by_others, 0, "{report}");
    assert_eq!((report.doubled, report.mixed), (0, 0), "{report}");
    let runs = [
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ];
    assert_eq!(runs, [0; 3], "{report}");
    Ok(())
}

/// Guards against an outage of the platform that stops serving, and against non-idempotent calls
/// that run without a claim during it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_outage_stops_only_claims() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(12, 60.0, ALL), fleet.targets(), None);
    load.wait_completed(60).await?;
    fleet.start_platform_outage(Duration::from_secs(4)).await?;
    load.wait_completed(300).await?;
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    let posts = report
        .kind(RequestKind::Post)
        .expect("non-idempotent calls");
    assert_eq!(report.refused, posts.refused, "{report}");
    assert!(posts.refused > 0 && posts.completed > 0, "{report}");
    for (code, count) in &report.refused_by_code {
        assert_eq!(code, "claims_unavailable", "{report}");
        assert_eq!(count.ran_no, count.total(), "{report}");
    }
    Ok(())
}

/// Guards against new requests on an engine that the platform lists as leaving (G7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_engine_gets_no_new_work() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(13, 60.0, MODELS), fleet.targets(), None);
    load.wait_completed(60).await?;
    fleet
        .set_listed_state("engine-0", ListedState::Leaving)
        .await?;
    // The list lags by 0.5 s before it shows the new state, and the bound is 3 s from then on. The
    // calls of this test may take another 1 s.
    tokio::time::sleep(Duration::from_millis(4500)).await;
    let before = fleet.engine_counters(0).await?;
    load.wait_completed(120).await?;
    let after = fleet.engine_counters(0).await?;
    assert_eq!(before.accepted, after.accepted);
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    Ok(())
}

/// Guards against refusals of a plain service that drains without having been listed as leaving:
/// they must not reach clients.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_service_refuses_no_client() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = FleetOptions {
        services: 2,
        engines: 1,
        ..FleetOptions::default()
    };
    let mut fleet = TestFleet::start(options).await?;
    let mut load = LoadHandle::start(scenario(14, 60.0, PLAIN), fleet.targets(), None);
    load.wait_completed(60).await?;
    let address = fleet.services[0].address;
    let runs_before = fleet.service_runs(0).await?.len();
    assert!(runs_before > 0);
    let response = wagtailarch_e2e::call(
        Method::POST,
        address,
        "/standin/v1/drain",
        &[],
        String::new(),
    )
    .await?;
    assert_eq!(response.status, StatusCode::NO_CONTENT);
    load.wait_completed(100).await?;
    let report = load.finish().await?;
    assert!(!report.has_faults(), "{report}");
    assert_eq!(report.completed, report.sent, "{report}");
    let status = fleet.services[0]
        .process
        .stop(Duration::from_secs(20))
        .await?;
    assert!(status.success());
    Ok(())
}

/// Starts a fleet with one zone and more engines than a request may crash.
async fn start_crash_fleet() -> Result<TestFleet, HarnessError> {
    let mut options = FleetOptions {
        engines: 5,
        ..FleetOptions::default()
    };
    options.file.zones.truncate(1);
    TestFleet::start(options).await
}

/// Sends a request that crashes the engines that run it, and returns the response.
async fn send_crashing_request(
    fleet: &TestFleet,
    entry: usize,
) -> Result<HttpResponse, HarnessError> {
    let body = serde_json::json!({
        "model": MODEL,
        "prompt": "<<poison>> CRASH-ON-RUN",
        "max_tokens": 8,
    });
    fleet
        .client_call(
            entry,
            Method::POST,
            "/v1/completions",
            &[],
            body.to_string(),
        )
        .await
}

/// Asserts that a response is the refusal of a quarantined request.
fn assert_quarantined(response: &HttpResponse) {
    let text = String::from_utf8_lossy(&response.body);
    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
    assert!(text.contains("quarantined"), "{text}");
}

/// Guards against a quarantined request that other instances, or the same instance, run again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine_spreads_to_all_instances() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let mut fleet = start_crash_fleet().await?;
    assert_quarantined(&send_crashing_request(&fleet, 0).await?);
    assert_eq!(fleet.crashed_engines(), 2);
    fleet
        .wait_until("the quarantine at every instance", async |fleet| {
            for entry in &fleet.entries {
                let listed = fleet.admin_call(entry, "/admin/v1/quarantine").await?;
                let text = String::from_utf8_lossy(&listed.body).into_owned();
                if !text.contains("\"quarantined\"") {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await?;
    for entry in 0..fleet.entries.len() {
        assert_quarantined(&send_crashing_request(&fleet, entry).await?);
    }
    assert_eq!(fleet.crashed_engines(), 2);
    Ok(())
}

/// Guards against a request that crashes every engine because its client repeats it at all
/// instances without waiting: the quarantine must reach each instance before the next call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_stops_after_two_engines() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let mut fleet = start_crash_fleet().await?;
    for round in 0..6 {
        let entry = round % fleet.entries.len();
        assert_quarantined(&send_crashing_request(&fleet, entry).await?);
    }
    assert_eq!(fleet.crashed_engines(), 2);
    Ok(())
}
