//! End-to-end tests of network partitions between zones and from the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rustix::process::Signal;
use serde::Deserialize;
use tokio::task::JoinHandle;
use wagtailarch_e2e::weights::ALL;
use wagtailarch_e2e::{
    FleetFile, FleetOptions, HarnessError, HttpResponse, KEY, LoadHandle, MODEL, TestFleet,
    VERSIONS, call, lock_fleet, scenario,
};
use wagtailarch_load::load::{LoadReport, RequestKind, Targets};
use wagtailarch_standin::link::Cut;
use wagtailarch_wire::platform::{InstanceKind, ListedInstance, ListedState};

/// Zone that the tests cut off; it contains the entry instances 0 and 2 and the engines 0 and 2.
const CUT_ZONE: &str = "buda-a";
const CUT_ENTRIES: [usize; 2] = [0, 2];
const CUT_ENGINES: [usize; 2] = [0, 2];
const OTHER_ENTRY: usize = 1;
/// Port range for the entry instances of these tests.
const PORTS: std::ops::Range<u16> = 28_000..28_990;

fn options() -> FleetOptions {
    FleetOptions {
        services: 2,
        links: true,
        ports: PORTS,
        ..FleetOptions::default()
    }
}

/// Returns the fleet file with another rate limit; to apply it requires no order to an engine.
fn other_rate_limit(options: &FleetOptions) -> FleetFile {
    FleetFile {
        requests_per_s: 50_000.0,
        ..options.file.clone()
    }
}

/// Response of the administration API with the generation that an entry instance applies.
#[derive(Debug, Deserialize)]
struct GenerationStatus {
    generation: Option<u64>,
}

async fn generation(fleet: &TestFleet, number: usize) -> Result<Option<u64>, HarnessError> {
    let entry = &fleet.entries[number];
    let response = fleet.admin_call(entry, "/admin/v1/generation").await?;
    Ok(response.json::<GenerationStatus>()?.generation)
}

async fn wait_generation(
    fleet: &TestFleet,
    number: usize,
    expected: u64,
) -> Result<(), HarnessError> {
    let awaited = format!("generation {expected} at entry-{number}");
    fleet
        .wait_until(&awaited, async |fleet| {
            Ok(generation(fleet, number).await? == Some(expected))
        })
        .await
}

/// Polls the generations of all entry instances in the background and records every decrease and
/// every failed call.
struct GenerationMonitor {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl GenerationMonitor {
    fn start(fleet: &TestFleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let admins: Vec<_> = fleet.entries.iter().map(|entry| entry.admin).collect();
        let task = tokio::spawn(async move {
            let bearer = format!("Bearer {KEY}");
            let headers = [("authorization", bearer.as_str())];
            let mut highest = vec![None; admins.len()];
            let mut failures = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (number, admin) in admins.iter().enumerate() {
                    let path = "/admin/v1/generation";
                    let response = call(Method::GET, *admin, path, &headers, String::new()).await;
                    let status = response.and_then(|response| response.json::<GenerationStatus>());
                    let Ok(GenerationStatus { generation }) = status else {
                        failures.push(format!("entry-{number}: {status:?}"));
                        continue;
                    };
                    if generation < highest[number] {
                        let previous = highest[number];
                        failures.push(format!("entry-{number}: {previous:?}, {generation:?}"));
                    }
                    highest[number] = highest[number].max(generation);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            failures
        });
        Self { stop, task }
    }

    /// Stops polling and returns the failures.
    async fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the monitor does not panic")
    }
}

/// Returns the targets for load on the entry instances inside or outside of the cut zone.
fn targets_on_side(fleet: &TestFleet, in_cut_zone: bool) -> Targets {
    let all = fleet.entry_targets();
    let entries = fleet.entries.iter().zip(all.entries);
    let entries = entries.filter(|(entry, _)| (entry.zone == CUT_ZONE) == in_cut_zone);
    Targets {
        entries: entries.map(|(_, target)| target).collect(),
        ..fleet.targets()
    }
}

/// Asserts that no response was lost, duplicated or mixed up, that no non-idempotent call ran
/// wrongly, and that every entry instance was reachable.
fn assert_no_fault(report: &LoadReport) {
    let responses = [report.lost, report.doubled, report.mixed];
    assert_eq!(responses, [0; 3], "{report}");
    let runs = [
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ];
    assert_eq!(runs, [0; 3], "{report}");
    assert_eq!(report.unreachable, 0, "{report}");
}

/// Returns the total number of orders that engines of the cut zone have carried out.
async fn orders_in_cut_zone(fleet: &TestFleet) -> Result<u64, HarnessError> {
    let mut sum = 0;
    for number in CUT_ENGINES {
        sum += fleet.engine_counters(number).await?.orders;
    }
    Ok(sum)
}

async fn wait_for_version(fleet: &TestFleet, engines: &[usize]) -> Result<(), HarnessError> {
    fleet
        .wait_until("the new version on engines", async |fleet| {
            for &number in engines {
                if fleet.engine_report(number).await?.version != VERSIONS[1] {
                    return Ok(false);
                }
            }
            Ok(true)
        })
        .await
}

async fn model_call(fleet: &TestFleet, number: usize) -> Result<HttpResponse, HarnessError> {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"<<partition>>","max_tokens":4}}"#);
    let path = "/v1/completions";
    fleet
        .client_call(number, Method::POST, path, &[], body)
        .await
}

