//! Permits for requests to servers that name a rate limit.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
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

/// Takes a permit for a request to a server; returns whether the request may be sent.
pub async fn acquire(gateway: &Gateway, server: &InstanceId, rank: PermitRank) -> bool {
    let step = take(gateway, server, rank);
    let PermitStep::Ask { coordinator, limit } = step else {
        return step == PermitStep::Send;
    };
    let outcome = ask(gateway, &coordinator, limit, rank).await;
    let result = match outcome {
        Some(PermitOutcome::Granted) => PermitResult::Granted,
        Some(PermitOutcome::Denied { .. }) => PermitResult::Denied,
        Some(PermitOutcome::NotCoordinator) | None => PermitResult::Unanswered,
    };
    gateway.metrics.count_permit(result);
    match result {
        PermitResult::Granted => return true,
        PermitResult::Denied => return false,
        PermitResult::Unanswered => {}
    }
    debug!(gateway.log, "no permit"; "server" => %server, "coordinator" => %coordinator,
        "cause" => if outcome.is_some() { "not the coordinator" } else { "no response in time" });
    if outcome.is_none() {
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        load_balancer.on_permit_timeout(gateway.now(), server, &coordinator);
    }
    // The equal share of this instance may have room.
    take(gateway, server, rank) == PermitStep::Send
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
            let outcome = gateway
                .load_balancer
                .borrow_mut()
                .on_permit_request(now, &limit, rank);
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
