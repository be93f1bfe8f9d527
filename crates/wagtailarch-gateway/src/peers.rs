//! Exchange of load notes between entry instances by datagrams.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slog::{debug, info};
use tokio::time::{sleep, timeout};
use wagtailarch_dispatch::{LimitMembers, NoteRoutes};
use wagtailarch_types::{BootId, InstanceId, ZoneName};
use wagtailarch_wire::{
    load_note::{LoadNote, NoteBundle},
    origin::OriginMessage,
    permit::PermitMessage,
    team_use::UseMessage,
};

use crate::{
    gateway::Gateway,
    origins,
    outbox::{LIVENESS_GRACE, NOTE_INTERVAL, PendingUpdates, batch_delay},
    pending_notes::PendingNotes,
    permits, team_use,
};

/// Interval between reports of the engines' demand to the control thread.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Interval at which a relay forwards load notes to the members of its zone.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a relay forwards the notes of its zone to other zones, for which traffic is
/// charged.
const CROSS_ZONE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between updates of the receivers.
const ROUTES_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between updates of the receivers while there are none.
const FIRST_ROUTES_INTERVAL: Duration = Duration::from_millis(200);

/// Sends, receives and forwards load notes.
#[derive(Debug)]
pub struct NoteExchange {
    gateway: Rc<Gateway>,
    boot: BootId,
    /// Number of the last note; kept outside the sending task, which restarts after a panic.
    sequence: Cell<u32>,
    routes: RefCell<Routes>,
    /// Notes to forward to members of the zone that receive them only from this relay.
    pending_for_members: PendingNotes,
    /// Notes of the own zone to forward to the relays of other zones.
    pending_for_other_zones: PendingNotes,
}

/// Addresses of the receivers of load notes.
#[derive(Debug, Default)]
struct Routes {
    own_receivers: Vec<SocketAddr>,
    member_receivers: Vec<SocketAddr>,
    cross_zone_receivers: Vec<SocketAddr>,
}

impl NoteExchange {
    /// Creates the exchange of an instance that has no receivers yet.
    pub fn new(gateway: Rc<Gateway>, boot: BootId) -> Self {
        Self {
            gateway,
            boot,
            sequence: Cell::new(0),
            routes: RefCell::default(),
            pending_for_members: PendingNotes::default(),
            pending_for_other_zones: PendingNotes::default(),
        }
    }

    /// Updates the receivers periodically until the process ends.
    pub async fn update_routes(self: Rc<Self>) {
        loop {
            let routes = self.current_routes();
            let has_receivers = !routes.own_receivers.is_empty();
            *self.routes.borrow_mut() = routes;
            let pause = if has_receivers {
                ROUTES_INTERVAL
            } else {
                FIRST_ROUTES_INTERVAL
            };
            sleep(pause).await;
        }
    }

    fn current_routes(&self) -> Routes {
        let gateway = &self.gateway;
        let snapshot = gateway.snapshot();
        let zone = &gateway.settings.zone;
        let now = gateway.now();
        let peers = snapshot.peers.iter();
        let peers: Vec<_> = peers
            .map(|peer| (peer.name.clone(), peer.zone.clone()))
            .collect();
        let live: HashSet<_> = match now >= LIVENESS_GRACE {
            true => gateway
                .traffic
                .live_peers(now)
                .into_iter()
                .map(|(name, _)| name)
                .collect(),
            false => peers.iter().map(|(name, _)| name.clone()).collect(),
        };
        self.set_limit_members(&peers, &live);
        let routes = NoteRoutes::new(&gateway.settings.instance, zone, &peers, &live);
        Routes {
            own_receivers: snapshot.peer_addresses(&routes.own_receivers),
            member_receivers: snapshot.peer_addresses(&routes.member_receivers),
            cross_zone_receivers: snapshot.peer_addresses(&routes.cross_zone_receivers),
        }
    }

    /// Updates the instances that share the rate limits of servers.
    fn set_limit_members(&self, listed: &[(InstanceId, ZoneName)], live: &HashSet<InstanceId>) {
        let gateway = &self.gateway;
        let names = listed.iter().map(|(name, _)| name);
        // An instance that has just started does not know yet whether it is alone.
        let knows_members = !listed.is_empty() || gateway.now() >= LIVENESS_GRACE;
        let members = LimitMembers {
            own: knows_members.then(|| gateway.settings.instance.clone()),
            live: names.filter(|name| live.contains(*name)).cloned().collect(),
            listed: listed.len() + 1,
        };
        gateway
            .load_balancer
            .borrow_mut()
            .set_limit_members(members);
    }

    /// Sends the instance's own load notes until the process ends.
    pub async fn send_own_notes(self: Rc<Self>) {
        let outbox = &self.gateway.outbox;
        loop {
            let has_updates = timeout(NOTE_INTERVAL, outbox.wait()).await.is_ok();
            if has_updates {
                let receivers = self.routes.borrow().own_receivers.len();
                sleep(batch_delay(receivers)).await;
            }
            let note = self.note(outbox.take());
            self.queue_forward(&note);
            let receivers = self.routes.borrow().own_receivers.clone();
            self.send(&NoteBundle::new(vec![note]), &receivers).await;
        }
    }