/// Guards against a cut zone that stops serving or runs non-idempotent calls without a claim, and
/// against orders to its engines without a valid lease (G1, G3, G4, G5, G6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_zone_serves_without_claims_and_orders() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    let lease = fleet
        .wait_until("a lease", async |fleet| {
            Ok(fleet.lease(CUT_ZONE).await.is_ok())
        })
        .await;
    lease?;
    let mut inside =
        LoadHandle::start(scenario(41, 20.0, ALL), targets_on_side(&fleet, true), None);
    let mut outside = LoadHandle::start(
        scenario(42, 20.0, ALL),
        targets_on_side(&fleet, false),
        None,
    );
    inside.wait_completed(20).await?;
    outside.wait_completed(20).await?;
    let version = FleetFile {
        version: VERSIONS[1].into(),
        ..options.file.clone()
    };
    fleet.apply(&version, "1").await?.check()?;
    // The lease holder of the cut zone has the new version, so it would send orders if its lease
    // were still valid.
    wait_generation(&fleet, CUT_ENTRIES[0], 2).await?;
    wait_generation(&fleet, CUT_ENTRIES[1], 2).await?;
    fleet.cut_zone(CUT_ZONE).await?;
    let cut_at = Instant::now();
    inside.wait_completed(60).await?;
    let term = Duration::from_millis(fleet.lease(CUT_ZONE).await?.term_ms);
    tokio::time::sleep_until((cut_at + term).into()).await;
    let orders = orders_in_cut_zone(&fleet).await?;
    inside.wait_completed(60).await?;
    outside.wait_completed(60).await?;
    assert_eq!(orders_in_cut_zone(&fleet).await?, orders);
    fleet.links()?.heal().await?;
    wait_for_version(&fleet, &CUT_ENGINES).await?;
    let (inside, outside) = (inside.finish().await?, outside.finish().await?);
    assert_no_fault(&inside);
    assert_no_fault(&outside);
    assert_eq!(outside.completed, outside.sent, "{outside}");
    let posts = inside
        .kind(RequestKind::Post)
        .expect("non-idempotent calls");
    assert_eq!(inside.refused, posts.refused, "{inside}");
    assert!(posts.refused > 0 && posts.completed > 0, "{inside}");
    for (code, count) in &inside.refused_by_code {
        assert_eq!(code, "claims_unavailable", "{inside}");
        assert_eq!(count.ran_no, count.total(), "{inside}");
    }
    for number in 0..fleet.engines.len() {
        let counters = fleet.engine_counters(number).await?;
        let faults = (counters.aborted_requests, counters.order_conflicts);
        assert_eq!(faults, (0, 0), "engine-{number}");
    }
    Ok(())
}

/// Guards against a status that reports a generation as in force everywhere during a partition, a
/// generation that does not arrive after it, and an instance that returns to an older one (G9).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_during_cut_is_in_force_after_healing() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    fleet.wait_in_force(1).await?;
    let monitor = GenerationMonitor::start(&fleet);
    fleet.cut_zone(CUT_ZONE).await?;
    fleet
        .apply(&other_rate_limit(&options), "1")
        .await?
        .check()?;
    fleet
        .wait_until("the unknown status of the cut zone", async |fleet| {
            let status = fleet.ctl(&["status", "--generation", "2"]).await?;
            assert_eq!(status.code, NOT_IN_FORCE, "{}", status.text);
            let mut lines = status.text.lines();
            Ok(lines.any(|line| line.contains(CUT_ZONE) && line.contains("unknown")))
        })
        .await?;
    wait_generation(&fleet, OTHER_ENTRY, 2).await?;
    for number in CUT_ENTRIES {
        assert_eq!(generation(&fleet, number).await?, Some(1));
    }
    fleet.links()?.heal().await?;
    fleet.wait_in_force(2).await?;
    for number in 0..fleet.entries.len() {
        assert_eq!(generation(&fleet, number).await?, Some(2));
    }
    assert_eq!(monitor.finish().await, Vec::<String>::new());
    Ok(())
}

