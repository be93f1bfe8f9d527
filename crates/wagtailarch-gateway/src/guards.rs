//! Counts that are taken back however a request ends.

use std::rc::Rc;

use wagtailarch_dispatch::{PrefillNumber, PrefixLink, Urgency};
use wagtailarch_types::InstanceId;

use crate::{client_clock::ClientClock, gateway::Gateway};

/// A request that was sent to a server and is not answered.
#[derive(Debug)]
pub struct InFlight {
    gateway: Rc<Gateway>,
    server: InstanceId,
}

impl InFlight {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway>, server: &InstanceId) -> Self {
        gateway.board.borrow_mut().on_sent(server);
        Self {
            gateway: Rc::clone(gateway),
            server: server.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.board.borrow_mut().on_ended(&self.server);
    }
}

/// A prompt that an engine is reading; peers are told of its start and of its end.
#[derive(Debug)]
pub struct Reading {
    gateway: Rc<Gateway>,
    number: Option<PrefillNumber>,
    done: bool,
}

impl Reading {
    /// Notes that a prompt is sent to an engine.
    pub fn new(
        gateway: &Rc<Gateway>,
        engine: &InstanceId,
        urgency: Urgency,
        prefixes: &[PrefixLink],
        prompt_tokens: u32,
    ) -> Self {
        let now = gateway.now();
        let mut board = gateway.board.borrow_mut();
        let started = board.start_prefill(now, engine, urgency, prefixes, prompt_tokens);
        let (number, told) = started.unzip();
        gateway.tell_prefixes(told);
        Self {
            gateway: Rc::clone(gateway),
            number,
            done: false,
        }
    }

    /// Notes that the engine has read the prompt.
    pub fn finish(mut self) {
        self.done = true;
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let Some(number) = self.number else {
            return;
        };
        let now = self.gateway.now();
        let mut board = self.gateway.board.borrow_mut();
        board.finish_prefill(now, number, self.done);
        self.gateway.tell_peers();
    }
}

/// A request that generates on an engine.
#[derive(Debug)]
pub struct Generating {
    gateway: Rc<Gateway>,
    engine: InstanceId,
}

impl Generating {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway>, engine: &InstanceId) -> Self {
        gateway.board.borrow_mut().add_running(engine, 1);
        Self {
            gateway: Rc::clone(gateway),
            engine: engine.clone(),
        }
    }
}

impl Drop for Generating {
    fn drop(&mut self) {
        self.gateway
            .board
            .borrow_mut()
            .add_running(&self.engine, -1);
        self.gateway.tell_peers();
    }
}

/// A connection of a client.
#[derive(Debug)]
pub struct OpenConnection {
    gateway: Rc<Gateway>,
}

impl OpenConnection {
    /// Counts a connection; `None` if `limit` connections are open.
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

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.gateway.open_connections.get();
        self.gateway.open_connections.set(open.saturating_sub(1));
    }
}

/// A request on a client's connection, until its answer has been sent or dropped.
#[derive(Debug)]
pub struct Serving(Rc<ClientClock>);

impl Serving {
    /// Notes that the head of a request has arrived.
    pub fn new(clock: &Rc<ClientClock>) -> Self {
        clock.start_serving();
        Self(Rc::clone(clock))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.stop_serving();
    }
}

/// A request of a client that has no complete answer yet.
#[derive(Debug)]
pub struct OpenRequest {
    gateway: Rc<Gateway>,
}

impl OpenRequest {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = self.gateway.open_requests.get();
        self.gateway.open_requests.set(open.saturating_sub(1));
    }
}
