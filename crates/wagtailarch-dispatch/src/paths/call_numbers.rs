//! Recognition of calls of other instances that are received twice.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use wagtailarch_types::{BootId, InstanceId};

/// Numbers that are remembered for each start of a sender; older ones count as received.
const REMEMBERED_NUMBERS: usize = 1024;
/// Senders that are remembered; the largest fleet has 370 instances.
const REMEMBERED_SENDERS: usize = 1024;
/// Starts of one sender that are remembered.
const REMEMBERED_STARTS: usize = 4;

/// The numbers of the calls received from other instances.
///
/// A sender increments the number with each call, but calls may overtake each other.
#[derive(Debug, Default)]
pub struct CallNumbers {
    /// Calls of each sender by its start, the latest start last.
    senders: IndexMap<InstanceId, VecDeque<(BootId, ReceivedNumbers)>>,
}

/// Numbers received from one start of a sender.
#[derive(Debug, Default)]
struct ReceivedNumbers {
    /// The latest numbers in the order of their arrival.
    recent: IndexSet<u64>,
    /// Numbers up to this one count as received.
    floor: u64,
}

impl CallNumbers {
    /// Records a call; returns whether it is received for the first time. Numbers begin at 1.
    pub fn on_call(&mut self, sender: &InstanceId, boot: BootId, number: u64) -> bool {
        if self.senders.len() == REMEMBERED_SENDERS && !self.senders.contains_key(sender) {
            self.senders.shift_remove_index(0);
        }
        let starts = self.senders.entry(sender.clone()).or_default();
        let known = starts.iter().position(|(known, _)| *known == boot);
        let index = known.unwrap_or_else(|| {
            if starts.len() == REMEMBERED_STARTS {
                starts.pop_front();
            }
            starts.push_back((boot, ReceivedNumbers::default()));
            starts.len() - 1
        });
        starts[index].1.insert(number)
    }
}

impl ReceivedNumbers {
    fn insert(&mut self, number: u64) -> bool {
        if number <= self.floor || !self.recent.insert(number) {
            return false;
        }
        if self.recent.len() > REMEMBERED_NUMBERS {
            let oldest = self.recent.iter().min().copied().unwrap_or(0);
            self.recent.swap_remove(&oldest);
            self.floor = self.floor.max(oldest);
        }
        true
    }
}
