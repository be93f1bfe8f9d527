//! Benchmarks of routing and admission decisions, each compared with a naive scan.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use wagtailarch_fleet::Team;
use wagtailarch_traffic::{
    Admission, AdmitRequest, BackendView, GroupCapacity, LoadReport, Router, SelectionRequest,
};
use wagtailarch_types::{Assignment, BackendKind, BackendState, Phase, Priority, Role};

const CANDIDATES: usize = 300;
const TEAMS: usize = 29_000;
const NOW: Duration = Duration::from_secs(100);

fn views() -> Vec<BackendView> {
    let view = |index: usize| BackendView {
        id: format!("engine-{index:04}").into(),
        group: "g".into(),
        kind: BackendKind::Engine,
        zone: "z".into(),
        address: "10.0.0.1:8000".into(),
        assignment: Some(Assignment {
            role: Role::Mixed,
            model: "m".into(),
            version: "2026-11".into(),
            adapters: vec!["jam".into(), "lids".into()],
        }),
        state: BackendState::Serving,
        report: Some(LoadReport {
            seq: 1,
            running: (index % 17) as u32,
            queued_tokens: (index % 7) as u64 * 500,
            decode_slots: 32,
            prefill_tokens_per_s: 10_000.0,
            ..LoadReport::default()
        }),
        report_age: Duration::from_secs(1),
        accepting: true,
        serving_since: Duration::ZERO,
    };
    (0..CANDIDATES).map(view).collect()
}

fn request(prefix_hashes: Vec<u64>) -> SelectionRequest {
    SelectionRequest {
        group: "g".into(),
        kind: BackendKind::Engine,
        phase: Phase::Full,
        model: Some("m".into()),
        version: Some("2026-11".into()),
        adapter: Some("lids".into()),
        prefix_hashes,
        prompt_tokens: 800,
        preferred_zone: None,
        excluded: Vec::new(),
        suspect: false,
        backends_with_suspects: Vec::new(),
    }
}

/// Scans all views for the least load, as a router without a table would.
fn naive_select(views: &[BackendView], request: &SelectionRequest) -> Option<String> {
    let can_serve = |view: &&BackendView| {
        let assignment = view.assignment.as_ref();
        view.accepting
            && view.group == request.group
            && view.kind == request.kind
            && assignment.is_some_and(|assignment| {
                assignment.role.serves(request.phase)
                    && Some(&assignment.model) == request.model.as_ref()
                    && Some(&assignment.version) == request.version.as_ref()
                    && request
                        .adapter
                        .as_ref()
                        .is_none_or(|adapter| assignment.adapters.contains(adapter))
            })
    };
    let load = |view: &BackendView| view.report.map_or(0, |report| report.running);
    let best = views
        .iter()
        .filter(can_serve)
        .min_by_key(|view| load(view))?;
    Some(best.id.to_string())
}

fn routing(criterion: &mut Criterion) {
    let views = views();
    let router = Router::new("z".into(), 1);
    router.update(NOW, views.clone());
    let plain = request(Vec::new());
    let prefixed = request(vec![1, 2, 3]);
    criterion.bench_function("route/two_choices", |bencher| {
        bencher.iter(|| black_box(router.select(NOW, black_box(&plain))));
    });
    criterion.bench_function("route/affinity", |bencher| {
        bencher.iter(|| black_box(router.select(NOW, black_box(&prefixed))));
    });
    criterion.bench_function("route/naive_scan", |bencher| {
        bencher.iter(|| black_box(naive_select(black_box(&views), black_box(&plain))));
    });
    let two = time(|| drop(router.select(NOW, black_box(&plain))));
    let affinity = time(|| drop(router.select(NOW, black_box(&prefixed))));
    let naive = time(|| drop(black_box(naive_select(&views, black_box(&plain)))));
    println!(
        "route: two choices {two:.0} ns, affinity {affinity:.0} ns, naive {naive:.0} ns, \
         ratios {:.2} and {:.2}",
        two / naive,
        affinity / naive
    );
}

fn admission(criterion: &mut Criterion) {
    let teams: Vec<Team> = (0..TEAMS)
        .map(|index| Team {
            name: format!("team-{index:05}").into(),
            key_hash: "".into(),
            further_key_hashes: Vec::new(),
            route_priority: None,
            requests_per_s: 1e6,
            tokens_per_s: 1e9,
            weight: 1.0,
            priority: Priority::Normal,
            services: Vec::new(),
        })
        .collect();
    let capacity = GroupCapacity {
        group: "g".into(),
        backends: 300,
        slots: 9_600,
        running: 4_000,
        queued_tokens: 10_000,
        prefill_tokens_per_s: 3e6,
        token_interval: Duration::from_millis(40),
    };
    let admission = Admission::new(1);
    admission.update(NOW, &teams, 370, &[capacity]);
    let requests: Vec<AdmitRequest> = (0..TEAMS)
        .map(|index| AdmitRequest {
            // A step coprime to the number of teams visits all of them, but not in order.
            team: teams[index * 7_919 % TEAMS].name.clone(),
            group: "g".into(),
            request_id: index as u128,
            priority: Priority::Normal,
            deadline: Some(Duration::from_secs(30)),
            prompt_tokens: 800,
            max_tokens: 200,
        })
        .collect();
    let mut next = 0;
    let mut admit = || {
        next = (next + 1) % TEAMS;
        drop(black_box(admission.admit(NOW, &requests[next])));
    };
    let mut at = 0;
    let mut naive = || {
        at = (at + 1) % TEAMS;
        let name = &requests[at].team;
        black_box(teams.iter().find(|team| team.name == *name));
    };
    criterion.bench_function("admit/29000_teams", |bencher| bencher.iter(&mut admit));
    criterion.bench_function("admit/naive_scan", |bencher| bencher.iter(&mut naive));
    let (own, scan) = (time(&mut admit), time(&mut naive));
    println!(
        "admit: {own:.0} ns, naive {scan:.0} ns, ratio {:.4}",
        own / scan
    );
}

/// Returns the mean time of a call in nanoseconds.
fn time(mut call: impl FnMut()) -> f64 {
    const CALLS: u32 = 20_000;
    let start = Instant::now();
    for _ in 0..CALLS {
        call();
    }
    start.elapsed().as_nanos() as f64 / f64::from(CALLS)
}

criterion_group!(
    name = decisions;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = routing, admission
);
criterion_main!(decisions);
