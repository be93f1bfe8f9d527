//! Whether a generation is in force everywhere.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;
use wagtailarch_types::{Generation, ZoneName};
use wagtailarch_wire::status::{LaggingInstance, ZoneStatusRecord};

/// Instances of a zone that the text output names.
const SHOWN_INSTANCES: usize = 5;

/// What is in force where, for one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StatusReport {
    /// Generation that was asked for.
    pub generation: Generation,
    /// Generation of the manifest.
    pub newest_generation: Generation,
    /// Whether every zone is `in_force`; never true without zones.
    pub everywhere: bool,
    /// Zones in the order of the fleet file.
    pub zones: Vec<ZoneReport>,
}

/// What is in force in one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Verdict on the generation that was asked for.
    pub state: ZoneState,
    /// Age of the record in milliseconds; absent without a record.
    pub age_ms: Option<u64>,
    /// Generation that every known instance has in force, as far as the record says.
    pub generation: Option<Generation>,
    /// Number of entry instances, as far as the record says.
    pub instance_count: Option<u32>,
    /// Instances that are behind or unknown, as far as the record says.
    pub lagging: Vec<LaggingInstance>,
}

/// Verdict on one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Every instance has the generation in force.
    InForce,
    /// At least one instance has a lower generation.
    Behind,
    /// The generation of at least one instance is not known.
    UnknownInstances,
    /// The record is too old, or the clocks differ too much to tell.
    Stale,
    /// There is no record.
    NoRecord,
    /// The record is not valid.
    Malformed,
}

impl ZoneState {
    /// Returns the wording of the text output.
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

/// Judges the records of the zones; `None` stands for an absent record.
///
/// `generation` is in force everywhere only if every zone has a fresh record at or above it and no
/// instance without acknowledgement.
pub fn evaluate(
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
    // A generation that was never applied cannot be in force, whatever records say.
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
    let record = match serde_json::from_slice::<ZoneStatusRecord>(&value) {
        Ok(record) if record.zone == zone => record,
        _ => return ZoneReport::without_record(zone, ZoneState::Malformed),
    };
    let has_unknown = record
        .lagging
        .iter()
        .any(|instance| instance.generation.is_none());
    let state = if !record.is_fresh(now_ms) {
        ZoneState::Stale
    } else if record.generation < generation {
        ZoneState::Behind
    } else if has_unknown {
        ZoneState::UnknownInstances
    } else if lags(&record, generation) {
        ZoneState::Behind
    } else {
        ZoneState::InForce
    };
    ZoneReport {
        zone,
        state,
        age_ms: Some(record.age_ms(now_ms)),
        generation: Some(record.generation),
        instance_count: Some(record.instance_count),
        lagging: record.lagging,
    }
}

/// Tells whether an instance is below `generation` although the summary of the record is not.
fn lags(record: &ZoneStatusRecord, generation: Generation) -> bool {
    record
        .lagging
        .iter()
        .any(|instance| instance.generation.is_some_and(|g| g < generation))
}

impl ZoneReport {
    fn without_record(zone: ZoneName, state: ZoneState) -> Self {
        Self {
            zone,
            state,
            age_ms: None,
            generation: None,
            instance_count: None,
            lagging: Vec::new(),
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.everywhere {
            "everywhere"
        } else {
            "not known to be everywhere"
        };
        writeln!(f, "generation {} in force: {place}", self.generation)?;
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
            let count = or_dash(zone.instance_count.map(|count| count.to_string()));
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
            show_lagging(f, zone)?;
        }
        Ok(())
    }
}

fn or_dash(text: Option<String>) -> String {
    text.unwrap_or_else(|| "-".into())
}

fn show_lagging(f: &mut fmt::Formatter<'_>, zone: &ZoneReport) -> fmt::Result {
    for LaggingInstance {
        instance,
        generation,
        reason,
    } in zone.lagging.iter().take(SHOWN_INSTANCES)
    {
        let generation = generation.map_or(SmolStr::new("unknown"), |g| g.to_string().into());
        writeln!(f, "    {instance}: {generation}, {reason}")?;
    }
    if zone.lagging.len() > SHOWN_INSTANCES {
        writeln!(f, "    and {} more", zone.lagging.len() - SHOWN_INSTANCES)?;
    }
    Ok(())
}
