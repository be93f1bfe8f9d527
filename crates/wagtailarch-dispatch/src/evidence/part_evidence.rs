//! Evidence about requests that crash the servers which run them, and about parts of prompts that crash
//! the servers which begin to generate for them.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use indexmap::IndexMap;
use wagtailarch_traffic::SIMULTANEOUS;
use wagtailarch_wire::part_report::{
    BlameReport, CrashReport, OutputReport, PartKey, PartReports, ReportedPart,
};

use crate::{
    LimitMembers,
    evidence::part_blame::{BLAME_TTL, Blame},
    evidence::part_outputs::PartOutputs,
    evidence::request_crashes::{RequestCrashes, SAME_CRASH_TIME},
};

/// Number of crashes that a part must be a candidate for to be blamed.
///
/// Two are not enough: a sound request that was being begun beside a crashing one is retried on the
/// server that the crashing one may reach next.
const MIN_CRASHES: usize = 3;
/// Number of crashes that an already blamed part does not explain, from which a part with
/// `MIN_CRASHES` crashes is blamed besides.
const MIN_UNEXPLAINED: usize = 2;
/// Time from the first crash of a part to its verdict.
///
/// If several servers fail at once, sound parts that many requests share show their innocence
/// within this time on other servers.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Number of other requests that begin well at this instance between the first crash of a part and
/// its verdict.
///
/// While no server is left that could begin any request, no part can show its innocence.
const MIN_OTHER_OUTPUTS: usize = 3;
/// Time after which a crash is forgotten.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Interval at which verdicts are reported again, for instances that started or were out of reach.
const BLAME_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which unexplained crashes are reported again.
const CRASH_INTERVAL: Duration = Duration::from_secs(4);
/// Number of intervals after which any instance reports again what the designated one has not.
const MISSED_INTERVALS: u32 = 3;
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 24;
/// Maximum number of candidate parts of a crash.
const MAX_CRASH_PARTS: usize = 16;
/// Maximum number of blamed parts; the one blamed first is evicted first.
const MAX_BLAMES: usize = 64;

/// Evidence about requests and parts of prompts, and the verdicts that follow from it.
///
/// A whole request is the deepest part of itself; it is guilty of crashes until it is completed.
///
/// Exactly one part of one of the requests that a server was beginning is guilty of its crash,
/// unless the crash has another cause. A part that generates output after a crash is innocent of
/// it. Verdicts follow from the set of crashes and outputs, whatever the order of their arrival.
#[derive(Debug, Default)]
pub struct PartEvidence {
    /// Crashes, in the order of their arrival; at most `MAX_CRASHES`.
    crashes: Vec<Crash>,
    outputs: PartOutputs,
    /// Crashes of servers that ran whole requests.
    requests: RequestCrashes,
    /// Blamed parts; at most `MAX_BLAMES`.
    blames: IndexMap<PartKey, Blame>,
    /// Outputs of suspects that have not been reported.
    new_outputs: IndexMap<PartKey, Duration>,
    /// Times of the last requests that began well at this instance; at most `MIN_OTHER_OUTPUTS`.
    own_outputs: VecDeque<Duration>,
    /// When a suspect may become blamed without a further crash.
    settles_at: Option<Duration>,
}

/// A crash of a server.
#[derive(Debug)]
struct Crash {
    /// `server_key` of the server.
    server: u32,
    at: Duration,
    /// Parts of the requests that were being begun, with their largest depth; at most
    /// `MAX_CRASH_PARTS`.
    parts: IndexMap<PartKey, u8>,
    /// When any instance last reported it; `None` while this instance has to.
    reported_at: Option<Duration>,
}

/// How a request with some parts is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartVerdict {
    /// No part is a candidate for a crash.
    Clear,
    /// A part is a candidate for a crash; the request runs apart from others.
    Suspect,
    /// A part is blamed, and this request is the one that tests it; it runs apart from others.
    Trial,
    /// A part is blamed; the request is refused.
    Blamed,
}

