//! Tests of the object store and the list of instances of the stand-in platform, without sockets.

use std::time::{Duration, Instant};

use bytes::Bytes;
use wagtailarch_standin::platform::{InstanceRegistry, Precondition, Store, StoreError};
use wagtailarch_wire::platform::{InstanceKind, ListedInstance, ListedState, WatchEventKind};

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against a conditional write that overwrites a concurrent write.
#[test]
fn preconditions_are_checked() {
    let mut store = Store::default();
    let first = store
        .put("a", value("1"), Precondition::Absent)
        .expect("created");
    assert_eq!(
        store.put("a", value("2"), Precondition::Absent),
        Err(StoreError::Mismatch)
    );
    let second = store
        .put("a", value("2"), Precondition::Version(first))
        .expect("updated");
    assert!(second > first);
    let late = store.put("a", value("3"), Precondition::Version(first));
    assert_eq!(late, Err(StoreError::Mismatch));
    assert_eq!(store.get("a"), Some((second, value("2"))));
    assert_eq!(
        store.delete("a", Precondition::Version(first)),
        Err(StoreError::Mismatch)
    );
    assert_eq!(store.delete("a", Precondition::Version(second)), Ok(()));
    assert_eq!(
        store.delete("a", Precondition::None),
        Err(StoreError::NotFound)
    );
}

/// Guards against watches that miss a change or continue after the changes since their start have
/// expired.
#[test]
fn a_watch_returns_changes_until_they_expire() {
    let mut store = Store::default();
    let first = store
        .put("p/a", value("1"), Precondition::None)
        .expect("written");
    store
        .put("q/b", value("1"), Precondition::None)
        .expect("written");
    store.delete("p/a", Precondition::None).expect("deleted");
    let changes = store.changes("p/", first).expect("not expired");
    assert_eq!(changes.events.len(), 1);
    assert_eq!(changes.events[0].kind, WatchEventKind::Delete);
    assert_eq!(changes.revision, 3);
    for _ in 0..10_000 {
        store
            .put("q/b", value("2"), Precondition::None)
            .expect("written");
    }
    assert_eq!(store.changes("p/", first), Err(StoreError::Expired));
}

/// Guards against list pages that skip or repeat keys.
#[test]
fn list_pages_cover_all_keys_once() {
    let mut store = Store::default();
    for number in 0..25 {
        store
            .put(&format!("p/{number:02}"), value("v"), Precondition::None)
            .expect("written");
    }
    store
        .put("q", value("v"), Precondition::None)
        .expect("written");
    let (mut keys, mut after) = (Vec::new(), String::new());
    loop {
        let page = store.list("p/", &after, 10);
        assert!(page.items.iter().all(|item| item.value_base64 == "dg=="));
        keys.extend(page.items.into_iter().map(|item| item.key));
        let Some(next) = page.next else {
            break;
        };
        after = next;
    }
    let expected: Vec<_> = (0..25).map(|number| format!("p/{number:02}")).collect();
    assert_eq!(keys, expected);
}

/// Guards against a list of instances that contains changes before its lag has passed.
#[test]
fn the_list_of_instances_lags() {
    let mut instances = InstanceRegistry::new(Duration::from_secs(1));
    let start = Instant::now();
    let item = ListedInstance {
        id: "e1".into(),
        kind: InstanceKind::Engine,
        group: None,
        zone: "z".into(),
        address: "127.0.0.1:1".into(),
        peer_address: None,
        state: ListedState::Live,
    };
    assert!(instances.register(item, start));
    let second = start + Duration::from_secs(1);
    assert!(instances.set_state("e1", ListedState::Leaving, second));
    assert!(instances.list(start).items.is_empty());
    assert_eq!(instances.list(second).items[0].state, ListedState::Live);
    let third = second + Duration::from_secs(1);
    assert_eq!(instances.list(third).items[0].state, ListedState::Leaving);
}
