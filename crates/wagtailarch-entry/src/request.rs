//! Context of a client request, created when its headers were received.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderMap;
use smol_str::SmolStr;
use wagtailarch_fleet::Team;
use wagtailarch_types::{Priority, Ran, RefusalReason, RequestId, format_request_id};

use crate::{
    auth::bearer_hash,
    refusal::Refusal,
    settings::ms,
    shared::{RunningRequest, Shared},
    snapshot::Snapshot,
};

/// Maximum length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// An authorized request.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// Shared state of the instance.
    pub shared: Arc<Shared>,
    /// Configuration that was active when the request arrived.
    pub snapshot: Arc<Snapshot>,
    /// Request id.
    pub id: RequestId,
    /// Request id as text.
    pub id_text: SmolStr,
    /// Index of the team in the configuration.
    team_index: usize,
    /// Priority of the request, at most that of its team.
    pub priority: Priority,
    /// Time when the headers were received.
    pub received: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Whether the client set a deadline.
    pub has_deadline: bool,
    /// Delays a shutdown until all clones of this context are dropped.
    _running: Arc<RunningRequest>,
}

impl RequestContext {
    /// Authorizes a request and parses the headers that apply to every call.
    pub fn new(
        running: RunningRequest,
        id: RequestId,
        headers: &HeaderMap,
    ) -> Result<Self, Refusal> {
        let shared = &running.shared;
        let snapshot = shared.snapshot.load_full().ok_or_else(|| {
            Refusal::new(
                RefusalReason::NotConfigured,
                "no configuration is loaded yet",
            )
            .retry_after(Duration::from_secs(1))
        })?;
        let hash = bearer_hash(headers)
            .ok_or_else(|| Refusal::new(RefusalReason::Unauthorized, "a bearer key is required"))?;
        let team_index = snapshot.team_index(&hash).ok_or_else(|| {
            Refusal::new(RefusalReason::Unauthorized, "the bearer key is unknown")
        })?;
        let received = Instant::now();
        let team_priority = snapshot.fleet.teams[team_index].priority;
        let requested_time = parse_deadline(headers)?;
        let max_time = ms(shared.settings.timeouts.deadline_ms);
        Ok(Self {
            shared: Arc::clone(shared),
            id,
            id_text: format_request_id(id).into(),
            team_index,
            priority: parse_priority(headers)?
                .map_or(team_priority, |requested| requested.min(team_priority)),
            received,
            deadline: received
                + requested_time.map_or(max_time, |requested| requested.min(max_time)),
            has_deadline: requested_time.is_some(),
            snapshot,
            _running: Arc::new(running),
        })
    }

    /// Returns the team that sent the request.
    pub fn team(&self) -> &Team {
        &self.snapshot.fleet.teams[self.team_index]
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Creates the refusal of a request whose deadline has passed.
    pub fn deadline_refusal(&self, ran: Ran) -> Refusal {
        Refusal::new(
            RefusalReason::DeadlineUnreachable,
            "the deadline has passed",
        )
        .ran(ran)
        .retry_after(Duration::from_secs(1))
        .with_jitter(self.id)
    }
}

/// Returns the priority in the `x-priority` header.
fn parse_priority(headers: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    let Some(value) = headers.get("x-priority") else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(Priority::parse);
    parsed
        .map(Some)
        .ok_or_else(|| bad_header("x-priority must be low, normal or high"))
}

/// Returns the time limit in the `x-deadline-ms` header.
fn parse_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed
        .map(|value| Some(ms(value)))
        .ok_or_else(|| bad_header("x-deadline-ms must be a number of milliseconds"))
}

/// Returns the key in the `Idempotency-Key` header, which identifies repeated calls.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<SmolStr>, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let text = text.filter(|text| !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    text.map(|text| Some(text.into()))
        .ok_or_else(|| bad_header("Idempotency-Key must be visible ASCII of at most 256 bytes"))
}

fn bad_header(message: &str) -> Refusal {
    Refusal::new(RefusalReason::BadRequest, message)
}
