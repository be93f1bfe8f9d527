//! Tests that the in-memory platform behaves as callers expect of a platform.

use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use wagtailarch_platform::{FakeFaults, FakePlatform, Platform, PlatformError, Precondition};

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against conditional writes that overwrite or delete a newer version.
#[rstest]
#[tokio::test]
async fn conditional_writes_with_another_version_are_rejected() {
    let platform = FakePlatform::new(1, FakeFaults::default());
    let first_version = platform
        .put("a", value("1"), Precondition::Absent)
        .await
        .unwrap();
    assert_eq!(
        platform.put("a", value("2"), Precondition::Absent).await,
        Err(PlatformError::Conflict)
    );
    let second_version = platform
        .put("a", value("2"), Precondition::Version(first_version))
        .await
        .unwrap();
    assert!(second_version > first_version);
    let outdated = platform
        .put("a", value("3"), Precondition::Version(first_version))
        .await;
    assert_eq!(outdated, Err(PlatformError::Conflict));
    assert_eq!(
        platform.delete("a", Some(first_version)).await,
        Err(PlatformError::Conflict)
    );
    platform.delete("a", Some(second_version)).await.unwrap();
    assert_eq!(
        platform.delete("a", None).await,
        Err(PlatformError::NotFound)
    );
}

/// Guards against a write with a lost response that is reported as failed or successful.
#[rstest]
#[case::took_effect(FakeFaults { lost_response_ratio: 1.0, ..FakeFaults::default() }, true, true)]
#[case::never(FakeFaults { lost_write_ratio: 1.0, ..FakeFaults::default() }, false, false)]
#[case::late(FakeFaults { late_write_ratio: 1.0, ..FakeFaults::default() }, false, true)]
#[tokio::test]
async fn a_write_with_a_lost_response_is_unknown(
    #[case] faults: FakeFaults,
    #[case] now: bool,
    #[case] after_late_writes: bool,
) {
    let platform = FakePlatform::new(2, faults);
    let result = platform.put("a", value("1"), Precondition::Absent).await;
    assert!(
        matches!(result, Err(PlatformError::Unknown(_))),
        "{result:?}"
    );
    assert_eq!(platform.peek("a").is_some(), now);
    platform.apply_late_writes();
    assert_eq!(platform.peek("a").is_some(), after_late_writes);
}

/// Guards against a watch that misses a change or reports one outside its prefix.
#[rstest]
#[tokio::test]
async fn a_watch_reports_changes_of_its_prefix_only() {
    let platform = FakePlatform::new(3, FakeFaults::default());
    let write = async {
        platform
            .put("b/1", value("1"), Precondition::Any)
            .await
            .unwrap();
        platform
            .put("a/1", value("1"), Precondition::Any)
            .await
            .unwrap();
    };
    let (response, ()) = tokio::join!(platform.watch("a/", 0, Duration::from_secs(60)), write);
    let response = response.unwrap();
    assert_eq!(response.events.len(), 1);
    assert_eq!(response.events[0].key, "a/1");
    let idle = platform
        .watch("a/", response.revision, Duration::from_millis(5))
        .await
        .unwrap();
    assert!(idle.events.is_empty());
}

/// Guards against pages with repeated or missing keys.
#[rstest]
#[tokio::test]
async fn pages_cover_every_key_once() {
    let platform = FakePlatform::new(4, FakeFaults::default());
    for n in 0..7 {
        platform
            .put(&format!("k/{n}"), value("v"), Precondition::Absent)
            .await
            .unwrap();
    }
    platform
        .put("l/0", value("v"), Precondition::Absent)
        .await
        .unwrap();
    let mut keys = Vec::new();
    let mut after = None;
    loop {
        let page = platform.list("k/", after.as_deref(), 3).await.unwrap();
        keys.extend(page.items.into_iter().map(|item| item.key));
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(keys, (0..7).map(|n| format!("k/{n}")).collect::<Vec<_>>());
}
