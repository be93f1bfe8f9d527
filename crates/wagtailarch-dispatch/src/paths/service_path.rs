//! The path from this instance to the backend servers of one service.

use std::time::Duration;

use indexmap::IndexSet;
use wagtailarch_types::InstanceId;

/// Time between the first failed connection and the loss of the path, during which no server
/// accepts a connection.
///
/// Lost packets of a shorter time are no loss of the path. A connection that hangs fails only after
/// 150 ms, so that the loss is known about 0.4 s after the first call.
const LOSS_SPAN: Duration = Duration::from_millis(250);
/// Minimum number of failed connections before the path is lost.
const MIN_FAILURES: u32 = 3;
/// Number of distinct servers that must have failed before the path is lost, if the service has as
/// many.
///
/// With two, the path was taken to be lost where five of six servers had crashed.
const LOSS_SERVERS: usize = 6;
/// Number of distinct servers from which the path is doubted.
const DOUBT_SERVERS: usize = 2;
/// Time for which connections must succeed before the path is used again.
const RETURN_SPAN: Duration = Duration::from_millis(400);
/// Minimum number of successful connections before the path is used again.
const MIN_OPENED: u32 = 3;
/// Time after a return within which a further loss doubles the time until the next return.
const SWING_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of doublings, which makes 3.2 s.
const MAX_DOUBLINGS: u32 = 3;
/// Interval of probes while the path is suspected.
const SUSPECTED_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of probes while the path is lost.
const LOST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of probes after the path has been lost for `LONG_LOSS`.
const LONG_LOST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Duration of a loss from which probes are sent less often.
const LONG_LOSS: Duration = Duration::from_secs(30);
/// Age of the last connection at which a direct path is probed once when another one is doubted.
const CHECK_AGE: Duration = Duration::from_millis(100);
/// Interval of probes while the path returns.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

/// The path from this instance to the backend servers of one service.
///
/// It is about new connections only: a partition may leave open connections alone and refuse new
/// ones.
#[derive(Debug, Clone, Default)]
pub struct ServicePath {
    state: PathState,
    /// Servers that failed since the path was suspected; empty while it is direct.
    failed: IndexSet<InstanceId>,
    /// Number of failures since the path was suspected.
    failures: u32,
    /// When a connection was opened last.
    last_opened_at: Option<Duration>,
    /// Number of listed servers at the last probe; absent before.
    listed: Option<usize>,
    /// Whether the direct path is to be probed once, since another one is doubted.
    is_check_due: bool,
    /// Time of the next probe.
    next_probe_at: Duration,
    /// Number of probes so far, which selects the next server.
    probes: usize,
    /// When the path returned last.
    returned_at: Option<Duration>,
    /// Number of losses that followed a return within `SWING_WINDOW`.
    swings: u32,
}

/// What an instance concludes about the path to a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum PathState {
    /// Requests are sent to the servers.
    #[default]
    Direct,
    /// Connections fail and none was opened since.
    Suspected {
        /// Time of the first failure.
        since: Duration,
    },
    /// No server can be reached.
    Lost {
        /// Time of the loss.
        since: Duration,
    },
    /// Servers can be reached again, but not for long enough.
    Returning {
        /// Time of the loss.
        lost_at: Duration,
        /// Time of the first connection.
        since: Duration,
        /// Servers that accepted a connection.
        opened: IndexSet<InstanceId>,
        /// Number of connections.
        openings: u32,
    },
}

/// An attempt to open a connection to a server.
#[derive(Debug, Clone, Copy)]
pub struct ConnectAttempt<'a> {
    /// The server.
    pub server: &'a InstanceId,
    /// Start of the attempt.
    pub started_at: Duration,
}

