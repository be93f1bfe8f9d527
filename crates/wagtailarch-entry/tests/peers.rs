//! Messages between instances over QUIC with mutual TLS.

use std::{net::SocketAddr, path::Path, time::Duration};

use tempfile::TempDir;
use tokio::sync::mpsc;
use wagtailarch_entry::{
    PeerAddress, PeerEvent, PeerIdentity, PeerKeys, Peers, create_authority,
    create_instance_certificate,
};
use wagtailarch_telemetry::discard_logger;
use wagtailarch_wire::peer::{ConfigChunk, Digest, Hello, MAX_CHUNK_BYTES, PeerMessage};

/// End of the validity of the certificates.
const VALID_UNTIL: (i32, u8, u8) = (2036, 1, 1);
const ANY_PORT: &str = "127.0.0.1:0";

/// The peer transport of an instance.
struct Node {
    peers: Peers,
    events: mpsc::Receiver<PeerEvent>,
    identity: PeerIdentity,
}

impl Node {
    /// Starts the transport of instance `name` in `zone` with the certificate and key of the
    /// instance `certificate`.
    fn start(keys: &Path, certificate: &str, name: &str, zone: &str) -> Self {
        let identity = PeerIdentity {
            instance: name.into(),
            zone: zone.into(),
        };
        let keys = PeerKeys {
            ca_file: keys.join("ca.pem"),
            cert_file: keys.join(format!("{certificate}.pem")),
            key_file: keys.join(format!("{certificate}.key")),
            seeds: Vec::new(),
        };
        let hello = Hello {
            instance: name.into(),
            boot_id: 1,
            zone: zone.into(),
            generation: 3,
        };
        let address: SocketAddr = ANY_PORT.parse().unwrap();
        let (peers, events) = Peers::start(address, &keys, hello, discard_logger()).unwrap();
        Self {
            peers,
            events,
            identity,
        }
    }

    fn address(&self) -> PeerAddress {
        let address = self.peers.local_address().unwrap();
        PeerAddress {
            identity: self.identity.clone(),
            address,
        }
    }

    async fn event(&mut self) -> PeerEvent {
        let event = tokio::time::timeout(Duration::from_secs(30), self.events.recv()).await;
        event.expect("an event").unwrap()
    }
}

/// Creates the certificates and keys of an authority and these instances with their zones.
fn keys(instances: &[(&str, &str)]) -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    create_authority(directory.path(), VALID_UNTIL).unwrap();
    for (instance, zone) in instances {
        let identity = PeerIdentity {
            instance: (*instance).into(),
            zone: (*zone).into(),
        };
        create_instance_certificate(directory.path(), &identity, VALID_UNTIL).unwrap();
    }
    directory
}

fn chunk(size: usize) -> PeerMessage {
    let bytes = vec![7; size];
    let total_bytes = Some(size as u32);
    PeerMessage::Config(ConfigChunk {
        key: "manifest".into(),
        total_bytes,
        offset: 0,
        bytes,
    })
}

/// Guards against lost messages, and against replies that open a second connection.
#[tokio::test]
async fn messages_go_both_ways_over_one_connection() {
    let keys = keys(&[("e1", "buda-a"), ("e2", "pest-b")]);
    let mut one = Node::start(keys.path(), "e1", "e1", "buda-a");
    let mut two = Node::start(keys.path(), "e2", "e2", "pest-b");
    assert!(!two.peers.reply(&one.identity, chunk(1)));
    assert!(one.peers.send(&two.address(), chunk(MAX_CHUNK_BYTES)));
    let PeerEvent::Connected(hello) = two.event().await else {
        panic!("the first event is not a connection")
    };
    assert_eq!((hello.instance.as_str(), hello.generation), ("e1", 3));
    assert_eq!(
        two.event().await,
        PeerEvent::Message(one.identity.clone(), chunk(MAX_CHUNK_BYTES))
    );
    let digest = PeerMessage::Digest(Digest::default());
    assert!(two.peers.reply(&one.identity, digest.clone()));
    assert!(matches!(one.event().await, PeerEvent::Connected(_)));
    assert_eq!(
        one.event().await,
        PeerEvent::Message(two.identity.clone(), digest)
    );
}

