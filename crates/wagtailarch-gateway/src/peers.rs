//! Datagrams between entry instances.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use slog::{debug, info};
use tokio::{net::UdpSocket, time::timeout};
use wagtailarch_types::{BootId, InstanceId};
use wagtailarch_wire::load_note::{LOAD_NOTE_VERSION, LoadNote};

use crate::gateway::Gateway;

/// Time for which a note is held back so that it carries what follows at once.
const GATHER: Duration = Duration::from_millis(3);
/// Time after which a note is sent though nothing has changed; peers forget running requests after two
/// seconds and a silent instance after three and a half.
const REPEAT: Duration = Duration::from_millis(1_000);
/// Greatest size of a datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Prompts whose prefixes are in one note; more are told in the next one, so that a note fits into few
/// packets.
const MAX_SENT_PREFIXES: usize = 24;

/// Tells peers of prompts, running requests and strikes until the process ends.
pub async fn tell_peers(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, boot: BootId) {
    let mut sequence = 0;
    loop {
        let woken = timeout(REPEAT, gateway.tell.notified()).await.is_ok();
        if woken {
            tokio::time::sleep(GATHER).await;
        }
        let running = gateway.board.borrow().own_running();
        let all_running = gateway.board.borrow().running_by_service(gateway.now());
        gateway.traffic.set_running(all_running);
        sequence += 1;
        let snapshot = gateway.snapshot();
        let note = {
            let mut untold = gateway.untold.borrow_mut();
            let count = untold.sent_prefixes.len().min(MAX_SENT_PREFIXES);
            LoadNote {
                version: LOAD_NOTE_VERSION,
                sender: gateway.settings.instance.clone(),
                boot,
                sequence,
                generation: snapshot.config.as_ref().map_or(0, |c| c.generation()),
                open_reads: gateway.board.borrow().open_reads(),
                sent_prefixes: untold.sent_prefixes.drain(..count).collect(),
                running,
                strikes: std::mem::take(&mut untold.strikes),
            }
        };
        if !gateway.untold.borrow().sent_prefixes.is_empty() {
            gateway.tell.notify_one();
        }
        let bytes = match note.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                info!(gateway.log, "note not encoded"; "cause" => %error);
                continue;
            }
        };
        for (name, address) in snapshot.peers.iter() {
            if let Err(error) = socket.send_to(&bytes, *address).await {
                debug!(gateway.log, "note not sent"; "peer" => %name, "cause" => %error);
            }
        }
    }
}

/// Takes over what peers tell until the process ends.
pub async fn hear_peers(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut last: HashMap<InstanceId, (BootId, u32)> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An unreachable peer shows as an error of the socket.
            continue;
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
    gateway.traffic.on_heard(now, &note.sender);
    gateway.board.borrow_mut().on_load_note(now, &note);
    for strike in note.strikes {
        gateway.on_peer_strike(strike);
    }
}
