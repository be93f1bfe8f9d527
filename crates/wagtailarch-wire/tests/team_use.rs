//! Tests of the messages about the use of teams.

use rstest::rstest;
use wagtailarch_wire::{
    origin::OriginMessage,
    permit::PermitMessage,
    team_use::{UseAccepted, UseBody, UseCounts, UseMessage, WindowCounts},
};

fn counts() -> UseMessage {
    UseMessage::new(UseBody::Counts(UseCounts {
        sender: "i".into(),
        boot: 7,
        number: 1,
        reported_through: 3,
        complete_through: 4,
        windows: vec![WindowCounts {
            window: 5,
            teams: vec![("t".into(), 300)],
        }],
    }))
}

fn accepted() -> UseMessage {
    UseMessage::new(UseBody::Accepted(UseAccepted {
        keeper: "k".into(),
        boot: 9,
        number: 1,
        reported_through: 3,
    }))
}

/// The encoding does not change in place: other builds read it.
#[rstest]
#[case::counts(counts(), &[160, 0, 1, b'i', 7, 1, 3, 4, 1, 5, 1, 1, b't', 172, 2])]
#[case::accepted(accepted(), &[160, 1, 1, b'k', 9, 1, 3])]
fn keeps_encoding(#[case] message: UseMessage, #[case] expected: &[u8]) {
    let bytes = message.encode().expect("encodable");
    assert_eq!(bytes, expected);
    assert_eq!(UseMessage::decode(&bytes), Some(message));
}

/// Messages of other versions, cut ones and those of other kinds are not mistaken for one another.
#[test]
fn ignores_other_messages() {
    let bytes = counts().encode().expect("encodable");
    for end in 0..bytes.len() {
        assert_eq!(UseMessage::decode(&bytes[..end]), None, "{end} bytes");
    }
    let mut newer = bytes.clone();
    newer[0] = 161;
    assert_eq!(UseMessage::decode(&newer), None);
    assert!(PermitMessage::decode(&bytes).is_none());
    assert!(OriginMessage::decode(&bytes).is_none());
}
