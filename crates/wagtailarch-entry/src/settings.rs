//! Settings of an entry instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, ZoneName};

/// Settings of an entry instance, read once at start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, as the platform lists it.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address for health, metrics and the administration API.
    pub admin_address: SocketAddr,
    /// Address for other instances; none without peers.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform; none only with `fleet_file`.
    #[serde(default)]
    pub platform_address: Option<SocketAddr>,
    /// Fleet file to serve instead of the platform's configuration; for tests only.
    #[serde(default)]
    pub fleet_file: Option<PathBuf>,
    /// Traffic threads; 0 for one per core.
    #[serde(default)]
    pub traffic_threads: usize,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Bounds of bodies, connections and buffers.
    #[serde(default)]
    pub limits: Limits,
    /// TLS towards clients; none for plain TCP behind a balancer that ends TLS.
    #[serde(default)]
    pub client_tls: Option<ClientTls>,
    /// Keys for the transport between instances; required with `peer_address`.
    #[serde(default)]
    pub peers: Option<PeerKeys>,
    /// Keys of the administration API.
    #[serde(default, rename = "admin_key")]
    pub admin_keys: Vec<AdminKey>,
}

/// Timeouts and intervals, in milliseconds.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timeouts {
    /// Time for the headers of a request to arrive.
    pub header_ms: u64,
    /// Time for the body of a request to arrive.
    pub body_ms: u64,
    /// Time to connect to a backend server.
    pub connect_ms: u64,
    /// Time from the start of an attempt to its first token.
    pub first_token_ms: u64,
    /// Time between two frames of one stream.
    pub frame_ms: u64,
    /// Time for the response headers of a plain service.
    pub service_ms: u64,
    /// Time to answer a request that states no deadline.
    pub deadline_ms: u64,
    /// Time that a client may stop reading before its request is cancelled.
    pub client_stall_ms: u64,
    /// Time between SIGTERM and the end of accepting connections; the balancer notices meanwhile.
    pub drain_delay_ms: u64,
    /// Time for running requests to finish during a shutdown.
    pub drain_ms: u64,
    /// Interval of reading the platform's list.
    pub list_ms: u64,
    /// Interval of polling the reports of backend servers.
    pub report_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            header_ms: 10_000,
            body_ms: 30_000,
            connect_ms: 1_000,
            first_token_ms: 10_000,
            frame_ms: 10_000,
            service_ms: 30_000,
            deadline_ms: 300_000,
            client_stall_ms: 60_000,
            drain_delay_ms: 3_000,
            drain_ms: 300_000,
            list_ms: 500,
            report_ms: 1_000,
        }
    }
}

/// Converts a setting in milliseconds.
pub(crate) const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Bounds of bodies, connections and buffers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Greatest size of the headers of a request.
    pub header_bytes: usize,
    /// Greatest size of the body of a request.
    pub body_bytes: usize,
    /// Request bodies held at once, in bytes.
    pub bodies_bytes: usize,
    /// Client connections open at once.
    pub connections: usize,
    /// Requests running at once.
    pub requests: usize,
    /// Streams of one HTTP/2 connection.
    pub streams_per_connection: u32,
    /// Tokens buffered for one client before reading from the engine pauses.
    pub client_buffer_frames: usize,
    /// Greatest size of one frame of an engine.
    pub frame_bytes: usize,
    /// Greatest length of a generated answer in tokens.
    pub max_tokens: u32,
    /// Part of a plain service's response that is read before it is passed on.
    pub response_buffer_bytes: usize,
    /// Backend servers known at once.
    pub backends: usize,
    /// Idle connections kept for each backend server.
    pub idle_per_backend: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            bodies_bytes: 256 * 1024 * 1024,
            connections: 10_000,
            requests: 20_000,
            streams_per_connection: 64,
            client_buffer_frames: 64,
            frame_bytes: 64 * 1024,
            max_tokens: 32_768,
            response_buffer_bytes: 256 * 1024,
            backends: 8_192,
            idle_per_backend: 64,
        }
    }
}

/// PEM files of the TLS towards clients.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTls {
    /// Certificate chain, the server's own certificate first.
    pub cert_file: PathBuf,
    /// Private key.
    pub key_file: PathBuf,
}

/// PEM files of the mutual TLS between instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKeys {
    /// Certificate of the authority that signs every instance.
    pub ca_file: PathBuf,
    /// Certificate of this instance.
    pub cert_file: PathBuf,
    /// Private key of this instance.
    pub key_file: PathBuf,
    /// Instances to ask for the configuration while the platform has given no list.
    #[serde(default, rename = "seed")]
    pub seeds: Vec<PeerSeed>,
}

/// An instance that is known without the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Its address for other instances.
    pub address: SocketAddr,
}

/// A key of the administration API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// Name of the holder, for the log.
    pub name: SmolStr,
    /// Hash of the bearer key: `blake3:` and 64 hexadecimal digits.
    pub key_hash: SmolStr,
}
