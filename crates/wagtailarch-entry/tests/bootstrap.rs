//! Instances that start without the platform and fetch the configuration and the list of instances
//! from peers.

mod common;

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{
    FakeEngine, SHORT_TIMEOUTS, chat_request, client, eventually, fake_platform, listed_engine,
    read_response, text,
};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use tempfile::TempDir;
use wagtailarch_entry::{
    Instance, PeerEvent, PeerIdentity, PeerKeys, Peers, create_authority,
    create_instance_certificate, parse_settings,
};
use wagtailarch_fleet::{Fleet, MANIFEST_KEY, Manifest, split};
use wagtailarch_platform::{
    ApplyOutcome, ConfigStore, FakePlatform, ListPage, Platform, PlatformFuture, Precondition,
    Versioned,
};
use wagtailarch_telemetry::discard_logger;
use wagtailarch_types::{Generation, ObjectVersion};
use wagtailarch_wire::{
    peer::{ConfigChunk, FetchConfig, Hello, MAX_CHUNK_BYTES, PeerMessage},
    platform::{InstanceList, WatchResponse},
};

const ZONE: &str = "buda-a";

/// A platform that counts watches.
///
/// An instance starts its first watch after it has read the manifest and passed it on.
struct CountingPlatform {
    inner: Arc<FakePlatform>,
    watches: AtomicU64,
}

impl Platform for CountingPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>> {
        self.inner.get(key)
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion> {
        self.inner.put(key, value, expect)
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: Option<ObjectVersion>,
    ) -> PlatformFuture<'a, ()> {
        self.inner.delete(key, version)
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage> {
        self.inner.list(prefix, after, limit)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse> {
        self.watches.fetch_add(1, Ordering::SeqCst);
        self.inner.watch(prefix, since, wait)
    }

    fn instances(&self) -> PlatformFuture<'_, InstanceList> {
        self.inner.instances()
    }
}

fn fleet() -> Fleet {
    toml::from_str(&common::fleet_file()).unwrap()
}

/// Applies a different configuration for each generation after `from` up to `to`.
async fn apply(platform: &Arc<FakePlatform>, from: Generation, to: Generation) {
    let store = ConfigStore::new(platform.clone(), "test");
    for base in from..to {
        let mut fleet = fleet();
        fleet.policy.retry_budget_floor_per_s = 10.0 + base as f64;
        let outcome = store.apply(base, &fleet, base + 1).await;
        assert_eq!(outcome, Ok(ApplyOutcome::Applied(base + 1)));
    }
}

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        instance: name.into(),
        zone: ZONE.into(),
    }
}

/// Creates the certificates and keys of an authority and three instances.
fn keys() -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    let valid_until = (2036, 1, 1);
    create_authority(directory.path(), valid_until).unwrap();
    for name in ["e1", "e2", "e3"] {
        create_instance_certificate(directory.path(), &identity(name), valid_until).unwrap();
    }
    directory
}

/// Starts an instance without a fleet file, with these peers as seeds.
async fn start(
    keys: &Path,
    name: &str,
    platform: &Arc<impl Platform>,
    seeds: &[(&str, SocketAddr)],
) -> Instance {
    let file = |file: &str| keys.join(file);
    let mut settings = format!(
        "instance = \"{name}\"\nzone = \"{ZONE}\"\nclient_address = \"127.0.0.1:0\"\n\
         admin_address = \"127.0.0.1:0\"\npeer_address = \"127.0.0.1:0\"\n\
         platform_address = \"127.0.0.1:1\"\n{SHORT_TIMEOUTS}\n[peers]\nca_file = {:?}\n\
         cert_file = {:?}\nkey_file = {:?}\n",
        file("ca.pem"),
        file(&format!("{name}.pem")),
        file(&format!("{name}.key")),
    );
    for (seed, address) in seeds {
        settings.push_str(&format!(
            "[[peers.seed]]\ninstance = \"{seed}\"\nzone = \"{ZONE}\"\naddress = \"{address}\"\n"
        ));
    }
    let settings = parse_settings(&settings).unwrap();
    let control: Arc<dyn Platform> = platform.clone();
    let traffic = Arc::clone(&control);
    let started = Instance::start_with(settings, discard_logger(), control, traffic).await;
    started.unwrap()
}

