//! The newest known statement of a backend server about its rate limit.

use std::time::Duration;

use crate::{NamedLimit, RateLimit};

/// What this instance knows about the rate limit of one server.
#[derive(Debug, Default)]
pub struct LimitStatement {
    newest: Option<Statement>,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// The limit; `None` if the server has taken it back.
    limit: Option<RateLimit>,
    /// Time at which the response with the statement arrived.
    at: Duration,
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
            (NamedLimit::Absent | NamedLimit::Invalid, _) => return false,
        };
        let previous = self.limit();
        self.newest = Some(Statement { limit, at: now });
        limit != previous
    }
}
