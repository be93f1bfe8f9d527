//! Tests of the selection of backend servers.

use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;
use wagtailarch_traffic::{BackendView, LoadReport, Router, SelectionRequest, prefix_hashes};
use wagtailarch_types::{Assignment, BackendKind, BackendState, Phase, Role};

const LATE: Duration = Duration::from_secs(100);

fn engine(id: &str, zone: &str, role: Role) -> BackendView {
    BackendView {
        id: id.into(),
        group: "g".into(),
        kind: BackendKind::Engine,
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        assignment: Some(Assignment {
            role,
            model: "m".into(),
            version: "1".into(),
            adapters: vec!["jam".into()],
        }),
        state: BackendState::Serving,
        report: Some(LoadReport {
            seq: 1,
            decode_slots: 16,
            prefill_tokens_per_s: 10_000.0,
            ..LoadReport::default()
        }),
        report_age: Duration::ZERO,
        accepting: true,
        serving_since: Duration::ZERO,
    }
}

fn request() -> SelectionRequest {
    SelectionRequest {
        group: "g".into(),
        kind: BackendKind::Engine,
        phase: Phase::Full,
        model: Some("m".into()),
        version: Some("1".into()),
        adapter: None,
        prefix_hashes: Vec::new(),
        prompt_tokens: 10,
        preferred_zone: None,
        excluded: Vec::new(),
        suspect: false,
        backends_with_suspects: Vec::new(),
    }
}

fn router(views: Vec<BackendView>) -> Router {
    let router = Router::new("z".into(), 7);
    router.update(LATE, views);
    router
}

fn mixed_engines(count: usize) -> Vec<BackendView> {
    (0..count)
        .map(|index| engine(&format!("e{index}"), "z", Role::Mixed))
        .collect()
}

/// Guards against a request sent to an engine that is leaving, draining or assigned to something
/// else.
#[rstest]
#[case::leaving(|view: &mut BackendView| view.accepting = false)]
#[case::draining(|view: &mut BackendView| view.state = BackendState::Draining)]
#[case::other_role(|view: &mut BackendView| view.assignment.as_mut().unwrap().role = Role::Prefill)]
#[case::other_version(|view: &mut BackendView| view.assignment.as_mut().unwrap().version = "2".into())]
#[case::unknown(|view: &mut BackendView| view.assignment = None)]
#[case::other_group(|view: &mut BackendView| view.group = "h".into())]
fn unsuitable_engines_get_nothing(#[case] change: fn(&mut BackendView)) {
    let mut view = engine("e", "z", Role::Mixed);
    assert!(
        router(vec![view.clone()])
            .select(LATE, &request())
            .is_some()
    );
    change(&mut view);
    assert!(router(vec![view]).select(LATE, &request()).is_none());
}

/// Guards against a request sent to a suspended or excluded engine, or to one without the adapter.
#[test]
fn suspended_and_excluded_engines_get_nothing() {
    let router = router(mixed_engines(2));
    let excluded = SelectionRequest {
        excluded: vec!["e0".into()],
        ..request()
    };
    assert_eq!(router.select(LATE, &excluded).expect("e1").id, "e1");
    router.suspend(&"e1".into());
    assert!(router.select(LATE, &excluded).is_none());
    let adapter = SelectionRequest {
        adapter: Some("lids".into()),
        ..request()
    };
    assert!(router.select(LATE, &adapter).is_none());
}

/// Guards against two suspects on one backend server, and against a suspect that still blocks its
/// backend server after it has ended.
#[test]
fn suspects_run_apart() {
    let router = router(mixed_engines(3));
    let suspect = SelectionRequest {
        suspect: true,
        backends_with_suspects: vec!["e2".into()],
        ..request()
    };
    let first = router.select(LATE, &suspect).expect("free");
    let second = router.select(LATE, &suspect).expect("free");
    assert_ne!(first.id, second.id);
    assert!(first.id != "e2" && second.id != "e2");
    assert!(router.select(LATE, &suspect).is_none());
    drop(first);
    assert!(router.select(LATE, &suspect).is_some());
}

/// Guards against requests that do not count as load before the next report, which would all go to
/// one engine, and against load that remains after they end.
#[test]
fn own_requests_count_at_once() {
    let router = router(mixed_engines(8));
    let selections: Vec<_> = (0..64)
        .map(|_| router.select(LATE, &request()).expect("free"))
        .collect();
    let counts: Vec<u32> = (0..8)
        .map(|index| router.in_flight(&format!("e{index}").into()))
        .collect();
    assert_eq!(counts.iter().sum::<u32>(), 64);
    assert!(
        *counts.iter().max().unwrap() <= 11,
        "the better of two choices keeps the load even: {counts:?}"
    );
    drop(selections);
    assert_eq!(router.in_flight(&"e0".into()), 0);
}

