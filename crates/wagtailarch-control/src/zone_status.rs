//! Which configuration generation is in force at the instances of one zone.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::{BootId, FencingNumber, Generation, InstanceId, ZoneName};
use wagtailarch_wire::records::{BehindReason, InstanceBehind, ZoneStatusRecord};

/// Age of an acknowledgement beyond which an instance counts as unresponsive; three times the
/// gossip lag of 5 s.
const ACK_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of instances that a status names, which bounds the size of the object.
const MAX_BEHIND: usize = 64;
/// Maximum number of instances of a zone.
const MAX_INSTANCES: usize = 1_024;

/// Acknowledged generations of the instances of one zone.
#[derive(Debug)]
pub struct ZoneStatus {
    zone: ZoneName,
    /// Listed instances, at most `MAX_INSTANCES`; `None` until the first acknowledgement arrives.
    acks: IndexMap<InstanceId, Option<Ack>>,
}

/// The generation that an instance last reported as in force.
#[derive(Debug, Clone, Copy)]
struct Ack {
    boot_id: BootId,
    generation: Generation,
    received_at: Duration,
}

impl ZoneStatus {
    /// Creates the status of a zone without instances.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            acks: IndexMap::new(),
        }
    }

    /// Applies the list of the zone's instances and removes all others.
    pub fn on_list(&mut self, listed: &[InstanceId]) {
        self.acks.retain(|instance, _| listed.contains(instance));
        for instance in listed.iter().take(MAX_INSTANCES) {
            self.acks.entry(instance.clone()).or_insert(None);
        }
    }

    /// Records the generation that an instance has in force. A lower generation is ignored unless
    /// it comes from a later process.
    pub fn on_ack(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        boot_id: BootId,
        generation: Generation,
    ) {
        let Some(entry) = self.acks.get_mut(instance) else {
            return;
        };
        let known = entry.filter(|ack| ack.boot_id >= boot_id);
        if known.is_some_and(|ack| ack.boot_id > boot_id) {
            return;
        }
        let floor = known.map_or(0, |ack| ack.generation);
        *entry = Some(Ack {
            boot_id,
            generation: generation.max(floor),
            received_at: now,
        });
    }

    /// Returns the status record for the platform; `newest` is the newest generation that the
    /// writer knows.
    pub fn record(
        &self,
        now: Duration,
        newest: Generation,
        written_at_ms: u64,
        lease_number: FencingNumber,
    ) -> ZoneStatusRecord {
        let mut behind = Vec::new();
        let mut lowest = newest;
        for (instance, ack) in &self.acks {
            lowest = lowest.min(ack.map_or(0, |ack| ack.generation));
            let Some(reason) = behind_reason(now, newest, ack.as_ref()) else {
                continue;
            };
            if behind.len() < MAX_BEHIND {
                behind.push(InstanceBehind {
                    instance: instance.clone(),
                    generation: ack.map(|ack| ack.generation),
                    reason,
                });
            }
        }
        ZoneStatusRecord {
            zone: self.zone.clone(),
            generation: lowest,
            instances: self.acks.len() as u32,
            behind,
            written_at_ms,
            lease_number,
        }
    }
}

/// Returns why an instance counts as behind `newest`, if it does.
fn behind_reason(now: Duration, newest: Generation, ack: Option<&Ack>) -> Option<BehindReason> {
    let Some(ack) = ack else {
        return Some(BehindReason::NeverAcknowledged);
    };
    if now.saturating_sub(ack.received_at) > ACK_TIMEOUT {
        return Some(BehindReason::Unresponsive);
    }
    (ack.generation < newest).then_some(BehindReason::OlderGeneration)
}
