//! End-to-end tests of partitions between zones and from the platform.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rustix::process::Signal;
use serde::Deserialize;
use tokio::task::JoinHandle;
use wagtailarch_e2e::weights::ALL;
use wagtailarch_e2e::{
    FleetFile, FleetOptions, HarnessError, KEY, LoadHandle, MODEL, Reply, TestFleet, VERSIONS,
    call, one_fleet, scenario,
};
use wagtailarch_load::load::{LoadReport, RequestKind, Targets};
use wagtailarch_standin::link::Cut;
use wagtailarch_wire::platform::{InstanceKind, ListedInstance, ListedState};

/// Zone that the tests cut off; it has the entry instances 0 and 2 and the engines 0 and 2.
const CUT_ZONE: &str = "buda-a";
const CUT_ENTRIES: [usize; 2] = [0, 2];
const CUT_ENGINES: [usize; 2] = [0, 2];
const OTHER_ENTRY: usize = 1;
/// Ports of the entry instances of these tests.
const PORTS: std::ops::Range<u16> = 28_000..28_990;

fn options() -> FleetOptions {
    FleetOptions {
        services: 2,
        links: true,
        ports: PORTS,
        ..FleetOptions::default()
    }
}

/// Returns the file of the fleet with another limit, which needs no order to an engine.
fn other_limit(options: &FleetOptions) -> FleetFile {
    FleetFile {
        requests_per_s: 50_000.0,
        ..options.file.clone()
    }
}

/// Answer of an entry instance about its generation.
#[derive(Debug, Deserialize)]
struct InForce {
    generation: Option<u64>,
}

async fn generation(fleet: &TestFleet, number: usize) -> Result<Option<u64>, HarnessError> {
    let entry = &fleet.entries[number];
    let reply = fleet.admin_call(entry, "/admin/v1/generation").await?;
    Ok(reply.json::<InForce>()?.generation)
}

async fn wait_generation(
    fleet: &TestFleet,
    number: usize,
    wanted: u64,
) -> Result<(), HarnessError> {
    let what = format!("generation {wanted} at entry-{number}");
    fleet
        .wait_until(&what, async |fleet| {
            Ok(generation(fleet, number).await? == Some(wanted))
        })
        .await
}

/// Watches the generations of all entry instances; gives the decreases seen when stopped.
struct GenerationWatch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<Vec<String>>,
}

impl GenerationWatch {
    fn start(fleet: &TestFleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let admins: Vec<_> = fleet.entries.iter().map(|entry| entry.admin).collect();
        let task = tokio::spawn(async move {
            let bearer = format!("Bearer {KEY}");
            let headers = [("authorization", bearer.as_str())];
            let mut highest = vec![None; admins.len()];
            let mut decreases = Vec::new();
            while !stopped.load(Ordering::Relaxed) {
                for (number, admin) in admins.iter().enumerate() {
                    let path = "/admin/v1/generation";
                    let reply = call(Method::GET, *admin, path, &headers, String::new()).await;
                    let seen = reply.and_then(|reply| reply.json::<InForce>());
                    let Ok(InForce { generation }) = seen else {
                        decreases.push(format!("entry-{number}: {seen:?}"));
                        continue;
                    };
                    if generation < highest[number] {
                        let before = highest[number];
                        decreases.push(format!("entry-{number}: {before:?}, {generation:?}"));
                    }
                    highest[number] = highest[number].max(generation);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            decreases
        });
        Self { stop, task }
    }

    async fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the watch does not panic")
    }
}

/// Returns the targets of load on the entry instances of one side of the cut.
fn side(fleet: &TestFleet, zone_is_cut: bool) -> Targets {
    let all = fleet.entry_targets();
    let entries = fleet.entries.iter().zip(all.entries);
    let entries = entries.filter(|(entry, _)| (entry.zone == CUT_ZONE) == zone_is_cut);
    Targets {
        entries: entries.map(|(_, target)| target).collect(),
        ..fleet.targets()
    }
}

fn assert_no_fault(report: &LoadReport) {
    let answers = [report.lost, report.doubled, report.mixed];
    assert_eq!(answers, [0; 3], "{report}");
    let runs = [
        report.ran_twice,
        report.ran_though_refused,
        report.answered_without_run,
    ];
    assert_eq!(runs, [0; 3], "{report}");
    assert_eq!(report.unreachable, 0, "{report}");
}

/// Returns the sum of the orders that took effect on the engines of the cut zone.
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

async fn model_call(fleet: &TestFleet, number: usize) -> Result<Reply, HarnessError> {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"<<partition>>","max_tokens":4}}"#);
    let path = "/v1/completions";
    fleet
        .client_call(number, Method::POST, path, &[], body)
        .await
}