/// Creates a platform that is unavailable.
fn unavailable_platform() -> Arc<FakePlatform> {
    let platform = fake_platform(json!([]));
    platform.set_outage(true);
    platform
}

/// Returns the generation of the configuration of an instance; 0 if it has none.
fn generation(instance: &Instance) -> Generation {
    let snapshot = instance.shared().snapshot.load();
    snapshot.as_ref().map_or(0, |snapshot| snapshot.generation)
}

/// Waits until an instance is ready and asserts that it serves a chat call.
async fn assert_serves(instance: &Instance) {
    eventually("readiness", || instance.shared().is_ready()).await;
    let request = chat_request(instance.client_address(), "hello", false);
    let (status, body) = read_response(client().request(request).await.unwrap()).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(text(8).trim()), "{body}");
}

/// Guards against a replaced instance that cannot serve during an outage of the platform, and
/// against a generation that decreases when the platform returns with an older one.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_instance_serves_without_the_platform_until_it_is_back() {
    let keys = keys();
    let (engine, second_engine) = (
        FakeEngine::start("engine-1").await,
        FakeEngine::start("engine-2").await,
    );
    let peer_platform = fake_platform(json!([listed_engine(&engine)]));
    apply(&peer_platform, 0, 3).await;
    let peer = start(keys.path(), "e1", &peer_platform, &[]).await;
    eventually("the peer's configuration", || generation(&peer) == 3).await;

    let platform = fake_platform(json!([listed_engine(&second_engine)]));
    apply(&platform, 0, 2).await;
    platform.set_outage(true);
    let seeds = [("e1", peer.peer_address().unwrap())];
    let counting_platform = Arc::new(CountingPlatform {
        inner: platform.clone(),
        watches: AtomicU64::new(0),
    });
    let replaced = start(keys.path(), "e2", &counting_platform, &seeds).await;
    assert_serves(&replaced).await;
    assert_eq!(generation(&replaced), 3);
    assert_eq!(engine.calls().len(), 1);

    platform.set_outage(false);
    eventually("a read of the older manifest", || {
        counting_platform.watches.load(Ordering::SeqCst) > 0
    })
    .await;
    // A list that is requested from here on is applied after the result of this read.
    let items = json!([
        listed_engine(&second_engine),
        common::listed_service("app-1", second_engine.address)
    ]);
    platform.set_instances(serde_json::from_value(items).unwrap());
    let has_backend = |id: &str| replaced.shared().backends.load().contains_key(id);
    eventually("the platform's list", || {
        assert!(generation(&replaced) >= 3);
        has_backend("app-1") && has_backend("engine-2") && !has_backend("engine-1")
    })
    .await;
    assert_eq!(generation(&replaced), 3);
    apply(&platform, 2, 4).await;
    eventually("the platform's newer configuration", || {
        assert!(generation(&replaced) >= 3);
        generation(&replaced) == 4
    })
    .await;
}

/// Guards against an older configuration that stays in force because its peer responds first.
#[tokio::test(flavor = "multi_thread")]
async fn the_higher_generation_of_two_peers_wins() {
    let keys = keys();
    let (old_platform, new_platform) = (fake_platform(json!([])), fake_platform(json!([])));
    apply(&old_platform, 0, 2).await;
    apply(&new_platform, 0, 5).await;
    let old_peer = start(keys.path(), "e1", &old_platform, &[]).await;
    let new_peer = start(keys.path(), "e3", &new_platform, &[]).await;
    eventually("the peers' configurations", || {
        (generation(&old_peer), generation(&new_peer)) == (2, 5)
    })
    .await;
    let seeds = [
        ("e1", old_peer.peer_address().unwrap()),
        ("e3", new_peer.peer_address().unwrap()),
    ];
    let replaced = start(keys.path(), "e2", &unavailable_platform(), &seeds).await;
    let mut previous = 0;
    eventually("the higher generation", || {
        let current = generation(&replaced);
        assert!(
            current >= previous,
            "generation decreased from {previous} to {current}"
        );
        previous = current;
        current == 5
    })
    .await;
}

