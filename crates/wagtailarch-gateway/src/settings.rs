//! Settings of a process.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_dispatch::DEFAULT_RECOVERY_MARGIN;
use wagtailarch_types::{InstanceId, ZoneName};

use crate::duty_settings::DutySettings;

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
    /// Address for the readiness checks of the platform's load balancer.
    pub ready_address: SocketAddr,
    /// Address for datagrams and relay requests of other instances.
    pub peer_address: SocketAddr,
    /// Address for clients' requests that other instances send through this one.
    pub forward_address: SocketAddr,
    /// Address for scrapes of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time in milliseconds within which a new configuration must be in force; from 200 to 60000.
    config_bound_ms: u64,
    /// Time in milliseconds after which a leaving server must receive no more requests; from 200 to
    /// 60000.
    leaving_bound_ms: u64,
    /// Time in milliseconds from the return of the store, or of the path to it, until the bounds
    /// apply again; from 200 to 600000, by default one second more than `leaving_bound_ms`.
    recovery_bound_ms: Option<u64>,
    /// Time in milliseconds between two heartbeats of a backend server; from 100 to 60000.
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: u64,
    /// Time in seconds between the request to stop and the forced end; from 1 to 3600.
    grace_s: f64,
    /// Retries of all instances per request; from 0 to 1.
    retry_ratio: f64,
    /// Additional retries of all instances in any window; from 0 to 1000000.
    retry_slack: f64,
    /// Length in seconds of the retry window; from 0.1 to 3600.
    retry_window_s: f64,
    /// Share of a service's requests that may be sent a second time while their first call is slow,
    /// over all instances; from 0 to 0.2, and 0 for none.
    #[serde(default)]
    second_call_share: f64,
    /// Duties of one instance at a time; absent if there are none.
    pub duties: Option<DutySettings>,
    /// Keys of teams; without this table an instance accepts them by the configuration it has.
    #[serde(default)]
    keys: KeySettings,
}

const fn default_heartbeat_ms() -> u64 {
    1_000
}

/// Settings of the keys of teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeySettings {
    /// Whether a key is only accepted or refused while the configuration is proven to be current.
    #[serde(default)]
    proof_required: bool,
    /// Maximum age of that proof in milliseconds, from 200 to 600000; required with
    /// `proof_required`.
    proof_bound_ms: Option<u64>,
}

/// The settings that take effect while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReloadableSettings {
    /// Time between the request to stop and the forced end.
    pub grace: Duration,
    /// Retries of all instances per request.
    pub retry_ratio: f64,
    /// Additional retries of all instances in any window.
    pub retry_slack: f64,
    /// Length of the retry window.
    pub retry_window: Duration,
    /// Share of a service's requests that may be sent a second time; 0 for none.
    pub second_call_share: f64,
}

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsError {
    /// {0}
    Syntax(SmolStr),
    /// key {key:?} is out of range; hint: {hint}
    Range {
        /// Key of the setting.
        key: &'static str,
        /// Allowed range.
        hint: &'static str,
    },
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Returns the time within which a new configuration must be in force.
    pub fn config_bound(&self) -> Duration {
        Duration::from_millis(self.config_bound_ms)
    }

    /// Returns the time after which a leaving server must receive no more requests.
    pub fn leaving_bound(&self) -> Duration {
        Duration::from_millis(self.leaving_bound_ms)
    }

    /// Returns the time between two heartbeats of a backend server.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time from the return of the store, or of the path to it, until the bounds apply
    /// again.
    pub fn recovery_bound(&self) -> Duration {
        let default = self.leaving_bound() + DEFAULT_RECOVERY_MARGIN;
        self.recovery_bound_ms
            .map_or(default, Duration::from_millis)
    }

    /// Returns the maximum age of the proof that the configuration is current, without which no key
    /// is accepted or refused; absent if no proof is required.
    pub fn key_proof_bound(&self) -> Option<Duration> {
        let bound = self.keys.proof_bound_ms.map(Duration::from_millis);
        bound.filter(|_| self.keys.proof_required)
    }

    /// Returns the settings that take effect while the process runs.
    pub fn reloadable(&self) -> ReloadableSettings {
        ReloadableSettings {
            grace: Duration::from_secs_f64(self.grace_s),
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: Duration::from_secs_f64(self.retry_window_s),
            second_call_share: self.second_call_share,
        }
    }

    /// Returns whether `newer` differs in a setting that takes effect only at a start.
    pub fn needs_restart(&self, newer: &Self) -> bool {
        let with_own_reloadable = Self {
            grace_s: self.grace_s,
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window_s: self.retry_window_s,
            second_call_share: self.second_call_share,
            ..newer.clone()
        };
        *self != with_own_reloadable
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let out_of_range = |key, hint| Err(SettingsError::Range { key, hint });
        if !(200..=60_000).contains(&self.config_bound_ms) {
            return out_of_range("config_bound_ms", "200 to 60000 milliseconds");
        }
        if !(200..=60_000).contains(&self.leaving_bound_ms) {
            return out_of_range("leaving_bound_ms", "200 to 60000 milliseconds");
        }
        if !(100..=60_000).contains(&self.heartbeat_ms) {
            return out_of_range("heartbeat_ms", "100 to 60000 milliseconds");
        }
        let recovery_bound_ms = self.recovery_bound_ms;
        if recovery_bound_ms.is_some_and(|bound_ms| !(200..=600_000).contains(&bound_ms)) {
            return out_of_range("recovery_bound_ms", "200 to 600000 milliseconds");
        }
        if !(1.0..=3_600.0).contains(&self.grace_s) {
            return out_of_range("grace_s", "1 to 3600 seconds");
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return out_of_range("retry_ratio", "0 to 1");
        }
        if !(0.0..=1e6).contains(&self.retry_slack) {
            return out_of_range("retry_slack", "0 to 1000000");
        }
        if !(0.1..=3_600.0).contains(&self.retry_window_s) {
            return out_of_range("retry_window_s", "0.1 to 3600 seconds");
        }
        if !(0.0..=0.2).contains(&self.second_call_share) {
            return out_of_range("second_call_share", "0 to 0.2");
        }
        let bound_ms = self.keys.proof_bound_ms;
        if self.keys.proof_required && bound_ms.is_none() {
            let hint = "state it if keys.proof_required is true";
            return out_of_range("keys.proof_bound_ms", hint);
        }
        if bound_ms.is_some_and(|bound_ms| !(200..=600_000).contains(&bound_ms)) {
            return out_of_range("keys.proof_bound_ms", "200 to 600000 milliseconds");
        }
        match &self.duties {
            Some(duties) => duties.validate(),
            None => Ok(()),
        }
    }
}

/// Parses and validates settings; errors state the line and column where they have one.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let parsed: Result<Settings, _> = toml::from_str(text);
    let settings = parsed.map_err(|error| SettingsError::Syntax(error.to_string().into()))?;
    settings.validate()?;
    Ok(settings)
}
