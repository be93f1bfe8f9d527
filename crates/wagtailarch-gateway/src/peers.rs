//! Datagrams between entry instances.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slog::{debug, info};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};
use wagtailarch_dispatch::NoteRoutes;
use wagtailarch_types::{BootId, InstanceId};
use wagtailarch_wire::load_note::{LoadNote, NoteBundle};

use crate::{
    gateway::Gateway,
    outbox::{HEARD_FROM, REPEAT, Untold, gather},
    pending_notes::PendingNotes,
    snapshot::Snapshot,
};

/// Interval at which the control thread is told what is asked of the engines.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Greatest size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Interval at which a relay passes notes on to the members of its zone.
const ZONE_INTERVAL: Duration = Duration::from_millis(60);
/// Interval at which a relay passes the notes of its zone on to other zones, whose bytes are priced.
const FOREIGN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the receivers of notes are determined.
const ROUTES_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while no peer is known.
const FIRST_ROUTES_INTERVAL: Duration = Duration::from_millis(200);

/// Sends and receives notes.
#[derive(Debug)]
pub struct Notes {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    boot: BootId,
    /// Number of the last note; it goes on when a task starts again after a panic.
    sequence: Cell<u32>,
    routes: RefCell<Routes>,
    /// Notes that members of the zone that have no other source get.
    for_zone: PendingNotes,
    /// Notes of the own zone that relays of other zones get.
    for_foreign: PendingNotes,
}

/// Addresses of the receivers of notes.
#[derive(Debug, Default)]
struct Routes {
    own: Vec<SocketAddr>,
    followers: Vec<SocketAddr>,
    foreign: Vec<SocketAddr>,
}

impl Notes {
    /// Creates the notes of an instance that has no receivers yet.
    pub fn new(gateway: Rc<Gateway>, socket: UdpSocket, boot: BootId) -> Self {
        Self {
            gateway,
            socket,
            boot,
            sequence: Cell::new(0),
            routes: RefCell::default(),
            for_zone: PendingNotes::default(),
            for_foreign: PendingNotes::default(),
        }
    }

    /// Determines the receivers again and again until the process ends.
    pub async fn keep_routes(self: Rc<Self>) {
        loop {
            let routes = self.present_routes();
            let known = !routes.own.is_empty();
            *self.routes.borrow_mut() = routes;
            let pause = if known {
                ROUTES_INTERVAL
            } else {
                FIRST_ROUTES_INTERVAL
            };
            sleep(pause).await;
        }
    }

    fn present_routes(&self) -> Routes {
        let gateway = &self.gateway;
        let snapshot = gateway.snapshot();
        let zone = &gateway.settings.zone;
        let now = gateway.now();
        let peers = snapshot.peers.iter();
        let peers: Vec<_> = peers
            .map(|peer| (peer.name.clone(), peer.zone.clone()))
            .collect();
        let heard: HashSet<_> = match now >= HEARD_FROM {
            true => gateway
                .traffic
                .live_peers(now)
                .into_iter()
                .map(|(name, _)| name)
                .collect(),
            false => peers.iter().map(|(name, _)| name.clone()).collect(),
        };
        let routes = NoteRoutes::new(&gateway.settings.instance, zone, &peers, &heard);
        Routes {
            own: addresses(&snapshot, &routes.own_receivers),
            followers: addresses(&snapshot, &routes.member_receivers),
            foreign: addresses(&snapshot, &routes.cross_zone_receivers),
        }
    }

    /// Tells peers of prompts, running requests, news and strikes until the process ends.
    pub async fn tell(self: Rc<Self>) {
        let outbox = &self.gateway.outbox;
        loop {
            let woken = timeout(REPEAT, outbox.woken()).await.is_ok();
            if woken {
                let receivers = self.routes.borrow().own.len();
                sleep(gather(receivers)).await;
            }
            let note = self.note(outbox.take());
            self.pass_on(&note);
            let receivers = self.routes.borrow().own.clone();
            self.send(&NoteBundle::new(vec![note]), &receivers).await;
        }
    }

