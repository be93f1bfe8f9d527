//! Tracks configuration generations: the newest known one and the one in force.

use wagtailarch_types::Generation;

/// Tracks the newest known generation and the one in force; neither ever decreases.
#[derive(Debug, Clone, Copy, Default)]
pub struct GenerationTracker {
    /// At least `in_force`.
    newest: Generation,
    in_force: Generation,
}

impl GenerationTracker {
    /// Creates a tracker that knows no generation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `generation` exists. Returns whether it is newer than all known before.
    pub fn on_announced(&mut self, generation: Generation) -> bool {
        if generation <= self.newest {
            return false;
        }
        self.newest = generation;
        true
    }

    /// Puts a loaded generation in force. Returns false if it is not newer than the one in force;
    /// the caller must then discard it.
    #[must_use]
    pub fn on_loaded(&mut self, generation: Generation) -> bool {
        if generation <= self.in_force {
            return false;
        }
        self.in_force = generation;
        self.newest = self.newest.max(generation);
        true
    }

    /// Returns the newest known generation; 0 for none.
    pub fn newest(&self) -> Generation {
        self.newest
    }

    /// Returns the generation in force; 0 for none.
    pub fn in_force(&self) -> Generation {
        self.in_force
    }

    /// Returns whether a newer generation than the one in force is known.
    pub fn is_behind(&self) -> bool {
        self.in_force < self.newest
    }
}
