//! Guards that update counters when a request starts and undo it when they are dropped.

use std::rc::Rc;

use smol_str::SmolStr;
use wagtailarch_dispatch::{PrefillNumber, PrefixLink, Urgency};
use wagtailarch_types::{InstanceId, ServiceName};

use crate::{
    client_meter::ClientMeter, gateway::Gateway, open_requests::OpenRequest, paths::ForwardResult,
};

/// Counts a request as in flight at a server until the response ends.
#[derive(Debug)]
pub struct InFlightGuard {
    gateway: Rc<Gateway>,
    server: InstanceId,
}

impl InFlightGuard {
    /// Counts a request as in flight.
    pub fn new(gateway: &Rc<Gateway>, server: &InstanceId) -> Self {
        gateway.load_balancer.borrow_mut().on_sent(server);
        Self {
            gateway: Rc::clone(gateway),
            server: server.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway
            .load_balancer
            .borrow_mut()
            .on_ended(&self.server);
    }
}

/// An open prefill at an engine; peers receive its start and its end with load notes.
#[derive(Debug)]
pub struct PrefillGuard {
    gateway: Rc<Gateway>,
    number: Option<PrefillNumber>,
    succeeded: bool,
}

impl PrefillGuard {
    /// Records that a prompt is sent to an engine for prefill.
    pub fn new(
        gateway: &Rc<Gateway>,
        engine: &InstanceId,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Self {
        let now = gateway.now();
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        let started = load_balancer.start_prefill(now, engine, urgency, prefixes, prompt_tokens);
        let (number, sent_prefixes) = started.unzip();
        gateway.queue_prefixes(sent_prefixes);
        Self {
            gateway: Rc::clone(gateway),
            number,
            succeeded: false,
        }
    }

    /// Records that the prefill succeeded.
    pub fn finish(mut self) {
        self.succeeded = true;
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let now = self.gateway.now();
        let mut load_balancer = self.gateway.load_balancer.borrow_mut();
        load_balancer.finish_prefill(now, number, self.succeeded);
        self.gateway.schedule_load_note();
    }
}

/// Counts a request as running on its decode engine.
#[derive(Debug)]
pub struct DecodeGuard {
    gateway: Rc<Gateway>,
    engine: InstanceId,
}

impl DecodeGuard {
    /// Counts a request as running.
    pub fn new(gateway: &Rc<Gateway>, engine: &InstanceId) -> Self {
        gateway.load_balancer.borrow_mut().add_running(engine, 1);
        Self {
            gateway: Rc::clone(gateway),
            engine: engine.clone(),
        }
    }
}

impl Drop for DecodeGuard {
    fn drop(&mut self) {
        self.gateway
            .load_balancer
            .borrow_mut()
            .add_running(&self.engine, -1);
        self.gateway.schedule_load_note();
    }
}

/// Counts a request as sent to another instance until the response ends.
#[derive(Debug)]
pub struct ForwardGuard {
    gateway: Rc<Gateway>,
    service: ServiceName,
    peer: InstanceId,
    /// How the request ended there; `None` while the instance has not responded.
    result: Option<ForwardResult>,
}

impl ForwardGuard {
    /// Counts a request as sent to an instance.
    pub fn new(gateway: &Rc<Gateway>, service: &ServiceName, peer: &InstanceId) -> Self {
        gateway.on_forward_started(peer);
        Self {
            gateway: Rc::clone(gateway),
            service: service.clone(),
            peer: peer.clone(),
            result: None,
        }
    }

    /// Records how the request ended at the instance.
    pub fn set_result(&mut self, result: ForwardResult) {
        self.result = Some(result);
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.gateway
            .on_forward_ended(&self.service, &self.peer, self.result);
    }
}

/// Holds a place for a request of another instance until its response ends.
#[derive(Debug)]
pub struct PeerRequestGuard(Rc<Gateway>);

impl PeerRequestGuard {
    /// Takes a place; returns `None` if there is none.
    pub fn new(gateway: &Rc<Gateway>) -> Option<Self> {
        let has_room = gateway.start_serving_for_peer();
        has_room.then(|| Self(Rc::clone(gateway)))
    }
}

impl Drop for PeerRequestGuard {
    fn drop(&mut self) {
        self.0.stop_serving_for_peer();
    }
}

/// Marks an engine as beginning a request with a part that is suspected of crashing engines.
#[derive(Debug)]
pub struct SuspectGuard {
    gateway: Rc<Gateway>,
    engine: InstanceId,
}

impl SuspectGuard {
    /// Marks an engine.
    pub fn new(gateway: &Rc<Gateway>, engine: &InstanceId) -> Self {
        let mut suspect_runs = gateway.suspect_runs.borrow_mut();
        *suspect_runs.entry(engine.clone()).or_default() += 1;
        Self {
            gateway: Rc::clone(gateway),
            engine: engine.clone(),
        }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut suspect_runs = self.gateway.suspect_runs.borrow_mut();
        let Some(count) = suspect_runs.get_mut(&self.engine) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            suspect_runs.swap_remove(&self.engine);
        }
    }
}

/// Counts an open client connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    gateway: Rc<Gateway>,
}

impl ConnectionGuard {
    /// Counts a connection; returns `None` if `limit` connections are open.
    pub fn new(gateway: &Rc<Gateway>, limit: usize) -> Option<Self> {
        if gateway.open_connections.get() >= limit {
            return None;
        }
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        Some(Self {
            gateway: Rc::clone(gateway),
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = self.gateway.open_connections.get();
        self.gateway.open_connections.set(open.saturating_sub(1));
    }
}

/// Marks a client connection as serving until the response has been sent or dropped.
#[derive(Debug)]
pub struct ServingGuard(Rc<ClientMeter>);

impl ServingGuard {
    /// Records that the head of a request is complete.
    pub fn new(meter: &Rc<ClientMeter>) -> Self {
        meter.stall_detector.start_serving();
        Self(Rc::clone(meter))
    }

    /// Records that the end of the connection will be the end of the response.
    pub fn end_by_close(&self) {
        self.0.set_ends_by_close(true);
    }

    /// Records that the whole response has been produced.
    pub fn on_complete(&self) {
        self.0.set_ends_by_close(false);
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.stall_detector.stop_serving();
    }
}

/// Keeps a client's request among the open ones until its response is complete.
#[derive(Debug)]
pub struct RequestGuard {
    gateway: Rc<Gateway>,
    number: u64,
    /// What is known of the open request.
    pub request: Rc<OpenRequest>,
}

impl RequestGuard {
    /// Adds a request whose head was read.
    pub fn new(gateway: &Rc<Gateway>, id: SmolStr) -> Self {
        let (number, request) = gateway.open_requests.add(id, gateway.now());
        Self {
            gateway: Rc::clone(gateway),
            number,
            request,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway.open_requests.remove(self.number);
    }
}
