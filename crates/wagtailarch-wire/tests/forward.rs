//! Encoding of calls between instances.

use http::{HeaderMap, HeaderValue, header::CONNECTION};
use rstest::rstest;
use wagtailarch_types::Ran;
use wagtailarch_wire::{
    connection_headers::remove_connection_headers,
    forward::{
        CALL_HEADER, ForwardCall, ForwardOutcome, ForwardResume, LEAVING_HEADER, NotTaken,
        StreamEnd, TeamCall, decode, decode_leaving, encode, encode_call, encode_leaving,
        take_call,
    },
};

const CALL_TEXT: &str = "1 5 0966726f6e742d612d31ffffffffffffffffff010778010100010309";
const RESPONSE_TEXT: &str = "1 5 02020101";

fn call() -> ForwardCall {
    ForwardCall {
        sender: "front-a-1".into(),
        boot: u64::MAX,
        generation: 7,
        age_ms: 120,
        possible_runs: 1,
        is_counted: true,
        takes_retry: false,
        resume: Some(ForwardResume {
            after: 3,
            version: 9,
        }),
    }
}

#[rstest]
fn a_call_is_decoded_as_it_was_sent() {
    let value = encode(5, &call()).expect("encoded");
    assert_eq!(decode(&value), Some((5, Some(call()))));
}

#[rstest]
#[case(ForwardOutcome::NotTaken(NotTaken::Leaving))]
#[case(ForwardOutcome::Refused { reason: "no_backend".into(), ran: Ran::Unknown, retry_after_ms: 500 })]
#[case(ForwardOutcome::Response { possible_runs: 2, version: Some(1) })]
fn an_outcome_is_decoded_as_it_was_sent(#[case] outcome: ForwardOutcome) {
    let value = encode(5, &outcome).expect("encoded");
    assert_eq!(decode(&value), Some((5, Some(outcome))));
}

/// Guards against a refusal by an instance of another version that cannot name the call.
#[rstest]
#[case::another_version("2 5 00ff", Some(5))]
#[case::no_hexadecimal_digits("1 5 zz", Some(5))]
#[case::odd_digits("1 5 0", Some(5))]
#[case::not_ascii_digits("1 5 +1", Some(5))]
#[case::no_message("1 5", Some(5))]
#[case::no_number("1 x 00", None)]
#[case::empty("", None)]
fn malformed_calls_are_not_decoded(#[case] text: &str, #[case] number: Option<u64>) {
    let value = HeaderValue::from_str(text).expect("a value");
    let decoded = decode::<ForwardCall>(&value);
    assert_eq!(decoded, number.map(|number| (number, None)));
}

/// Guards against a broken stream that looks complete at the sender.
#[rstest]
fn only_a_stated_end_is_an_end() {
    for end in [
        StreamEnd::Complete,
        StreamEnd::BrokenOff,
        StreamEnd::TimedOut,
    ] {
        assert_eq!(StreamEnd::from_trailers(&end.trailers()), Some(end));
    }
    assert_eq!(StreamEnd::from_trailers(&HeaderMap::new()), None);
}

/// Guards against an encoding that the revision before cannot read, while instances of both serve
/// beside each other; the texts were recorded on 61da004.
#[rstest]
fn the_landed_encoding_is_kept() {
    let value = encode(5, &call()).expect("encoded");
    assert_eq!(value, CALL_TEXT);
    let response = ForwardOutcome::Response {
        possible_runs: 2,
        version: Some(1),
    };
    let value = encode(5, &response).expect("encoded");
    assert_eq!(value, RESPONSE_TEXT);
}

/// Guards against a leaving server that another instance does not recognize, and against a header that
/// an instance of an earlier revision passes on to a client.
#[rstest]
fn a_leaving_server_is_named_in_a_connection_header() {
    let mut headers = HeaderMap::new();
    headers.insert(CONNECTION, HeaderValue::from(LEAVING_HEADER));
    let server = "i-1".into();
    headers.append(LEAVING_HEADER, encode_leaving(&server, 7).expect("a value"));
    headers.append(LEAVING_HEADER, HeaderValue::from_static("x i-2"));
    headers.append(LEAVING_HEADER, HeaderValue::from_static("8"));
    assert_eq!(decode_leaving(&headers), [(server, 7)]);
    remove_connection_headers(&mut headers, &[]);
    assert!(headers.is_empty());
}

/// Guards against a team that gets lost between instances, or that a client states.
#[rstest]
#[case::no_team(None, 1)]
#[case::team(Some("hule930"), 2)]
#[case::not_ascii(Some("hul\u{e9}"), 2)]
fn a_call_carries_its_team(#[case] team: Option<&str>, #[case] version: u8) {
    let sent = TeamCall {
        call: call(),
        team: team.map(Into::into),
    };
    let mut headers = HeaderMap::new();
    headers.insert("wagtail-team", HeaderValue::from_static("forged"));
    encode_call(&mut headers, 5, &sent).expect("encoded");
    // An instance of an older build decodes only calls of version 1.
    let old = decode::<ForwardCall>(&headers[CALL_HEADER]);
    assert_eq!(old, Some((5, (version == 1).then(call))));
    assert_eq!(headers.contains_key("wagtail-team"), team.is_some());
    let mut on_the_way = headers.clone();
    remove_connection_headers(&mut on_the_way, &[]);
    assert!(!on_the_way.contains_key("wagtail-team"));
    assert_eq!(take_call(&mut headers), Some((5, Some(sent))));
    assert!(!headers.contains_key("wagtail-team") && !headers.contains_key(CALL_HEADER));
}

/// Guards against a call of the new version that is taken without its team, and against a team in
/// a call of the old version.
#[rstest]
#[case::without_team(2, None, None)]
#[case::forged_team(1, Some("forged"), Some(None))]
#[case::unknown_version(3, Some("hule930"), None)]
fn a_team_counts_only_in_its_version(
    #[case] version: u8,
    #[case] team: Option<&'static str>,
    #[case] taken: Option<Option<&str>>,
) {
    let mut headers = HeaderMap::new();
    let value = format!("{version}{}", &CALL_TEXT[1..]);
    headers.insert(CALL_HEADER, HeaderValue::try_from(value).expect("a value"));
    if let Some(team) = team {
        headers.insert("wagtail-team", HeaderValue::from_static(team));
    }
    let call = take_call(&mut headers).expect("a number").1;
    assert_eq!(
        call.map(|call| call.team),
        taken.map(|team| team.map(Into::into))
    );
}
