//! Instances that start without the platform and take configuration and list from peers.

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
use common::{FakeEngine, QUICK, chat, client, eventually, listed, platform, read, text};
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

/// A platform that counts watches; one begins once the manifest was read and passed on.
struct Watched {
    inner: Arc<FakePlatform>,
    watches: AtomicU64,
}

impl Platform for Watched {
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

/// Applies configurations that differ until `to` is in force.
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

fn keys() -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    let until = (2036, 1, 1);
    create_authority(directory.path(), until).unwrap();
    for name in ["e1", "e2", "e3"] {
        create_instance_certificate(directory.path(), &identity(name), until).unwrap();
    }
    directory
}

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
         platform_address = \"127.0.0.1:1\"\n{QUICK}\n[peers]\nca_file = {:?}\n\
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

fn outage() -> Arc<FakePlatform> {
    let platform = platform(json!([]));
    platform.set_outage(true);
    platform
}

fn generation(instance: &Instance) -> Generation {
    let snapshot = instance.shared().snapshot.load();
    snapshot.as_ref().map_or(0, |snapshot| snapshot.generation)
}

async fn serves(instance: &Instance) {
    eventually("readiness", || instance.shared().is_ready()).await;
    let request = chat(instance.client_address(), "hello", false);
    let (status, body) = read(client().request(request).await.unwrap()).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(text(8).trim()), "{body}");
}

/// Guards against a replaced instance that cannot serve until the platform is back, and against a
/// generation that falls when the platform comes back with an older one.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_instance_serves_without_the_platform_until_it_is_back() {
    let keys = keys();
    let (engine, later) = (
        FakeEngine::start("engine-1").await,
        FakeEngine::start("engine-2").await,
    );
    let here = platform(json!([listed(&engine)]));
    apply(&here, 0, 3).await;
    let peer = start(keys.path(), "e1", &here, &[]).await;
    eventually("the peer's configuration", || generation(&peer) == 3).await;

    let there = platform(json!([listed(&later)]));
    apply(&there, 0, 2).await;
    there.set_outage(true);
    let seeds = [("e1", peer.peer_address().unwrap())];
    let watched = Arc::new(Watched {
        inner: there.clone(),
        watches: AtomicU64::new(0),
    });
    let replaced = start(keys.path(), "e2", &watched, &seeds).await;
    serves(&replaced).await;
    assert_eq!(generation(&replaced), 3);
    assert_eq!(engine.calls().len(), 1);

    there.set_outage(false);
    eventually("a read of the older manifest", || {
        watched.watches.load(Ordering::SeqCst) > 0
    })
    .await;
    // A list that is asked for after this read is taken after its result.
    let items = json!([
        listed(&later),
        common::listed_service("app-1", later.address)
    ]);
    there.set_instances(serde_json::from_value(items).unwrap());
    let knows = |id: &str| replaced.shared().backends.load().contains_key(id);
    eventually("the platform's list", || {
        assert!(generation(&replaced) >= 3);
        knows("app-1") && knows("engine-2") && !knows("engine-1")
    })
    .await;
    assert_eq!(generation(&replaced), 3);
    apply(&there, 2, 4).await;
    eventually("the platform's newer configuration", || {
        assert!(generation(&replaced) >= 3);
        generation(&replaced) == 4
    })
    .await;
}

/// Guards against an older configuration that wins because its peer answers first.
#[tokio::test(flavor = "multi_thread")]
async fn the_higher_generation_of_two_peers_wins() {
    let keys = keys();
    let (old, new) = (platform(json!([])), platform(json!([])));
    apply(&old, 0, 2).await;
    apply(&new, 0, 5).await;
    let one = start(keys.path(), "e1", &old, &[]).await;
    let three = start(keys.path(), "e3", &new, &[]).await;
    eventually("the peers' configurations", || {
        (generation(&one), generation(&three)) == (2, 5)
    })
    .await;
    let seeds = [
        ("e1", one.peer_address().unwrap()),
        ("e3", three.peer_address().unwrap()),
    ];
    let replaced = start(keys.path(), "e2", &outage(), &seeds).await;
    let mut last = 0;
    eventually("the higher generation", || {
        let now = generation(&replaced);
        assert!(now >= last, "generation fell from {last} to {now}");
        last = now;
        now == 5
    })
    .await;
}

/// What a wrong peer answers.
#[derive(Debug, Clone, Copy)]
enum Wrong {
    /// A good manifest of generation 9 and parts of other bytes.
    Part,
    /// A manifest that is said to have 4 GB.
    Size,
    /// A chunk of another place.
    Offset,
}

fn wrong_answer(wrong: Wrong, fetch: FetchConfig) -> ConfigChunk {
    let (content, _) = split(&fleet());
    let mut manifest = Manifest::next(None, content, 1, "test");
    manifest.generation = 9;
    let bytes = match fetch.key.as_str() {
        MANIFEST_KEY => serde_json::to_vec(&manifest).unwrap(),
        _ => vec![7; MAX_CHUNK_BYTES],
    };
    let total_bytes = match (wrong, fetch.key.as_str()) {
        // A wrong list would be counted as malformed whatever becomes of the other objects.
        (_, "instances") => None,
        (Wrong::Size, _) => Some(u32::MAX),
        (Wrong::Part | Wrong::Offset, _) => Some(bytes.len() as u32),
    };
    ConfigChunk {
        key: fetch.key,
        total_bytes,
        offset: match wrong {
            Wrong::Offset => 1,
            Wrong::Part | Wrong::Size => 0,
        },
        bytes,
    }
}

/// Starts a peer that has no list and answers every other question wrongly.
fn start_wrong_peer(keys: &Path, wrong: Wrong) -> SocketAddr {
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
    let any = "127.0.0.1:0".parse().unwrap();
    let (peers, mut events) = Peers::start(any, &files, hello, discard_logger()).unwrap();
    let address = peers.local_address().unwrap();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let PeerEvent::Message(from, PeerMessage::FetchConfig(fetch)) = event {
                peers.reply(&from, PeerMessage::Config(wrong_answer(wrong, fetch)));
            }
        }
    });
    address
}

/// Guards against a peer whose wrong answers are taken or keep an instance from other peers.
#[rstest]
#[case(Wrong::Part, "wrong_hash")]
#[case(Wrong::Size, "oversized")]
#[case(Wrong::Offset, "malformed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_peer_is_passed_over(#[case] wrong: Wrong, #[case] cause: &'static str) {
    let keys = keys();
    let engine = FakeEngine::start("engine-1").await;
    let good = platform(json!([listed(&engine)]));
    let peer = start(keys.path(), "e1", &good, &[]).await;
    let seeds = [
        ("e1", peer.peer_address().unwrap()),
        ("e3", start_wrong_peer(keys.path(), wrong)),
    ];
    let replaced = start(keys.path(), "e2", &outage(), &seeds).await;
    // The good peer has no configuration before the wrong one was asked.
    eventually("a dropped answer", || {
        replaced.shared().metrics.dropped_config_count(cause) > 0
    })
    .await;
    assert_eq!(generation(&replaced), 0);
    apply(&good, 0, 1).await;
    serves(&replaced).await;
    assert_eq!(generation(&replaced), 1);
}
