//! State and counters of a link.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

/// A link, shared by its tasks and the control API.
#[derive(Debug)]
pub(super) struct Link {
    /// Name in the control API.
    pub(super) name: SmolStr,
    /// Address that the link listens on.
    pub(super) address: SocketAddr,
    /// Address that the link forwards to.
    pub(super) target: SocketAddr,
    state: watch::Sender<LinkState>,
    /// Number of datagrams or stream chunks forwarded.
    pub(super) forwarded: AtomicU64,
    /// Number of datagrams dropped and connections that began during a cut, failed or were reset.
    pub(super) dropped: AtomicU64,
}

/// Cut, delay and resets of a link.
#[derive(Debug, Clone, Default)]
struct LinkState {
    /// Cut in effect.
    cut: Option<CutScope>,
    /// Delay of each direction.
    delay: Duration,
    /// Number of resets so far; each resets all open connections.
    resets: u64,
}

/// Direction of data on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the source to the target of the link.
    ToTarget,
    /// From the target to the source.
    ToSource,
}

/// Traffic that a cut affects.
#[derive(Debug, Clone)]
struct CutScope {
    /// Sources that the cut affects; empty for all.
    from: Vec<SocketAddr>,
    /// Whether new TCP connections are closed immediately; otherwise they hang.
    refuse: bool,
    /// The only direction that is cut; `None` for both.
    only: Option<Direction>,
}

impl CutScope {
    /// Returns whether the cut affects a source.
    fn includes(&self, source: SocketAddr) -> bool {
        self.from.is_empty() || self.from.contains(&source)
    }

    /// Returns whether the cut blocks a direction of the traffic of a source.
    fn blocks(&self, source: SocketAddr, direction: Direction) -> bool {
        self.includes(source) && self.only.is_none_or(|only| only == direction)
    }
}

impl Link {
    pub(super) fn new(name: SmolStr, address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            name,
            address,
            target,
            state: watch::Sender::new(LinkState::default()),
            forwarded: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    pub(super) fn cut(&self, cut: &Cut) {
        let scope = CutScope {
            from: cut.from.clone(),
            refuse: cut.refuse,
            only: cut.only,
        };
        self.state.send_modify(|state| state.cut = Some(scope));
    }

    pub(super) fn heal(&self) {
        self.state.send_modify(|state| state.cut = None);
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    pub(super) fn delay(&self) -> Duration {
        self.state.borrow().delay
    }

    /// Returns whether a direction of the traffic of `source` is cut.
    pub(super) fn is_blocked_for(&self, source: SocketAddr, direction: Direction) -> bool {
        let state = self.state.borrow();
        let cut = state.cut.as_ref();
        cut.is_some_and(|scope| scope.blocks(source, direction))
    }

    /// Returns whether a cut is in effect that refuses new connections.
    pub(super) fn refuses_connections(&self) -> bool {
        let state = self.state.borrow();
        state.cut.as_ref().is_some_and(|scope| scope.refuse)
    }

    /// Resets all connections.
    pub(super) fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Waits for the next reset.
    pub(super) async fn wait_for_reset(&self) {
        let mut receiver = self.state.subscribe();
        let previous_resets = receiver.borrow().resets;
        // The link owns the sender of the state, so waiting cannot fail while it exists.
        let _ = receiver
            .wait_for(|state| state.resets > previous_resets)
            .await;
    }

    /// Waits until a direction of the traffic of `source` is not cut.
    pub(super) async fn wait_until_open(&self, source: SocketAddr, direction: Direction) {
        let mut receiver = self.state.subscribe();
        let is_open = |state: &LinkState| {
            !state
                .cut
                .as_ref()
                .is_some_and(|scope| scope.blocks(source, direction))
        };
        // The link owns the sender of the state, so waiting cannot fail while it exists.
        let _ = receiver.wait_for(is_open).await;
    }

    /// Adds one to a counter.
    pub(super) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn counters(&self) -> LinkCounters {
        LinkCounters {
            name: self.name.clone(),
            address: self.address,
            cut: self.state.borrow().cut.is_some(),
            forwarded: self.forwarded.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

/// Body of the call that cuts links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// Names of the links; empty for all links.
    pub links: Vec<SmolStr>,
    /// Sources that the cut affects; empty for all.
    pub from: Vec<SocketAddr>,
    /// Whether new TCP connections are closed immediately; otherwise they hang.
    pub refuse: bool,
    /// The only direction that is cut; absent for both.
    pub only: Option<Direction>,
}

/// Body of the call that heals links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Heal {
    /// Names of the links; empty for all links.
    pub links: Vec<SmolStr>,
}

/// Body of the call that resets the connections of links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reset {
    /// Names of the links; empty for all links.
    pub links: Vec<SmolStr>,
}

/// Body of the call that delays links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Names of the links; empty for all links.
    pub links: Vec<SmolStr>,
    /// Delay of each direction.
    pub ms: u64,
}

/// Counters of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounters {
    /// Name of the link.
    pub name: SmolStr,
    /// Address that the link listens on.
    pub address: SocketAddr,
    /// Whether the link is cut, for some sources or all.
    pub cut: bool,
    /// Number of datagrams or chunks of TCP streams forwarded in both directions.
    pub forwarded: u64,
    /// Number of datagrams dropped and TCP connections that began during a cut, failed or were
    /// reset.
    pub dropped: u64,
}
