//! How long a client takes to send a head or to read its answer.

use std::{cell::Cell, time::Duration};

use tokio::{
    sync::Notify,
    time::{Instant, sleep_until},
};

use crate::metered_stream::Meter;

/// Measures how long a client takes to send a head or to read what is written.
///
/// The server's own timer also runs while a kept connection is idle, for which clients have longer.
#[derive(Debug, Default)]
pub struct ClientClock {
    /// When the first byte of the head that is arriving was read.
    head_begun: Cell<Option<Instant>>,
    /// Since when bytes wait to be written.
    write_begun: Cell<Option<Instant>>,
    /// Whether a request is being served; bytes read meanwhile belong to its body or wait.
    serving: Cell<bool>,
    changed: Notify,
}

/// What a client takes too long for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overdue {
    /// Sending the head of a request.
    Head,
    /// Reading an answer.
    Answer,
}

impl ClientClock {
    /// Notes that a head has arrived and its request is served.
    pub fn start_serving(&self) {
        self.serving.set(true);
        self.head_begun.set(None);
    }

    /// Notes that the request has been answered.
    pub fn stop_serving(&self) {
        self.serving.set(false);
    }

    /// Waits until a head takes longer than `head_limit`, or bytes of an answer have waited for
    /// `answer_limit` without the client reading any.
    pub async fn overdue(&self, head_limit: Duration, answer_limit: Duration) -> Overdue {
        loop {
            let head = self.head_begun.get().map(|begun| begun + head_limit);
            let answer = self.write_begun.get().map(|begun| begun + answer_limit);
            let Some(next) = head.into_iter().chain(answer).min() else {
                self.changed.notified().await;
                continue;
            };
            if next > Instant::now() {
                tokio::select! {
                    () = sleep_until(next) => {}
                    () = self.changed.notified() => {}
                }
                continue;
            }
            return match head == Some(next) {
                true => Overdue::Head,
                false => Overdue::Answer,
            };
        }
    }
}

impl Meter for ClientClock {
    fn on_read(&self, _count: usize) {
        if !self.serving.get() && self.head_begun.get().is_none() {
            self.head_begun.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }

    fn on_write(&self, waiting: bool) {
        if !waiting {
            self.write_begun.set(None);
        } else if self.write_begun.get().is_none() {
            self.write_begun.set(Some(Instant::now()));
            self.changed.notify_one();
        }
    }
}
