//! Evaluation of the status records of the zones: whether a generation is in force everywhere.

use std::fmt;

use serde::Serialize;
use wagtailarch_types::{Generation, ZoneName};
use wagtailarch_wire::records::{BehindReason, InstanceBehind, ZoneStatusRecord, decode_record};

/// Age in milliseconds at which a record becomes stale.
const STALE_AGE_MS: u64 = 15_000;
/// Length at which the list of instances behind may be truncated.
///
/// Instances without acknowledgement may then be missing from it.
const MAX_BEHIND_INSTANCES: usize = 64;
/// Maximum number of instances of a zone in the text output.
const MAX_SHOWN_INSTANCES: usize = 5;

/// State of a generation in all zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StatusReport {
    /// Generation that was checked.
    pub generation: Generation,
    /// Generation of the manifest.
    pub newest_generation: Generation,
    /// Whether every zone is `in_force`; never true without zones.
    pub everywhere: bool,
    /// Zones in the order of the fleet file.
    pub zones: Vec<ZoneReport>,
}

/// State of a generation in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: ZoneName,
    /// State of the generation that was checked.
    pub state: ZoneState,
    /// Age of the record in milliseconds; `None` without a valid record.
    pub age_ms: Option<u64>,
    /// Lowest generation in force on an instance; `None` without a valid record.
    pub generation: Option<Generation>,
    /// Number of entry instances; `None` without a valid record.
    pub instances: Option<u32>,
    /// Instances that are behind the newest generation or have no recent acknowledgement, as listed
    /// in the record.
    pub behind: Vec<InstanceBehind>,
}

/// Whether a generation is in force in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Every instance has this generation or a later one in force.
    InForce,
    /// At least one instance has a lower generation.
    Behind,
    /// The zone has no instances, or the generation of at least one instance may be unknown: it has
    /// no recent acknowledgement, or the list of instances behind may be truncated.
    UnknownInstances,
    /// The record is too old, or the clocks differ too much to determine its age.
    Stale,
    /// There is no record.
    NoRecord,
    /// The record is not valid.
    Malformed,
}

impl ZoneState {
    /// Returns the description for the text output.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::InForce => "in force",
            Self::Behind => "behind",
            Self::UnknownInstances => "unknown: instances without acknowledgement",
            Self::Stale => "unknown: the status is too old",
            Self::NoRecord => "unknown: no status",
            Self::Malformed => "unknown: the status cannot be read",
        }
    }
}

/// Evaluates the status records of the zones; `None` stands for a missing record.
///
/// `generation` counts as in force everywhere only if the record of every zone is recent, has at
/// least this generation, counts at least one instance and lists no instance without a recent
/// acknowledgement.
pub fn evaluate_status(
    generation: Generation,
    newest_generation: Generation,
    records: Vec<(ZoneName, Option<Vec<u8>>)>,
    now_ms: u64,
) -> StatusReport {
    let mut zones = Vec::with_capacity(records.len());
    for (zone, value) in records {
        zones.push(evaluate_zone(generation, zone, value, now_ms));
    }
    let in_force = zones.iter().all(|zone| zone.state == ZoneState::InForce);
    // A generation that was never applied cannot be in force, even if the records say so.
    let exists = generation > 0 && generation <= newest_generation;
    let everywhere = in_force && exists && !zones.is_empty();
    StatusReport {
        generation,
        newest_generation,
        everywhere,
        zones,
    }
}

fn evaluate_zone(
    generation: Generation,
    zone: ZoneName,
    value: Option<Vec<u8>>,
    now_ms: u64,
) -> ZoneReport {
    let Some(value) = value else {
        return ZoneReport::without_record(zone, ZoneState::NoRecord);
    };
    let record = match decode_record::<ZoneStatusRecord>(&value) {
        Ok(record) if record.zone == zone => record,
        _ => return ZoneReport::without_record(zone, ZoneState::Malformed),
    };
    // A record from a clock ahead of this one is as unreliable as an old one.
    let age_ms = now_ms.abs_diff(record.written_at_ms);
    ZoneReport {
        zone,
        state: zone_state(generation, age_ms, &record),
        age_ms: Some(age_ms),
        generation: Some(record.generation),
        instances: Some(record.instances),
        behind: record.behind,
    }
}

/// Returns the state of a generation in a zone with a valid record.
fn zone_state(generation: Generation, age_ms: u64, record: &ZoneStatusRecord) -> ZoneState {
    let is_unknown = |instance: &InstanceBehind| match instance.reason {
        BehindReason::NeverAcknowledged | BehindReason::Unresponsive => true,
        BehindReason::OlderGeneration => false,
    };
    let may_be_truncated = record.behind.len() >= MAX_BEHIND_INSTANCES;
    if age_ms >= STALE_AGE_MS {
        ZoneState::Stale
    } else if record.behind.iter().any(is_unknown) || may_be_truncated || record.instances == 0 {
        ZoneState::UnknownInstances
    } else if record.generation < generation {
        ZoneState::Behind
    } else {
        ZoneState::InForce
    }
}

impl ZoneReport {
    fn without_record(zone: ZoneName, state: ZoneState) -> Self {
        Self {
            zone,
            state,
            age_ms: None,
            generation: None,
            instances: None,
            behind: Vec::new(),
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scope = if self.everywhere {
            "everywhere"
        } else {
            "not known to be everywhere"
        };
        writeln!(f, "generation {} in force: {scope}", self.generation)?;
        if self.newest_generation != self.generation {
            writeln!(f, "newest generation: {}", self.newest_generation)?;
        }
        let width = self
            .zones
            .iter()
            .map(|zone| zone.zone.len())
            .max()
            .unwrap_or(0)
            .max(4);
        writeln!(f, "{:width$}  generation  instances  age     state", "zone")?;
        for zone in &self.zones {
            let generation = or_dash(zone.generation.map(|g| g.to_string()));
            let count = or_dash(zone.instances.map(|count| count.to_string()));
            let age_s = zone
                .age_ms
                .map(|age_ms| format!("{:.1} s", age_ms as f64 / 1e3));
            let age = or_dash(age_s);
            let state = zone.state.as_str();
            writeln!(
                f,
                "{:width$}  {generation:10}  {count:9}  {age:6}  {state}",
                zone.zone
            )?;
            write_behind(f, zone)?;
        }
        Ok(())
    }
}

fn or_dash(text: Option<String>) -> String {
    text.unwrap_or_else(|| "-".into())
}

fn write_behind(f: &mut fmt::Formatter<'_>, zone: &ZoneReport) -> fmt::Result {
    for InstanceBehind {
        instance,
        generation,
        reason,
    } in zone.behind.iter().take(MAX_SHOWN_INSTANCES)
    {
        let reason = match reason {
            BehindReason::OlderGeneration => "older generation",
            BehindReason::NeverAcknowledged => "never acknowledged",
            BehindReason::Unresponsive => "unresponsive",
        };
        let generation = or_dash(generation.map(|generation| generation.to_string()));
        writeln!(f, "    {instance}: generation {generation}, {reason}")?;
    }
    if zone.behind.len() > MAX_SHOWN_INSTANCES {
        writeln!(
            f,
            "    and {} more",
            zone.behind.len() - MAX_SHOWN_INSTANCES
        )?;
    }
    Ok(())
}
