//! How a start of a server ended, as its connections and the registry show.

use std::{collections::VecDeque, time::Duration};

/// Time within which the ends of servers that have a common cause, such as a loss of power, are noticed.
pub const SIMULTANEOUS: Duration = Duration::from_millis(50);
/// Time within which an announcement that was made before the end of a server is known.
pub const ANNOUNCEMENT_LIMIT: Duration = Duration::from_millis(300);
/// Time after which data that a server had sent has arrived, with one retransmission.
const DELIVERY_TIME: Duration = Duration::from_millis(250);
/// Maximum age of an answered probe that shows that the end of a connection arrived without delay.
const PROMPT_TIME: Duration = Duration::from_millis(500);
/// Time within which all connections of a process end that is killed.
const TOGETHER: Duration = Duration::from_millis(10);
/// Time after which the connections that ended together are known.
const TOGETHER_SETTLED: Duration = Duration::from_millis(50);
/// Heartbeat intervals after the last heartbeat within which only the server itself removes its
/// registration; the store removes it after three.
const OWN_REMOVAL_INTERVALS: f64 = 2.5;
/// Heartbeat intervals after the end of a process, which may be one after its last heartbeat, within
/// which the store does not remove its registration.
const DECISION_INTERVALS: f64 = 1.5;
/// Number of ends of connections that are kept.
const MAX_ENDS: usize = 64;

/// What is known about one start of a server that leaves or has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Departure {
    /// When its leaving, or the removal of its registration, became known.
    pub announced_at: Duration,
    /// When its last heartbeat became known, or else its leaving.
    pub registered_at: Duration,
    /// When the removal of its registration became known.
    pub removed_at: Option<Duration>,
}

/// What the connections to one start of a server show about how it ends.
///
/// A server that leaves closes its port, finishes its responses and exits; one that is killed closes
/// its port and all connections at once. The end of a connection that was announced to mark the end of
/// a response is the server's only if the process outlived it.
#[derive(Debug, Clone, Default)]
pub struct ServerLife {
    /// Number of open responses that end with their connections.
    open: usize,
    /// Ends of such responses, oldest first; at most `MAX_ENDS`.
    ends: VecDeque<Duration>,
    /// When data last arrived.
    heard_at: Option<Duration>,
    /// First of the refused connections in a row.
    port_closed_at: Option<Duration>,
    /// When data first showed that the process went on after it had closed its port.
    outlived_port_at: Option<Duration>,
    /// When a probe was last accepted or refused.
    probe_answered_at: Option<Duration>,
    /// Whether a probe had no answer, so that data and ends may arrive late.
    is_path_doubted: bool,
}

/// Result of a probe of a server's port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortState {
    /// It accepts connections.
    Open,
    /// It refuses connections.
    Closed,
    /// The probe had no answer.
    Unreachable,
}

/// The end of a connection that marks the end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionEnd {
    /// When it arrived.
    at: Duration,
    /// Whether it arrived without delay, as the probes before it show.
    is_prompt: bool,
}

/// Whether a response was whole when its connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVerdict {
    /// The server ended it.
    Whole,
    /// The server crashed, or nothing shows that it did not.
    Broken,
    /// Evidence may still arrive.
    Undecided,
}

impl Departure {
    /// Records an announcement that became known at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            announced_at: now,
            registered_at: now,
            removed_at: None,
        }
    }

    /// Returns whether the end of the server that was noticed at `ended_at` had been announced.
    pub fn explains_end(&self, ended_at: Duration) -> bool {
        self.announced_at < ended_at + ANNOUNCEMENT_LIMIT
    }
}

impl ServerLife {
    /// Records that a response began that ends with its connection.
    pub fn on_opened(&mut self) {
        self.open += 1;
    }

