//! Messages between instances as the landed revision encodes them.
//!
//! While instances are replaced, two revisions exchange messages. The texts were recorded on 61da004; a
//! change of an encoding needs a new version of it, and then its text here changes.

use std::fmt::{Debug, Write};

use rstest::rstest;
use wagtailarch_types::Urgency;
use wagtailarch_wire::{
    load_note::{
        LimitReport, LoadNote, NoteBundle, OpenPrefill, SentPrefixes, StoreVersions, StrikeNote,
    },
    origin::{Origin, OriginBody, OriginMessage, OriginRecord},
    part_report::{BlameReport, CrashReport, OutputReport, PartReports, ReportedPart},
    path_report::{LostPaths, PathReport},
    permit::{PermitBody, PermitMessage, PermitOutcome, PermitRank},
    relay::{
        self, RELAY_VERSION, RelayKind, RelayRequest, RelayResponse, RelayedObject, RelayedRead,
    },
};

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2);
    let bytes = pairs.map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("digits"));
    bytes.collect()
}

/// Checks that a message is encoded to the recorded text and decoded from it.
fn check<T: PartialEq + Debug>(
    message: &T,
    encoded: &[u8],
    recorded: &str,
    decode: impl Fn(&[u8]) -> Option<T>,
) {
    assert_eq!(hexadecimal(encoded), recorded);
    assert_eq!(decode(&bytes(recorded)).as_ref(), Some(message));
}

/// Returns a note in which no list is empty.
fn note() -> LoadNote {
    let part = ReportedPart { key: 21, depth: 1 };
    LoadNote {
        sender: "front-a-1".into(),
        zone: "a".into(),
        boot: 7,
        sequence: 300,
        generation: 4,
        store_versions: StoreVersions {
            routing: 8,
            servers: 9,
        },
        open_prefills: vec![OpenPrefill {
            engine: 10,
            number: 11,
            work_ms: 12,
            urgency: Urgency::Near,
        }],
        sent_prefixes: vec![SentPrefixes {
            engine: 10,
            prefixes: vec![(13, 14)],
        }],
        running: vec![(10, 2)],
        strikes: vec![StrikeNote {
            fingerprint: 15,
            server: "s1".into(),
        }],
        limits: vec![LimitReport {
            server: 16,
            milli_per_s: Some(1_500),
            age_ms: 17,
        }],
        parts: PartReports {
            crashes: vec![CrashReport {
                server: 18,
                age_ms: 19,
                parts: vec![part],
            }],
            outputs: vec![OutputReport {
                part: 22,
                age_ms: 23,
            }],
            blames: vec![BlameReport {
                part: 24,
                age_ms: 25,
                trials: 1,
            }],
        },
        versions: vec![(26, 27)],
        paths: PathReport {
            lost: LostPaths::Listed(vec![28]),
            leaving: true,
            served_for_peers: 29,
        },
    }
}

/// Guards against a load note that the revision before cannot read.
#[rstest]
fn the_encoding_of_load_notes_is_kept() {
    let bundle = NoteBundle::new(vec![note()]);
    let encoded = bundle.encode().expect("encoded");
    check(&bundle, &encoded, NOTE, NoteBundle::decode);
}

/// Guards against the same for messages about permits.
#[rstest]
#[case(PermitBody::Request { limit: LimitReport { server: 1, milli_per_s: None, age_ms: 2 }, rank: PermitRank::Low }, PERMIT_REQUEST)]
#[case(PermitBody::Response { server: 1, rank: PermitRank::Urgent, outcome: PermitOutcome::Denied { next_ms: 3, spacing_ms: 4, ask_after_ms: 500 } }, PERMIT_RESPONSE)]
fn the_encoding_of_permits_is_kept(#[case] body: PermitBody, #[case] recorded: &str) {
    let message = PermitMessage::new(5, body);
    let encoded = message.encode().expect("encoded");
    check(&message, &encoded, recorded, PermitMessage::decode);
}

/// Guards against the same for messages about the origins of streams.
#[rstest]
#[case(OriginBody::Records(vec![OriginRecord { key: 1, version: Some(2) }]), ORIGIN_RECORDS)]
#[case(OriginBody::Question { number: 3, key: 4 }, ORIGIN_QUESTION)]
#[case(OriginBody::Answer { number: 3, origin: Origin::Version(5) }, ORIGIN_ANSWER)]
fn the_encoding_of_origins_is_kept(#[case] body: OriginBody, #[case] recorded: &str) {
    let message = OriginMessage::new(body);
    let encoded = message.encode().expect("encoded");
    check(&message, &encoded, recorded, OriginMessage::decode);
}

/// Guards against the same for requests to relays and their responses. Requests of version 2 are
/// those of c9d2774.
#[rstest]
#[case(2, EARLIER_RELAY_REQUEST)]
#[case(RELAY_VERSION, RELAY_REQUEST)]
fn the_encoding_of_relays_is_kept(#[case] version: u8, #[case] recorded: &str) {
    let request = RelayRequest {
        version,
        kind: RelayKind::Servers,
        have: Some(300),
        wait_ms: 400,
    };
    let encoded = relay::encode(&request).expect("encoded");
    check(&request, &encoded, recorded, |bytes| {
        relay::decode(bytes).ok()
    });
    assert!(request.is_supported());
    let read = RelayedRead {
        version: 301,
        age_ms: 5,
    };
    let object = RelayedObject {
        name: "s1".into(),
        version: 301,
        content: "{}".to_owned(),
    };
    let response = RelayResponse::Changes(read, vec![(object, true)]);
    let encoded = relay::encode(&response).expect("encoded");
    check(&response, &encoded, RELAY_RESPONSE, |bytes| {
        relay::decode(bytes).ok()
    });
}

const NOTE: &str = "09010966726f6e742d612d31016107ac02040809010a0b0c01010a010d0e010a02010f027331011001dc0b1101121301150101161701181901011a1b00011c011d";
const PERMIT_REQUEST: &str = "80050001000202";
const PERMIT_RESPONSE: &str = "8005010100010304f403";
const ORIGIN_RECORDS: &str = "c00001010102";
const ORIGIN_QUESTION: &str = "c0010304";
const ORIGIN_ANSWER: &str = "c002030105";
const EARLIER_RELAY_REQUEST: &str = "020101ac029003";
const RELAY_REQUEST: &str = "030101ac029003";
const RELAY_RESPONSE: &str = "03ad020501027331ad02027b7d01";
