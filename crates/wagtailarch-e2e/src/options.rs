//! Options of a test fleet.

use std::ops::Range;

use crate::{FleetFile, Ports, VERSIONS};

/// Options of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Fleet file.
    pub file: FleetFile,
    /// Number of entry instances, which are spread over the zones.
    pub entries: usize,
    /// Number of engines, which are spread over the zones.
    pub engines: usize,
    /// Number of plain services, which are spread over the zones.
    pub services: usize,
    /// Additional command-line options of the engines.
    pub engine_args: Vec<String>,
    /// Port range for the entry instances.
    pub ports: Range<u16>,
    /// Number of traffic threads of each entry instance.
    pub traffic_threads: usize,
    /// Source of the configuration of entry instances.
    pub source: ConfigSource,
    /// Whether entry instances reach the platform and each other through link stand-ins, which
    /// tests can cut.
    pub links: bool,
}

/// Source of the configuration of entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The fleet file, which their settings name.
    File,
    /// The platform, to which the harness applies the fleet file with `wagtailctl`.
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