/// Guards against requests of this instance that count twice, once in a lagging report and once
/// locally.
#[test]
fn own_part_of_a_late_report_counts_once() {
    let report = |seq, running| {
        let mut views = mixed_engines(2);
        for view in &mut views {
            view.report = Some(LoadReport {
                seq,
                running,
                ..view.report.unwrap()
            });
            view.report_age = Duration::from_secs(1);
        }
        views
    };
    let router = Router::new("z".into(), 3);
    let only_e0 = SelectionRequest {
        excluded: vec!["e1".into()],
        ..request()
    };
    router.update(LATE, report(1, 0));
    let selections: Vec<_> = (0..10)
        .map(|_| router.select(LATE, &only_e0).expect("e0"))
        .collect();
    router.update(LATE + Duration::from_secs(1), report(2, 0));
    // The report contains this instance's 10 requests on e0 and 8 of other instances on e1.
    let mut views = report(3, 10);
    views[1].report.as_mut().unwrap().running = 8;
    router.update(LATE + Duration::from_secs(2), views);
    drop(selections);
    let selection = router
        .select(LATE + Duration::from_secs(2), &request())
        .expect("free");
    assert_eq!(
        selection.id, "e0",
        "without this instance's requests e0 is idle"
    );
}

/// Guards against full load on an engine that has just started.
#[test]
fn slow_start_limits_new_engines() {
    let mut views = mixed_engines(4);
    views[0].serving_since = LATE - Duration::from_secs(1);
    let router = router(views);
    let selections: Vec<_> = (0..40)
        .map(|_| router.select(LATE, &request()).expect("free"))
        .collect();
    let on_new_engine = router.in_flight(&"e0".into());
    assert!(
        on_new_engine <= 3,
        "{on_new_engine} of {} on the new engine",
        selections.len()
    );
}

/// Guards against needless traffic between zones, and against a full zone while another is idle.
#[test]
fn own_zone_first_until_it_is_full() {
    let mut views = mixed_engines(2);
    views.push(engine("far", "y", Role::Mixed));
    let router = router(views);
    let selections: Vec<_> = (0..100)
        .map(|_| router.select(LATE, &request()).expect("some"))
        .collect();
    let first_far = selections
        .iter()
        .position(|selection| selection.id == "far")
        .expect("spills");
    assert!(
        (20..=34).contains(&first_far),
        "first spill at {first_far} of 32 local slots"
    );
    let near_request = SelectionRequest {
        preferred_zone: Some("y".into()),
        ..request()
    };
    drop(selections);
    assert_eq!(router.select(LATE, &near_request).expect("some").id, "far");
}

/// Guards against a prefix whose prompts are spread over all engines, which defeats the prefix
/// cache, and against one that overloads a single engine.
#[test]
fn prefixes_stay_together_within_the_load_bound() {
    let prompt = "x".repeat(2_000);
    let hashes = prefix_hashes(&prompt);
    assert_eq!(hashes.len(), 2, "1 and 4 blocks of 256 bytes fit");
    let router = router(mixed_engines(8));
    let same_prefix = SelectionRequest {
        prefix_hashes: hashes,
        ..request()
    };
    let preferred = router.select(LATE, &same_prefix).expect("free").id.clone();
    for _ in 0..20 {
        assert_eq!(
            router.select(LATE, &same_prefix).expect("free").id,
            preferred,
            "idle engines keep prefixes"
        );
    }
    let mut counts: HashMap<_, u32> = HashMap::new();
    let selections: Vec<_> = (0..80)
        .map(|_| router.select(LATE, &same_prefix).expect("free"))
        .collect();
    for selection in &selections {
        *counts.entry(selection.id.clone()).or_default() += 1;
    }
    assert!(
        counts[&preferred] <= 14,
        "bound of 1.25 x 10 and one: {counts:?}"
    );
}

/// Guards against a split without engines for both phases.
#[test]
fn split_needs_both_roles() {
    let views = |role| vec![engine("a", "z", role), engine("b", "z", Role::Decode)];
    assert!(router(views(Role::Prefill)).should_split(&request()));
    assert!(!router(views(Role::Mixed)).should_split(&request()));
    assert!(!router(vec![engine("a", "z", Role::Prefill)]).should_split(&request()));
}

/// Guards against prompts that queue on a prefill engine while a decode engine has spare capacity.
#[test]
fn split_goes_where_the_prompt_is_processed_earlier() {
    let views = |queued_tokens, running| {
        let mut views = vec![
            engine("a", "z", Role::Prefill),
            engine("b", "z", Role::Decode),
        ];
        views[0].report.as_mut().unwrap().queued_tokens = queued_tokens;
        views[1].report.as_mut().unwrap().running = running;
        views
    };
    assert!(router(views(0, 0)).should_split(&request()));
    assert!(!router(views(20_000, 0)).should_split(&request()));
    assert!(
        router(views(20_000, 16)).should_split(&request()),
        "the decode engine is full"
    );
}