/// A change of the path to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// A connection failed and none was opened since; whether the server or the path is the cause
    /// is not known yet.
    Suspected,
    /// More than one server failed, or the only one.
    Doubted,
    /// Another connection was opened, so that the failures were the servers'.
    Cleared {
        /// Whether [`PathChange::Doubted`] came before.
        was_doubted: bool,
    },
    /// The path is lost.
    Lost {
        /// Number of distinct servers that failed.
        servers: usize,
        /// Number of failed connections.
        failures: u32,
        /// Time since the first failure.
        evidence_age: Duration,
    },
    /// A server accepted a connection again.
    Returning,
    /// A server that had accepted a connection failed again.
    LostAgain,
    /// The path is used again.
    Returned {
        /// Number of distinct servers that accepted a connection.
        servers: usize,
        /// Time since the first of these connections.
        evidence_age: Duration,
        /// Time for which the path was lost.
        lost_for: Duration,
    },
}

impl ServicePath {
    /// Returns the conclusion about the path.
    pub fn state(&self) -> &PathState {
        &self.state
    }

    /// Returns whether requests are not sent to the servers.
    pub fn is_lost(&self) -> bool {
        matches!(
            self.state,
            PathState::Lost { .. } | PathState::Returning { .. }
        )
    }

    /// Returns whether several servers failed, or the only one, so that this instance takes no
    /// requests of others.
    pub fn is_doubted(&self) -> bool {
        self.is_lost() || self.failed.len() >= self.needed_servers(DOUBT_SERVERS)
    }

    /// Records that a server accepted a connection.
    pub fn on_opened(&mut self, now: Duration, attempt: ConnectAttempt<'_>) -> Option<PathChange> {
        self.last_opened_at = Some(now);
        self.is_check_due = false;
        let ConnectAttempt { server, started_at } = attempt;
        match &mut self.state {
            PathState::Direct => None,
            // The result of a connection from before the failure may have been read late.
            PathState::Suspected { since } | PathState::Lost { since } if started_at < *since => {
                None
            }
            PathState::Suspected { .. } => {
                let was_doubted = self.is_doubted();
                self.clear();
                Some(PathChange::Cleared { was_doubted })
            }
            PathState::Lost { since } => {
                self.state = PathState::Returning {
                    lost_at: *since,
                    since: now,
                    opened: IndexSet::from([server.clone()]),
                    openings: 1,
                };
                self.next_probe_at = now + RETURN_INTERVAL;
                Some(PathChange::Returning)
            }
            PathState::Returning {
                lost_at,
                since,
                opened,
                openings,
            } => {
                opened.insert(server.clone());
                *openings += 1;
                let evidence_age = now.saturating_sub(*since);
                let return_span = RETURN_SPAN * 2u32.pow(self.swings.min(MAX_DOUBLINGS));
                if *openings < MIN_OPENED || evidence_age < return_span {
                    return None;
                }
                let change = PathChange::Returned {
                    servers: opened.len(),
                    evidence_age,
                    lost_for: now.saturating_sub(*lost_at),
                };
                self.returned_at = Some(now);
                self.clear();
                Some(change)
            }
        }
    }

    /// Records that a server did not accept a connection.
    pub fn on_failed(&mut self, now: Duration, attempt: ConnectAttempt<'_>) -> Option<PathChange> {
        let ConnectAttempt { server, started_at } = attempt;
        match &self.state {
            PathState::Direct => {
                // A server that accepted a connection meanwhile proves the path.
                if self.last_opened_at.is_some_and(|at| at >= started_at) {
                    return None;
                }
                self.state = PathState::Suspected { since: now };
                self.next_probe_at = now;
                self.failed.insert(server.clone());
                self.failures = 1;
                Some(PathChange::Suspected)
            }
            PathState::Suspected { since } => {
                let since = *since;
                let was_doubted = self.is_doubted();
                self.failed.insert(server.clone());
                self.failures += 1;
                self.judge_loss(now, since)
                    .or_else(|| (!was_doubted && self.is_doubted()).then_some(PathChange::Doubted))
            }
            PathState::Lost { .. } => None,
            PathState::Returning {
                lost_at, opened, ..
            } => {
                // Another server may be down for its own reasons.
                if !opened.contains(server) {
                    return None;
                }
                self.state = PathState::Lost { since: *lost_at };
                self.next_probe_at = now + LOST_INTERVAL;
                Some(PathChange::LostAgain)
            }
        }
    }

