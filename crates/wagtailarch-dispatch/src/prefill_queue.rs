//! How long an engine is busy with prompts that it was sent.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

use crate::{Urgency, UrgentUtilization};

/// Time after which a prompt that was not reported as read is forgotten, beyond three times what it
/// was expected to take; its sender may have ended.
const FORGET_AFTER: Duration = Duration::from_secs(2);
/// Greatest part of its expected time that a prompt counts as read before it is reported.
///
/// A prompt that takes longer than expected still keeps its engine busy.
const GREATEST_PROGRESS: f64 = 0.9;

/// Number of a prompt among those of one sender.
pub type PrefillNumber = u32;

/// Prompts that one engine has been sent and that were not reported as read.
///
/// Every instance keeps such a queue for every engine, with its own prompts and those of its peers.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    /// Prompts by sender and number, oldest first; an engine reads those of equal urgency in order.
    prompts: IndexMap<(InstanceId, PrefillNumber), QueuedPrompt>,
    /// When a prompt was last reported as read.
    last_read: Duration,
    /// Prompts that were on time when they were added.
    urgent: UrgentUtilization,
}

/// One prompt in a [`PrefillQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPrompt {
    /// Time that reading it takes.
    pub work: Duration,
    /// Whether it is read before those that are late anyway.
    pub urgency: Urgency,
    /// When it was added.
    pub added: Duration,
    /// Whether no other prompt waited at that time.
    pub alone: bool,
    /// When it is forgotten.
    forget_at: Duration,
}

impl PrefillQueue {
    /// Returns how long a new prompt waits before it is read.
    pub fn wait(&self, now: Duration, urgency: Urgency) -> Duration {
        let ahead = self
            .prompts
            .values()
            .filter(|prompt| prompt.forget_at > now && prompt.urgency <= urgency);
        let mut wait = Duration::ZERO;
        let mut first = None;
        for prompt in ahead {
            first.get_or_insert(prompt);
            wait += prompt.work;
        }
        wait.saturating_sub(first.map_or(Duration::ZERO, |prompt| self.progress(now, prompt)))
    }

    /// Adds a prompt that takes `work` to be read.
    pub fn add(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        urgency: Urgency,
        work: Duration,
    ) {
        self.prompts.retain(|_, prompt| prompt.forget_at > now);
        if urgency == Urgency::OnTime {
            self.urgent.add(now, work);
        }
        let expected = self.wait(now, urgency) + work;
        let prompt = QueuedPrompt {
            work,
            urgency,
            added: now,
            alone: self.prompts.is_empty(),
            forget_at: now + expected * 3 + FORGET_AFTER,
        };
        self.prompts.insert((sender.clone(), number), prompt);
    }

    /// Removes a prompt that has been read or was given up on.
    pub fn remove(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
    ) -> Option<QueuedPrompt> {
        let prompt = self.prompts.shift_remove(&(sender.clone(), number))?;
        self.last_read = now;
        Some(prompt)
    }

    /// Returns the share of the engine's time that prompts on time take at present.
    pub fn urgent_share(&self, now: Duration) -> f64 {
        self.urgent.share(now)
    }

    /// Removes the prompts of a sender that are not among those that it still tells.
    pub fn keep_only(&mut self, now: Duration, sender: &InstanceId, told: &[PrefillNumber]) {
        let before = self.prompts.len();
        self.prompts
            .retain(|(from, number), _| from != sender || told.contains(number));
        if self.prompts.len() < before {
            self.last_read = now;
        }
    }

    /// Tells whether a prompt is in the queue.
    pub fn contains(&self, sender: &InstanceId, number: PrefillNumber) -> bool {
        self.prompts.contains_key(&(sender.clone(), number))
    }

    /// Returns the part of a prompt that has been read if it is the one that is being read.
    fn progress(&self, now: Duration, prompt: &QueuedPrompt) -> Duration {
        let begun = self.last_read.max(prompt.added);
        let greatest = prompt.work.mul_f64(GREATEST_PROGRESS);
        now.saturating_sub(begun).min(greatest)
    }
}