    /// Passes on notes of others to members of the zone until the process ends.
    pub async fn tell_followers(self: Rc<Self>) {
        loop {
            self.for_zone.added().await;
            sleep(ZONE_INTERVAL).await;
            let receivers = self.routes.borrow().followers.clone();
            for bundle in self.for_zone.take() {
                self.send(&bundle, &receivers).await;
            }
        }
    }

    /// Passes on notes of the zone to other zones until the process ends.
    pub async fn tell_foreign(self: Rc<Self>) {
        loop {
            self.for_foreign.added().await;
            sleep(FOREIGN_INTERVAL).await;
            let receivers = self.routes.borrow().foreign.clone();
            for bundle in self.for_foreign.take() {
                self.send(&bundle, &receivers).await;
            }
        }
    }

    /// Takes over what peers tell until the process ends.
    pub async fn hear(self: Rc<Self>) {
        let log = &self.gateway.log;
        let mut last: HashMap<InstanceId, (BootId, u32)> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    // An unreachable peer shows as an error of the socket.
                    debug!(log, "datagram not received"; "cause" => %error);
                    continue;
                }
            };
            let Some(bundle) = NoteBundle::decode(&buffer[..length]) else {
                debug!(log, "notes ignored"; "from" => %from);
                continue;
            };
            for note in bundle.notes {
                self.on_note(&mut last, note, from);
            }
        }
    }

    /// Takes over one note; a note that was overtaken by a newer one is ignored.
    fn on_note(
        &self,
        last: &mut HashMap<InstanceId, (BootId, u32)>,
        note: LoadNote,
        from: SocketAddr,
    ) {
        let gateway = &self.gateway;
        if note.sender == gateway.settings.instance {
            return;
        }
        match last.get(&note.sender) {
            Some(&(boot, sequence)) if boot == note.boot && sequence >= note.sequence => return,
            Some(&(boot, _)) if boot == note.boot => {}
            _ => debug!(gateway.log, "peer heard"; "peer" => %note.sender, "from" => %from,
                "generation" => note.generation),
        }
        last.insert(note.sender.clone(), (note.boot, note.sequence));
        let now = gateway.now();
        gateway.traffic.on_note(now, &note);
        gateway.board.borrow_mut().on_load_note(now, &note);
        for strike in &note.strikes {
            gateway.on_peer_strike(strike.clone());
        }
        self.pass_on(&note);
    }

    /// Queues a note for those who get it from this instance.
    fn pass_on(&self, note: &LoadNote) {
        let routes = self.routes.borrow();
        if !routes.followers.is_empty() {
            self.for_zone.add(note.clone());
        }
        if !routes.foreign.is_empty() && note.zone == self.gateway.settings.zone {
            self.for_foreign.add(note.clone());
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
            if let Err(error) = self.socket.send_to(&bytes, receiver).await {
                debug!(log, "notes not sent"; "peer" => %receiver, "cause" => %error);
            }
        }
    }

    /// Builds a note with the present state.
    fn note(&self, untold: Untold) -> LoadNote {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        let gateway = &self.gateway;
        let snapshot = gateway.snapshot();
        let board = gateway.board.borrow();
        LoadNote {
            sender: gateway.settings.instance.clone(),
            zone: gateway.settings.zone.clone(),
            boot: self.boot,
            sequence,
            generation: snapshot.config.as_ref().map_or(0, |c| c.generation()),
            store_versions: snapshot.news,
            open_prefills: board.open_prefills(),
            sent_prefixes: untold.sent_prefixes,
            running: board.own_running(),
            strikes: untold.strikes,
        }
    }
}

/// Returns the addresses of instances.
fn addresses(snapshot: &Snapshot, names: &[InstanceId]) -> Vec<SocketAddr> {
    let peers = snapshot.peers.iter();
    let named = peers.filter(|peer| names.contains(&peer.name));
    named.map(|peer| peer.address).collect()
}

/// Tells the control thread what is asked of the engines until the process ends.
pub async fn tell_demand(gateway: Rc<Gateway>) {
    loop {
        sleep(DEMAND_INTERVAL).await;
        let demand = gateway.board.borrow().demand(gateway.now());
        gateway.traffic.set_demand(demand);
    }
}
