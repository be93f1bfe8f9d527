//! Tests the placement of generations on engines of several software versions.

mod common;

use std::time::Duration;

use common::{ENGINES, config, engine, prompt, request};
use wagtailarch_dispatch::{
    BackendServer, GenerationRequest, LoadBalancer, Placement, PrefillPlan, version_key,
};
use wagtailarch_types::{Role, ZoneName};

const NOW: Duration = Duration::from_secs(10);

/// Returns engines of two versions: two that decode of each, and one of the old version that only
/// reads prompts.
fn engines() -> Vec<BackendServer> {
    let engines = [
        ("old-0", "v1", Role::Decode),
        ("old-1", "v1", Role::Decode),
        ("reader", "v1", Role::Prefill),
        ("new-0", "v2", Role::Decode),
        ("new-1", "v2", Role::Decode),
    ];
    let engines = engines.map(|(id, version, role)| BackendServer {
        version: version.into(),
        ..engine(id, "a", role)
    });
    engines.into()
}

fn balancer(engines: &[BackendServer]) -> LoadBalancer {
    let mut balancer = LoadBalancer::default();
    balancer.apply(engines, &config());
    balancer
}

/// Guards against a stream that goes on at another version than that of its first event.
#[test]
fn a_stream_is_placed_at_engines_of_its_version_only() {
    let balancer = balancer(&engines());
    let zone: ZoneName = "a".into();
    for number in 0..20 {
        let prefixes = prompt(&format!("s{number}"), 300, "o", 100);
        for version in ["v1", "v2"] {
            let request = GenerationRequest {
                version: Some(version_key(ENGINES, version)),
                ..request(&prefixes, &zone)
            };
            let placement = balancer.place_generation(NOW, &ENGINES.into(), &request, &[]);
            let Placement::Use(plan) = placement else {
                panic!("engines are free: {placement:?}");
            };
            assert_eq!(plan.decode.version, version);
        }
    }
}

/// Guards against a version that leaves and whose streams go on elsewhere.
#[test]
fn a_stream_of_an_absent_version_has_no_engine() {
    let balancer = balancer(&engines());
    let zone: ZoneName = "a".into();
    let prefixes = prompt("s", 300, "o", 100);
    let request = GenerationRequest {
        version: Some(version_key(ENGINES, "v3")),
        ..request(&prefixes, &zone)
    };
    let placement = balancer.place_generation(NOW, &ENGINES.into(), &request, &[]);
    assert_eq!(placement, Placement::NoEngine);
}

/// Guards against a prompt that one version reads and another one decodes.
#[test]
fn prompts_are_read_and_decoded_at_one_version() {
    let balancer = balancer(&engines());
    let zone: ZoneName = "a".into();
    let mut split = 0;
    for number in 0..20 {
        let prefixes = prompt(&format!("s{number}"), 13_300, "o", 3_720);
        let request = request(&prefixes, &zone);
        let placement = balancer.place_generation(NOW, &ENGINES.into(), &request, &[]);
        let Placement::Use(plan) = placement else {
            panic!("engines are free: {placement:?}");
        };
        let PrefillPlan::Split(reader) = plan.prefill else {
            continue;
        };
        split += 1;
        assert_eq!(reader.version, plan.decode.version);
        let request = GenerationRequest {
            version: Some(reader.version_key),
            ..request
        };
        let decode = balancer.place_decode(NOW, &ENGINES.into(), &request, &reader.id, &[]);
        assert_eq!(decode.expect("engines are free").version, reader.version);
    }
    assert!(split > 0, "no prompt was read apart");
}

/// Guards against a server that is back under its id and address with another version and counts
/// as the same process.
#[test]
fn a_server_that_is_back_with_another_version_is_another_process() {
    let old = engine("e", "a", Role::Decode);
    let new = BackendServer {
        version: "v2".into(),
        ..old.clone()
    };
    assert!(!old.same_process(&new));
    let mut balancer = balancer(std::slice::from_ref(&old));
    assert_eq!(
        balancer.version_of(&old.id),
        Some(version_key(ENGINES, "v1"))
    );
    balancer.apply(&[new], &config());
    assert_eq!(
        balancer.version_of(&old.id),
        Some(version_key(ENGINES, "v2"))
    );
}
