//! Prediction of the time for which an engine is busy with the prompts that were sent to it.

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_types::InstanceId;

use crate::{Urgency, UrgentUtilization};

/// Time after which a prompt expires, in addition to three times its expected time, if the end of
/// its prefill is not reported; its sender may have terminated.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// Largest share of the predicted prefill time that counts as done before the end is reported.
///
/// It keeps the engine busy in the prediction if the prefill takes longer than predicted.
const MAX_PROGRESS: f64 = 0.9;

/// Number of a prompt, unique within its sender.
pub type PrefillNumber = u32;

/// Prompts that were sent to one engine and whose prefill is not reported as finished.
///
/// Each instance keeps a queue for each engine, with its own prompts and those that its peers
/// report.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    /// Prompts by sender and number, oldest first. An engine prefills prompts of equal urgency in
    /// this order.
    prompts: IndexMap<(InstanceId, PrefillNumber), QueuedPrompt>,
    /// Time at which the last prompt was removed as finished or no longer reported.
    last_finished: Duration,
    /// Utilization of the engine by prompts that were on time when they were added.
    urgent_utilization: UrgentUtilization,
    /// Predicted prefill time of the prompts added since it was last taken.
    added_work: Duration,
}

/// A prompt in a [`PrefillQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPrompt {
    /// Predicted prefill time.
    pub work: Duration,
    /// Urgency, which determines the prompts that are prefilled earlier.
    pub urgency: Urgency,
    /// Time at which the prompt was added.
    pub added_at: Duration,
    /// Whether the queue was empty at that time.
    pub queue_was_empty: bool,
    /// Time at which the prompt expires.
    expires_at: Duration,
}

impl PrefillQueue {
    /// Predicts how long a new prompt waits for its prefill.
    pub fn wait(&self, now: Duration, urgency: Urgency) -> Duration {
        let ahead = self
            .prompts
            .values()
            .filter(|prompt| prompt.expires_at > now && prompt.urgency <= urgency);
        let mut wait = Duration::ZERO;
        let mut first = None;
        for prompt in ahead {
            first.get_or_insert(prompt);
            wait += prompt.work;
        }
        wait.saturating_sub(first.map_or(Duration::ZERO, |prompt| self.progress(now, prompt)))
    }

    /// Adds a prompt with a predicted prefill time of `work`.
    pub fn add(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
        urgency: Urgency,
        work: Duration,
    ) {
        self.prompts.retain(|_, prompt| prompt.expires_at > now);
        if urgency == Urgency::OnTime {
            self.urgent_utilization.add(now, work);
        }
        self.added_work += work;
        let expected = self.wait(now, urgency) + work;
        let prompt = QueuedPrompt {
            work,
            urgency,
            added_at: now,
            queue_was_empty: self.prompts.is_empty(),
            expires_at: now + expected * 3 + EXPIRY_MARGIN,
        };
        self.prompts.insert((sender.clone(), number), prompt);
    }

    /// Takes the predicted prefill time of the prompts that were added since the last call.
    pub fn take_added_work(&mut self) -> Duration {
        std::mem::take(&mut self.added_work)
    }

    /// Removes a prompt whose prefill finished or was abandoned.
    pub fn remove(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        number: PrefillNumber,
    ) -> Option<QueuedPrompt> {
        let prompt = self.prompts.shift_remove(&(sender.clone(), number))?;
        self.last_finished = now;
        Some(prompt)
    }

    /// Returns the share of the engine's time that the prefill of prompts on time takes at present.
    pub fn urgent_utilization(&self, now: Duration) -> f64 {
        self.urgent_utilization.current(now)
    }

    /// Removes the prompts of a sender that it no longer reports.
    pub fn retain_reported(
        &mut self,
        now: Duration,
        sender: &InstanceId,
        reported: &[PrefillNumber],
    ) {
        let previous_len = self.prompts.len();
        self.prompts.retain(|(prompt_sender, number), _| {
            prompt_sender != sender || reported.contains(number)
        });
        if self.prompts.len() < previous_len {
            self.last_finished = now;
        }
    }

    /// Returns whether a prompt is in the queue.
    pub fn contains(&self, sender: &InstanceId, number: PrefillNumber) -> bool {
        self.prompts.contains_key(&(sender.clone(), number))
    }

    /// Returns the completed part of the prefill of `prompt`, assuming that the engine works on it.
    fn progress(&self, now: Duration, prompt: &QueuedPrompt) -> Duration {
        let started = self.last_finished.max(prompt.added_at);
        let max_progress = prompt.work.mul_f64(MAX_PROGRESS);
        now.saturating_sub(started).min(max_progress)
    }
}
