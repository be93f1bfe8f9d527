//! Context of a client's request.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use http::{HeaderValue, header};
use slog::info;
use wagtailarch_adapter::ClientRequest;
use wagtailarch_dispatch::{
    GenerationRequest, PartVerdict, PrefixLink, Prompt, Route, RoutingConfig, ServerProcess,
    TimeLeft,
};
use wagtailarch_types::{
    InstanceId, Ran, RefusalReason, ServiceName, TeamName, VersionKey, fingerprint,
};
use wagtailarch_wire::{
    forward::ForwardCall,
    part_report::{PartKey, ReportedPart},
    permit::PermitRank,
};

use crate::{
    body_buffer::BufferedBody,
    gateway::{Gateway, LeavingSource},
    open_requests::OpenRequest,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
};

/// Output tokens assumed for a generation whose client states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 4_096;
/// Time after which a client may retry a request that is quarantined.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Time after which a client may retry a request that another instance can serve.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Events of a stream that carry no output token, such as its end.
const NON_TOKEN_EVENTS: u64 = 64;

/// A client's request that was read whole, with the route that it matches.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Decoded head.
    pub client: ClientRequest,
    /// Body.
    pub body: BufferedBody,
    /// Route that the request matches.
    pub route: Route,
    /// Team whose key the request has.
    pub team: Option<RequestTeam>,
    /// Configuration in force when the request arrived.
    pub config: Arc<RoutingConfig>,
    /// Time of arrival since the start of the process.
    pub arrived: Duration,
    /// What accompanies the request if another instance sent it.
    pub forwarded: Option<ForwardCall>,
    /// Its entry among the open requests.
    pub open: Rc<OpenRequest>,
}

/// The team of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTeam {
    /// Name.
    pub name: TeamName,
    /// Priority that the team's requests have instead of that of their route; 0 is the highest.
    pub priority: Option<u8>,
}

/// A client's request with the data needed to serve it.
#[derive(Debug)]
pub struct RequestContext {
    /// State of the traffic thread.
    pub gateway: Rc<Gateway>,
    /// Decoded head of the request.
    pub client: ClientRequest,
    /// Body of the request.
    pub body: BufferedBody,
    /// Route that the request matches.
    pub route: Route,
    /// Service selected by the route.
    pub service: ServiceName,
    /// Team of the request, which stays the same when the configuration changes; absent on public
    /// routes and without teams.
    pub team: Option<TeamName>,
    /// Priority of the team or the route; 0 is the highest.
    priority: u8,
    /// Configuration in force when the request arrived.
    pub config: Arc<RoutingConfig>,
    /// Time of arrival at this instance since the start of the process.
    pub arrived: Duration,
    /// When the last event of a stream was sent to the client.
    pub last_event_at: Cell<Option<Duration>>,
    /// Prefixes of the prompt.
    pub prefixes: Vec<PrefixLink>,
    /// Parts of the prompt that other prompts may share, and the whole request at the end.
    judged_parts: Vec<ReportedPart>,
    /// Whether this request tests a part that is blamed for crashes.
    pub is_trial: Cell<bool>,
    /// Software version at which the stream of the request must go on; absent before its first event.
    pub version: Cell<Option<VersionKey>>,
    /// Whether that version comes from another instance, which therefore knows of several.
    pub is_version_shared: Cell<bool>,
    /// What accompanies the request if another instance sent it, which then is not sent on.
    pub forwarded: Option<ForwardCall>,
    /// Entry of the request among the open ones.
    pub open: Rc<OpenRequest>,
    /// Servers that have stated in responses to this request that they leave.
    pub leaving_servers: RefCell<Vec<ServerProcess>>,
    /// Time that the client had waited when the request arrived.
    waited: Duration,
    /// Whether the request is counted in the use of its team.
    pub is_use_counted: Cell<bool>,
    /// Number of calls that may have run the request.
    pub possible_runs: Cell<u32>,
    /// Whether the request is counted in the retry budget of an instance.
    pub is_counted: Cell<bool>,
}

/// Returns the key of a request: a hash of its caller, host, method, path and body.
///
/// A caller is told from others by the credentials that it sends.
pub fn request_key(client: &ClientRequest, body: &[u8]) -> PartKey {
    let target = client.uri.path_and_query().map_or("", |path| path.as_str());
    let mut fields = vec![
        client.host.as_bytes(),
        client.method.as_str().as_bytes(),
        target.as_bytes(),
        body,
    ];
    let credentials = client.headers.get_all(header::AUTHORIZATION).iter();
    fields.extend(credentials.map(HeaderValue::as_bytes));
    if let Some(key) = &client.key {
        fields.push(key);
    }
    // Keys in reports have 64 bits.
    fingerprint(&fields) as PartKey
}

