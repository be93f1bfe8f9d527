//! The use of teams: counts of this instance, and the messages between instances and keepers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use slog::{debug, info};
use tokio::time::sleep;
use wagtailarch_control::{UseCounter, UseSums, use_keepers};
use wagtailarch_types::{BootId, DutyKind, InstanceId, ZoneName};
use wagtailarch_wire::team_use::{UseAccepted, UseBody, UseCounts, UseMessage, WindowId};

use crate::{duty_settings::DutySettings, gateway::Gateway, request_context::RequestContext};

/// Interval between two messages to a keeper; what was counted since the last one is lost with an
/// instance.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time besides the lateness of a report after which the counts of a window are dropped.
const KEEP_MARGIN: Duration = Duration::from_secs(10);

/// Sums that the traffic thread joins and the control thread reports; clones share them.
#[derive(Debug, Clone, Default)]
pub struct SharedUse(Arc<Mutex<UseSums>>);

impl SharedUse {
    /// Gives access to the sums.
    pub fn lock(&self) -> MutexGuard<'_, UseSums> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The use of teams as this instance knows it; exists where the settings include the duty.
#[derive(Debug)]
pub struct TeamUse {
    counter: RefCell<UseCounter>,
    sums: SharedUse,
    boot: BootId,
    window: Duration,
    keep: Duration,
}

impl TeamUse {
    /// Creates the state of one start; `None` if use is not reported.
    pub fn new(
        settings: Option<&DutySettings>,
        instance: &InstanceId,
        boot: BootId,
        sums: SharedUse,
    ) -> Option<Self> {
        let settings = settings.filter(|settings| settings.includes(DutyKind::Usage))?;
        Some(Self {
            counter: RefCell::new(UseCounter::new(instance.clone(), boot)),
            sums,
            boot,
            window: settings.usage_window(),
            keep: settings.usage_late() + KEEP_MARGIN,
        })
    }

    fn window_at(&self, now: Duration) -> WindowId {
        (now.as_nanos() / self.window.as_nanos().max(1)) as WindowId
    }
}

/// Returns the time since the start of 1970 by the clock of this machine.
pub fn unix_now() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

/// Returns the keepers for an instance with the given live peers.
pub fn current_keepers(
    own: (&InstanceId, &ZoneName),
    peers: &[(InstanceId, ZoneName)],
) -> Vec<InstanceId> {
    let peers = peers.iter().map(|(name, zone)| (name, zone));
    use_keepers(peers.chain(std::iter::once(own)))
}

/// Counts the request of a context, which began to run `ago`, unless it is counted already.
pub fn count_use(context: &RequestContext, ago: Duration) {
    let gateway = &context.gateway;
    let (Some(team_use), Some(team)) = (&gateway.team_use, &context.team) else {
        return;
    };
    if context.is_use_counted.replace(true) {
        return;
    }
    let window = team_use.window_at(unix_now().saturating_sub(ago));
    if !team_use.counter.borrow_mut().count(window, team) {
        gateway.metrics.count_lost_use(1);
    }
}

/// Sends the counts of this instance to the keepers until the process ends.
pub async fn send_use(gateway: Rc<Gateway>) {
    let Some(team_use) = &gateway.team_use else {
        return std::future::pending().await;
    };
    loop {
        sleep(MESSAGE_INTERVAL).await;
        let now = unix_now();
        let dropped = {
            let mut counter = team_use.counter.borrow_mut();
            let oldest = team_use.window_at(now.saturating_sub(team_use.keep));
            team_use.sums.lock().drop_through(oldest);
            counter.drop_through(oldest)
        };
        if dropped > 0 {
            info!(gateway.log, "use not reported"; "requests" => dropped);
            gateway.metrics.count_lost_use(dropped);
        }
        let settings = &gateway.settings;
        let peers = gateway.traffic.live_peers(gateway.now());
        let keepers = current_keepers((&settings.instance, &settings.zone), &peers);
        team_use.counter.borrow_mut().set_keepers(&keepers);
        let ended = team_use.window_at(now).saturating_sub(1);
        for keeper in keepers {
            let messages = team_use.counter.borrow_mut().messages(&keeper, ended);
            if keeper == settings.instance {
                accept_own(&gateway, team_use, &messages);
                continue;
            }
            let snapshot = gateway.snapshot();
            let address = snapshot.peer_addresses(std::slice::from_ref(&keeper));
            let Some(address) = address.first() else {
                continue;
            };
            for counts in messages {
                let message = UseMessage::new(UseBody::Counts(counts));
                send(&gateway, &message, *address).await;
            }
        }
    }
}

/// Handles a message of another instance.
pub async fn on_message(gateway: &Gateway, message: UseMessage, from: SocketAddr) {
    let Some(team_use) = &gateway.team_use else {
        return;
    };
    let snapshot = gateway.snapshot();
    let mut peers = snapshot.peers.iter();
    if !peers.any(|peer| peer.address.ip() == from.ip()) {
        debug!(gateway.log, "use of teams ignored"; "from" => %from, "cause" => "unknown sender");
        return;
    }
    let reported_through = match &message.body {
        UseBody::Counts(counts) => counts.reported_through,
        UseBody::Accepted(accepted) => accepted.reported_through,
    };
    // A window that has not begun cannot be reported; the clock of its sender is wrong.
    if reported_through > team_use.window_at(unix_now()) {
        info!(gateway.log, "use of teams ignored"; "from" => %from,
            "cause" => "a window in the future is reported");
        return;
    }
    match message.body {
        UseBody::Counts(counts) => {
            if let Some(accepted) = accept(gateway, team_use, &counts) {
                let message = UseMessage::new(UseBody::Accepted(accepted));
                send(gateway, &message, from).await;
            }
        }
        UseBody::Accepted(accepted) => {
            team_use.sums.lock().on_reported(accepted.reported_through);
            team_use.counter.borrow_mut().on_accepted(&accepted);
        }
    }
}

fn accept_own(gateway: &Gateway, team_use: &TeamUse, messages: &[UseCounts]) {
    for counts in messages {
        if let Some(accepted) = accept(gateway, team_use, counts) {
            team_use.counter.borrow_mut().on_accepted(&accepted);
        }
    }
    let reported_through = team_use.sums.lock().reported_through();
    team_use.counter.borrow_mut().on_reported(reported_through);
}

/// Joins counts; returns the acceptance unless there is no room.
fn accept(gateway: &Gateway, team_use: &TeamUse, counts: &UseCounts) -> Option<UseAccepted> {
    let mut sums = team_use.sums.lock();
    if !sums.on_counts(counts, team_use.window_at(unix_now())) {
        info!(gateway.log, "use of teams not accepted"; "peer" => %counts.sender,
            "cause" => "too many counts");
        return None;
    }
    Some(UseAccepted {
        keeper: gateway.settings.instance.clone(),
        boot: team_use.boot,
        number: counts.number,
        reported_through: sums.reported_through(),
    })
}

async fn send(gateway: &Gateway, message: &UseMessage, to: SocketAddr) {
    let sent = match message.encode() {
        Ok(bytes) => gateway.peer_socket.send_to(&bytes, to).await,
        Err(error) => {
            debug!(gateway.log, "use of teams not encoded"; "cause" => %error);
            return;
        }
    };
    if let Err(error) = sent {
        debug!(gateway.log, "use of teams not sent"; "peer" => %to, "cause" => %error);
    }
}
