//! What a test fleet consists of.

use std::ops::Range;

use crate::{FleetFile, Ports, VERSIONS};

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Configuration.
    pub file: FleetFile,
    /// Number of entry instances; spread over the zones.
    pub entries: usize,
    /// Number of engines; spread over the zones.
    pub engines: usize,
    /// Number of plain services; spread over the zones.
    pub services: usize,
    /// Further options of the engines.
    pub engine_args: Vec<String>,
    /// Ports of entry instances.
    pub ports: Range<u16>,
    /// Traffic threads of an entry instance.
    pub traffic_threads: usize,
    /// Where entry instances take the configuration from.
    pub source: ConfigSource,
    /// Whether entry instances reach the platform and each other through links that can be cut.
    pub links: bool,
}

/// Where entry instances take the configuration from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// A file named in their settings.
    File,
    /// The platform, where `wagtailctl` applies the file.
    Platform,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            file: FleetFile {
                zones: vec!["buda-a".into(), "pest-b".into()],
                version: VERSIONS[0].into(),
                checks_fencing: true,
                roles: [(0, 0), (0, 0), (0, 12)],
                requests_per_s: 100_000.0,
            },
            entries: 3,
            engines: 4,
            services: 1,
            engine_args: Vec::new(),
            ports: Ports::TESTS,
            traffic_threads: 2,
            source: ConfigSource::Platform,
            links: false,
        }
    }
}