impl RequestContext {
    /// Creates the context of a request and selects its service.
    pub fn new(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Self {
        let ReceivedRequest {
            mut client,
            body,
            route,
            team,
            config,
            arrived,
            forwarded,
            open,
        } = received;
        let team_priority = team.as_ref().and_then(|team| team.priority);
        let resume = forwarded.as_ref().and_then(|call| call.resume);
        if let Some(resume) = resume {
            // The stream that goes on is that of this attempt, unless the client resumes another.
            if client.resume_after.is_none() {
                client.origin = Some(client.id.clone());
            }
            client.resume_after = Some(resume.after);
        }
        let call = forwarded.as_ref();
        let waited = Duration::from_millis(call.map_or(0, |call| call.age_ms).into());
        let service = route.target(&client.id).clone();
        let prefixes = client.prompt.as_ref().map(|prompt| prompt.prefixes());
        let shared_parts = client.prompt.as_ref().map(Prompt::shared_parts);
        let mut judged_parts = shared_parts.unwrap_or_default();
        judged_parts.push(ReportedPart::request(request_key(&client, &body.bytes)));
        Self {
            gateway: Rc::clone(gateway),
            prefixes: prefixes.unwrap_or_default(),
            judged_parts,
            is_trial: Cell::new(false),
            version: Cell::new(resume.map(|resume| resume.version)),
            is_version_shared: Cell::new(resume.is_some()),
            waited,
            possible_runs: Cell::new(call.map_or(0, |call| call.possible_runs)),
            // An instance that may have run a request, or has begun its stream, has counted it.
            is_use_counted: Cell::new(
                client.resume_after.is_some() || call.is_some_and(|call| call.possible_runs > 0),
            ),
            is_counted: Cell::new(call.is_some_and(|call| call.is_counted)),
            forwarded,
            open,
            leaving_servers: RefCell::default(),
            client,
            body,
            priority: team_priority.unwrap_or(route.priority),
            team: team.map(|team| team.name),
            route,
            service,
            config,
            arrived,
            last_event_at: Cell::new(None),
        }
    }

    /// Decides whether the request may be served, since it or a part of its prompt may have crashed
    /// servers.
    pub fn admit(&self) -> Result<(), Refusal> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let verdict = gateway.with_part_evidence("request", |evidence| {
            let load_balancer = gateway.load_balancer.borrow();
            evidence.admit(now, &self.judged_parts, load_balancer.members())
        });
        match verdict {
            PartVerdict::Blamed => Err(self.quarantined(Ran::No)),
            PartVerdict::Trial => {
                self.is_trial.set(true);
                info!(gateway.log, "trial of a blamed request"; "request" => %self.client.id,
                    "key" => format!("{:016x}", self.request_key()));
                Ok(())
            }
            PartVerdict::Clear | PartVerdict::Suspect => Ok(()),
        }
    }

    /// Judges the request and the parts of its prompt again, immediately before a call; `ran` states
    /// whether the request may have run. Returns whether the call is to run apart from others.
    pub fn judge(&self, ran: Ran) -> Result<bool, Refusal> {
        let now = self.gateway.now();
        let verdict = self.gateway.with_part_evidence("request", |evidence| {
            evidence.verdict(now, &self.judged_parts)
        });
        match verdict {
            PartVerdict::Clear => Ok(false),
            // A trial is over with its first run.
            PartVerdict::Blamed if !self.is_trial.get() || ran != Ran::No => {
                Err(self.quarantined(ran))
            }
            PartVerdict::Suspect | PartVerdict::Trial | PartVerdict::Blamed => Ok(true),
        }
    }

    /// Returns the key by which the same request is recognized.
    pub fn request_key(&self) -> PartKey {
        self.judged_parts.last().expect("the request").key
    }

    /// Returns the parts of the prompt that other prompts may share.
    pub fn shared_parts(&self) -> &[ReportedPart] {
        &self.judged_parts[..self.judged_parts.len() - 1]
    }

    fn quarantined(&self, ran: Ran) -> Refusal {
        Refusal {
            reason: RefusalReason::Quarantined,
            ran,
            retry_after: QUARANTINE_RETRY_AFTER,
        }
    }

    /// Records that a response to this request states that its server leaves.
    pub fn on_stated_leaving(&self, process: ServerProcess) {
        let gateway = &self.gateway;
        gateway.on_stated_leaving(process.clone(), LeavingSource::Response);
        self.leaving_servers.borrow_mut().push(process);
    }