/// Candidate for a verdict.
struct Candidate {
    part: PartKey,
    crashes: usize,
    unexplained: usize,
    depth: u8,
    first: Duration,
    last: Duration,
}

impl PartEvidence {
    /// Records that `server` crashed while a request with `parts` was being begun.
    pub fn on_crash(&mut self, now: Duration, server: u32, parts: &[ReportedPart]) {
        if !parts.is_empty() {
            self.add_crash(now, now, server, parts, None);
            self.update(now);
        }
    }

    /// Records that `server` crashed at `at` while it ran a whole request since `began_at`.
    pub fn on_request_crash(
        &mut self,
        at: Duration,
        server: u32,
        request: PartKey,
        began_at: Duration,
    ) {
        self.add_request_crash(request, server, at, Some(began_at), None);
        self.update(at);
    }

    /// Records that a whole request was completed; `is_first_output` states whether nothing of it has
    /// been recorded as output.
    pub fn on_completed(&mut self, now: Duration, request: PartKey, is_first_output: bool) {
        if is_first_output {
            self.note_own_output(now);
        }
        let was_suspect = self.requests.on_completed(request, now);
        if was_suspect || self.blames.contains_key(&request) {
            self.new_outputs.insert(request, now);
        }
        self.clear_blame(now, request);
    }

    /// Returns whether a key is that of a whole request with crashes.
    pub fn is_request(&self, key: PartKey) -> bool {
        self.requests.contains(key)
    }

    /// Records that a request with `parts` has generated output.
    pub fn on_output(&mut self, now: Duration, parts: &[ReportedPart]) {
        self.note_own_output(now);
        for part in parts {
            if self.is_suspect(part.key) || self.blames.contains_key(&part.key) {
                self.new_outputs.insert(part.key, now);
            }
            self.add_output(now, part.key);
        }
    }

    /// Returns how a new request is treated; for [`PartVerdict::Trial`] a trial begins.
    pub fn admit(
        &mut self,
        now: Duration,
        parts: &[ReportedPart],
        members: &LimitMembers,
    ) -> PartVerdict {
        let verdict = self.verdict(now, parts);
        if verdict != PartVerdict::Blamed {
            return verdict;
        }
        let blamed = || {
            parts
                .iter()
                .filter(|part| self.blames.contains_key(&part.key))
        };
        let is_due = blamed().all(|part| self.blames[&part.key].is_trial_due(now));
        let is_own = blamed().all(|part| members.is_coordinator(part.key));
        if !is_due || !is_own {
            return PartVerdict::Blamed;
        }
        for part in parts {
            if let Some(blame) = self.blames.get_mut(&part.key) {
                blame.trial_began_at = Some(now);
            }
        }
        PartVerdict::Trial
    }

    /// Returns the verdict on a request with `parts`.
    pub fn verdict(&mut self, now: Duration, parts: &[ReportedPart]) -> PartVerdict {
        if self.crashes.is_empty() && self.requests.is_empty() && self.blames.is_empty() {
            return PartVerdict::Clear;
        }
        if self.settles_at.is_some_and(|at| at <= now) {
            self.update(now);
        }
        let verdicts = parts.iter().map(|part| match self.blames.get(&part.key) {
            Some(blame) if !blame.is_expired(now) => PartVerdict::Blamed,
            _ if self.is_suspect(part.key) => PartVerdict::Suspect,
            _ => PartVerdict::Clear,
        });
        verdicts.max().unwrap_or(PartVerdict::Clear)
    }

    /// Returns whether one of the parts is blamed by the evidence that was applied so far.
    pub fn is_blamed(&self, now: Duration, parts: &[ReportedPart]) -> bool {
        let mut blames = parts.iter().filter_map(|part| self.blames.get(&part.key));
        blames.any(|blame| !blame.is_expired(now))
    }

