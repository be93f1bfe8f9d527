//! Second calls for requests whose first call is slow.

mod call_class;
mod call_times;
mod denial;
mod second_credit;
mod server_slowness;

use std::{collections::HashMap, time::Duration};

use wagtailarch_types::{InstanceId, ServiceName};

pub use call_class::{CallClass, SizeClass};
use call_times::CallTimes;
pub use denial::SecondCallDenial;
use second_credit::SecondCredit;
use server_slowness::ServerSlowness;

/// Share of the slots of a service's servers that are taken from which no second calls are sent: above
/// it requests wait for slots, and extra work lengthens the waits of others.
const MAX_SERVICE_LOAD: f64 = 0.7;
/// Share of a service's servers that are slow at the same time from which the service as a whole is
/// slow; another server is then hardly quicker.
const MAX_SLOW_SHARE: f64 = 1.0 / 3.0;
/// Number of slow servers below which a service is not slow as a whole, so that a service of two
/// servers can leave one of them.
const MIN_SLOW_SERVERS: usize = 2;
/// Number of median times that a first call is awaited at least: a second call takes one.
const MIN_USUAL_TIMES: u32 = 2;
/// Time after which a server without calls is no longer kept.
const PACE_LIFETIME: Duration = Duration::from_secs(60);

/// Decides when a request is sent to a second server, whether, and which servers it avoids.
///
/// Each instance spends the share of its own requests, so the sum over all instances stays within
/// the share without coordination. All methods take the time since the start of the process.
#[derive(Debug, Default)]
pub struct SecondCalls {
    times: HashMap<CallClass, CallTimes>,
    credits: HashMap<ServiceName, SecondCredit>,
    servers: HashMap<InstanceId, ServerSlowness>,
    pruned_at: Duration,
}

/// A request whose first call takes longer than nearly all others of its class.
#[derive(Debug, Clone, Copy)]
pub struct SlowCall<'a> {
    /// Class of the call.
    pub class: &'a CallClass,
    /// Number of calls that may have run the request and have failed.
    pub possible_runs: u32,
    /// Maximum number of servers on which the request may run.
    pub max_attempts: u32,
    /// Time left before the request's deadline.
    pub time_left: Duration,
    /// Whether the retry budget has a retry left besides those kept for failed calls.
    pub has_spare_retry: bool,
    /// Share of the slots of the service's servers that are taken.
    pub service_load: f64,
}

/// A first call that has ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedCall<'a> {
    /// Class of the call.
    pub class: &'a CallClass,
    /// Server that was called.
    pub server: &'a InstanceId,
    /// Time from the call to its end.
    pub time: Duration,
    /// Whether the call exceeded its threshold, which [`SecondCalls::on_slow`] has recorded.
    pub is_slow: bool,
    /// Whether the server's answer was received whole.
    pub is_complete: bool,
}

impl SecondCalls {
    /// Counts a client's request of a service, of which `window_requests` were counted in the retry
    /// window; `share` is the share of requests that may be sent a second time.
    pub fn on_request(&mut self, service: &ServiceName, share: f64, window_requests: u32) {
        let credit = self.credits.entry(service.clone()).or_default();
        credit.on_request(share, window_requests);
    }

    /// Returns the time after which a call is slower than all but `share` of the completed calls of
    /// its class; `None` while too few are known.
    ///
    /// Where calls hardly differ, it is [`MIN_USUAL_TIMES`]: earlier, the first call probably ends
    /// before a second one.
    pub fn threshold(&self, class: &CallClass, share: f64) -> Option<Duration> {
        let times = self.times.get(class)?;
        let usual = times.quantile(0.5)?;
        let slowest = times.quantile(1.0 - share)?;
        Some(slowest.max(usual * MIN_USUAL_TIMES))
    }

    /// Records that an open first call exceeded its threshold.
    pub fn on_slow(&mut self, now: Duration, server: &InstanceId) {
        self.servers.entry(server.clone()).or_default().on_slow(now);
    }

    /// Records the end of a first call.
    ///
    /// A slow call that was cancelled counts with the time that it had reached. Without it the
    /// distribution would lose its slowest calls, and the threshold would fall with each of them.
    pub fn on_ended(&mut self, now: Duration, share: f64, call: &EndedCall<'_>) {
        let pace = self.servers.entry(call.server.clone()).or_default();
        pace.on_ended(now, call.is_slow);
        let credit = self.credits.entry(call.class.service.clone()).or_default();
        credit.on_server_time(share, call.time);
        if call.is_complete || call.is_slow {
            let times = self.times.entry(call.class.clone()).or_default();
            times.record(now, call.time);
        }
        if now.saturating_sub(self.pruned_at) >= PACE_LIFETIME {
            self.pruned_at = now;
            self.servers
                .retain(|_, pace| pace.is_needed(now, PACE_LIFETIME));
        }
    }

    /// Decides whether a slow call is sent to a second server; `servers` are those of its service
    /// that are usable.
    pub fn evaluate<'a>(
        &self,
        now: Duration,
        call: &SlowCall<'_>,
        servers: impl IntoIterator<Item = &'a InstanceId>,
    ) -> Result<(), SecondCallDenial> {
        if call.possible_runs + 2 > call.max_attempts {
            return Err(SecondCallDenial::Attempts);
        }
        let usual = self.usual_time(call.class);
        if call.time_left <= usual {
            return Err(SecondCallDenial::TimeLeft);
        }
        if call.service_load >= MAX_SERVICE_LOAD {
            return Err(SecondCallDenial::ServiceLoaded);
        }
        if self.is_slow_as_a_whole(now, servers) {
            return Err(SecondCallDenial::ServiceSlow);
        }
        let credit = self.credits.get(&call.class.service);
        if !credit.is_some_and(SecondCredit::has_call) {
            return Err(SecondCallDenial::Share);
        }
        if !credit.is_some_and(|credit| credit.has_time(usual)) {
            return Err(SecondCallDenial::ServerTime);
        }
        match call.has_spare_retry {
            true => Ok(()),
            false => Err(SecondCallDenial::RetryBudget),
        }
    }

    /// Takes a second call from the share of its service; returns the server time that is reserved
    /// for it.
    pub fn take(&mut self, class: &CallClass) -> Duration {
        let usual = self.usual_time(class);
        let credit = self.credits.entry(class.service.clone()).or_default();
        credit.take(usual);
        usual
    }

    /// Replaces the server time that was reserved for a second call by the one that it took.
    pub fn on_second_ended(&mut self, service: &ServiceName, reserved: Duration, time: Duration) {
        let credit = self.credits.entry(service.clone()).or_default();
        credit.settle(reserved, time);
    }

    /// Returns whether a server is believed to be slow, from the calls of this instance.
    pub fn is_slow(&self, now: Duration, server: &InstanceId) -> bool {
        let pace = self.servers.get(server);
        pace.is_some_and(|pace| pace.is_slow(now))
    }

    fn is_slow_as_a_whole<'a>(
        &self,
        now: Duration,
        servers: impl IntoIterator<Item = &'a InstanceId>,
    ) -> bool {
        let (mut slow, mut all) = (0, 0);
        for server in servers {
            all += 1;
            slow += usize::from(self.is_slow(now, server));
        }
        slow >= MIN_SLOW_SERVERS && slow as f64 >= f64::from(all) * MAX_SLOW_SHARE
    }

    /// Returns the median time of the calls of a class.
    fn usual_time(&self, class: &CallClass) -> Duration {
        let times = self.times.get(class);
        times
            .and_then(|times| times.quantile(0.5))
            .unwrap_or_default()
    }
}