/// Guards against an instance that uses the name or zone of another one.
#[tokio::test]
async fn the_identity_must_match_the_certificate() {
    let keys = keys(&[("e1", "buda-a"), ("e2", "pest-b")]);
    let mut one = Node::start(keys.path(), "e1", "e1", "buda-a");
    let two = Node::start(keys.path(), "e2", "e2", "pest-b");
    for (instance, zone) in [("e2", "buda-a"), ("e3", "pest-b")] {
        let identity = PeerIdentity {
            instance: instance.into(),
            zone: zone.into(),
        };
        let to = PeerAddress {
            identity: identity.clone(),
            address: two.address().address,
        };
        assert!(one.peers.send(&to, chunk(1)));
        assert_eq!(one.event().await, PeerEvent::Unreachable(identity));
    }
    let hello = Hello {
        instance: "e2".into(),
        boot_id: 1,
        zone: "buda-a".into(),
        generation: 3,
    };
    let files = PeerKeys {
        ca_file: keys.path().join("ca.pem"),
        cert_file: keys.path().join("e2.pem"),
        key_file: keys.path().join("e2.key"),
        seeds: Vec::new(),
    };
    assert!(Peers::start(ANY_PORT.parse().unwrap(), &files, hello, discard_logger()).is_err());
}

/// Guards against a hello message that differs from the certificate of an accepted connection.
#[tokio::test]
async fn a_hello_that_differs_from_the_certificate_is_refused() {
    let keys = keys(&[("e1", "buda-a"), ("e2", "pest-b")]);
    let mut one = Node::start(keys.path(), "e1", "e1", "buda-a");
    let mut two = Node::start(keys.path(), "e2", "e2", "pest-b");
    let hello = Hello {
        instance: "e2".into(),
        boot_id: 1,
        zone: "buda-a".into(),
        generation: 9,
    };
    two.peers.set_hello(hello);
    assert!(two.peers.send(&one.address(), chunk(1)));
    assert_eq!(
        two.event().await,
        PeerEvent::Unreachable(one.identity.clone())
    );
    assert!(one.events.try_recv().is_err());
}

/// Guards against instances with certificates of another authority, such as another operator's.
#[tokio::test]
async fn another_authority_is_refused() {
    let (own_keys, other_keys) = (keys(&[("e1", "buda-a")]), keys(&[("e2", "buda-a")]));
    let mut one = Node::start(own_keys.path(), "e1", "e1", "buda-a");
    let mut two = Node::start(other_keys.path(), "e2", "e2", "buda-a");
    assert!(one.peers.send(&two.address(), chunk(1)));
    assert_eq!(
        one.event().await,
        PeerEvent::Unreachable(two.identity.clone())
    );
    assert!(two.events.try_recv().is_err());
}

/// Guards against a send queue that keeps failing after the peer was replaced at another address.
#[tokio::test]
async fn a_replaced_peer_is_reached_at_its_new_address() {
    let keys = keys(&[("e1", "buda-a"), ("e2", "buda-a")]);
    let mut one = Node::start(keys.path(), "e1", "e1", "buda-a");
    let two = Node::start(keys.path(), "e2", "e2", "buda-a");
    let old_address = two.address();
    two.peers.close().await;
    drop(two);
    assert!(one.peers.send(&old_address, chunk(1)));
    assert_eq!(
        one.event().await,
        PeerEvent::Unreachable(old_address.identity.clone())
    );
    let mut replacement = Node::start(keys.path(), "e2", "e2", "buda-a");
    assert!(one.peers.send(&replacement.address(), chunk(2)));
    assert!(matches!(replacement.event().await, PeerEvent::Connected(_)));
    assert_eq!(
        replacement.event().await,
        PeerEvent::Message(one.identity.clone(), chunk(2))
    );
}
