//! Crashes of servers that ran a whole request.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use wagtailarch_traffic::SIMULTANEOUS;
use wagtailarch_wire::part_report::{CrashReport, PartKey, ReportedPart};

use crate::{LimitMembers, evidence::part_outputs::PartOutputs};

/// Number of crashes for which a request is blamed.
const MIN_CRASHES: usize = 3;
/// Time within which reports of a crash of one server mean the same crash; servers take longer to
/// restart.
pub(crate) const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Interval at which the crashes of a request with several are reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// Number of crashes from which on they are reported again.
const MIN_REPORTED_AGAIN: usize = 2;
/// Maximum number of requests with crashes; the one that has been known longest is dropped.
const MAX_REQUESTS: usize = 1_024;
/// Maximum number of crashes of a request that are kept.
const MAX_CRASHES: usize = 8;
/// Maximum number of crashes of all servers that are kept.
const MAX_SERVER_CRASHES: usize = 128;
/// Maximum number of crashes in one report.
const MAX_REPORTS: usize = 24;

/// Crashes of servers that ran a whole request which has not been completed since.
///
/// A request that crashes servers ends one after the other, while servers that end together have a
/// reason of their own: such a crash counts once for a request that ran on all of them, and not at all
/// for one that ran on some of them only.
#[derive(Debug, Default)]
pub(crate) struct RequestCrashes {
    /// Crashes by request; at most `MAX_REQUESTS`.
    requests: IndexMap<PartKey, Vec<Crash>>,
    /// Crashes of all servers; at most `MAX_SERVER_CRASHES`.
    servers: VecDeque<(u32, Duration)>,
    /// Times of the last completions.
    completed: PartOutputs,
}

/// A crash of a server that ran a request.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// `server_key` of the server.
    server: u32,
    at: Duration,
    /// When the run began; known for those of this instance.
    began_at: Option<Duration>,
    /// When any instance last reported it; `None` while this instance has to.
    reported_at: Option<Duration>,
}

/// A request with enough crashes to be blamed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GuiltyRequest {
    pub request: PartKey,
    pub first: Duration,
    pub last: Duration,
}

impl RequestCrashes {
    /// Records the crash of a server, whatever it ran.
    pub fn on_server_crash(&mut self, server: u32, at: Duration) {
        let is_known =
            |known: &(u32, Duration)| known.0 == server && known.1.abs_diff(at) < SAME_CRASH_TIME;
        if let Some(known) = self.servers.iter_mut().find(|known| is_known(known)) {
            known.1 = known.1.min(at);
            return;
        }
        if self.servers.len() >= MAX_SERVER_CRASHES {
            self.servers.pop_front();
        }
        self.servers.push_back((server, at));
    }

    /// Records that a server crashed while it ran a request; `reported_at` states when another
    /// instance reported it, and `began_at` when the run began, if it is known.
    pub fn on_crash(
        &mut self,
        request: PartKey,
        server: u32,
        at: Duration,
        began_at: Option<Duration>,
        reported_at: Option<Duration>,
    ) {
        self.on_server_crash(server, at);
        if self.completed.get(request).is_some_and(|done| done > at) {
            return;
        }
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.requests.shift_remove_index(0);
        }
        let crashes = self.requests.entry(request).or_default();
        let same = crashes
            .iter_mut()
            .find(|crash| crash.server == server && crash.at.abs_diff(at) < SAME_CRASH_TIME);
        if let Some(same) = same {
            same.at = same.at.min(at);
            same.began_at = same.began_at.or(began_at);
            same.reported_at = same.reported_at.or(reported_at);
            return;
        }
        if crashes.len() >= MAX_CRASHES {
            crashes.remove(0);
        }
        crashes.push(Crash {
            server,
            at,
            began_at,
            reported_at,
        });
        crashes.sort_by_key(|crash| crash.at);
    }

    /// Records that a request was completed; returns whether crashes were counted against it.
    pub fn on_completed(&mut self, request: PartKey, at: Duration) -> bool {
        self.completed.insert(request, at);
        let Some(crashes) = self.requests.get_mut(&request) else {
            return false;
        };
        let before = crashes.len();
        crashes.retain(|crash| crash.at > at);
        let was_suspect = crashes.len() < before;
        if crashes.is_empty() {
            self.requests.shift_remove(&request);
        }
        was_suspect
    }

    /// Removes expired crashes.
    pub fn expire(&mut self, now: Duration) {
        self.servers.retain(|(_, at)| now < *at + CRASH_TTL);
        self.requests.retain(|_, crashes| {
            crashes.retain(|crash| now < crash.at + CRASH_TTL);
            !crashes.is_empty()
        });
    }

    /// Returns the requests with enough crashes to be blamed.
    pub fn guilty(&self) -> impl Iterator<Item = GuiltyRequest> {
        let requests = self.requests.iter();
        requests.filter_map(|(&request, crashes)| {
            let is_guilty = self.count(crashes) >= MIN_CRASHES;
            is_guilty.then(|| GuiltyRequest {
                request,
                first: crashes[0].at,
                last: crashes[crashes.len() - 1].at,
            })
        })
    }

    /// Returns whether crashes count against a request.
    pub fn contains(&self, request: PartKey) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether there is a crash that this instance is the first to report.
    pub fn has_unreported(&self) -> bool {
        let mut crashes = self.requests.values().flatten();
        crashes.any(|crash| crash.reported_at.is_none())
    }

    /// Takes the crashes to report now: new ones, and those of requests with several again.
    pub fn take_reports(&mut self, now: Duration, members: &LimitMembers) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (&request, crashes) in &mut self.requests {
            let again = crashes.len() >= MIN_REPORTED_AGAIN && members.is_coordinator(request);
            for crash in crashes {
                let is_due = match crash.reported_at {
                    None => true,
                    Some(at) => again && now >= at + REPORT_INTERVAL,
                };
                if !is_due || reports.len() >= MAX_REPORTS {
                    continue;
                }
                crash.reported_at = Some(now);
                let age_ms = now.saturating_sub(crash.at).as_millis();
                reports.push(CrashReport {
                    server: crash.server,
                    age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                    parts: vec![ReportedPart::request(request)],
                });
            }
        }
        reports
    }

    /// Returns how many crashes count against a request; `crashes` are in the order of their times.
    fn count(&self, crashes: &[Crash]) -> usize {
        let mut count = 0;
        let mut last = None;
        for crash in crashes {
            let is_simultaneous = last.is_some_and(|last| crash.at < last + SIMULTANEOUS);
            // A run that began after the crash before was not ended together with it.
            let is_repeat = crash
                .began_at
                .zip(last)
                .is_some_and(|(began_at, last)| began_at >= last);
            last = Some(crash.at);
            if is_simultaneous && !is_repeat || self.has_other_crash(crash, crashes) {
                continue;
            }
            count += 1;
        }
        count
    }

    /// Returns whether a server that did not run the request crashed together with one that did.
    fn has_other_crash(&self, crash: &Crash, crashes: &[Crash]) -> bool {
        self.servers.iter().any(|(server, at)| {
            at.abs_diff(crash.at) < SIMULTANEOUS && !crashes.iter().any(|own| own.server == *server)
        })
    }
}
