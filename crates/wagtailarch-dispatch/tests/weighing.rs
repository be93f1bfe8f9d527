//! Tests the figures by which servers are compared, which are shown without selecting one.

mod common;

use std::time::Duration;

use common::{ENGINES, PLAIN, config, engine, plain, prompt, request};
use wagtailarch_dispatch::{LoadBalancer, Placement};
use wagtailarch_types::{Role, ZoneName};
use wagtailarch_wire::{
    explanation::{Exclusion, Figures},
    permit::PermitRank,
};

const NOW: Duration = Duration::from_secs(10);

/// Guards against an explanation that names another server than the one that would be selected, or
/// that changes the state by which it is.
#[test]
fn the_best_plain_server_is_the_selected_one() {
    let mut balancer = LoadBalancer::default();
    let servers = [plain("s1", "a"), plain("s2", "b"), plain("s3", "b")];
    balancer.apply(&servers, &config());
    balancer.on_busy(NOW, &"s1".into());
    balancer.on_sent(&"s2".into());
    let before = format!("{balancer:?}");

    let zone: ZoneName = "a".into();
    let weighed = balancer.weigh_servers(NOW, &PLAIN.into(), &zone, PermitRank::Normal);
    let selected = balancer.select_server(NOW, &PLAIN.into(), &zone, PermitRank::Normal, &[]);

    assert_eq!(weighed[0].server, selected.expect("a server").id);
    let ids: Vec<_> = weighed
        .iter()
        .map(|choice| choice.server.as_str())
        .collect();
    assert_eq!(ids, ["s3", "s2", "s1"]);
    assert_eq!(weighed[2].excluded_by, Some(Exclusion::Backoff));
    assert_eq!(weighed[1].in_flight, 1);
    assert_eq!(format!("{balancer:?}"), before);
}

/// The same for the engines of a generation, while the cheapest ones are in time.
#[test]
fn the_best_engines_are_the_planned_ones() {
    let mut balancer = LoadBalancer::default();
    let servers = [
        engine("r1", "a", Role::Prefill),
        engine("r2", "b", Role::Prefill),
        engine("d1", "a", Role::Decode),
        engine("d2", "b", Role::Decode),
    ];
    balancer.apply(&servers, &config());
    balancer.add_running(&"d1".into(), 30);
    let before = format!("{balancer:?}");

    let zone: ZoneName = "a".into();
    let prefixes = prompt("shared", 6_000, "own", 2_000);
    let request = request(&prefixes, &zone);
    let weighed = balancer.weigh_engines(NOW, &ENGINES.into(), &request);
    let Placement::Use(plan) = balancer.place_generation(NOW, &ENGINES.into(), &request, &[])
    else {
        panic!("engines are free");
    };

    assert_eq!(weighed[0].server, plan.decode.id);
    let Figures::Engines { first_event_ms, .. } = weighed[0].figures else {
        panic!("figures of engines");
    };
    assert!((first_event_ms - plan.first_event.as_secs_f64() * 1_000.0).abs() < 1.0);
    assert_eq!(format!("{balancer:?}"), before);
}
