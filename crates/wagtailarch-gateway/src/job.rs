//! A client's request while it is served.

use std::{rc::Rc, sync::Arc, time::Duration};

use wagtailarch_adapter::ClientRequest;
use wagtailarch_dispatch::{GenerationRequest, PrefixLink, Route, RoutingConfig};
use wagtailarch_types::{Fingerprint, ServiceName, fingerprint};

use crate::{gateway::Gateway, held_bytes::HeldBody};

/// Output tokens that a generation may have if its client does not say.
const DEFAULT_OUTPUT_TOKENS: u32 = 4_096;
/// Events of a stream that carry no token of its output, such as its end.
const EVENTS_BESIDE_TOKENS: u64 = 64;

/// A client's request while it is served.
#[derive(Debug)]
pub struct Job {
    /// State of the traffic thread.
    pub gateway: Rc<Gateway>,
    /// Head of the request.
    pub client: ClientRequest,
    /// Body of the request.
    pub body: HeldBody,
    /// Route.
    pub route: Route,
    /// Service.
    pub service: ServiceName,
    /// Configuration that was in force when the request arrived.
    pub config: Arc<RoutingConfig>,
    /// Time of its arrival.
    pub arrived: Duration,
    /// Prefixes of its prompt.
    pub prefixes: Vec<PrefixLink>,
    /// Hash of method, path and body, by which a repeated request is recognised.
    pub fingerprint: Fingerprint,
}

impl Job {
    /// Creates a job.
    pub fn new(
        gateway: &Rc<Gateway>,
        client: ClientRequest,
        body: HeldBody,
        route: Route,
        config: Arc<RoutingConfig>,
        arrived: Duration,
    ) -> Self {
        let service = route.target(&client.id).clone();
        let prefixes = client.prompt.as_ref().map(|prompt| prompt.prefixes());
        let target = client.uri.path_and_query().map_or("", |path| path.as_str());
        let fields = [
            client.method.as_str().as_bytes(),
            target.as_bytes(),
            &body.bytes,
        ];
        let fingerprint = fingerprint(&fields);
        Self {
            gateway: Rc::clone(gateway),
            prefixes: prefixes.unwrap_or_default(),
            client,
            body,
            route,
            service,
            config,
            arrived,
            fingerprint,
        }
    }

    /// Returns the time since the arrival.
    pub fn age(&self) -> Duration {
        self.gateway.now().saturating_sub(self.arrived)
    }

    /// Returns the time that is left before the client's deadline and the route's timeout.
    pub fn time_left(&self) -> Duration {
        let limit = self.client.timeout.unwrap_or(self.route.timeout);
        limit.min(self.route.timeout).saturating_sub(self.age())
    }

    /// Describes the generation to the board.
    pub fn generation_request(&self) -> GenerationRequest<'_> {
        let prompt = self.client.prompt.as_ref();
        GenerationRequest {
            prefixes: &self.prefixes,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
            objective_left: self.objective_left(),
            client_timeout_left: self.patience_left(),
            zone: &self.gateway.settings.zone,
        }
    }

    /// Returns the events that a stream has at most; a generation has no more than its output tokens.
    pub fn max_events(&self) -> u64 {
        let prompt = self.client.prompt.as_ref();
        let tokens = prompt.map_or(DEFAULT_OUTPUT_TOKENS, |prompt| prompt.output_tokens);
        u64::from(tokens) + EVENTS_BESIDE_TOKENS
    }

    /// Returns the time that is left before the first answer is late.
    pub fn objective_left(&self) -> Duration {
        self.route.objective.saturating_sub(self.age())
    }

    /// Returns the time that is left before the client leaves a silent stream.
    pub fn patience_left(&self) -> Duration {
        let patience = self.route.client_timeout().saturating_sub(self.age());
        patience.min(self.time_left())
    }
}
