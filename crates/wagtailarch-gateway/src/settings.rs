//! Settings of a process.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, ZoneName};

/// Settings of a process; docs/platform.md describes the keys and which need a restart.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address at which the balancer asks whether the instance takes connections.
    pub ready_address: SocketAddr,
    /// Address for datagrams of other instances.
    pub peer_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time in milliseconds in which a new configuration has to be in force; from 200 to 60000.
    config_bound_ms: u64,
    /// Time in milliseconds in which a leaving server has to get no more requests; from 200 to 60000.
    leaving_bound_ms: u64,
    /// Time in seconds between the request to stop and the forced end; above 1.
    grace_s: f64,
    /// Retries of all instances for each request; from 0 to 1.
    retry_ratio: f64,
    /// Retries of all instances in any window besides; not negative.
    retry_slack: f64,
    /// Length in seconds of the window for retries; above 0.
    retry_window_s: f64,
}

/// The settings that take effect while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningSettings {
    /// Time between the request to stop and the forced end.
    pub grace: Duration,
    /// Retries of all instances for each request.
    pub retry_ratio: f64,
    /// Retries of all instances in any window besides.
    pub retry_slack: f64,
    /// Length of the window for retries.
    pub retry_window: Duration,
}

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// {0}
    Syntax(SmolStr),
    /// key {key:?} is out of range; hint: {hint}
    Range {
        /// Key.
        key: &'static str,
        /// Allowed range.
        hint: &'static str,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns the time in which a new configuration has to be in force.
    pub fn config_bound(&self) -> Duration {
        Duration::from_millis(self.config_bound_ms)
    }

    /// Returns the time in which a leaving server has to get no more requests.
    pub fn leaving_bound(&self) -> Duration {
        Duration::from_millis(self.leaving_bound_ms)
    }

    /// Returns the settings that take effect while the process runs.
    pub fn running(&self) -> RunningSettings {
        RunningSettings {
            grace: Duration::from_secs_f64(self.grace_s),
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Tells whether `newer` differs in a setting that takes effect at a start only.
    pub fn needs_restart(&self, newer: &Self) -> bool {
        let with_own_running = Self {
            grace_s: self.grace_s,
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window_s: self.retry_window_s,
            ..newer.clone()
        };
        *self != with_own_running
    }

    fn check(&self) -> Result<(), SettingsError> {
        let range = |key, hint| Err(SettingsError::Range { key, hint });
        if !(200..=60_000).contains(&self.config_bound_ms) {
            return range("config_bound_ms", "200 to 60000 milliseconds");
        }
        if !(200..=60_000).contains(&self.leaving_bound_ms) {
            return range("leaving_bound_ms", "200 to 60000 milliseconds");
        }
        if !(1.0..=3_600.0).contains(&self.grace_s) {
            return range("grace_s", "1 to 3600 seconds");
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return range("retry_ratio", "0 to 1");
        }
        if !(0.0..=1e6).contains(&self.retry_slack) {
            return range("retry_slack", "0 to 1000000");
        }
        if !(0.1..=3_600.0).contains(&self.retry_window_s) {
            return range("retry_window_s", "0.1 to 3600 seconds");
        }
        Ok(())
    }
}

/// Parses and checks settings; a fault is reported with its line and column where it has one.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let parsed: Result<Settings, _> = toml::from_str(text);
    let settings = parsed.map_err(|error| SettingsError::Syntax(error.to_string().into()))?;
    settings.check()?;
    Ok(settings)
}
