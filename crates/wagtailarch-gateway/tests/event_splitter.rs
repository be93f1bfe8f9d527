//! Splitting streams of events.

use rstest::rstest;
use wagtailarch_gateway::EventSplitter;

/// Guards against events that are cut or joined, wherever the bytes are split on their way.
#[rstest]
#[case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
fn events_are_found_wherever_bytes_are_split(#[case] text: &str) {
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in [&text[..split], &text[split..]] {
            splitter.push(part.as_bytes());
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2)], "split at {split}");
        let joined: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(joined, text.as_bytes());
    }
}

/// Guards against half an event that is passed on when its engine stops in the middle of it.
#[test]
fn half_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 7\ndata: whole\n\nid: 8\ndata: ha");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(7));
    assert!(splitter.next_event().is_none());
    assert_eq!(&splitter.take_rest()[..], b"id: 8\ndata: ha");
}
