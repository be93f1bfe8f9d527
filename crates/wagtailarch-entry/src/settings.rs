//! Settings of an entry instance.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, ZoneName};

/// Settings of an entry instance, which are read once at startup.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance in the platform's instance list.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Listen address for clients.
    pub client_address: SocketAddr,
    /// Listen address for health checks, metrics and the administration API.
    pub admin_address: SocketAddr,
    /// Listen address for other instances; unset if the instance has no peers.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Address of the platform; required unless `fleet_file` is set.
    #[serde(default)]
    pub platform_address: Option<SocketAddr>,
    /// Fleet file that is used instead of the platform's configuration; for tests only.
    #[serde(default)]
    pub fleet_file: Option<PathBuf>,
    /// Number of traffic threads; 0 for one per core.
    #[serde(default)]
    pub traffic_threads: usize,
    /// Timeouts and intervals.
    #[serde(default)]
    pub timeouts: Timeouts,
    /// Limits of bodies, connections and buffers.
    #[serde(default)]
    pub limits: Limits,
    /// TLS for client connections; unset for plain TCP behind a load balancer that terminates TLS.
    #[serde(default)]
    pub client_tls: Option<ClientTls>,
    /// Keys for connections between instances; required with `peer_address`.
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
    /// Timeout for receiving the headers of a request.
    pub header_ms: u64,
    /// Timeout for receiving the body of a request.
    pub body_ms: u64,
    /// Timeout for connecting to a backend server.
    pub connect_ms: u64,
    /// Maximum time from the start of an attempt to its first token.
    pub first_token_ms: u64,
    /// Maximum time between two frames of a stream.
    pub frame_ms: u64,
    /// Timeout for the response headers of a plain service and for buffering the response body.
    pub service_ms: u64,
    /// Maximum time to respond to a request; a client may set a shorter deadline.
    pub deadline_ms: u64,
    /// Time for which a client may stop reading before its request is cancelled.
    pub client_stall_ms: u64,
    /// Delay between SIGTERM and the end of accepting connections. The load balancer uses this time
    /// to detect that the instance is not ready.
    pub drain_delay_ms: u64,
    /// Maximum time for running requests to finish during a shutdown.
    pub drain_ms: u64,
    /// Interval at which the platform's instance list is read.
    pub list_ms: u64,
    /// Interval at which the reports of backend servers are polled.
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

/// Converts a setting in milliseconds to a duration.
pub(crate) const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Limits of bodies, connections and buffers.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of the headers of a request.
    pub header_bytes: usize,
    /// Maximum size of the body of a request.
    pub body_bytes: usize,
    /// Maximum total size of all buffered request bodies.
    pub bodies_bytes: usize,
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Maximum number of running requests.
    pub requests: usize,
    /// Maximum number of concurrent streams of one HTTP/2 connection.
    pub streams_per_connection: u32,
    /// Maximum number of tokens buffered for one client; a full buffer stops reading from the
    /// engine.
    pub client_buffer_frames: usize,
    /// Maximum size of one frame of an engine.
    pub frame_bytes: usize,
    /// Maximum number of tokens that a client may request.
    pub max_tokens: u32,
    /// Size up to which the response of a plain service is buffered before it is forwarded.
    pub response_buffer_bytes: usize,
    /// Maximum number of known backend servers; the instance list is truncated to this length.
    pub backends: usize,
    /// Maximum number of idle connections to each backend server.
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

/// PEM files for the TLS of client connections.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTls {
    /// Certificate chain, starting with the certificate of the server.
    pub cert_file: PathBuf,
    /// Private key.
    pub key_file: PathBuf,
}

/// PEM files for the mutual TLS between instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerKeys {
    /// Certificate of the authority that signs the certificates of all instances.
    pub ca_file: PathBuf,
    /// Certificate of this instance.
    pub cert_file: PathBuf,
    /// Private key of this instance.
    pub key_file: PathBuf,
    /// Instances that are asked for the configuration until the platform has provided a list.
    #[serde(default, rename = "seed")]
    pub seeds: Vec<PeerSeed>,
}

/// An instance that is known from the settings instead of the platform's list.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address of the instance for its peers.
    pub address: SocketAddr,
}

/// A key of the administration API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminKey {
    /// Name of the holder, which is written to the log.
    pub name: SmolStr,
    /// Hash of the bearer key: `blake3:` and 64 hexadecimal digits.
    pub key_hash: SmolStr,
}
