//! Explains where a request would go now, without sending it.

use std::{cell::Cell, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, Uri, request};
use wagtailarch_adapter::{ClientRequest, ClientRequestError, decode_client_request};
use wagtailarch_dispatch::{
    Access, GenerationRequest, Placement, PrefillPlan, PrefixLink, Prompt, Route,
};
use wagtailarch_types::{RefusalReason, ServiceName};
use wagtailarch_wire::{
    explanation::{Decision, Explanation, WeighedChoice},
    part_report::ReportedPart,
    permit::PermitRank,
};

use crate::{gateway::Gateway, request_context::request_key};

/// Shortest time between two answers. A question compares all servers of a service, which takes
/// about a millisecond in the largest fleets.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Number of compared choices in an answer.
const MAX_WEIGHED: usize = 40;

/// When the last question was answered, in time since the start of the process.
#[derive(Debug, Default)]
pub struct ExplainLimit {
    answered_at: Cell<Option<Duration>>,
}

/// Why a question is not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum ExplainError {
    /// request line: expected METHOD TARGET HTTP/1.1
    RequestLine,
    /// request line: the method is not valid
    Method,
    /// request line: the target is not valid
    Target,
    /// header line {0}: expected NAME: VALUE
    Header(usize),
    /// headers: {0}
    Head(ClientRequestError),
    /// too many questions; ask again in 0.1 s
    TooMany,
}

impl ExplainError {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooMany => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl ExplainLimit {
    fn take(&self, now: Duration) -> Result<(), ExplainError> {
        let answered_at = self.answered_at.get();
        if answered_at.is_some_and(|at| now.saturating_sub(at) < MIN_INTERVAL) {
            return Err(ExplainError::TooMany);
        }
        self.answered_at.set(Some(now));
        Ok(())
    }
}

/// Explains where a request, given as the bytes that a client would send, would go now.
///
/// Nothing is sent, no permit or retry is taken and no belief about a server changes.
pub fn explain(gateway: &Gateway, message: &Bytes) -> Result<Explanation, ExplainError> {
    gateway.explain_limit.take(gateway.now())?;
    let (parts, body) = parse_message(message)?;
    let mut client = decode_client_request(parts).map_err(ExplainError::Head)?;
    let key = client.key.take();
    let snapshot = gateway.snapshot();
    let mut explanation = Explanation {
        instance: gateway.settings.instance.clone(),
        generation: snapshot.config.as_ref().map(|config| config.generation()),
        route: None,
        team: None,
        service: None,
        decision: refuse(RefusalReason::NotConfigured, None),
        weighed: Vec::new(),
    };
    let Some(config) = &snapshot.config else {
        return Ok(explanation);
    };
    let Some(route) = config.find(&client.host, client.path()) else {
        explanation.decision = refuse(RefusalReason::UnknownRoute, None);
        return Ok(explanation);
    };
    let service = route.target(&client.id);
    explanation.route = Some(route.name.clone());
    explanation.service = Some(service.clone());
    let access = config.access(route, key.as_ref());
    if access != Access::Open && !gateway.is_key_proof_recent() {
        explanation.decision = refuse(RefusalReason::ConfigurationUnproven, None);
        return Ok(explanation);
    }
    let team = match access {
        Access::Open => None,
        Access::Team(team) => Some(team),
        Access::Denied => {
            explanation.decision = refuse(RefusalReason::Unauthorized, None);
            return Ok(explanation);
        }
    };
    explanation.team = team.map(|team| team.name.clone());
    let team_priority = team.and_then(|team| team.route_priority);
    let question = Question {
        gateway,
        client: &client,
        route,
        service,
        priority: team_priority.unwrap_or(route.priority),
    };
    (explanation.decision, explanation.weighed) = question.decide(body);
    explanation.weighed.truncate(MAX_WEIGHED);
    Ok(explanation)
}

/// A request whose route is known.
struct Question<'a> {
    gateway: &'a Gateway,
    client: &'a ClientRequest,
    route: &'a Route,
    service: &'a ServiceName,
    /// Priority of the team, or of the route if the team has none; 0 is the highest.
    priority: u8,
}

