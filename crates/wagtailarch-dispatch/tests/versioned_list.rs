//! Tests the version under which a list is relayed.

use wagtailarch_dispatch::VersionedList;

/// Guards against a new relay that lists other objects under the version of its former relay, so
/// that readers of that version keep an instance that has left.
#[test]
fn a_list_keeps_its_version_only_without_differences() {
    let mut list = VersionedList::default();
    assert_eq!(list.on_stored(10, vec!["a", "b"]), 10);
    assert_eq!(list.on_stored(20, vec!["a", "b"]), 10);
    list.on_relayed(30, vec!["a", "b", "c"]);
    assert_eq!(list.on_stored(40, vec!["a", "b"]), 40);
    assert_eq!(list.on_stored(50, vec!["a", "b"]), 40);
}
