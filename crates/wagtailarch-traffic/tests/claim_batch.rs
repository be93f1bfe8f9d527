//! Tests of the size of claim log entries.

use std::time::Duration;

use wagtailarch_traffic::{
    ClaimAction, ClaimLog, ClaimOutcome, CreateResult, MAX_OUTCOME_BYTES, ReadResult,
};

/// Greatest size in bytes of a value on the platform.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Guards against an entry that the platform refuses as too large: it would be retried forever, and
/// its partition would grant nothing more.
#[test]
fn entries_fit_into_an_object() {
    let mut now = Duration::ZERO;
    let mut log = ClaimLog::new("entry-1".into(), 1, now, 0, 0);
    let mut actions = Vec::new();
    for key in 0..1_024 {
        actions.extend(log.submit(now, key, u128::MAX - u128::from(key)));
    }
    for key in 0..64 {
        let outcome = ClaimOutcome {
            status: 201,
            body: vec![255; MAX_OUTCOME_BYTES],
        };
        actions.extend(log.record_outcome(now, u128::MAX - key, outcome));
    }
    let mut outcomes_written = 0;
    for _ in 0..100 {
        now += Duration::from_millis(100);
        actions.extend(log.tick(now));
        for action in std::mem::take(&mut actions) {
            match action {
                ClaimAction::Read { seq } => {
                    actions.extend(log.on_read(now, seq, ReadResult::Absent));
                }
                ClaimAction::Create { seq, batch } => {
                    let bytes = serde_json::to_vec(&batch).expect("a batch has a JSON form");
                    assert!(bytes.len() <= MAX_VALUE_BYTES, "{} bytes", bytes.len());
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    outcomes_written += text.matches("\"status\"").count();
                    actions.extend(log.on_created(now, seq, CreateResult::Created));
                }
                ClaimAction::Resolve { .. } => {}
            }
        }
    }
    assert_eq!(outcomes_written, 64);
}
