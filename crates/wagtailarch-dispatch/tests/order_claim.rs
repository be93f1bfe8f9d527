//! Which instance may give orders.

use std::time::Duration;

use wagtailarch_dispatch::{ClaimContent, ClaimStep, OrderClaim};

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn content(holder: &str, fence: u64) -> ClaimContent {
    ClaimContent {
        holder: holder.into(),
        fence,
    }
}

/// Guards against holders that take turns within three seconds: a claim of another instance is taken
/// over only after it has not changed for longer than that.
#[test]
fn a_foreign_claim_is_waited_out() {
    let mut claim = OrderClaim::new("b".into());
    let found = || Some((content("a", 4), 70));
    assert!(matches!(
        claim.on_read(at(1.0), found()),
        ClaimStep::Wait(_)
    ));
    assert!(matches!(
        claim.on_read(at(5.0), found()),
        ClaimStep::Wait(_)
    ));
    let step = claim.on_read(at(5.6), found());
    let expected = ClaimStep::Write {
        content: content("b", 5),
        expect: Some(70),
    };
    assert_eq!(step, expected);
}

/// Guards against a take-over while the holder still renews its claim.
#[test]
fn a_changed_claim_is_waited_out_anew() {
    let mut claim = OrderClaim::new("b".into());
    claim.on_read(at(1.0), Some((content("a", 4), 70)));
    let step = claim.on_read(at(6.0), Some((content("a", 5), 71)));
    assert!(matches!(step, ClaimStep::Wait(_)));
}

/// Guards against equal or falling fencing numbers: each order has a claim of its own.
#[test]
fn each_order_raises_the_fence() {
    let mut claim = OrderClaim::new("a".into());
    let first = claim.on_read(at(1.0), None);
    let expected = ClaimStep::Write {
        content: content("a", 1),
        expect: None,
    };
    assert_eq!(first, expected);
    let second = claim.on_read(at(2.0), Some((content("a", 1), 9)));
    let expected = ClaimStep::Write {
        content: content("a", 2),
        expect: Some(9),
    };
    assert_eq!(second, expected);
}

/// Guards against an order that is sent long after its claim, when another instance may have taken
/// over.
#[test]
fn an_old_claim_permits_no_order() {
    assert!(OrderClaim::may_send(at(10.9), at(10.0)));
    assert!(!OrderClaim::may_send(at(11.1), at(10.0)));
}
