//! Datagrams between entry instances.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use slog::{debug, info};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};
use wagtailarch_types::{BootId, InstanceId};
use wagtailarch_wire::load_note::{LOAD_NOTE_VERSION, LoadNote};

use crate::{
    gateway::Gateway,
    outbox::{Reach, Untold},
};

/// Interval at which the control thread is told what is asked of the engines.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Greatest size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Tells the peers of one reach of prompts, running requests, news and strikes until the process ends.
pub async fn tell_peers(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, reach: Reach, boot: BootId) {
    let mut sequence = 0;
    loop {
        let outbox = match reach {
            Reach::Zone => &gateway.zone_outbox,
            Reach::Others => &gateway.others_outbox,
        };
        let peers = gateway.snapshot().peers.len();
        let woken = timeout(reach.repeat(peers), outbox.woken()).await.is_ok();
        let snapshot = gateway.snapshot();
        let zone = &gateway.settings.zone;
        let peers = snapshot
            .peers
            .iter()
            .filter(|peer| reach.covers(zone, peer));
        let peers: Vec<_> = peers.collect();
        if woken {
            sleep(reach.gather(peers.len())).await;
        }
        sequence += 1;
        let note = note(&gateway, outbox.take(), boot, sequence);
        let bytes = match note.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                info!(gateway.log, "note not encoded"; "cause" => %error);
                continue;
            }
        };
        for peer in peers {
            if let Err(error) = socket.send_to(&bytes, peer.address).await {
                debug!(gateway.log, "note not sent"; "peer" => %peer.name, "cause" => %error);
            }
        }
    }
}

/// Tells the control thread what is asked of the engines until the process ends.
pub async fn tell_demand(gateway: Rc<Gateway>) {
    loop {
        sleep(DEMAND_INTERVAL).await;
        let demand = gateway.board.borrow().demand(gateway.now());
        gateway.traffic.set_demand(demand);
    }
}

/// Builds a note with the present state.
fn note(gateway: &Gateway, untold: Untold, boot: BootId, sequence: u32) -> LoadNote {
    let snapshot = gateway.snapshot();
    let board = gateway.board.borrow();
    LoadNote {
        version: LOAD_NOTE_VERSION,
        sender: gateway.settings.instance.clone(),
        zone: gateway.settings.zone.clone(),
        boot,
        sequence,
        generation: snapshot.config.as_ref().map_or(0, |c| c.generation()),
        news: snapshot.news,
        open_reads: board.open_reads(),
        sent_prefixes: untold.sent_prefixes,
        running: board.own_running(),
        strikes: untold.strikes,
    }
}

/// Takes over what peers tell until the process ends.
pub async fn hear_peers(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut last: HashMap<InstanceId, (BootId, u32)> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An unreachable peer shows as an error of the socket.
                debug!(gateway.log, "datagram not received"; "cause" => %error);
                continue;
            }
        };
        let Some(note) = LoadNote::decode(&buffer[..length]) else {
            debug!(gateway.log, "note ignored"; "from" => %from);
            continue;
        };
        on_note(&gateway, &mut last, note, from);
    }
}

/// Takes over one note; a note that was overtaken by a newer one is ignored.
fn on_note(
    gateway: &Gateway,
    last: &mut HashMap<InstanceId, (BootId, u32)>,
    note: LoadNote,
    from: SocketAddr,
) {
    match last.get(&note.sender) {
        Some(&(boot, sequence)) if boot == note.boot && sequence >= note.sequence => return,
        Some(&(boot, _)) if boot == note.boot => {}
        _ => info!(gateway.log, "peer heard"; "peer" => %note.sender, "from" => %from,
            "generation" => note.generation),
    }
    last.insert(note.sender.clone(), (note.boot, note.sequence));
    let now = gateway.now();
    gateway.traffic.on_note(now, &note);
    gateway.board.borrow_mut().on_load_note(now, &note);
    for strike in note.strikes {
        gateway.on_peer_strike(strike);
    }
}