/// How the configuration that a peer sends is invalid.
#[derive(Debug, Clone, Copy)]
enum InvalidConfig {
    /// The manifest of generation 9 is valid, but the content of its parts is not.
    Part,
    /// The manifest has a stated size of 4 GiB.
    Size,
    /// Chunks have another offset than the requested one.
    Offset,
}

/// Returns an invalid response to a request for a configuration object.
fn invalid_chunk(invalid: InvalidConfig, fetch: FetchConfig) -> ConfigChunk {
    let (content, _) = split(&fleet());
    let mut manifest = Manifest::next(None, content, 1, "test");
    manifest.generation = 9;
    let bytes = match fetch.key.as_str() {
        MANIFEST_KEY => serde_json::to_vec(&manifest).unwrap(),
        _ => vec![7; MAX_CHUNK_BYTES],
    };
    let total_bytes = match (invalid, fetch.key.as_str()) {
        // An invalid list of instances would always be counted as malformed and hide the result for
        // the other objects.
        (_, "instances") => None,
        (InvalidConfig::Size, _) => Some(u32::MAX),
        (InvalidConfig::Part | InvalidConfig::Offset, _) => Some(bytes.len() as u32),
    };
    ConfigChunk {
        key: fetch.key,
        total_bytes,
        offset: match invalid {
            InvalidConfig::Offset => 1,
            InvalidConfig::Part | InvalidConfig::Size => 0,
        },
        bytes,
    }
}

/// Starts a peer that has no list of instances and sends invalid configuration objects.
fn start_invalid_peer(keys: &Path, invalid: InvalidConfig) -> SocketAddr {
    let hello = Hello {
        instance: "e3".into(),
        boot_id: 1,
        zone: ZONE.into(),
        generation: 9,
    };
    let files = PeerKeys {
        ca_file: keys.join("ca.pem"),
        cert_file: keys.join("e3.pem"),
        key_file: keys.join("e3.key"),
        seeds: Vec::new(),
    };
    let any_port = "127.0.0.1:0".parse().unwrap();
    let (peers, mut events) = Peers::start(any_port, &files, hello, discard_logger()).unwrap();
    let address = peers.local_address().unwrap();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let PeerEvent::Message(from, PeerMessage::FetchConfig(fetch)) = event {
                peers.reply(&from, PeerMessage::Config(invalid_chunk(invalid, fetch)));
            }
        }
    });
    address
}

/// Guards against invalid configuration of a peer that is applied, or that keeps an instance from
/// fetching it from other peers.
#[rstest]
#[case(InvalidConfig::Part, "wrong_hash")]
#[case(InvalidConfig::Size, "oversized")]
#[case(InvalidConfig::Offset, "malformed")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_of_a_peer_is_dropped(
    #[case] invalid: InvalidConfig,
    #[case] cause: &'static str,
) {
    let keys = keys();
    let engine = FakeEngine::start("engine-1").await;
    let platform = fake_platform(json!([listed_engine(&engine)]));
    let valid_peer = start(keys.path(), "e1", &platform, &[]).await;
    let seeds = [
        ("e1", valid_peer.peer_address().unwrap()),
        ("e3", start_invalid_peer(keys.path(), invalid)),
    ];
    let replaced = start(keys.path(), "e2", &unavailable_platform(), &seeds).await;
    // The valid peer gets its configuration only after the instance has fetched from the invalid
    // peer.
    eventually("a dropped chunk", || {
        replaced.shared().metrics.dropped_config_count(cause) > 0
    })
    .await;
    assert_eq!(generation(&replaced), 0);
    apply(&platform, 0, 1).await;
    assert_serves(&replaced).await;
    assert_eq!(generation(&replaced), 1);
}
