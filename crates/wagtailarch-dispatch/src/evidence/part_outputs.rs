//! Outputs of parts of prompts.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_wire::part_report::PartKey;

/// Maximum number of parts whose last output is kept in each of two generations.
const MAX_OUTPUTS: usize = 2_048;

/// Time of the last output by part, in two generations so that the memory is bounded.
#[derive(Debug, Default)]
pub(crate) struct PartOutputs {
    current: IndexMap<PartKey, Duration>,
    previous: IndexMap<PartKey, Duration>,
}

impl PartOutputs {
    /// Returns the time of the last known output of a part.
    pub fn get(&self, part: PartKey) -> Option<Duration> {
        let current = self.current.get(&part);
        current.or_else(|| self.previous.get(&part)).copied()
    }

    /// Records an output unless a later one is known.
    pub fn insert(&mut self, part: PartKey, at: Duration) {
        let latest = self.get(part).map_or(at, |known| known.max(at));
        if self.current.len() >= MAX_OUTPUTS && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, latest);
    }
}
