//! Software versions of each service of which streams may be open.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{ServiceName, VersionKey};

use crate::{BackendServer, membership::stream_origins::STREAM_LIFETIME};

/// Software versions of each service of which streams may be open: those of its servers, and those
/// whose last server left recently.
///
/// A list of servers with one version proves nothing about the time before it. That a service has
/// one version alone is therefore stated only by an instance that has seen all changes of the
/// registrations for the lifetime of a stream, or that has read the versions that an earlier
/// instance recorded in the store. For a take-up, the registrations must also have been read since
/// it arrived: an instance that stood still or was cut off does not know the versions that came
/// meanwhile, and its clocks may not show it.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    services: IndexMap<ServiceName, IndexMap<VersionKey, VersionUse>>,
    /// Since when this instance has seen all changes of the registrations; absent while it does not
    /// read them.
    observed_since: Option<Duration>,
    /// When the recorded versions of each service were read.
    records_read_at: IndexMap<ServiceName, Duration>,
    /// When the store was last asked for changes that all are known.
    current_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct VersionUse {
    /// When the last server left, or was reported last; absent while one serves.
    unused_since: Option<Duration>,
    /// Whether this instance has seen the version itself, or read it from the store.
    is_own: bool,
}

impl ServiceVersions {
    /// Applies the registered servers; returns the services that have more than one version now, but
    /// had not before.
    ///
    /// `observed_since` is absent while the registrations cannot be read.
    pub fn on_servers(
        &mut self,
        now: Duration,
        servers: &[BackendServer],
        observed_since: Option<Duration>,
    ) -> Vec<ServiceName> {
        let mixed_before = self.mixed_services();
        self.observed_since = observed_since;
        for version in self.services.values_mut().flat_map(IndexMap::values_mut) {
            version.unused_since.get_or_insert(now);
        }
        for server in servers {
            let version = VersionUse {
                unused_since: None,
                is_own: true,
            };
            let versions = self.services.entry(server.service.clone()).or_default();
            versions.insert(server.version_key(), version);
        }
        self.forget_unused(now);
        self.newly_mixed(&mixed_before)
    }

    /// Applies the versions of a service that are recorded in the store, as read at `read_at`;
    /// returns whether the service has more than one version now, but had not before.
    ///
    /// A service without a record proves nothing.
    pub fn on_record(
        &mut self,
        read_at: Duration,
        service: &ServiceName,
        versions: &[VersionKey],
    ) -> bool {
        let was_mixed = self.is_mixed(service);
        for version in versions {
            self.add_unused(read_at, service, *version, true);
        }
        self.records_read_at.insert(service.clone(), read_at);
        self.is_mixed(service) && !was_mixed
    }

    /// Applies the versions of servers that changed lately, which with the registrations applied
    /// before are all changes until the store was asked at `asked_at`; returns the services that
    /// have more than one version now, but had not before.
    pub fn on_current(
        &mut self,
        asked_at: Duration,
        changed: &[(ServiceName, VersionKey)],
    ) -> Vec<ServiceName> {
        let mixed_before = self.mixed_services();
        for (service, version) in changed {
            self.add_unused(asked_at, service, *version, true);
        }
        self.current_at = self.current_at.max(Some(asked_at));
        self.newly_mixed(&mixed_before)
    }

    /// Applies versions that a peer reports, by [`service_key`]; returns the services that have more
    /// than one version now, but had not before.
    pub fn on_peer(&mut self, now: Duration, reported: &[(u64, VersionKey)]) -> Vec<ServiceName> {
        if reported.is_empty() {
            return Vec::new();
        }
        let mixed_before = self.mixed_services();
        let names: Vec<_> = self.services.keys().cloned().collect();
        for service in names {
            let key = service_key(&service);
            for (_, version) in reported.iter().filter(|(service, _)| *service == key) {
                self.add_unused(now, &service, *version, false);
            }
        }
        self.newly_mixed(&mixed_before)
    }

    /// Returns the versions to report to peers: those of services with more than one, by
    /// [`service_key`].
    pub fn report(&self) -> Vec<(u64, VersionKey)> {
        let services = self.services.iter();
        let mixed = services.filter(|(_, versions)| versions.len() > 1);
        let reported = mixed.flat_map(|(service, versions)| {
            let key = service_key(service);
            // A version that peers have reported expires with their reports.
            let own = versions.iter().filter(|(_, version)| version.is_own);
            own.map(move |(version, _)| (key, *version))
        });
        reported.collect()
    }

    /// Returns whether streams of more than one version may be open.
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(|versions| versions.len() > 1)
    }

    /// Returns the only version of which streams can be open that began before `asked_at`, if that
    /// is proven.
    pub fn only_version(
        &self,
        now: Duration,
        service: &ServiceName,
        asked_at: Duration,
    ) -> Option<VersionKey> {
        if self.current_at < Some(asked_at) {
            return None;
        }
        let versions = self.services.get(service)?;
        let (version, _) = versions.first().filter(|_| versions.len() == 1)?;
        self.is_history_known(now, service).then_some(*version)
    }

    /// Returns whether this instance knows all versions of which streams may be open.
    fn is_history_known(&self, now: Duration, service: &ServiceName) -> bool {
        let Some(since) = self.observed_since else {
            return false;
        };
        let record_read_at = self.records_read_at.get(service);
        now.saturating_sub(since) >= STREAM_LIFETIME
            || record_read_at.is_some_and(|read_at| *read_at >= since)
    }

    fn add_unused(
        &mut self,
        now: Duration,
        service: &ServiceName,
        version: VersionKey,
        is_own: bool,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let entry = versions.entry(version).or_insert(VersionUse {
            unused_since: Some(now),
            is_own,
        });
        entry.is_own |= is_own;
        if let Some(since) = &mut entry.unused_since {
            *since = now;
        }
    }

    /// Drops versions whose streams have all ended.
    pub fn forget_unused(&mut self, now: Duration) {
        for versions in self.services.values_mut() {
            versions.retain(|_, version| {
                let unused_since = version.unused_since;
                unused_since.is_none_or(|since| now.saturating_sub(since) < STREAM_LIFETIME)
            });
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    fn mixed_services(&self) -> Vec<ServiceName> {
        let names = self
            .services
            .keys()
            .filter(|service| self.is_mixed(service));
        names.cloned().collect()
    }

    fn newly_mixed(&self, before: &[ServiceName]) -> Vec<ServiceName> {
        let mut mixed = self.mixed_services();
        mixed.retain(|service| !before.contains(service));
        mixed
    }
}

/// Returns the key of a service in messages.
pub fn service_key(service: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes())
}