    /// Probes a direct path once, unless a connection is opened until `CHECK_AGE` after the last one.
    pub fn request_check(&mut self, now: Duration) {
        if self.state == PathState::Direct {
            let checked_at = self.last_opened_at.map_or(now, |at| at + CHECK_AGE);
            self.is_check_due = true;
            self.next_probe_at = checked_at.max(now);
        }
    }

    /// Returns the index of the server to probe now among the listed ones, and plans the next probe.
    ///
    /// `seed` differs by instance, so that instances behind the same partition probe different
    /// servers.
    pub fn take_probe(
        &mut self,
        now: Duration,
        listed: &[&InstanceId],
        seed: u64,
    ) -> Option<usize> {
        self.listed = Some(listed.len());
        if listed.is_empty() {
            self.clear();
            return None;
        }
        if self.next_probe_at().is_none_or(|at| now < at) {
            return None;
        }
        self.is_check_due = false;
        let interval = self.probe_interval(now);
        self.next_probe_at = now + interval;
        self.probes = self.probes.wrapping_add(1);
        let start = (seed as usize).wrapping_add(self.probes) % listed.len();
        let mut rotated = (start..listed.len()).chain(0..start);
        let untried = rotated.find(|index| self.is_untried(listed[*index]));
        Some(untried.unwrap_or(start))
    }

    /// Returns whether a server has not contributed to the current conclusion yet.
    fn is_untried(&self, server: &InstanceId) -> bool {
        match &self.state {
            PathState::Direct | PathState::Lost { .. } => true,
            PathState::Suspected { .. } => !self.failed.contains(server),
            PathState::Returning { opened, .. } => !opened.contains(server),
        }
    }

    /// Returns when the next probe is due; `None` while there is no reason for one.
    pub fn next_probe_at(&self) -> Option<Duration> {
        let is_due = self.is_check_due || self.state != PathState::Direct;
        is_due.then_some(self.next_probe_at)
    }

    /// Returns whether the loss of the path is open, so that its probes are more urgent than those of
    /// other services.
    pub fn is_suspected(&self) -> bool {
        matches!(self.state, PathState::Suspected { .. })
    }

    fn probe_interval(&self, now: Duration) -> Duration {
        match &self.state {
            PathState::Direct | PathState::Suspected { .. } => SUSPECTED_INTERVAL,
            PathState::Lost { since } if now.saturating_sub(*since) >= LONG_LOSS => {
                LONG_LOST_INTERVAL
            }
            PathState::Lost { .. } => LOST_INTERVAL,
            PathState::Returning { .. } => RETURN_INTERVAL,
        }
    }

    fn judge_loss(&mut self, now: Duration, since: Duration) -> Option<PathChange> {
        let evidence_age = now.saturating_sub(since);
        if self.failed.len() < self.needed_servers(LOSS_SERVERS)
            || self.failures < MIN_FAILURES
            || evidence_age < LOSS_SPAN
        {
            return None;
        }
        let swings = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) < SWING_WINDOW);
        self.swings = if swings { self.swings + 1 } else { 0 };
        self.state = PathState::Lost { since: now };
        self.next_probe_at = now + LOST_INTERVAL;
        Some(PathChange::Lost {
            servers: self.failed.len(),
            failures: self.failures,
            evidence_age,
        })
    }

    /// Returns `count`, or the number of listed servers if that is lower.
    fn needed_servers(&self, count: usize) -> usize {
        self.listed.map_or(count, |listed| count.min(listed).max(1))
    }

    fn clear(&mut self) {
        self.state = PathState::Direct;
        self.is_check_due = false;
        self.failed.clear();
        self.failures = 0;
    }
}
