//! End-to-end tests of failures of entry instances, the platform and backend servers.

use std::time::Duration;

use http::{Method, StatusCode};
use rustix::process::Signal;
use wagtailarch_e2e::weights::{ALL, MODELS, PLAIN};
use wagtailarch_e2e::{
    FleetOptions, HarnessError, LoadHandle, MODEL, Reply, TestFleet, one_fleet, scenario,
};
use wagtailarch_load::load::RequestKind;
use wagtailarch_wire::platform::ListedState;

/// Guards against a killed entry instance that costs requests of others, and against calls that
/// run twice when the client repeats them with the same key (G6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry_instance_loses_only_its_own() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut scenario = scenario(11, 60.0, ALL);
    scenario.post_repeats = 3;
    let mut load = LoadHandle::start(scenario, fleet.entry_targets(), None);
    load.wait_completed(60).await?;
    fleet.entries[0].process.signal(Signal::KILL);
    load.wait_completed(100).await?;
    let report = load.finish().await?;
    let killed = fleet.entries[0].client.to_string();
    let others = report
        .lost_by_target
        .keys()
        .filter(|target| **target != killed)
        .count();
    assert_eq!(others, 0, "{report}");
    assert_eq!((report.doubled, report.mixed), (0, 0), "{report}");
    let runs = [
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ];
    assert_eq!(runs, [0; 3], "{report}");
    Ok(())
}

/// Guards against an outage of the platform that stops serving, or lets a non-idempotent call run
/// without a claim.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_outage_stops_only_claims() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(12, 60.0, ALL), fleet.targets(), None);
    load.wait_completed(60).await?;
    fleet.platform_outage(Duration::from_secs(4)).await?;
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

/// Guards against new work on an engine that the platform lists as leaving (G7).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_engine_gets_no_new_work() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let fleet = TestFleet::start(FleetOptions::default()).await?;
    let mut load = LoadHandle::start(scenario(13, 60.0, MODELS), fleet.targets(), None);
    load.wait_completed(60).await?;
    fleet.set_listed("engine-0", ListedState::Leaving).await?;
    // The list lags by 0.5 s, so the first sign can be seen from then on; the bound is 3 s after
    // it, and 1 s is added for the calls of the test itself.
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

/// Guards against refusals that reach clients while a plain service leaves by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_service_refuses_no_client() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
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
    let drained = wagtailarch_e2e::call(
        Method::POST,
        address,
        "/standin/v1/drain",
        &[],
        String::new(),
    )
    .await?;
    assert_eq!(drained.status, StatusCode::NO_CONTENT);
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

/// Returns a fleet with one zone and more engines than one request may crash.
async fn fleet_to_crash() -> Result<TestFleet, HarnessError> {
    let mut options = FleetOptions {
        engines: 5,
        ..FleetOptions::default()
    };
    options.file.zones.truncate(1);
    TestFleet::start(options).await
}

/// Sends a request that crashes engines and returns the reply.
async fn send_poison(fleet: &TestFleet, entry: usize) -> Result<Reply, HarnessError> {
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

/// Asserts that a reply is the refusal of a quarantined request.
fn assert_quarantined(reply: &Reply) {
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY, "{text}");
    assert!(text.contains("quarantined"), "{text}");
}

/// Guards against a quarantine that does not stop the request or does not reach other instances.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quarantine_spreads_to_all_instances() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let mut fleet = fleet_to_crash().await?;
    assert_quarantined(&send_poison(&fleet, 0).await?);
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
        assert_quarantined(&send_poison(&fleet, entry).await?);
    }
    assert_eq!(fleet.crashed_engines(), 2);
    Ok(())
}

/// Guards against a request that crashes every engine because its client repeats it everywhere
/// without a pause.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crashing_request_stops_after_two_engines() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let mut fleet = fleet_to_crash().await?;
    for round in 0..6 {
        let entry = round % fleet.entries.len();
        assert_quarantined(&send_poison(&fleet, entry).await?);
    }
    assert_eq!(fleet.crashed_engines(), 2);
    Ok(())
}
