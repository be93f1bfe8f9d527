//! Tests of the frames that instances exchange.

use proptest::prelude::*;
use wagtailarch_types::{BackendState, Role};
use wagtailarch_wire::peer::{
    ConfigChunk, Digest, EngineLoad, FrameError, MAX_CHUNK_BYTES, MAX_FRAME_BYTES, OriginVersion,
    PackedUsage, PeerMessage, decode_frame, encode_frame,
};

fn chunk(bytes: usize) -> PeerMessage {
    PeerMessage::Config(ConfigChunk {
        key: "part/0123456789abcdef".into(),
        total_bytes: Some(1_000_000),
        offset: 0,
        bytes: vec![7; bytes],
    })
}

/// Guards against sending frames that the receiver rejects, and against received frames that
/// exhaust the memory.
#[test]
fn frames_are_bounded_in_both_directions() {
    assert!(encode_frame(&chunk(MAX_CHUNK_BYTES)).is_ok());
    let too_large = encode_frame(&chunk(MAX_FRAME_BYTES));
    assert!(matches!(too_large, Err(FrameError::TooLarge(_))));
    let decoded = decode_frame(&vec![0; MAX_FRAME_BYTES + 1]);
    assert_eq!(decoded, Err(FrameError::TooLarge(MAX_FRAME_BYTES + 1)));
}

/// Guards against ignoring bytes that follow the message in a frame.
#[test]
fn trailing_bytes_are_an_error() {
    let mut frame = encode_frame(&PeerMessage::Digest(Digest::default())).unwrap();
    frame.push(0);
    assert_eq!(decode_frame(&frame), Err(FrameError::TrailingBytes(1)));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic on malformed bytes from a peer.
    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode_frame(&bytes);
    }

    /// Guards against a message that differs after encoding and decoding.
    #[test]
    fn an_encoded_digest_is_decoded_unchanged(
        versions in prop::collection::vec(("[a-z0-9-]{1,24}", any::<u64>(), any::<u64>()), 0..64),
    ) {
        let versions = versions.into_iter().map(|(instance, boot_id, version)| OriginVersion {
            instance: instance.into(),
            boot_id,
            version,
        });
        let message = PeerMessage::Digest(Digest { versions: versions.collect() });
        let frame = encode_frame(&message).unwrap();
        prop_assert_eq!(decode_frame(&frame), Ok(message));
    }

    /// Guards against a quantization error above the documented 5%.
    #[test]
    fn quantized_values_are_close(running in 0.0..2_000.0_f64, tokens in 0.0..5e8_f64) {
        let load = EngineLoad {
            role: Role::Prefill,
            state: BackendState::Draining,
            running,
            queued_tokens: tokens,
            prefill_tokens_per_s: tokens,
            decode_tokens_per_s: running,
            kv_used_ratio: 0.5,
        };
        let unpacked = load.pack().unpack();
        // The scale quantizes 1 + value.
        let close = |a: f64, b: f64| (a - b).abs() <= 0.05 * (1.0 + a);
        prop_assert!(close(running, unpacked.running) && close(tokens, unpacked.queued_tokens));
        prop_assert_eq!((unpacked.role, unpacked.state), (load.role, load.state));
        let (requests_per_s, tokens_per_s) = PackedUsage::new(running, tokens).unpack();
        prop_assert!(close(running, requests_per_s) && close(tokens, tokens_per_s));
    }
}