    /// Returns the blamed parts.
    pub fn blamed(&self) -> impl Iterator<Item = PartKey> {
        self.blames.keys().copied()
    }

    /// Returns whether there is evidence that this instance is the first to report.
    pub fn has_unreported(&self) -> bool {
        !self.new_outputs.is_empty()
            || self.requests.has_unreported()
            || self.crashes.iter().any(|crash| crash.reported_at.is_none())
            || self
                .blames
                .values()
                .any(|blame| blame.reported_at.is_none())
    }

    /// Returns the evidence to report now.
    ///
    /// What is new is reported by the instance that found it, and again by a designated one.
    pub fn take_reports(&mut self, now: Duration, members: &LimitMembers) -> PartReports {
        if self.crashes.is_empty()
            && self.requests.is_empty()
            && self.blames.is_empty()
            && self.new_outputs.is_empty()
        {
            return PartReports::default();
        }
        self.update(now);
        let is_due = |key: u64, reported: Option<Duration>, interval: Duration| {
            let missed = interval * MISSED_INTERVALS;
            reported.is_none_or(|at| {
                now >= at + missed || (now >= at + interval && members.is_coordinator(key))
            })
        };
        let mut reports = PartReports {
            crashes: self.requests.take_reports(now, members),
            ..PartReports::default()
        };
        for index in 0..self.crashes.len() {
            let crash = &self.crashes[index];
            let (at, server, reported_at) = (crash.at, crash.server, crash.reported_at);
            if !is_due(server.into(), reported_at, CRASH_INTERVAL)
                || (reported_at.is_some() && self.is_explained(crash))
            {
                continue;
            }
            // Parts that were found innocent need no mention; a receiver may not know why.
            let parts = crash
                .parts
                .iter()
                .filter(|(part, _)| self.counts(crash, **part));
            let parts: Vec<_> = parts
                .map(|(&key, &depth)| ReportedPart { key, depth })
                .collect();
            self.crashes[index].reported_at = Some(now);
            if !parts.is_empty() {
                reports.crashes.push(CrashReport {
                    server,
                    age_ms: age_ms(now, at),
                    parts,
                });
            }
        }
        for (&part, blame) in &mut self.blames {
            if !is_due(part, blame.reported_at, BLAME_INTERVAL) {
                continue;
            }
            blame.reported_at = Some(now);
            reports.blames.push(BlameReport {
                part,
                age_ms: age_ms(now, blame.at),
                trials: blame.trials,
            });
        }
        reports.outputs = std::mem::take(&mut self.new_outputs)
            .into_iter()
            .map(|(part, at)| OutputReport {
                part,
                age_ms: age_ms(now, at),
            })
            .collect();
        reports
    }

    /// Applies the reports of a peer.
    pub fn apply(&mut self, now: Duration, reports: &PartReports) {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        for report in &reports.outputs {
            let at = time(report.age_ms);
            self.add_output(at, report.part);
            self.requests.on_completed(report.part, at);
        }
        for report in &reports.crashes {
            let at = time(report.age_ms);
            let parts = report.parts.iter().copied();
            let (requests, parts): (Vec<_>, Vec<_>) = parts.partition(ReportedPart::is_request);
            for request in requests {
                self.add_request_crash(request.key, report.server, at, None, Some(now));
            }
            if !parts.is_empty() {
                self.add_crash(now, at, report.server, &parts, Some(now));
            }
        }
        for report in &reports.blames {
            self.add_blame(now, time(report.age_ms), report);
        }
        if !reports.crashes.is_empty() {
            self.update(now);
        }
    }

    fn add_request_crash(
        &mut self,
        request: PartKey,
        server: u32,
        at: Duration,
        began_at: Option<Duration>,
        reported_at: Option<Duration>,
    ) {
        self.requests
            .on_crash(request, server, at, began_at, reported_at);
        if let Some(blame) = self.blames.get_mut(&request) {
            blame.on_crash(at);
        }
    }

