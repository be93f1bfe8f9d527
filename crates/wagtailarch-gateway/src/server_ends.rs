//! Watches servers with open responses that end with their connections, and decides whether such a
//! response was whole.

use std::{
    cell::{Cell, RefCell},
    rc::{Rc, Weak},
    time::Duration,
};

use indexmap::IndexMap;
use slog::info;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{sleep, timeout},
};
use wagtailarch_dispatch::{ServerEndpoint, ServerProcess};
use wagtailarch_traffic::{ConnectionEnd, EndVerdict, PortState, ServerLife};

use crate::{backend_client::CONNECT_LIMIT, connection::open, gateway::Gateway};

/// Interval between probes of a server that leaves.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a probe that was accepted is closed if its process has just ended.
const LISTENER_TIME: Duration = Duration::from_millis(20);
/// Number of probes that are accepted and closed until the process is taken to go on; it may close
/// connections beyond its limit.
const MAX_CLOSED_PROBES: u32 = 3;
/// Interval between looks at an undecided end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Servers with open responses that end with their connections.
#[derive(Debug, Default)]
pub struct ServerEnds {
    watched: RefCell<IndexMap<ServerProcess, Weak<ServerWatch>>>,
}

/// One start of a server while it has such responses.
#[derive(Debug)]
struct ServerWatch {
    gateway: Rc<Gateway>,
    server: ServerEndpoint,
    life: RefCell<ServerLife>,
}

/// Keeps a server watched until a response of it has ended or is given up.
#[derive(Debug)]
pub struct WatchedResponse {
    watch: Rc<ServerWatch>,
    has_ended: Cell<bool>,
}

impl WatchedResponse {
    /// Watches the server of a response whose head has just arrived.
    pub fn new(gateway: &Rc<Gateway>, server: &ServerEndpoint) -> Self {
        let watch = watch(gateway, server);
        let mut life = watch.life.borrow_mut();
        life.on_opened();
        life.on_heard(gateway.now());
        drop(life);
        Self {
            watch,
            has_ended: Cell::new(false),
        }
    }

    /// Records that data of the response arrived.
    pub fn on_heard(&self) {
        let now = self.watch.gateway.now();
        self.watch.life.borrow_mut().on_heard(now);
    }

    /// Returns whether the response was whole when its connection ended, which is decided within
    /// `limit`.
    pub async fn was_whole(&self, limit: Duration) -> bool {
        let ServerWatch {
            gateway,
            server,
            life,
        } = self.watch.as_ref();
        self.has_ended.set(true);
        let ended_at = gateway.now();
        let end = life.borrow_mut().on_ended(ended_at);
        match probe(server).await {
            PortState::Open => return !is_replaced(gateway, server),
            PortState::Unreachable => return true,
            PortState::Closed => {}
        }
        let decided = timeout(limit, self.watch.outlives(end)).await;
        let is_whole = decided.unwrap_or(false);
        let departure = gateway.departure(server);
        info!(gateway.log, "response ended by a closed port"; "server" => %server.id,
            "whole" => is_whole, "leaving" => departure.is_some(),
            "removed" => departure.is_some_and(|departure| departure.removed_at.is_some()),
            "decided_ms" => (gateway.now() - ended_at).as_millis() as u64);
        is_whole
    }
}

impl Drop for WatchedResponse {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            self.watch.life.borrow_mut().on_given_up();
        }
    }
}

impl ServerWatch {
    /// Waits for evidence whether the process went on after it had ended a connection.
    async fn outlives(&self, end: ConnectionEnd) -> bool {
        let heartbeat_interval = self.gateway.settings.heartbeat_interval();
        loop {
            let departure = self.gateway.departure(&self.server);
            let now = self.gateway.now();
            let verdict = {
                let life = self.life.borrow();
                life.verdict(now, end, departure.as_ref(), heartbeat_interval)
            };
            match verdict {
                EndVerdict::Whole => return true,
                EndVerdict::Broken => return false,
                EndVerdict::Undecided => sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Returns the watch of a server, which is started if there is none.
fn watch(gateway: &Rc<Gateway>, server: &ServerEndpoint) -> Rc<ServerWatch> {
    let process = server.process();
    let mut watched = gateway.server_ends.watched.borrow_mut();
    if let Some(watch) = watched.get(&process).and_then(Weak::upgrade) {
        return watch;
    }
    watched.retain(|_, watch| watch.strong_count() > 0);
    let watch = Rc::new(ServerWatch {
        gateway: Rc::clone(gateway),
        server: server.clone(),
        life: RefCell::default(),
    });
    watched.insert(process, Rc::downgrade(&watch));
    spawn_local(probe_while_leaving(Rc::downgrade(&watch)));
    watch
}

/// Probes a server while it leaves and has open responses.
async fn probe_while_leaving(watch: Weak<ServerWatch>) {
    loop {
        let Some(watched) = watch.upgrade() else {
            return;
        };
        if watched.gateway.departure(&watched.server).is_some() {
            let port = connect_once(&watched.server).await;
            let now = watched.gateway.now();
            watched.life.borrow_mut().on_probe(now, port.state());
        }
        drop(watched);
        sleep(PROBE_INTERVAL).await;
    }
}

/// A connection attempt to a server.
enum Probe {
    Accepted(TcpStream),
    Refused,
    /// The connection was reset while it was being opened.
    Reset,
    Unanswered,
}

impl Probe {
    const fn state(&self) -> PortState {
        match self {
            Self::Accepted(_) | Self::Reset => PortState::Open,
            Self::Refused => PortState::Closed,
            Self::Unanswered => PortState::Unreachable,
        }
    }
}

async fn connect_once(server: &ServerEndpoint) -> Probe {
    match open(server.address, CONNECT_LIMIT).await {
        Ok(stream) => Probe::Accepted(stream),
        Err(error) if error.is_refused() => Probe::Refused,
        Err(error) if error.is_reset() => Probe::Reset,
        Err(_) => Probe::Unanswered,
    }
}

/// Connects to a server after the end of a connection.
///
/// A process that ends may close its connections before its listener, so that a connection is still
/// accepted and then closed.
async fn probe(server: &ServerEndpoint) -> PortState {
    for _ in 0..MAX_CLOSED_PROBES {
        match connect_once(server).await {
            Probe::Accepted(stream) => {
                if timeout(LISTENER_TIME, stream.readable()).await.is_err() {
                    return PortState::Open;
                }
            }
            Probe::Refused => return PortState::Closed,
            Probe::Reset => {}
            Probe::Unanswered => return PortState::Unreachable,
        }
        sleep(LISTENER_TIME).await;
    }
    PortState::Open
}

/// Returns whether another process has registered at the address of a server after it.
fn is_replaced(gateway: &Gateway, server: &ServerEndpoint) -> bool {
    let process = server.process();
    let snapshot = gateway.snapshot();
    // The servers are in the order in which they registered.
    let mut at_address = snapshot.servers.iter().rev();
    let newest = at_address.find(|other| other.address == server.address);
    newest.is_some_and(|newest| newest.process() != process)
}
