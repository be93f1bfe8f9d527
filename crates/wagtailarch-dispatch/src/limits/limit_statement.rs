//! The newest known statement of a backend server about its rate limit.

use std::time::Duration;

use crate::{NamedLimit, RateLimit};

/// Time after which a limit is reported to the peers again, since notes are lost and instances
/// join.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which it is reported that a limit was taken back.
const WITHDRAWAL_REPORT_TIME: Duration = Duration::from_secs(5);

/// What this instance knows about the rate limit of one server.
#[derive(Debug, Default)]
pub struct LimitStatement {
    newest: Option<Statement>,
    /// Limit and time of the last report, of this instance or of a peer.
    reported: Option<(Option<RateLimit>, Duration)>,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// The limit; `None` if the server has taken it back.
    limit: Option<RateLimit>,
    /// Time at which the response with the statement arrived.
    at: Duration,
    /// Whether the response arrived at this instance.
    own: bool,
}

impl LimitStatement {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.newest.and_then(|statement| statement.limit)
    }

    /// Applies what a response to a request of `sent_at` states; returns whether the limit changed.
    ///
    /// A response without a limit may have been sent before one that names a limit and arrive after
    /// it. It takes the limit back only if its request was sent after the limit was known.
    pub fn on_response(&mut self, now: Duration, sent_at: Duration, named: NamedLimit) -> bool {
        let limit = match (named, self.newest) {
            (NamedLimit::Limit(limit), _) => Some(limit),
            (NamedLimit::Absent, Some(newest)) if sent_at >= newest.at => None,
            (NamedLimit::Absent | NamedLimit::Invalid | NamedLimit::Unstated, _) => return false,
        };
        let previous = self.limit();
        self.newest = Some(Statement {
            limit,
            at: now,
            own: true,
        });
        limit != previous
    }

    /// Applies the report of a peer whose response arrived `age` ago; returns whether the limit
    /// changed.
    pub fn on_report(&mut self, now: Duration, limit: Option<RateLimit>, age: Duration) -> bool {
        let at = now.saturating_sub(age);
        let previous = self.limit();
        if limit == previous {
            self.reported = Some((limit, now));
        }
        let is_newer = match self.newest {
            Some(newest) => at > newest.at,
            None => limit.is_some(),
        };
        if !is_newer {
            return false;
        }
        self.newest = Some(Statement {
            limit,
            at,
            own: false,
        });
        self.reported = Some((limit, now));
        limit != previous
    }

    /// Returns the limit and the age of the statement.
    pub fn newest(&self, now: Duration) -> (Option<RateLimit>, Duration) {
        match self.newest {
            Some(statement) => (statement.limit, now.saturating_sub(statement.at)),
            None => (None, Duration::ZERO),
        }
    }

    /// Returns whether the statement has to be reported to the peers.
    ///
    /// A statement that a peer has reported recently is not repeated, so that the number of reports
    /// does not grow with the number of instances.
    pub fn is_report_due(&self, now: Duration) -> bool {
        let Some(statement) = self.newest.filter(|statement| statement.own) else {
            return false;
        };
        let withdrawn = statement.limit.is_none();
        if withdrawn && now.saturating_sub(statement.at) >= WITHDRAWAL_REPORT_TIME {
            return false;
        }
        self.reported.is_none_or(|(limit, at)| {
            limit != statement.limit || now.saturating_sub(at) >= REPORT_INTERVAL
        })
    }

    /// Records that the statement was reported.
    pub fn on_reported(&mut self, now: Duration) {
        self.reported = Some((self.limit(), now));
    }
}
