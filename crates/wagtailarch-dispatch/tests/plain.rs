//! Tests the selection of plain servers and their health.

mod common;

use std::time::Duration;

use common::{PLAIN, config, plain};
use rstest::rstest;
use wagtailarch_dispatch::{BackendServer, LoadBalancer, ServerHealth};
use wagtailarch_types::RefusalReason;
use wagtailarch_wire::permit::PermitRank;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn balancer() -> LoadBalancer {
    let mut balancer = LoadBalancer::default();
    let servers = [plain("s1", "a"), plain("s2", "b"), plain("s3", "b")];
    balancer.apply(&servers, &config());
    balancer
}

fn select(balancer: &LoadBalancer, now: Duration) -> Option<String> {
    let selected = balancer.select_server(now, &PLAIN.into(), &"a".into(), PermitRank::Normal, &[]);
    selected.map(|server| server.id.to_string())
}

/// Guards against requests that leave their zone while its server has free slots, and against a
/// server that is filled while others are idle.
#[test]
fn the_own_zone_is_preferred_until_its_server_is_loaded() {
    let mut balancer = balancer();
    assert_eq!(select(&balancer, at(0)).as_deref(), Some("s1"));
    for _ in 0..4 {
        balancer.on_sent(&"s1".into());
    }
    assert_ne!(select(&balancer, at(0)).as_deref(), Some("s1"));
}

/// Guards against a server that fails part of its requests while its health check succeeds.
#[test]
fn a_failing_server_is_avoided_and_retried_later() {
    let mut balancer = balancer();
    for _ in 0..3 {
        balancer.on_failure(at(0), &"s1".into());
    }
    assert_ne!(select(&balancer, at(10)).as_deref(), Some("s1"));
    assert_eq!(select(&balancer, at(20_000)).as_deref(), Some("s1"));
}

/// Guards against a dead server that is tried all the time: the backoff grows with each failed
/// connection.
#[test]
fn the_backoff_of_an_unreachable_server_grows() {
    let mut health = ServerHealth::default();
    health.on_unreachable(at(0));
    assert!(!health.is_available(at(300)));
    assert!(health.is_available(at(400)));
    health.on_unreachable(at(400));
    assert!(!health.is_available(at(1_100)));
    assert!(health.is_available(at(1_200)));
    health.on_success(at(1_200));
    health.on_unreachable(at(1_300));
    assert!(health.is_available(at(1_700)));
}

/// Guards against failures from before a restart that count against a restarted server with the
/// same name.
#[test]
fn a_restarted_server_begins_without_failures() {
    let mut balancer = balancer();
    balancer.on_unreachable(at(0), &"s1".into());
    assert_ne!(select(&balancer, at(10)).as_deref(), Some("s1"));
    let restarted = BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    };
    balancer.apply(&[restarted, plain("s2", "b")], &config());
    assert_eq!(select(&balancer, at(10)).as_deref(), Some("s1"));
}

/// Guards against more connections than a server accepts from all instances. It resets the excess
/// ones, and an at-most-once request on a connection that was reset cannot be repeated.
#[rstest]
#[case(8)]
#[case(100)]
fn instances_together_stay_within_the_connections_of_a_server(#[case] instances: u32) {
    let mut sent = 0;
    for _ in 0..instances {
        let mut balancer = LoadBalancer::default();
        balancer.set_instances(instances);
        balancer.apply(&[plain("s1", "a")], &config());
        while select(&balancer, at(0)).is_some() && sent < 1_000 {
            balancer.on_sent(&"s1".into());
            sent += 1;
        }
        let reason = balancer.unavailable_reason(at(0), &PLAIN.into(), PermitRank::Normal, &[]);
        assert_eq!(reason, RefusalReason::Overloaded);
        balancer.on_ended(&"s1".into());
        assert_eq!(select(&balancer, at(0)).as_deref(), Some("s1"));
    }
    // Each server of the service accepts 110 connections.
    assert!((100..=110).contains(&sent), "{sent}");
}

/// Guards against an instance that may open no connection because there are more instances than
/// connections.
#[test]
fn every_instance_may_open_a_connection() {
    let mut balancer = LoadBalancer::default();
    balancer.set_instances(10_000);
    balancer.apply(&[plain("s1", "a")], &config());
    assert_eq!(select(&balancer, at(0)).as_deref(), Some("s1"));
}

/// Guards against a wrong cause in the log if the only server of a service cannot be reached.
#[test]
fn an_unreachable_server_is_not_reported_as_overload() {
    let mut balancer = LoadBalancer::default();
    balancer.apply(&[plain("s1", "a")], &config());
    balancer.on_unreachable(at(0), &"s1".into());
    let reason = balancer.unavailable_reason(at(10), &PLAIN.into(), PermitRank::Normal, &[]);
    assert_eq!(reason, RefusalReason::NoBackend);
}

/// Guards against requests to a leaving server after registrations that were read before it said so.
#[test]
fn older_registrations_do_not_bring_a_leaving_server_back() {
    let mut balancer = balancer();
    assert!(balancer.on_stated_leaving(plain("s1", "a").process()));
    assert_ne!(select(&balancer, at(0)).as_deref(), Some("s1"));
    balancer.apply(&[plain("s1", "a")], &config());
    assert_eq!(select(&balancer, at(0)), None);
    let restarted = BackendServer {
        started_unix_ms: 2_000,
        ..plain("s1", "a")
    };
    balancer.apply(&[restarted], &config());
    assert_eq!(select(&balancer, at(0)).as_deref(), Some("s1"));
}
