//! Settings of the duties.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_adapter::decode_duty_kind;
use wagtailarch_types::DutyKind;

use crate::settings::SettingsError;

/// Default of `lease_ms`, as for orders to engines.
const fn default_lease_ms() -> u64 {
    3_000
}

/// Default of `usage_window_s`.
const fn default_usage_window_s() -> f64 {
    5.0
}

/// Default of `usage_late_s`.
const fn default_usage_late_s() -> f64 {
    10.0
}

/// Calls to the platform that are the duty of one instance at a time; all take effect at a start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address for the calls.
    pub address: SocketAddr,
    /// Kinds of duties in the platform's words; unknown ones are ignored.
    kinds: Vec<SmolStr>,
    /// Calls per second that the platform accepts from all instances together; from 0.01 to 1000000.
    pub calls_per_s: f64,
    /// Time in milliseconds within which holders may not take turns; from 100 to 600000.
    #[serde(default = "default_lease_ms")]
    lease_ms: u64,
    /// Length in seconds of a window of use; from 1 to 86400.
    #[serde(default = "default_usage_window_s")]
    usage_window_s: f64,
    /// Time in seconds after the end of a window within which its report is due; from 1 to 86400.
    #[serde(default = "default_usage_late_s")]
    usage_late_s: f64,
    /// Whether servers are ordered where the duty is among `kinds`; off unless the operators set it.
    #[serde(default)]
    pub order_servers: bool,
}

impl DutySettings {
    /// Returns whether a kind of duty is wanted.
    pub fn includes(&self, kind: DutyKind) -> bool {
        let mut kinds = self.kinds.iter();
        kinds.any(|word| decode_duty_kind(word) == Some(kind))
    }

    /// Returns the time within which holders may not take turns.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the length of a window of use.
    pub fn usage_window(&self) -> Duration {
        Duration::from_secs_f64(self.usage_window_s)
    }

    /// Returns the time after the end of a window within which its report is due.
    pub fn usage_late(&self) -> Duration {
        Duration::from_secs_f64(self.usage_late_s)
    }

    /// Checks all ranges.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let out_of_range = |key, hint| Err(SettingsError::Range { key, hint });
        if !(0.01..=1e6).contains(&self.calls_per_s) {
            return out_of_range("duties.calls_per_s", "0.01 to 1000000 per second");
        }
        if !(100..=600_000).contains(&self.lease_ms) {
            return out_of_range("duties.lease_ms", "100 to 600000 milliseconds");
        }
        if !(1.0..=86_400.0).contains(&self.usage_window_s) {
            return out_of_range("duties.usage_window_s", "1 to 86400 seconds");
        }
        if !(1.0..=86_400.0).contains(&self.usage_late_s) {
            return out_of_range("duties.usage_late_s", "1 to 86400 seconds");
        }
        Ok(())
    }
}