/// Guards against a cut zone that stops serving, runs a non-idempotent call without a claim, or
/// whose engines take orders without authority (G1, G3, G4, G5, G6).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_zone_serves_without_claims_and_orders() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    let lease = fleet
        .wait_until("a lease", async |fleet| {
            Ok(fleet.lease(CUT_ZONE).await.is_ok())
        })
        .await;
    lease?;
    let mut inside = LoadHandle::start(scenario(41, 20.0, ALL), side(&fleet, true), None);
    let mut outside = LoadHandle::start(scenario(42, 20.0, ALL), side(&fleet, false), None);
    inside.wait_completed(20).await?;
    outside.wait_completed(20).await?;
    let version = FleetFile {
        version: VERSIONS[1].into(),
        ..options.file.clone()
    };
    fleet.apply(&version, "1").await?.check()?;
    // The cut zone knows the new version, so its lease holder would give orders if it still could.
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

/// Guards against a status that says "everywhere" during a cut, a generation that does not arrive
/// after it, and an instance that goes back to an older one (G9).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_during_cut_is_in_force_after_healing() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    fleet.wait_in_force(1).await?;
    let watch = GenerationWatch::start(&fleet);
    fleet.cut_zone(CUT_ZONE).await?;
    fleet.apply(&other_limit(&options), "1").await?.check()?;
    fleet
        .wait_until("the cut zone unknown to status", async |fleet| {
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
    assert_eq!(watch.finish().await, Vec::<String>::new());
    Ok(())
}

/// Exit code of `wagtailctl status` for a generation that is not in force everywhere.
const NOT_IN_FORCE: i32 = 5;

/// Guards against an instance without a disk that cannot serve after a restart because its zone
/// cannot reach the platform.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn instance_restarted_in_cut_zone_serves() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let options = options();
    let mut fleet = TestFleet::start(options.clone()).await?;
    fleet.apply(&other_limit(&options), "1").await?.check()?;
    fleet.wait_in_force(2).await?;
    fleet.cut_zone(CUT_ZONE).await?;
    let restarted = CUT_ENTRIES[0];
    fleet.entries[restarted].process.signal(Signal::KILL);
    let limit = Duration::from_secs(10);
    fleet.entries[restarted].process.wait(limit).await?;
    fleet.restart_entry(restarted).await?;
    assert_eq!(generation(&fleet, restarted).await?, Some(2));
    fleet
        .wait_until("an answer of the restarted instance", async |fleet| {
            Ok(model_call(fleet, restarted).await?.status == StatusCode::OK)
        })
        .await?;
    let path = "/lids/shows";
    let reply = fleet.client_call(restarted, Method::GET, path, &[], String::new());
    assert_eq!(reply.await?.status, StatusCode::OK);
    Ok(())
}

/// Peers without an answer in each zone. Each costs a sender 3 s, so floods that went to one after
/// the other would take longer than the limit of a condition (25 s).
const SILENT_PEERS: usize = 10;

/// Lists entry instances that take datagrams and never answer.
async fn list_silent_peers(
    fleet: &TestFleet,
    zone: &str,
    address: &str,
) -> Result<(), HarnessError> {
    for number in 0..SILENT_PEERS {
        let peer = ListedInstance {
            // The list is in the order of the ids, so these come before the others.
            id: format!("a-silent-{zone}-{number}").into(),
            kind: InstanceKind::Entry,
            group: None,
            zone: zone.into(),
            address: address.into(),
            peer_address: Some(address.into()),
            state: ListedState::Live,
        };
        fleet.control("instances", &peer).await?;
    }
    Ok(())
}

/// Returns whether an entry instance was told by a direct flood that a backend server leaves.
fn has_flood_of_leaving(fleet: &TestFleet, number: usize) -> bool {
    let log = fleet.entries[number].process.log();
    let mut lines = log.lines();
    lines.any(|line| line.contains("event=flooded ") && line.contains(" kind=leaving"))
}

/// Guards against listed peers that do not answer and delay serving or floods to the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_peers_delay_nothing() -> Result<(), HarnessError> {
    let _one = one_fleet().await;
    let options = options();
    let fleet = TestFleet::start(options.clone()).await?;
    // A bound socket that nobody reads takes datagrams without an answer or an error.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0")?;
    let silent_address = silent.local_addr()?.to_string();
    for zone in &options.file.zones {
        list_silent_peers(&fleet, zone, &silent_address).await?;
    }
    fleet
        .wait_until("an attempt to reach a silent peer", async |fleet| {
            let log = fleet.entries[CUT_ENTRIES[1]].process.log();
            let mut lines = log.lines();
            Ok(lines.any(|line| line.contains("peer_unreachable") && line.contains("a-silent")))
        })
        .await?;
    let mut load = LoadHandle::start(scenario(43, 30.0, ALL), fleet.targets(), None);
    load.wait_completed(60).await?;
    // Without its link to the platform, only peers can tell the instance that an engine leaves.
    let cut = Cut {
        links: vec![format!("platform-{}", CUT_ENTRIES[0]).into()],
        ..Cut::default()
    };
    fleet.links()?.cut(&cut).await?;
    fleet.set_listed("engine-0", ListedState::Leaving).await?;
    fleet
        .wait_until("a flood that an engine leaves", async |fleet| {
            Ok(has_flood_of_leaving(fleet, CUT_ENTRIES[0]))
        })
        .await?;
    let before = fleet.engine_counters(0).await?.accepted;
    load.wait_completed(60).await?;
    assert_eq!(fleet.engine_counters(0).await?.accepted, before);
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
