//! Whether a server that refuses connections has crashed.

use std::time::Duration;

use crate::PathState;

/// Time after which an undecided check is dropped.
const CHECK_LIMIT: Duration = Duration::from_secs(30);
/// Time within which a process that started anew is registered.
const REGISTRATION_TIME: Duration = Duration::from_secs(3);

/// Decides whether a server that refuses connections has crashed, or cannot be reached from here.
///
/// The server has crashed if another server of its service accepts a connection and it refuses one
/// again after that, if its registration shows that its process has ended, or if no instance reaches
/// the service. While only this one reaches no server of the service, nothing is concluded.
#[derive(Debug, Clone)]
pub struct CrashCheck {
    /// Time of the first refusal.
    refused_at: Duration,
    /// Start of the process that refuses, as registered.
    started_unix_ms: u64,
    stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The server refused one connection.
    Refused,
    /// The server refused a connection again after another server had accepted one.
    RefusedAgain,
    /// The server accepted a connection at this time.
    Accepted(Duration),
    /// The path was lost after the refusal.
    PathLost,
    /// The path was lost after the refusal and returned at this time.
    PathBack(Duration),
}

/// Next step of a [`CrashCheck`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStep {
    /// Connect to the server again.
    ProbeAgain,
    /// Ask again later.
    Wait,
    /// The server has crashed.
    Crashed,
    /// The server has not crashed, or this cannot be determined.
    NotCrashed,
}

impl CrashCheck {
    /// Starts a check of a server that refused a connection at `now`; the refusal is already part of
    /// the evidence about the path.
    pub fn new(now: Duration, started_unix_ms: u64) -> Self {
        Self {
            refused_at: now,
            started_unix_ms,
            stage: Stage::Refused,
        }
    }

    /// Records that the server accepted a further connection.
    pub fn on_accepted(&mut self, now: Duration) {
        self.stage = Stage::Accepted(now);
    }

    /// Records that the server refused a further connection.
    pub fn on_refused_again(&mut self) {
        self.stage = Stage::RefusedAgain;
    }

    /// Returns the next step; `registered_unix_ms` is the start of the server's process as
    /// registered now, `path` the conclusion about the path to its service, and `lost_everywhere`
    /// states whether all other instances say that they have no path to it.
    pub fn step(
        &mut self,
        now: Duration,
        registered_unix_ms: Option<u64>,
        path: &PathState,
        lost_everywhere: bool,
    ) -> CrashStep {
        let was_path_lost = matches!(self.stage, Stage::PathLost | Stage::PathBack(_));
        match registered_unix_ms {
            // The server may have left and ended by itself during the loss.
            None if was_path_lost => return CrashStep::NotCrashed,
            Some(started) if started == self.started_unix_ms => {}
            None | Some(_) => return CrashStep::Crashed,
        }
        if now.saturating_sub(self.refused_at) >= CHECK_LIMIT {
            return CrashStep::NotCrashed;
        }
        // The servers are down rather than all paths lost.
        if lost_everywhere
            && *path != PathState::Direct
            && !matches!(self.stage, Stage::Accepted(_))
        {
            return CrashStep::Crashed;
        }
        if matches!(path, PathState::Lost { .. } | PathState::Returning { .. }) {
            // Results of connections to the server prove nothing any more.
            self.stage = Stage::PathLost;
            return CrashStep::Wait;
        }
        match self.stage {
            Stage::RefusedAgain => CrashStep::Crashed,
            _ if *path != PathState::Direct => CrashStep::Wait,
            // The path is direct, so another server accepted a connection after the refusal.
            Stage::Refused => CrashStep::ProbeAgain,
            Stage::PathLost => {
                self.stage = Stage::PathBack(now);
                CrashStep::Wait
            }
            Stage::Accepted(at) | Stage::PathBack(at)
                if now.saturating_sub(at) < REGISTRATION_TIME =>
            {
                CrashStep::Wait
            }
            Stage::Accepted(_) | Stage::PathBack(_) => CrashStep::NotCrashed,
        }
    }
}
