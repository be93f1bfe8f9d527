//! Tests what is known about the software versions at which streams began.

mod common;

use std::time::Duration;

use common::{ENGINES, engine};
use rstest::rstest;
use wagtailarch_dispatch::{
    BackendServer, STREAM_LIFETIME, ServiceVersions, StreamOrigins, asked_keepers, origin_keepers,
    version_key,
};
use wagtailarch_types::{InstanceId, Role, ServiceName, VersionKey};
use wagtailarch_wire::origin::{Origin, OriginBody, OriginMessage, OriginRecord};

const OLD: &str = "v1";
const NEW: &str = "v2";

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn service() -> ServiceName {
    ENGINES.into()
}

fn key(version: &str) -> VersionKey {
    version_key(ENGINES, version)
}

/// Returns engines of the given versions.
fn engines(versions: &[&str]) -> Vec<BackendServer> {
    let engines = versions
        .iter()
        .enumerate()
        .map(|(number, version)| BackendServer {
            version: (*version).into(),
            ..engine(&format!("engine-{number}"), "a", Role::Decode)
        });
    engines.collect()
}

/// Returns the only version for a take-up at `now`, for which the store shows no changes.
fn only_version(versions: &mut ServiceVersions, now: Duration) -> Option<VersionKey> {
    versions.on_current(now, &[]);
    versions.only_version(now, &service(), now)
}

/// Guards against an instance that was cut off or stood still and takes a version for the only one,
/// also if its clock stood still as well: a read that was sent before the take-up proves nothing.
#[rstest]
#[case::not_read(None, None)]
#[case::read_before(Some((9, OLD)), None)]
#[case::read_after(Some((10, OLD)), Some(OLD))]
#[case::other_version(Some((10, NEW)), None)]
fn the_only_version_is_proven_by_a_read_after_the_take_up(
    #[case] read: Option<(u64, &str)>,
    #[case] expected: Option<&str>,
) {
    let mut versions = ServiceVersions::default();
    versions.on_servers(s(1), &engines(&[OLD]), Some(s(1)));
    versions.on_record(s(2), &service(), &[key(OLD)]);
    if let Some((asked_at, version)) = read {
        let newly_mixed = versions.on_current(s(asked_at), &[(service(), key(version))]);
        assert_eq!(newly_mixed.is_empty(), version == OLD);
    }
    assert_eq!(
        versions.only_version(s(10), &service(), s(10)),
        expected.map(key)
    );
}

/// Guards against an instance that takes the only version that it lists for that of a stream which
/// began before it started.
#[test]
fn a_list_with_one_version_proves_nothing_about_the_time_before() {
    let mut versions = ServiceVersions::default();
    versions.on_servers(s(1), &engines(&[OLD, OLD]), Some(s(1)));
    assert_eq!(only_version(&mut versions, s(10)), None);
    // An instance that has seen all changes for the lifetime of a stream knows.
    let later = s(1) + STREAM_LIFETIME;
    assert_eq!(only_version(&mut versions, later), Some(key(OLD)));
}

/// Guards against an instance that trusts a record which was read before it lost the store.
#[rstest]
#[case(&[OLD], Some(OLD))]
#[case(&[OLD, NEW], None)]
#[case(&[NEW], None)]
fn a_record_proves_the_only_version_until_changes_are_missed(
    #[case] recorded: &[&str],
    #[case] expected: Option<&str>,
) {
    let expected = expected.map(key);
    let mut versions = ServiceVersions::default();
    versions.on_servers(s(1), &engines(&[OLD]), Some(s(1)));
    let recorded: Vec<_> = recorded.iter().map(|version| key(version)).collect();
    versions.on_record(s(2), &service(), &recorded);
    assert_eq!(only_version(&mut versions, s(3)), expected);
    versions.on_servers(s(4), &engines(&[OLD]), None);
    assert_eq!(only_version(&mut versions, s(5)), None);
    // A list after a loss does not show the servers that came and left before it.
    versions.on_servers(s(6), &engines(&[OLD]), Some(s(6)));
    assert_eq!(only_version(&mut versions, s(7)), None);
    versions.on_record(s(7), &"other".into(), &[]);
    assert_eq!(only_version(&mut versions, s(7)), None);
    versions.on_record(s(7), &service(), &recorded);
    assert_eq!(only_version(&mut versions, s(8)), expected);
}

/// Guards against a version that is forgotten while its streams may be taken up, and against one
/// that is remembered for ever. A return to the old version counts as its use.
#[test]
fn a_version_that_left_is_remembered_for_the_lifetime_of_its_streams() {
    let mut versions = ServiceVersions::default();
    versions.on_servers(s(0), &engines(&[OLD]), Some(s(0)));
    assert_eq!(
        versions.on_servers(s(200), &engines(&[OLD, NEW]), Some(s(0))),
        [service()]
    );
    assert!(
        versions
            .on_servers(s(300), &engines(&[NEW]), Some(s(0)))
            .is_empty()
    );
    versions.forget_unused(s(300) + STREAM_LIFETIME - s(1));
    assert!(versions.is_mixed(&service()));
    versions.forget_unused(s(300) + STREAM_LIFETIME);
    assert_eq!(only_version(&mut versions, s(500)), Some(key(NEW)));
    versions.on_servers(s(500), &engines(&[OLD]), Some(s(0)));
    assert_eq!(only_version(&mut versions, s(501)), None);
}

