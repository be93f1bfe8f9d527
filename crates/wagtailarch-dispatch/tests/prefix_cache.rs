//! Tests the local view of an engine's prefix cache.

mod common;

use common::prompt;
use wagtailarch_dispatch::PrefixCache;

/// Guards against a prefix that counts as cached without the shorter ones, and against prompts that
/// count as cached in full because they share a part.
#[test]
fn only_whole_prefixes_count_as_cached() {
    let mut cache = PrefixCache::new(100_000);
    cache.insert(&prompt("s", 13_300, "o1", 3_720));
    assert_eq!(
        cache.cached_tokens(&prompt("s", 13_300, "o2", 5_000)),
        13_300
    );
    assert_eq!(
        cache.cached_tokens(&prompt("s", 13_300, "o1", 3_720)),
        17_020
    );
    assert_eq!(cache.cached_tokens(&prompt("t", 13_300, "o1", 3_720)), 0);
}

/// Guards against a cache that grows without bound, and against the eviction of prefixes in use.
#[test]
fn the_least_recently_used_prefixes_are_evicted() {
    let mut cache = PrefixCache::new(50_000);
    cache.insert(&prompt("s", 13_300, "o", 1_000));
    for index in 0..10 {
        cache.insert(&prompt("s", 13_300, &format!("o{index}"), 9_000));
    }
    assert_eq!(cache.cached_tokens(&prompt("s", 13_300, "x", 100)), 13_300);
    assert_eq!(
        cache.cached_tokens(&prompt("s", 13_300, "o0", 9_000)),
        13_300
    );
    assert_eq!(
        cache.cached_tokens(&prompt("s", 13_300, "o9", 9_000)),
        22_300
    );
}
