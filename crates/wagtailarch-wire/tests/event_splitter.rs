//! Splitting of server-sent event streams.

use rstest::rstest;
use wagtailarch_wire::event_splitter::EventSplitter;

/// Guards against events that are cut or joined when their bytes arrive in several parts.
#[rstest]
#[case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
fn events_are_found_wherever_bytes_are_split(#[case] text: &str) {
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in [&text[..split], &text[split..]] {
            splitter.push(part.as_bytes());
            while let Some(event) = splitter.next_event().expect("short events") {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)], "split at {split}");
        let joined: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(joined, text.as_bytes());
    }
}

/// Guards against a partial event that is passed on when its engine stops in the middle of it.
#[test]
fn half_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: whole\n\nid: 8\ndata: ha");
    assert_eq!(
        splitter
            .next_event()
            .expect("short events")
            .and_then(|event| event.id),
        Some(7)
    );
    assert_eq!(splitter.next_event(), Ok(None));
    assert_eq!(&splitter.take_rest()[..], b"id: 8\ndata: ha");
}

/// Guards against a stream that counts as complete although it ends inside an event or a line.
#[rstest]
#[case("", false)]
#[case("id: 1\ndata: a\n\n", false)]
#[case("id: 1\r\ndata: a\r\n\r\n", false)]
#[case("id: 1\ndata: a\n\n: wait\n\n", false)]
#[case("id: 1\ndata: a\n\n: wait\n", false)]
#[case("id: 1\ndata: a\n\nid: 2", true)]
#[case("id: 1\ndata: a\n\nid: 2\n", true)]
#[case("id: 1\ndata: a\n\nid: 2\ndata: b", true)]
#[case("id: 1\ndata: a\n\nid: 2\ndata: b\n", true)]
#[case("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r", true)]
#[case("id: 1\ndata: a\n\n: wa", true)]
#[case("id: 1\ndata: a\n\n: wait\n\nda", true)]
fn an_end_inside_an_event_is_recognized(#[case] text: &str, #[case] inside: bool) {
    let mut splitter = EventSplitter::default();
    splitter.push(text.as_bytes());
    while splitter.next_event().expect("short events").is_some() {}
    assert_eq!(splitter.is_inside_event(), inside);
}

/// Guards against comments that count as progress, and against comments that are dropped.
#[test]
fn comments_are_passed_on_with_the_event_after_them() {
    let mut splitter = EventSplitter::default();
    splitter.push(b": wait\n\n:\r\n\r\n");
    assert_eq!(splitter.next_event(), Ok(None));
    splitter.push(b"id: 3\ndata: a\n\n");
    let event = splitter.next_event().expect("short events");
    let event = event.expect("a whole event");
    assert_eq!(event.id, Some(3));
    assert_eq!(&event.bytes[..], b": wait\n\n:\r\n\r\nid: 3\ndata: a\n\n");
}

/// Guards against an endless event that exhausts the memory.
#[rstest]
#[case(b"data: x")]
#[case(b": wait\n\n")]
fn an_event_without_end_is_refused(#[case] repeated: &[u8]) {
    let mut splitter = EventSplitter::default();
    let mut pushed = 0;
    while splitter.next_event().is_ok() {
        splitter.push(&repeated.repeat(1_000));
        pushed += repeated.len() * 1_000;
        assert!(pushed < 1024 * 1024, "{pushed} bytes are kept");
    }
}
