//! Which configuration generation an observer has seen and has in force.

use wagtailarch_types::Generation;

/// Tracks the newest generation heard of and the one in force; neither ever falls.
#[derive(Debug, Clone, Copy, Default)]
pub struct GenerationTracker {
    /// At least `in_force`.
    newest: Generation,
    in_force: Generation,
}

impl GenerationTracker {
    /// Returns a tracker that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `generation` exists; returns true if it is newer than any seen before.
    pub fn on_heard(&mut self, generation: Generation) -> bool {
        if generation <= self.newest {
            return false;
        }
        self.newest = generation;
        true
    }

    /// Notes that `generation` is loaded and can be put in force; returns false for one that is
    /// not newer than the one in force, which the caller must drop.
    #[must_use]
    pub fn on_loaded(&mut self, generation: Generation) -> bool {
        if generation <= self.in_force {
            return false;
        }
        self.in_force = generation;
        self.newest = self.newest.max(generation);
        true
    }

    /// Returns the newest generation heard of; 0 for none.
    pub fn newest(&self) -> Generation {
        self.newest
    }

    /// Returns the generation in force; 0 for none.
    pub fn in_force(&self) -> Generation {
        self.in_force
    }

    /// Tells whether a newer generation exists than the one in force.
    pub fn is_behind(&self) -> bool {
        self.in_force < self.newest
    }
}