    /// Records that such a response was given up.
    pub fn on_given_up(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records that data arrived.
    pub fn on_heard(&mut self, now: Duration) {
        self.heard_at = Some(now);
        let outlived = |at: Duration| now >= at + DELIVERY_TIME;
        if !self.is_path_doubted && self.port_closed_at.is_some_and(outlived) {
            self.outlived_port_at.get_or_insert(now);
        }
    }

    /// Records the result of a probe while responses are open.
    pub fn on_probe(&mut self, now: Duration, port: PortState) {
        match port {
            PortState::Open => self.port_closed_at = None,
            PortState::Closed => {
                self.port_closed_at.get_or_insert(now);
            }
            PortState::Unreachable => {
                self.is_path_doubted = true;
                return;
            }
        }
        self.probe_answered_at = Some(now);
    }

    /// Records that the connection of a response ended in order.
    pub fn on_ended(&mut self, now: Duration) -> ConnectionEnd {
        self.open = self.open.saturating_sub(1);
        if self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
        let is_recent = |at: Duration| now <= at + PROMPT_TIME;
        ConnectionEnd {
            at: now,
            is_prompt: !self.is_path_doubted && self.probe_answered_at.is_some_and(is_recent),
        }
    }

    /// Decides whether a response was whole whose server refuses connections after its end.
    ///
    /// `departure` is what the registry says about the server now, and `heartbeat_interval` the time
    /// between its heartbeats.
    pub fn verdict(
        &self,
        now: Duration,
        end: ConnectionEnd,
        departure: Option<&Departure>,
        heartbeat_interval: Duration,
    ) -> EndVerdict {
        let age = now.saturating_sub(end.at);
        let Some(departure) = departure else {
            return match age < ANNOUNCEMENT_LIMIT {
                true => EndVerdict::Undecided,
                false => EndVerdict::Broken,
            };
        };
        let shows_life = |at: Duration| at >= end.at + DELIVERY_TIME;
        if !self.is_path_doubted && self.heard_at.is_some_and(shows_life)
            || shows_life(departure.registered_at)
            || has_removed_itself(departure, end, heartbeat_interval)
        {
            return EndVerdict::Whole;
        }
        if self.has_outlived_port(departure, end) {
            match self.ended_together(end) {
                _ if age < TOGETHER_SETTLED => return EndVerdict::Undecided,
                true => {}
                false => return EndVerdict::Whole,
            }
        }
        match age < heartbeat_interval.mul_f64(DECISION_INTERVALS) {
            true => EndVerdict::Undecided,
            false => EndVerdict::Broken,
        }
    }

    /// Returns whether the process was seen to go on after it had closed its port, and the registry no
    /// longer tells how it ends.
    fn has_outlived_port(&self, departure: &Departure, end: ConnectionEnd) -> bool {
        departure.removed_at.is_some_and(|at| at <= end.at)
            && !self.is_path_doubted
            && self.outlived_port_at.is_some_and(|at| at <= end.at)
    }

    /// Returns whether a connection ended at the same moment as others, and none is left.
    fn ended_together(&self, end: ConnectionEnd) -> bool {
        let ends = self.ends.iter();
        let together = ends.filter(|at| at.abs_diff(end.at) <= TOGETHER).count();
        self.open == 0 && together > 1
    }
}

/// Returns whether a server removed its registration after the end of a response, rather than the store
/// after missed heartbeats.
fn has_removed_itself(
    departure: &Departure,
    end: ConnectionEnd,
    heartbeat_interval: Duration,
) -> bool {
    let Some(removed_at) = departure.removed_at.filter(|at| *at >= end.at) else {
        return false;
    };
    let was_announced = departure.announced_at < removed_at;
    let own_until = departure.registered_at + heartbeat_interval.mul_f64(OWN_REMOVAL_INTERVALS);
    let prompt_until = end.at + heartbeat_interval.mul_f64(DECISION_INTERVALS);
    was_announced && (removed_at < own_until || end.is_prompt && removed_at < prompt_until)
}