/// Exit code of `wagtailctl status` for a generation that is not in force everywhere.
const NOT_IN_FORCE: i32 = 5;

/// Guards against a restarted instance that cannot serve because its zone cannot reach the
/// platform: it stores no configuration on disk and must fetch it from peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_restarted_in_cut_zone_serves() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let mut fleet = TestFleet::start(options.clone()).await?;
    fleet
        .apply(&other_rate_limit(&options), "1")
        .await?
        .check()?;
    fleet.wait_in_force(2).await?;
    fleet.cut_zone(CUT_ZONE).await?;
    let restarted = CUT_ENTRIES[0];
    fleet.entries[restarted].process.signal(Signal::KILL);
    let limit = Duration::from_secs(10);
    fleet.entries[restarted].process.wait(limit).await?;
    fleet.restart_entry(restarted).await?;
    assert_eq!(generation(&fleet, restarted).await?, Some(2));
    fleet
        .wait_until("a response of the restarted instance", async |fleet| {
            Ok(model_call(fleet, restarted).await?.status == StatusCode::OK)
        })
        .await?;
    let path = "/lids/shows";
    let response = fleet.client_call(restarted, Method::GET, path, &[], String::new());
    assert_eq!(response.await?.status, StatusCode::OK);
    Ok(())
}

/// Number of unresponsive peers in each zone.
///
/// A sender waits 3 s for each of them, so a flood that reached peers one after the other would
/// take longer than the timeout for a condition (25 s).
const UNRESPONSIVE_PEERS: usize = 10;

/// Adds entry instances that never respond to the platform's list.
async fn list_unresponsive_peers(
    fleet: &TestFleet,
    zone: &str,
    address: &str,
) -> Result<(), HarnessError> {
    for number in 0..UNRESPONSIVE_PEERS {
        let peer = ListedInstance {
            // The list is sorted by ID, so these peers precede the others.
            id: format!("a-unresponsive-{zone}-{number}").into(),
            kind: InstanceKind::Entry,
            group: None,
            zone: zone.into(),
            address: address.into(),
            peer_address: Some(address.into()),
            state: ListedState::Live,
        };
        fleet.control_platform("instances", &peer).await?;
    }
    Ok(())
}

/// Returns whether an entry instance received, directly in a flood, that a backend server is
/// leaving.
fn received_leaving_flood(fleet: &TestFleet, number: usize) -> bool {
    let log = fleet.entries[number].process.log();
    let mut lines = log.lines();
    lines.any(|line| line.contains("event=flooded ") && line.contains(" kind=leaving"))
}

/// Guards against listed peers that do not respond and thereby delay serving, or floods to other
/// peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_peers_delay_nothing() -> Result<(), HarnessError> {
    let _fleet_guard = lock_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    // A bound socket that is never read accepts datagrams without a response or an error.
    let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
    let unresponsive_address = socket.local_addr()?.to_string();
    for zone in &options.file.zones {
        list_unresponsive_peers(&fleet, zone, &unresponsive_address).await?;
    }
    fleet
        .wait_until("an attempt to reach an unresponsive peer", async |fleet| {
            let log = fleet.entries[CUT_ENTRIES[1]].process.log();
            let mut lines = log.lines();
            Ok(lines
                .any(|line| line.contains("peer_unreachable") && line.contains("a-unresponsive")))
        })
        .await?;
    let mut load = LoadHandle::start(scenario(43, 30.0, ALL), fleet.targets(), None);
    load.wait_completed(60).await?;
    // Without its link to the platform, the instance learns only from peers that an engine is
    // leaving.
    let cut = Cut {
        links: vec![format!("platform-{}", CUT_ENTRIES[0]).into()],
        ..Cut::default()
    };
    fleet.links()?.cut(&cut).await?;
    fleet
        .set_listed_state("engine-0", ListedState::Leaving)
        .await?;
    fleet
        .wait_until("a flood that an engine is leaving", async |fleet| {
            Ok(received_leaving_flood(fleet, CUT_ENTRIES[0]))
        })
        .await?;
    let accepted_before = fleet.engine_counters(0).await?.accepted;
    load.wait_completed(60).await?;
    assert_eq!(fleet.engine_counters(0).await?.accepted, accepted_before);
    let report = load.finish().await?;
    assert_no_fault(&report);
    let posts = report
        .kind(RequestKind::Post)
        .expect("non-idempotent calls");
    assert_eq!(report.refused, posts.refused, "{report}");
    for code in report.refused_by_code.keys() {
        assert_eq!(code, "claims_unavailable", "{report}");
    }
    Ok(())
}