    /// Decides whether the request may be sent to a server, which a shutdown that it could outlast
    /// prevents; `ran` states whether the request may have run.
    ///
    /// A stream that has begun goes on: nobody else could respond to its client.
    pub fn check_shutdown(&self, ran: Ran) -> Result<(), Refusal> {
        let Some((plan, since)) = self.gateway.shutdown_plan() else {
            return Ok(());
        };
        let has_begun = self.last_event_at.get().is_some();
        match has_begun || plan.may_begin_call(since, self.time_left()) {
            true => Ok(()),
            false => Err(self.draining(ran)),
        }
    }

    /// Returns the refusal of a request because of the shutdown.
    pub fn draining(&self, ran: Ran) -> Refusal {
        Refusal {
            reason: RefusalReason::Draining,
            ran,
            retry_after: OTHER_INSTANCE_RETRY_AFTER,
        }
    }

    /// Counts the request in the retry budget of its service, unless an instance has counted it.
    pub fn count(&self) {
        if !self.is_counted.replace(true) {
            self.gateway.count_request(&self.service);
        }
    }

    /// Returns the time since the request arrived from the client.
    pub fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived) + self.waited
    }

    /// Returns the time left before the client's deadline or the route's timeout, whichever is
    /// earlier.
    pub fn time_left(&self) -> Duration {
        let limit = self.client.timeout.unwrap_or(self.route.timeout);
        limit.min(self.route.timeout).saturating_sub(self.age())
    }

    /// Returns the rank among the requests to rate-limited servers.
    pub fn rank(&self) -> PermitRank {
        PermitRank::of_priority(self.priority)
    }

    /// Returns the priority of the request's team, or of its route if the team has none; 0 is the
    /// highest.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Returns the refusal of a request for which no server can be selected.
    pub fn unavailable(&self, ran: Ran, rank: PermitRank, excluded: &[InstanceId]) -> Refusal {
        let now = self.gateway.now();
        let mut load_balancer = self.gateway.load_balancer.borrow_mut();
        let reason = load_balancer.unavailable_reason(now, &self.service, rank, excluded);
        let retry_after = load_balancer.refuse_by_limits(now, &self.service, rank);
        Refusal {
            reason,
            ran,
            retry_after: retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }

    /// Returns whether no server was selected, or too few seemed usable, while this instance probably
    /// has no path to them.
    pub fn has_unreachable_servers(&self, refusal: &Refusal) -> bool {
        let by_health = matches!(
            refusal.reason,
            RefusalReason::NoBackend | RefusalReason::Overloaded
        );
        by_health && self.gateway.is_path_doubted(&self.service)
    }

    /// Returns the description of the generation by which engines are selected.
    pub fn generation_request(&self, rank: PermitRank) -> GenerationRequest<'_> {
        let prompt = self.client.prompt.as_ref();
        GenerationRequest {
            prefixes: &self.prefixes,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            objective_left: self.objective_left(),
            client_timeout_left: self.client_timeout_left(),
            zone: &self.gateway.settings.zone,
            rank,
            isolated: false,
            version: self.version.get(),
        }
    }

    /// Returns the maximum number of events of the stream, which follows from its output tokens.
    pub fn max_events(&self) -> u64 {
        let prompt = self.client.prompt.as_ref();
        let tokens = prompt.map_or(DEFAULT_OUTPUT_TOKENS, |prompt| prompt.output_tokens);
        u64::from(tokens) + NON_TOKEN_EVENTS
    }

    /// Returns the time left before the first response misses the route's objective.
    pub fn objective_left(&self) -> Duration {
        self.route.objective.saturating_sub(self.age())
    }

    /// Returns whether the client has received an event of its stream, from this instance or the one
    /// that passes the request on.
    pub fn has_begun(&self) -> bool {
        let resumes = |call: &ForwardCall| call.resume.is_some();
        self.last_event_at.get().is_some() || self.forwarded.as_ref().is_some_and(resumes)
    }

    /// Returns the time that a stream's request has left.
    pub fn stream_time_left(&self) -> TimeLeft {
        TimeLeft {
            client_timeout: self.client_timeout_left(),
            request: self.time_left(),
            has_begun: self.has_begun(),
        }
    }

    /// Returns the time left before the client abandons a stream that sends no further event.
    pub fn client_timeout_left(&self) -> Duration {
        let waits_since = self.last_event_at.get().unwrap_or(self.arrived);
        let waited = self.gateway.now().saturating_sub(waits_since);
        let client_timeout = self.route.client_timeout().saturating_sub(waited);
        client_timeout.min(self.time_left())
    }
}
