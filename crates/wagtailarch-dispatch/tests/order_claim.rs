//! Tests which instance may send orders.

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

/// Guards against holders that change within three seconds: the claim of another instance is
/// acquired only after it was unchanged for longer than that.
#[test]
fn a_claim_of_another_instance_is_acquired_after_a_wait() {
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

/// Guards against acquiring a claim that its holder still renews.
#[test]
fn a_changed_claim_restarts_the_wait() {
    let mut claim = OrderClaim::new("b".into());
    claim.on_read(at(1.0), Some((content("a", 4), 70)));
    let step = claim.on_read(at(6.0), Some((content("a", 5), 71)));
    assert!(matches!(step, ClaimStep::Wait(_)));
}

/// Guards against fencing numbers that do not rise: each order has its own claim.
#[test]
fn each_order_raises_the_fencing_number() {
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

/// Guards against an order that is sent long after its claim, when another instance may have
/// acquired it.
#[test]
fn an_old_claim_permits_no_order() {
    assert!(OrderClaim::may_send(at(10.9), at(10.0)));
    assert!(!OrderClaim::may_send(at(11.1), at(10.0)));
}