/// Guards against an instance that does not know of a version which only its peers have seen, and
/// against two instances that report a version to each other for ever.
#[test]
fn versions_reported_by_peers_count_and_expire() {
    let mut first = ServiceVersions::default();
    let mut second = ServiceVersions::default();
    first.on_servers(s(0), &engines(&[OLD, NEW]), Some(s(0)));
    second.on_servers(s(0), &engines(&[NEW]), Some(s(0)));
    assert_eq!(second.on_peer(s(1), &first.report()), [service()]);
    first.on_servers(s(10), &engines(&[NEW]), Some(s(0)));
    let end = 10 + 2 * STREAM_LIFETIME.as_secs();
    for now in 10..=end {
        first.forget_unused(s(now));
        second.forget_unused(s(now));
        let (from_first, from_second) = (first.report(), second.report());
        first.on_peer(s(now), &from_second);
        second.on_peer(s(now), &from_first);
    }
    assert!(!first.is_mixed(&service()));
    assert!(!second.is_mixed(&service()));
}

/// Guards against anything that is sent for a service with one version.
#[test]
fn one_version_is_not_reported() {
    let mut versions = ServiceVersions::default();
    versions.on_servers(s(0), &engines(&[OLD, OLD]), Some(s(0)));
    assert!(versions.report().is_empty());
}

/// Guards against an origin that is guessed: after two streams with the same key, after the server
/// came back with another version, and after the record has expired.
#[test]
fn only_unambiguous_records_tell_the_origin() {
    let mut origins = StreamOrigins::default();
    assert_eq!(origins.origin(s(0), 1), Origin::Unknown);
    origins.on_begun(s(0), 1, key(OLD), 7);
    origins.on_record(s(1), 2, Some(key(NEW)));
    assert_eq!(origins.origin(s(2), 1), Origin::Version(key(OLD)));
    assert_eq!(origins.origin(s(2), 2), Origin::Version(key(NEW)));
    origins.on_record(s(3), 2, Some(key(OLD)));
    assert_eq!(origins.origin(s(4), 2), Origin::Ambiguous);
    assert_eq!(origins.on_version_changed(7), [1]);
    assert_eq!(origins.origin(s(4), 1), Origin::Ambiguous);
    origins.on_begun(s(5), 3, key(OLD), 8);
    assert_eq!(origins.origin(s(5) + STREAM_LIFETIME, 3), Origin::Unknown);
}

/// Guards against records of completed streams that are sent when a second version appears, and
/// against a stream that is taken up and then counts as one of a keeper.
#[test]
fn unfinished_streams_of_the_instance_are_sent_to_keepers() {
    let mut origins = StreamOrigins::default();
    for stream in 1..=3 {
        origins.on_begun(s(0), stream, key(OLD), 7);
    }
    origins.on_record(s(0), 9, Some(key(OLD)));
    origins.on_completed(2);
    origins.on_record(s(1), 3, Some(key(OLD)));
    let mut unfinished: Vec<_> = origins.unfinished().map(|(stream, _)| stream).collect();
    unfinished.sort_unstable();
    assert_eq!(unfinished, [1, 3]);
}

/// Guards against memory that grows with the number of streams or of made-up identifiers.
#[test]
fn the_number_of_records_is_bounded() {
    let mut origins = StreamOrigins::default();
    for stream in 0..200_000 {
        origins.on_record(s(1), stream, Some(key(OLD)));
        origins.on_record(s(1), 0, Some(key(OLD)));
    }
    assert!(origins.len() <= 65_536, "{}", origins.len());
    assert_eq!(origins.origin(s(1), 199_999), Origin::Version(key(OLD)));
    origins.on_record(s(2) + STREAM_LIFETIME, 1, Some(key(OLD)));
    assert_eq!(origins.len(), 1);
}

/// Guards against keepers that are not asked, since the lists of two instances differ: the one that
/// serves the stream is no keeper, and up to two instances have failed or started meanwhile.
#[rstest]
#[case(8)]
#[case(370)]
fn the_keepers_of_a_stream_are_asked(#[case] instances: usize) {
    let fleet: Vec<InstanceId> = (0..instances)
        .map(|n| format!("front-{n}").into())
        .collect();
    let mut known = 0;
    for stream in 0..1_000 {
        let (origin, asking) = (&fleet[0], &fleet[1]);
        let live: Vec<_> = fleet
            .iter()
            .filter(|name| *name != origin)
            .cloned()
            .collect();
        let mut listed: Vec<_> = fleet
            .iter()
            .filter(|name| *name != asking)
            .cloned()
            .collect();
        listed.push("front-new-1".into());
        listed.push("front-new-2".into());
        let keepers = origin_keepers(stream, &live);
        let asked = asked_keepers(stream, &listed);
        known += usize::from(keepers.iter().any(|k| asked.contains(k) || k == asking));
    }
    assert!(known >= 990, "{known} of 1000");
}

/// States the size of the messages from which the figures of the capacity page are worked out.
#[test]
fn a_record_is_sent_in_few_bytes() {
    let record = OriginRecord {
        key: u64::MAX,
        version: Some(u64::MAX),
    };
    let message = |count| OriginMessage::new(OriginBody::Records(vec![record; count]));
    let bytes = |count| message(count).encode().expect("encodable").len();
    assert!(bytes(1) <= 24, "{}", bytes(1));
    assert!(bytes(32) <= 700, "{}", bytes(32));
    assert_eq!(
        OriginMessage::decode(&message(2).encode().expect("encodable")),
        Some(message(2))
    );
}