    fn add_crash(
        &mut self,
        now: Duration,
        at: Duration,
        server: u32,
        parts: &[ReportedPart],
        reported_at: Option<Duration>,
    ) {
        self.requests.on_server_crash(server, at);
        let same = self
            .crashes
            .iter_mut()
            .find(|crash| crash.server == server && crash.at.abs_diff(at) < SAME_CRASH_TIME);
        let crash = match same {
            Some(crash) => crash,
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    // The first crashes show how long the evidence has settled, the last ones
                    // narrow it.
                    let explained = self.crashes.iter().position(|c| self.is_explained(c));
                    self.crashes.remove(explained.unwrap_or(MAX_CRASHES / 2));
                }
                self.crashes.push(Crash {
                    server,
                    at,
                    parts: IndexMap::new(),
                    reported_at,
                });
                self.crashes.last_mut().expect("just added")
            }
        };
        crash.at = crash.at.min(at);
        let mut has_unreported = false;
        for part in parts {
            let is_new = !crash.parts.contains_key(&part.key);
            if is_new && crash.parts.len() >= MAX_CRASH_PARTS {
                continue;
            }
            let depth = crash.parts.entry(part.key).or_default();
            *depth = part.depth.max(*depth);
            has_unreported |= is_new;
        }
        let is_known = |part: &PartKey| parts.iter().any(|reported| reported.key == *part);
        match reported_at {
            // What this instance has not reported itself, the peer may not know.
            Some(_) if crash.reported_at.is_some() || crash.parts.keys().all(is_known) => {
                crash.reported_at = Some(now);
            }
            None if has_unreported => crash.reported_at = None,
            Some(_) | None => {}
        }
        let at = crash.at;
        for part in parts {
            if let Some(blame) = self.blames.get_mut(&part.key) {
                blame.on_crash(at);
            }
            // This instance may know of an output that those who reported the crash do not know.
            if let Some(output) = self.outputs.get(part.key).filter(|output| *output > at) {
                self.new_outputs.entry(part.key).or_insert(output);
            }
        }
    }

    fn note_own_output(&mut self, now: Duration) {
        if self.own_outputs.len() >= MIN_OTHER_OUTPUTS {
            self.own_outputs.pop_front();
        }
        self.own_outputs.push_back(now);
    }

    fn add_output(&mut self, at: Duration, part: PartKey) {
        self.outputs.insert(part, at);
        self.clear_blame(at, part);
    }

    fn clear_blame(&mut self, at: Duration, part: PartKey) {
        let blame = self.blames.get(&part);
        if blame.is_some_and(|blame| blame.at < at) {
            self.blames.swap_remove(&part);
        }
    }

    fn add_blame(&mut self, now: Duration, at: Duration, report: &BlameReport) {
        let is_refuted = self
            .outputs
            .get(report.part)
            .is_some_and(|output| output > at);
        if is_refuted || now >= at + BLAME_TTL {
            return;
        }
        let Some(known) = self.blames.get_mut(&report.part) else {
            return self.insert_blame(report.part, at, report.trials, Some(now));
        };
        known.reported_at = Some(now);
        match report.trials.cmp(&known.trials) {
            std::cmp::Ordering::Less => {}
            // The delay of reports makes them appear younger than they are.
            std::cmp::Ordering::Equal => known.at = known.at.min(at),
            std::cmp::Ordering::Greater => {
                known.at = at;
                known.trials = report.trials;
            }
        }
    }

    fn insert_blame(
        &mut self,
        part: PartKey,
        at: Duration,
        trials: u8,
        reported_at: Option<Duration>,
    ) {
        if self.blames.len() >= MAX_BLAMES {
            self.blames.shift_remove_index(0);
        }
        let blame = Blame {
            at,
            trials,
            trial_began_at: None,
            reported_at,
        };
        self.blames.insert(part, blame);
    }

    /// Removes expired evidence and draws the verdicts that follow from the rest.
    fn update(&mut self, now: Duration) {
        self.crashes.retain(|crash| now < crash.at + CRASH_TTL);
        self.blames.retain(|_, blame| !blame.is_expired(now));
        self.settles_at = None;
        self.requests.expire(now);
        self.blame_requests(now);
        for _ in 0..MAX_CRASHES {
            let candidates = self.candidates();
            let settled = candidates.iter().filter(|c| self.is_settled(now, c.first));
            // The deepest of the parts that always occur together shuts out the fewest requests.
            let guilty = settled.max_by_key(|c| (c.crashes, c.depth, Reverse(c.part)));
            let Some(guilty) = guilty else {
                let settling = candidates.iter().map(|c| c.first + SETTLING_TIME);
                self.settles_at = settling.chain(self.settles_at).min();
                return;
            };
            let (part, last) = (guilty.part, guilty.last);
            self.insert_blame(part, last, 0, None);
        }
    }

    /// Returns whether others have had the time to show that servers run requests since a first crash.
    fn is_settled(&self, now: Duration, first: Duration) -> bool {
        now >= first + SETTLING_TIME
            && self.own_outputs.len() >= MIN_OTHER_OUTPUTS
            && self.own_outputs.iter().all(|output| *output > first)
    }

    /// Blames the requests with enough crashes.
    fn blame_requests(&mut self, now: Duration) {
        let guilty: Vec<_> = self.requests.guilty().collect();
        for guilty in guilty {
            if self.blames.contains_key(&guilty.request) {
                continue;
            }
            if !self.is_settled(now, guilty.first) {
                let settles_at = guilty.first + SETTLING_TIME;
                self.settles_at = Some(self.settles_at.map_or(settles_at, |at| at.min(settles_at)));
                continue;
            }
            self.insert_blame(guilty.request, guilty.last, 0, None);
        }
    }

    /// Returns the parts with enough crashes to be blamed.
    fn candidates(&self) -> Vec<Candidate> {
        if self.crashes.len() < MIN_CRASHES {
            return Vec::new();
        }
        let mut candidates: IndexMap<PartKey, Candidate> = IndexMap::new();
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|crash| crash.at);
        for crash in crashes {
            let is_explained = self.is_explained(crash);
            for (&part, &depth) in &crash.parts {
                if !self.counts(crash, part) || self.blames.contains_key(&part) {
                    continue;
                }
                let candidate = candidates.entry(part).or_insert(Candidate {
                    part,
                    crashes: 0,
                    unexplained: 0,
                    depth,
                    first: crash.at,
                    last: crash.at,
                });
                candidate.depth = candidate.depth.max(depth);
                // A guilty part ends servers one by one, while a common cause, or a peer that reports
                // late, shows in many at once.
                if candidate.crashes > 0 && crash.at < candidate.last + SIMULTANEOUS {
                    continue;
                }
                candidate.crashes += 1;
                candidate.unexplained += usize::from(!is_explained);
                candidate.last = crash.at;
            }
        }
        candidates.retain(|_, c| c.crashes >= MIN_CRASHES && c.unexplained >= MIN_UNEXPLAINED);
        candidates.into_values().collect()
    }

    /// Returns whether a crash counts against one of its parts: it has generated nothing since.
    fn counts(&self, crash: &Crash, part: PartKey) -> bool {
        self.outputs
            .get(part)
            .is_none_or(|output| output <= crash.at)
    }

    /// Returns whether a blamed part was a candidate for a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        crash
            .parts
            .keys()
            .any(|part| self.blames.contains_key(part))
    }

    /// Returns whether an unexplained crash counts against a part.
    fn is_suspect(&self, part: PartKey) -> bool {
        self.crashes.iter().any(|crash| {
            crash.parts.contains_key(&part) && self.counts(crash, part) && !self.is_explained(crash)
        })
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
