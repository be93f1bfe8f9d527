//! Calls to the platform that are the duty of one instance at a time.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use slog::warn;
use tokio::time::sleep;
use wagtailarch_adapter::ObjectKind;
use wagtailarch_dispatch::OrderClaim;
use wagtailarch_types::{DutySubject, FencingNumber, InstanceId};

use crate::{
    control::{
        ControlContext,
        claims::{ClaimError, ClaimPayload, claim},
    },
    duty_settings::DutySettings,
    http_client::{CONNECT_LIMIT, CallError, HttpClient},
};

/// Timeout for a call after the connection is open; the other side may take seconds while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause of a process after the platform has refused a call because of its rate.
const RATE_PAUSE: Duration = Duration::from_millis(1_000);
/// Fraction of the platform's rate that one process uses, since several may hold duties.
const RATE_FRACTION: f64 = 0.5;
/// Pause of a subject after a call without a response, which may still arrive; a call with a higher
/// fencing number must not arrive before it.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(1_000);

/// Makes the calls of one instance; clones share their state.
#[derive(Debug, Clone)]
pub struct DutyCaller {
    /// Settings of the duties.
    pub settings: DutySettings,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Subjects for which a call is being made.
    busy: HashSet<DutySubject>,
    /// Time before which no further call is made.
    next_call_at: Duration,
}

/// The right to make one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyRight {
    /// This instance.
    pub holder: InstanceId,
    /// Fencing number of the call.
    pub fence: FencingNumber,
}

/// Outcome of a call that was sent and has a response.
#[derive(Debug)]
pub struct DutyResponse<T> {
    /// Status of the response.
    pub status: StatusCode,
    /// Fencing number of the call.
    pub fence: FencingNumber,
    /// Content of the call, as recorded in the claim.
    pub content: T,
}

/// Why a call has no response.
#[derive(Debug, Display)]
pub enum DutyError {
    /// another call for the subject is being made
    Busy,
    /// nothing is due
    NothingDue,
    /// no claim: {0}
    Claim(ClaimError),
    /// the content cannot be encoded or decoded: {0}
    Content(serde_json::Error),
    /// the claim was written too long ago
    ClaimTooOld,
    /// fence {0}: {1}
    Call(FencingNumber, CallError),
}

/// Marks a subject as busy until it is dropped.
struct BusySubject<'a> {
    caller: &'a DutyCaller,
    subject: DutySubject,
}

impl Drop for BusySubject<'_> {
    fn drop(&mut self) {
        self.caller.lock().busy.remove(&self.subject);
    }
}

impl DutyCaller {
    /// Creates the caller of a process.
    pub fn new(settings: &DutySettings) -> Self {
        Self {
            settings: settings.clone(),
            state: Arc::default(),
        }
    }

    /// Claims a subject and makes one call.
    ///
    /// `plan` returns the content of the call for the one that the last claim records, which may or may
    /// not have reached the platform; `None` if nothing is due. The content is recorded in the claim
    /// before it is sent, so that the next holder can repeat it. `encode` builds the call.
    ///
    /// Waits for the lease of another holder: callers that must not wait use a task of their own.
    pub async fn call<T: Serialize + DeserializeOwned>(
        &self,
        context: &ControlContext,
        subject: &DutySubject,
        plan: impl Fn(Option<T>) -> Option<T>,
        encode: impl FnOnce(&DutyRight, &T) -> Request<Bytes>,
    ) -> Result<DutyResponse<T>, DutyError> {
        if !self.lock().busy.insert(subject.clone()) {
            return Err(DutyError::Busy);
        }
        let _busy = BusySubject {
            caller: self,
            subject: subject.clone(),
        };
        self.wait_for_rate(context).await;
        // The connection is opened after the age of the claim was checked.
        let lease = self.settings.lease() + CONNECT_LIMIT;
        let attempt = OrderClaim::with_lease(context.instance.clone(), lease);
        let payload = |last: &Value| match Option::<T>::deserialize(last).map(&plan) {
            // What the last claim recorded may have been sent; another content would contradict it.
            Err(error) => {
                warn!(context.log, "claim of a duty not decoded"; "cause" => %error);
                ClaimPayload::NothingDue
            }
            Ok(None) => ClaimPayload::NothingDue,
            Ok(Some(content)) => match serde_json::to_value(content) {
                Ok(value) => ClaimPayload::Present(value),
                Err(_) => ClaimPayload::NothingDue,
            },
        };
        let name = subject.name();
        let claimed = claim(context, ObjectKind::Duties, &name, attempt, payload).await;
        let claimed = claimed.map_err(|error| match error {
            ClaimError::NothingDue => DutyError::NothingDue,
            error => DutyError::Claim(error),
        })?;
        let content = T::deserialize(&claimed.payload).map_err(DutyError::Content)?;
        let fence = claimed.fence;
        let right = DutyRight {
            holder: context.instance.clone(),
            fence,
        };
        let request = encode(&right, &content);
        if !OrderClaim::may_send(context.epoch.elapsed(), claimed.written_at) {
            return Err(DutyError::ClaimTooOld);
        }
        // A connection of its own, so that an earlier response cannot pass for this one.
        let mut client = HttpClient::of_server(self.settings.address, CONNECT_LIMIT);
        match client.call(request, CALL_TIMEOUT).await {
            Ok((status, _)) => {
                if status == StatusCode::TOO_MANY_REQUESTS {
                    self.pause(context, RATE_PAUSE);
                }
                Ok(DutyResponse {
                    status,
                    fence,
                    content,
                })
            }
            Err(error) => {
                sleep(UNANSWERED_PAUSE).await;
                Err(DutyError::Call(fence, error))
            }
        }
    }

    /// Waits until the rate of calls leaves room for one, and takes it.
    async fn wait_for_rate(&self, context: &ControlContext) {
        let now = context.epoch.elapsed();
        let spacing = Duration::from_secs_f64(1.0 / (self.settings.calls_per_s * RATE_FRACTION));
        let at = {
            let mut state = self.lock();
            let at = state.next_call_at.max(now);
            state.next_call_at = at + spacing;
            at
        };
        sleep(at.saturating_sub(now)).await;
    }

    fn pause(&self, context: &ControlContext, time: Duration) {
        let mut state = self.lock();
        let until = context.epoch.elapsed() + time;
        state.next_call_at = state.next_call_at.max(until);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
