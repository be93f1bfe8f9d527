//! Permits for requests to servers that name a rate limit.

use std::{
    cell::{Cell, RefCell},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use slog::debug;
use tokio::{sync::oneshot, time::timeout};
use wagtailarch_dispatch::PermitStep;
use wagtailarch_types::InstanceId;
use wagtailarch_wire::{
    load_note::LimitReport,
    permit::{PermitBody, PermitMessage, PermitOutcome, PermitRank},
};

use crate::{gateway::Gateway, metrics::PermitResult};

/// Time limit for the response of a coordinator.
///
/// A round trip between zones takes a few milliseconds; the rest is for instances that wait for
/// their share of a processor.
const RESPONSE_LIMIT: Duration = Duration::from_millis(50);

/// Time for which a permit may be kept before it is spent, such as during a separate prefill.
///
/// All permits of a limit that are spent late add to those of the following window.
const RESERVATION_TIME: Duration = Duration::from_millis(1_500);

/// Requests for permits that wait for a response.
#[derive(Debug, Default)]
pub struct PendingPermits {
    waiting: RefCell<IndexMap<u32, oneshot::Sender<PermitOutcome>>>,
    next_number: Cell<u32>,
}

/// Removes a request for a permit when it is no longer awaited.
struct PendingPermit<'a> {
    pending: &'a PendingPermits,
    number: u32,
}

impl PendingPermits {
    fn add(&self) -> (PendingPermit<'_>, oneshot::Receiver<PermitOutcome>) {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let pending = PendingPermit {
            pending: self,
            number,
        };
        (pending, receiver)
    }

    /// Passes an outcome on to the request that waits for it; returns whether there is one.
    fn resolve(&self, number: u32, outcome: PermitOutcome) -> bool {
        let waiting = self.waiting.borrow_mut().swap_remove(&number);
        waiting.is_some_and(|sender| sender.send(outcome).is_ok())
    }
}

impl Drop for PendingPermit<'_> {
    fn drop(&mut self) {
        self.pending.waiting.borrow_mut().swap_remove(&self.number);
    }
}

/// A permit for one request to a server; it is given back if it is dropped without being spent.
#[derive(Debug)]
pub struct Permit {
    gateway: Rc<Gateway>,
    server: InstanceId,
    /// When the permit was taken; `None` if the server names no limit or the permit was spent.
    taken_at: Option<Duration>,
}

impl Permit {
    /// Spends the permit, immediately before the request is sent.
    pub fn spend(mut self) {
        self.taken_at = None;
    }

    /// Returns whether the server names a limit and the permit can still be spent.
    pub fn is_reserved(&self) -> bool {
        self.taken_at
            .is_some_and(|at| self.gateway.now().saturating_sub(at) < RESERVATION_TIME)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_reserved() {
            let now = self.gateway.now();
            let mut load_balancer = self.gateway.load_balancer.borrow_mut();
            load_balancer.give_back_permit(now, &self.server);
        }
    }
}

/// Takes a permit for a request to a server; returns `None` if its limit leaves no room.
pub async fn acquire(
    gateway: &Rc<Gateway>,
    server: &InstanceId,
    rank: PermitRank,
) -> Option<Permit> {
    let step = take(gateway, server, rank);
    let PermitStep::Ask { coordinator, limit } = step else {
        return permit(gateway, server, &step);
    };
    let outcome = ask(gateway, &coordinator, limit, rank).await;
    let result = match outcome {
        Some(PermitOutcome::Granted) => PermitResult::Granted,
        Some(PermitOutcome::Denied { .. }) => PermitResult::Denied,
        Some(PermitOutcome::NotCoordinator) | None => PermitResult::Unanswered,
    };
    gateway.metrics.count_permit(result);
    match result {
        PermitResult::Granted => return permit(gateway, server, &PermitStep::Permitted),
        PermitResult::Denied => return None,
        PermitResult::Unanswered => {}
    }
    debug!(gateway.log, "no permit"; "server" => %server, "coordinator" => %coordinator,
        "cause" => if outcome.is_some() { "not the coordinator" } else { "no response in time" });
    if outcome.is_none() {
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        load_balancer.on_permit_timeout(gateway.now(), server, &coordinator);
    }
    // The equal share of this instance may have room.
    permit(gateway, server, &take(gateway, server, rank))
}

fn permit(gateway: &Rc<Gateway>, server: &InstanceId, step: &PermitStep) -> Option<Permit> {
    let taken_at = match step {
        PermitStep::Unlimited => None,
        PermitStep::Permitted => Some(gateway.now()),
        PermitStep::Ask { .. } | PermitStep::Denied => return None,
    };
    Some(Permit {
        gateway: Rc::clone(gateway),
        server: server.clone(),
        taken_at,
    })
}

fn take(gateway: &Gateway, server: &InstanceId, rank: PermitRank) -> PermitStep {
    let mut load_balancer = gateway.load_balancer.borrow_mut();
    load_balancer.take_permit(gateway.now(), server, rank)
}

/// Asks a coordinator for a permit; returns `None` if it does not respond.
async fn ask(
    gateway: &Gateway,
    coordinator: &InstanceId,
    limit: LimitReport,
    rank: PermitRank,
) -> Option<PermitOutcome> {
    let snapshot = gateway.snapshot();
    let peer = snapshot
        .peers
        .iter()
        .find(|peer| peer.name == *coordinator)?;
    let (pending, receiver) = gateway.pending_permits.add();
    let request = PermitMessage::new(pending.number, PermitBody::Request { limit, rank });
    send(gateway, &request, peer.address).await;
    timeout(RESPONSE_LIMIT, receiver).await.ok()?.ok()
}

/// Handles a message of another instance.
pub async fn on_message(gateway: &Gateway, message: PermitMessage, from: SocketAddr) {
    let now = gateway.now();
    match message.body {
        PermitBody::Request { limit, rank } => {
            let sender = address_key(from);
            let outcome = gateway
                .load_balancer
                .borrow_mut()
                .on_permit_request(now, &limit, rank, sender);
            let server = limit.server;
            let body = PermitBody::Response {
                server,
                rank,
                outcome,
            };
            send(gateway, &PermitMessage::new(message.number, body), from).await;
        }
        PermitBody::Response {
            server,
            rank,
            outcome,
        } => {
            let is_awaited = gateway.pending_permits.resolve(message.number, outcome);
            let mut load_balancer = gateway.load_balancer.borrow_mut();
            load_balancer.on_permit_response(now, server, rank, outcome, is_awaited);
        }
    }
}

async fn send(gateway: &Gateway, message: &PermitMessage, to: SocketAddr) {
    let sent = match message.encode() {
        Ok(bytes) => gateway.peer_socket.send_to(&bytes, to).await,
        Err(error) => {
            debug!(gateway.log, "permit message not encoded"; "cause" => %error);
            return;
        }
    };
    if let Err(error) = sent {
        debug!(gateway.log, "permit message not sent"; "peer" => %to, "cause" => %error);
    }
}

/// Returns a number that identifies an instance by the address of its datagrams.
fn address_key(address: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    address.hash(&mut hasher);
    hasher.finish()
}
