//! What is known of a client request once its headers were read.

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
    shared::{Running, Shared},
    snapshot::Snapshot,
};

/// Greatest length of an idempotency key in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// An authorized request.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Configuration in force when the request arrived.
    pub snapshot: Arc<Snapshot>,
    /// Request id.
    pub id: RequestId,
    /// Request id as text.
    pub id_text: SmolStr,
    /// Position of the team in the configuration.
    team: usize,
    /// Urgency; at most the team's.
    pub priority: Priority,
    /// When the headers were read.
    pub received: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether the client has stated a deadline.
    pub has_deadline: bool,
    /// Keeps a shutdown waiting while any part of the request is left.
    _running: Arc<Running>,
}

impl RequestContext {
    /// Authorizes a request and reads the headers that apply to every call.
    pub fn new(running: Running, id: RequestId, headers: &HeaderMap) -> Result<Self, Refusal> {
        let shared = &running.shared;
        let snapshot = shared.snapshot.load_full().ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::NotConfigured,
                "no configuration is loaded yet",
            )
            .retry_after(Duration::from_secs(1))
        })?;
        let hash = bearer_hash(headers).ok_or_else(|| {
            Refusal::not_run(RefusalReason::Unauthorized, "a bearer key is required")
        })?;
        let team = snapshot.team_index(&hash).ok_or_else(|| {
            Refusal::not_run(RefusalReason::Unauthorized, "the bearer key is unknown")
        })?;
        let received = Instant::now();
        let allowed = snapshot.fleet.teams[team].priority;
        let stated = deadline(headers)?;
        let limit = ms(shared.settings.timeouts.deadline_ms);
        Ok(Self {
            shared: Arc::clone(shared),
            id,
            id_text: format_request_id(id).into(),
            team,
            priority: priority(headers)?.map_or(allowed, |wanted| wanted.min(allowed)),
            received,
            deadline: received + stated.map_or(limit, |wanted| wanted.min(limit)),
            has_deadline: stated.is_some(),
            snapshot,
            _running: Arc::new(running),
        })
    }

    /// Returns the team.
    pub fn team(&self) -> &Team {
        &self.snapshot.fleet.teams[self.team]
    }

    /// Returns the time left to answer.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Creates the refusal of a request whose deadline has passed.
    pub fn too_late(&self, ran: Ran) -> Refusal {
        Refusal::not_run(
            RefusalReason::DeadlineUnreachable,
            "the deadline has passed",
        )
        .ran(ran)
        .retry_after(Duration::from_secs(1))
        .with_jitter(self.id)
    }
}

fn priority(headers: &HeaderMap) -> Result<Option<Priority>, Refusal> {
    let Some(value) = headers.get("x-priority") else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(Priority::parse);
    parsed
        .map(Some)
        .ok_or_else(|| bad_header("x-priority must be low, normal or high"))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed
        .map(|value| Some(ms(value)))
        .ok_or_else(|| bad_header("x-deadline-ms must be a number of milliseconds"))
}

/// Reads the key that a client gives to recognise a repeated call.
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
    Refusal::not_run(RefusalReason::BadRequest, message)
}