    /// Forwards notes to members of the zone until the process ends.
    pub async fn forward_to_members(self: Rc<Self>) {
        loop {
            self.pending_for_members.added().await;
            sleep(MEMBERS_INTERVAL).await;
            let receivers = self.routes.borrow().member_receivers.clone();
            for bundle in self.pending_for_members.take() {
                self.send(&bundle, &receivers).await;
            }
        }
    }

    /// Forwards notes of the zone to other zones until the process ends.
    pub async fn forward_to_other_zones(self: Rc<Self>) {
        loop {
            self.pending_for_other_zones.added().await;
            sleep(CROSS_ZONE_INTERVAL).await;
            let receivers = self.routes.borrow().cross_zone_receivers.clone();
            for bundle in self.pending_for_other_zones.take() {
                self.send(&bundle, &receivers).await;
            }
        }
    }

    /// Receives and applies load notes until the process ends.
    pub async fn receive(self: Rc<Self>) {
        let log = &self.gateway.log;
        let mut last_received: HashMap<InstanceId, (BootId, u32)> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.gateway.peer_socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // An unreachable peer shows up as a socket error.
                    debug!(log, "datagram not received"; "cause" => %error);
                    continue;
                }
            };
            let datagram = &buffer[..length];
            if let Some(message) = PermitMessage::decode(datagram) {
                permits::on_message(&self.gateway, message, from).await;
                continue;
            }
            if let Some(message) = OriginMessage::decode(datagram) {
                origins::on_message(&self.gateway, message, from).await;
                continue;
            }
            if let Some(message) = UseMessage::decode(datagram) {
                team_use::on_message(&self.gateway, message, from).await;
                continue;
            }
            let Some(bundle) = NoteBundle::decode(datagram) else {
                self.gateway.metrics.count_ignored_datagram();
                debug!(log, "notes ignored"; "from" => %from);
                continue;
            };
            for note in bundle.notes {
                self.on_note(&mut last_received, note, from).await;
            }
        }
    }

    /// Applies one note unless a newer one of the same instance arrived before.
    async fn on_note(
        &self,
        last_received: &mut HashMap<InstanceId, (BootId, u32)>,
        note: LoadNote,
        from: SocketAddr,
    ) {
        let gateway = &self.gateway;
        if note.sender == gateway.settings.instance {
            return;
        }
        match last_received.get(&note.sender) {
            Some(&(boot, sequence)) if boot == note.boot && sequence >= note.sequence => return,
            Some(&(boot, _)) if boot == note.boot => {}
            _ => debug!(gateway.log, "peer heard"; "peer" => %note.sender, "from" => %from,
                "generation" => note.generation),
        }
        last_received.insert(note.sender.clone(), (note.boot, note.sequence));
        let now = gateway.now();
        gateway.traffic.on_note(now, &note);
        gateway.load_balancer.borrow_mut().on_load_note(now, &note);
        gateway.on_peer_paths(now, &note);
        gateway.on_peer_limits(now, &note.limits);
        gateway.on_peer_parts(&note.parts);
        origins::on_peer_versions(gateway, &note.versions).await;
        self.queue_forward(&note);
    }

    /// Queues a note for the instances to which this one forwards it.
    fn queue_forward(&self, note: &LoadNote) {
        let routes = self.routes.borrow();
        if !routes.member_receivers.is_empty() {
            self.pending_for_members.add(note.clone());
        }
        if !routes.cross_zone_receivers.is_empty() && note.zone == self.gateway.settings.zone {
            self.pending_for_other_zones.add(note.clone());
        }
    }

    async fn send(&self, bundle: &NoteBundle, receivers: &[SocketAddr]) {
        let log = &self.gateway.log;
        let bytes = match bundle.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                info!(log, "notes not encoded"; "cause" => %error);
                return;
            }
        };
        for receiver in receivers {
            if let Err(error) = self.gateway.peer_socket.send_to(&bytes, receiver).await {
                debug!(log, "notes not sent"; "peer" => %receiver, "cause" => %error);
            }
        }
    }

    /// Builds a load note from the current state.
    fn note(&self, pending: PendingUpdates) -> LoadNote {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let gateway = &self.gateway;
        let snapshot = gateway.snapshot();
        let parts = gateway.take_part_reports();
        let paths = gateway.path_report();
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        LoadNote {
            sender: gateway.settings.instance.clone(),
            zone: gateway.settings.zone.clone(),
            boot: self.boot,
            sequence,
            generation: snapshot.config.as_ref().map_or(0, |c| c.generation()),
            store_versions: snapshot.store_versions,
            open_prefills: load_balancer.open_prefills(),
            sent_prefixes: pending.sent_prefixes,
            running: load_balancer.own_running(),
            strikes: Vec::new(),
            limits: load_balancer.take_limit_reports(gateway.now()),
            parts,
            versions: gateway.origins.report(),
            paths,
        }
    }
}

/// Reports the engines' demand to the control thread until the process ends.
pub async fn report_demand(gateway: Rc<Gateway>) {
    loop {
        sleep(DEMAND_INTERVAL).await;
        let mut load_balancer = gateway.load_balancer.borrow_mut();
        let engine_use = load_balancer.take_engine_use(gateway.now());
        gateway.traffic.set_engine_use(engine_use);
        gateway
            .traffic
            .set_demand(load_balancer.demand(gateway.now()));
        gateway
            .traffic
            .set_limited_servers(load_balancer.limited_servers());
        gateway.origins.expire(gateway.now());
    }
}