impl Question<'_> {
    fn decide(&self, body: &[u8]) -> (Decision, Vec<WeighedChoice>) {
        let is_stream = self.route.kind.is_stream();
        let weighed = match is_stream {
            true => self.weigh_engines(),
            false => self.weigh_servers(),
        };
        if self.is_quarantined(body) {
            return (refuse(RefusalReason::Quarantined, None), weighed);
        }
        if self.gateway.shutdown_plan().is_some_and(|(plan, since)| {
            !plan.may_begin_call(since, self.client.timeout.unwrap_or(self.route.timeout))
        }) {
            return (refuse(RefusalReason::Draining, None), weighed);
        }
        if self.gateway.is_path_doubted(self.service) {
            return (Decision::ThroughInstance, weighed);
        }
        let decision = match is_stream {
            true => self.decide_generation(),
            false => self.decide_plain(&weighed),
        };
        (decision, weighed)
    }

    fn weigh_servers(&self) -> Vec<WeighedChoice> {
        let load_balancer = self.gateway.load_balancer.borrow();
        let zone = &self.gateway.settings.zone;
        load_balancer.weigh_servers(self.gateway.now(), self.service, zone, self.rank())
    }

    fn weigh_engines(&self) -> Vec<WeighedChoice> {
        let prefixes = self.client.prompt.as_ref().map(Prompt::prefixes);
        let prefixes = prefixes.unwrap_or_default();
        let request = self.generation_request(&prefixes);
        let load_balancer = self.gateway.load_balancer.borrow();
        load_balancer.weigh_engines(self.gateway.now(), self.service, &request)
    }

    fn decide_plain(&self, weighed: &[WeighedChoice]) -> Decision {
        let selectable = weighed
            .first()
            .filter(|choice| choice.excluded_by.is_none());
        match selectable {
            Some(choice) => Decision::Send {
                server: choice.server.clone(),
                prefill_engine: None,
                urgency: None,
            },
            None => refuse(self.unavailable_reason(), None),
        }
    }

    fn decide_generation(&self) -> Decision {
        let prefixes = self.client.prompt.as_ref().map(Prompt::prefixes);
        let prefixes = prefixes.unwrap_or_default();
        let request = self.generation_request(&prefixes);
        let load_balancer = self.gateway.load_balancer.borrow();
        let now = self.gateway.now();
        match load_balancer.place_generation(now, self.service, &request, &[]) {
            Placement::Use(plan) => Decision::Send {
                server: plan.decode.id,
                prefill_engine: match plan.prefill {
                    PrefillPlan::Direct => None,
                    PrefillPlan::Split(engine) => Some(engine.id.clone()),
                },
                urgency: Some(plan.urgency),
            },
            Placement::Refuse { retry_after, .. } => {
                refuse(RefusalReason::Overloaded, Some(retry_after))
            }
            Placement::NoEngine => refuse(self.unavailable_reason(), None),
        }
    }

    fn unavailable_reason(&self) -> RefusalReason {
        let load_balancer = self.gateway.load_balancer.borrow();
        load_balancer.unavailable_reason(self.gateway.now(), self.service, self.rank(), &[])
    }

    fn generation_request<'b>(&'b self, prefixes: &'b [PrefixLink]) -> GenerationRequest<'b> {
        let prompt = self.client.prompt.as_ref();
        let time_left = self.client.timeout.unwrap_or(self.route.timeout);
        let time_left = time_left.min(self.route.timeout);
        GenerationRequest {
            prefixes,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            objective_left: self.route.objective,
            client_timeout_left: self.route.client_timeout().min(time_left),
            zone: &self.gateway.settings.zone,
            rank: self.rank(),
            isolated: false,
            version: None,
        }
    }

    fn rank(&self) -> PermitRank {
        PermitRank::of_priority(self.priority)
    }

    /// Returns whether the request or a part of its prompt is refused because it crashed servers.
    fn is_quarantined(&self, body: &[u8]) -> bool {
        let client = self.client;
        let parts = client.prompt.as_ref().map(Prompt::shared_parts);
        let mut parts = parts.unwrap_or_default();
        parts.push(ReportedPart::request(request_key(client, body)));
        self.gateway.is_part_blamed(&parts)
    }
}

fn refuse(reason: RefusalReason, retry_after: Option<Duration>) -> Decision {
    Decision::Refuse {
        reason: reason.to_string().into(),
        retry_after_ms: retry_after.map(|time| time.as_millis() as u64),
    }
}

/// Splits a message into its head and its body.
fn parse_message(message: &[u8]) -> Result<(request::Parts, &[u8]), ExplainError> {
    let mut lines = Lines(message);
    let line = lines.next_line().ok_or(ExplainError::RequestLine)?;
    let line = std::str::from_utf8(line).map_err(|_| ExplainError::RequestLine)?;
    let mut words = line.split_ascii_whitespace();
    let (Some(method), Some(target), Some("HTTP/1.1" | "HTTP/1.0"), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(ExplainError::RequestLine);
    };
    let mut request = Request::new(());
    *request.method_mut() =
        Method::from_bytes(method.as_bytes()).map_err(|_| ExplainError::Method)?;
    *request.uri_mut() = target.parse::<Uri>().map_err(|_| ExplainError::Target)?;
    let mut number = 0;
    while let Some(line) = lines.next_line() {
        if line.is_empty() {
            break;
        }
        number += 1;
        let (name, value) = parse_header(line).ok_or(ExplainError::Header(number))?;
        request.headers_mut().append(name, value);
    }
    Ok((request.into_parts().0, lines.0))
}

fn parse_header(line: &[u8]) -> Option<(HeaderName, HeaderValue)> {
    let colon = line.iter().position(|&byte| byte == b':')?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    let value = HeaderValue::from_bytes(line[colon + 1..].trim_ascii()).ok()?;
    Some((name, value))
}

/// The rest of a message, split at line ends.
struct Lines<'a>(&'a [u8]);

impl<'a> Lines<'a> {
    fn next_line(&mut self) -> Option<&'a [u8]> {
        if self.0.is_empty() {
            return None;
        }
        let end = self.0.iter().position(|&byte| byte == b'\n');
        let (line, rest) = match end {
            Some(end) => (&self.0[..end], &self.0[end + 1..]),
            None => (self.0, &[][..]),
        };
        self.0 = rest;
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }
}
