//! State and counters of one link.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::watch;

/// State and counters of one link, shared by its tasks and the control API.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) name: SmolStr,
    /// Address that the link listens on.
    pub(super) address: SocketAddr,
    /// Address that the link forwards to.
    pub(super) target: SocketAddr,
    condition: watch::Sender<Condition>,
    pub(super) forwarded: AtomicU64,
    pub(super) dropped: AtomicU64,
}

/// What the link does with data now.
#[derive(Debug, Clone, Default)]
struct Condition {
    cut: Option<Scope>,
    delay: Duration,
    /// Number of resets so far; connections that began before the last one are reset.
    resets: u64,
}

/// Direction of data on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the sender to the target of the link.
    ToTarget,
    /// From the target back.
    ToSource,
}

#[derive(Debug, Clone)]
struct Scope {
    /// Senders that the cut separates from the target; empty for all.
    from: Vec<SocketAddr>,
    refuse: bool,
    only: Option<Direction>,
}

impl Scope {
    fn holds_for(&self, source: SocketAddr) -> bool {
        self.from.is_empty() || self.from.contains(&source)
    }

    fn stops(&self, source: SocketAddr, direction: Direction) -> bool {
        self.holds_for(source) && self.only.is_none_or(|only| only == direction)
    }
}

impl Link {
    pub(super) fn new(name: SmolStr, address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            name,
            address,
            target,
            condition: watch::Sender::new(Condition::default()),
            forwarded: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    pub(super) fn cut(&self, cut: &Cut) {
        let scope = Scope {
            from: cut.from.clone(),
            refuse: cut.refuse,
            only: cut.only,
        };
        self.condition.send_modify(|c| c.cut = Some(scope));
    }

    pub(super) fn heal(&self) {
        self.condition.send_modify(|c| c.cut = None);
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.condition.send_modify(|c| c.delay = delay);
    }

    pub(super) fn delay(&self) -> Duration {
        self.condition.borrow().delay
    }

    /// Returns whether no data of `source` passes in a direction.
    pub(super) fn is_cut_for(&self, source: SocketAddr, direction: Direction) -> bool {
        let condition = self.condition.borrow();
        let cut = condition.cut.as_ref();
        cut.is_some_and(|scope| scope.stops(source, direction))
    }

    /// Returns whether new connections are refused while the link is cut.
    pub(super) fn refuses(&self) -> bool {
        let condition = self.condition.borrow();
        condition.cut.as_ref().is_some_and(|scope| scope.refuse)
    }

    /// Resets all connections.
    pub(super) fn reset(&self) {
        self.condition.send_modify(|c| c.resets += 1);
    }

    /// Waits for the next reset.
    pub(super) async fn reset_done(&self) {
        let mut receiver = self.condition.subscribe();
        let before = receiver.borrow().resets;
        // Fails only once the link is gone, when nothing is left to reset.
        let _ = receiver.wait_for(|c| c.resets > before).await;
    }

    /// Waits until data of `source` passes in a direction.
    pub(super) async fn passable(&self, source: SocketAddr, direction: Direction) {
        let mut receiver = self.condition.subscribe();
        let open = |c: &Condition| !c.cut.as_ref().is_some_and(|s| s.stops(source, direction));
        // Fails only once the link is gone, when nothing is left to forward.
        let _ = receiver.wait_for(open).await;
    }

    pub(super) fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn counters(&self) -> LinkCounters {
        LinkCounters {
            name: self.name.clone(),
            address: self.address,
            cut: self.condition.borrow().cut.is_some(),
            forwarded: self.forwarded.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

/// Body of the call that cuts links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cut {
    /// Names; empty for all links.
    pub links: Vec<SmolStr>,
    /// Senders that the cut separates from the target; empty for all.
    pub from: Vec<SocketAddr>,
    /// Whether new TCP connections are closed at once; otherwise they hang.
    pub refuse: bool,
    /// The only direction that is cut; absent for both.
    pub only: Option<Direction>,
}

/// Body of the call that heals links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Heal {
    /// Names; empty for all links.
    pub links: Vec<SmolStr>,
}

/// Body of the call that resets the connections of links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reset {
    /// Names; empty for all links.
    pub links: Vec<SmolStr>,
}

/// Body of the call that delays links.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Names; empty for all links.
    pub links: Vec<SmolStr>,
    /// Delay of each direction.
    pub ms: u64,
}

/// Counters of one link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkCounters {
    /// Name.
    pub name: SmolStr,
    /// Address that the link listens on.
    pub address: SocketAddr,
    /// Whether the link is cut, for some senders or all.
    pub cut: bool,
    /// Datagrams, or pieces of TCP streams, passed on in both directions.
    pub forwarded: u64,
    /// Datagrams dropped and connections that were given up.
    pub dropped: u64,
}
