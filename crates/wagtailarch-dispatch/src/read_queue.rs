//! How long an engine is busy with prompts that it was sent.

use std::time::Duration;

use crate::Urgency;

/// Greatest correction that one finished prompt makes, in milliseconds.
const MAX_CORRECTION_MS: f64 = 1_000.0;

/// Prompts that wait at one engine, as the time at which the engine will have read them.
///
/// Every instance keeps such a queue for every engine and adds what it and its peers send.
#[derive(Debug, Default)]
pub struct ReadQueue {
    /// When the engine has read all urgent prompts.
    urgent_until: Duration,
    /// When the engine has read all prompts; never before `urgent_until`.
    all_until: Duration,
    /// Sum of all corrections so far, in milliseconds.
    corrected_ms: f64,
}

/// A prompt in a [`ReadQueue`].
#[derive(Debug, Clone, Copy)]
pub struct ReadTicket {
    /// When the prompt is expected to have been read.
    pub expected: Duration,
    /// Time for which the prompt was expected to wait.
    pub wait: Duration,
    /// Time for which the prompt was expected to be read.
    pub work: Duration,
    urgency: Urgency,
    corrected_before_ms: f64,
}

impl ReadQueue {
    /// Returns how long a new prompt waits before it is read.
    pub fn wait(&self, now: Duration, urgency: Urgency) -> Duration {
        match urgency {
            Urgency::OnTime => self.urgent_until.saturating_sub(now),
            Urgency::Late => self.all_until.saturating_sub(now),
        }
    }

    /// Adds a prompt that takes `work` to be read.
    pub fn add(&mut self, now: Duration, urgency: Urgency, work: Duration) -> ReadTicket {
        let wait = self.wait(now, urgency);
        self.all_until = self.all_until.max(now) + work;
        if urgency == Urgency::OnTime {
            self.urgent_until = self.urgent_until.max(now) + work;
        }
        ReadTicket {
            expected: now + wait + work,
            wait,
            work,
            urgency,
            corrected_before_ms: self.corrected_ms,
        }
    }

    /// Notes that a prompt has been read, or was given up on, and returns the correction in
    /// milliseconds that this makes, for peers.
    ///
    /// Corrections made since the prompt was added are not made again.
    pub fn finish(&mut self, now: Duration, ticket: &ReadTicket) -> f64 {
        let since_ms = self.corrected_ms - ticket.corrected_before_ms;
        let late_ms = (now.as_secs_f64() - ticket.expected.as_secs_f64()) * 1_000.0 - since_ms;
        let late_ms = late_ms.clamp(-MAX_CORRECTION_MS, MAX_CORRECTION_MS);
        self.correct(now, ticket.urgency, late_ms);
        late_ms
    }

    /// Moves the end of the queue by `by_ms`.
    pub fn correct(&mut self, now: Duration, urgency: Urgency, by_ms: f64) {
        self.corrected_ms += by_ms;
        self.all_until = shifted(now, self.all_until, by_ms);
        if urgency == Urgency::OnTime {
            self.urgent_until = shifted(now, self.urgent_until, by_ms);
        }
        self.all_until = self.all_until.max(self.urgent_until);
    }
}

/// Moves a time that is not yet over; an idle engine stays idle.
fn shifted(now: Duration, until: Duration, by_ms: f64) -> Duration {
    if until <= now {
        return until;
    }
    let by = Duration::from_secs_f64(by_ms.abs() / 1_000.0);
    if by_ms >= 0.0 {
        until + by
    } else {
        until.saturating_sub(by).max(now)
    }
}
