//! Watches the registrations of backend servers.

use std::{collections::HashSet, sync::Arc, time::Duration};

use slog::{debug, info, warn};
use tokio::{sync::watch, time::sleep};
use wagtailarch_adapter::{ObjectKind, StoreObject, decode_server};
use wagtailarch_dispatch::{
    BackendServer, Departures, Membership, MembershipChange, ReadLimits, ServerProcess, StoreLoss,
};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::relay::RelayKind;

use crate::{
    control::{
        ControlContext, publish,
        sources::Sources,
        watcher::{WatchUpdate, Watcher},
    },
    snapshot::Snapshot,
};

/// Maximum number of invalid registrations whose names are kept.
const MAX_IGNORED: usize = 1_024;

/// Watches the registrations and publishes the usable servers after each change.
pub async fn watch_servers(sources: Sources, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let context = sources.context.clone();
    let limits = context.read_limits(context.leaving_bound);
    let mut watcher = Watcher::new(ObjectKind::Servers, RelayKind::Servers, limits, sources);
    let mut registry = Registry::default();
    let mut ignored = IgnoredRegistrations::default();
    let mut listed_at = None;
    loop {
        let newest_change = watcher.newest_change();
        let update = {
            let mut next = std::pin::pin!(watcher.next());
            // Removes missing servers on time, even while the watch waits or is paused.
            loop {
                tokio::select! {
                    update = next.as_mut() => break update,
                    () = removal_due(&context, &registry.membership) => {
                        registry.remove_missing(&context);
                        publish_servers(&publisher, &registry, newest_change);
                    }
                    leaving = context.traffic.take_leaving() => {
                        for process in leaving {
                            registry.on_stated_leaving(&context, process);
                        }
                        publish_servers(&publisher, &registry, newest_change);
                    }
                }
            }
        };
        match (&update, watcher.take_ended_loss()) {
            (WatchUpdate::StoreLost { outage_from }, _) => {
                registry.membership.on_store_lost(*outage_from);
            }
            (_, Some(loss)) => keep_missing(&context, &mut registry.membership, loss, &limits),
            (_, None) => {}
        }
        publish_since(&context, &publisher, &update, &mut listed_at);
        if apply_update(&context, &mut registry, &mut ignored, update) {
            publish_servers(&publisher, &registry, watcher.newest_change());
        }
        publisher.send_if_modified(|snapshot| {
            Arc::make_mut(snapshot).servers_read = watcher.read_version();
            // Only the control thread uses it, with the servers that are published already.
            false
        });
    }
}

/// Publishes since when all changes of the servers are known.
///
/// A list does not show servers that came and left before it; changes continue from the version of
/// the last read, also after a loss of the store.
fn publish_since(
    context: &ControlContext,
    publisher: &watch::Sender<Arc<Snapshot>>,
    update: &WatchUpdate,
    listed_at: &mut Option<Duration>,
) {
    let since = match update {
        WatchUpdate::StoreLost { .. } => None,
        WatchUpdate::Listed(_) => {
            *listed_at = Some(context.epoch.elapsed());
            *listed_at
        }
        WatchUpdate::Changed(_) => *listed_at,
    };
    if publisher.borrow().servers_since != since {
        publish(publisher, |snapshot| snapshot.servers_since = since);
    }
}

/// Applies an update of the watch; returns whether the servers have to be published.
fn apply_update(
    context: &ControlContext,
    registry: &mut Registry,
    ignored: &mut IgnoredRegistrations,
    update: WatchUpdate,
) -> bool {
    let now = context.epoch.elapsed();
    match update {
        WatchUpdate::StoreLost { .. } => false,
        WatchUpdate::Listed(objects) => {
            let servers = objects
                .iter()
                .filter_map(|object| ignored.decode(context, object));
            registry.on_list(context, now, servers.collect());
            true
        }
        WatchUpdate::Changed(changes) => {
            let mut changed = false;
            for (object, deleted) in changes {
                let server = match deleted {
                    true => None,
                    false => ignored.decode(context, &object),
                };
                changed |= match server {
                    Some(server) => registry.on_registered(context, now, server),
                    None => registry.on_removed(context, now, &object.name),
                };
            }
            changed
        }
    }
}

/// Keeps servers that miss their registrations after a loss of the store, as long as it allows.
fn keep_missing(
    context: &ControlContext,
    membership: &mut Membership,
    loss: StoreLoss,
    limits: &ReadLimits,
) {
    let now = context.epoch.elapsed();
    let until = membership.on_store_returned(now, loss, limits);
    let gap = now.saturating_sub(loss.proven_at);
    info!(context.log, "missing servers kept"; "outage" => loss.is_outage(now, limits),
        "gap_ms" => gap.as_millis() as u64,
        "kept_ms" => until.saturating_sub(now).as_millis() as u64);
}

/// Waits until a missing server has to be removed.
async fn removal_due(context: &ControlContext, membership: &Membership) {
    match membership.next_removal() {
        Some(at) => sleep(at.saturating_sub(context.epoch.elapsed())).await,
        None => std::future::pending().await,
    }
}

fn publish_servers(
    publisher: &watch::Sender<Arc<Snapshot>>,
    registry: &Registry,
    newest_change: ObjectVersion,
) {
    let servers: Vec<_> = registry.membership.usable().cloned().collect();
    publish(publisher, |snapshot| {
        snapshot.servers = Arc::new(servers);
        snapshot.departures = Arc::clone(&registry.departures);
        snapshot.servers_listed = true;
        snapshot.store_versions.servers = newest_change;
    });
}

/// The servers that may receive requests, and those that leave or have left.
#[derive(Debug, Default)]
struct Registry {
    membership: Membership,
    departures: Arc<Departures>,
}

impl Registry {
    /// Applies a complete list of registrations.
    fn on_list(&mut self, context: &ControlContext, now: Duration, listed: Vec<BackendServer>) {
        let before = self.membership.processes();
        let registered: Vec<_> = listed
            .iter()
            .map(|server| (server.process(), server.heartbeat))
            .collect();
        for (id, change) in self.membership.on_list(now, listed) {
            log_change(context, &id, change);
        }
        for (process, heartbeat) in registered {
            self.record_registration(now, process, heartbeat);
        }
        for process in before {
            if self.membership.process(&process.id).is_none() {
                Arc::make_mut(&mut self.departures).on_removed(now, process);
            }
        }
    }

    /// Applies one registration; returns whether anything has changed.
    fn on_registered(
        &mut self,
        context: &ControlContext,
        now: Duration,
        server: BackendServer,
    ) -> bool {
        let (process, heartbeat) = (server.process(), server.heartbeat);
        let change = self.membership.on_registered(server);
        log_change(context, &process.id, change);
        let departs = change != MembershipChange::Outdated
            && self.record_registration(now, process, heartbeat);
        departs || change != MembershipChange::Unchanged
    }

    /// Applies the removal of a registration; returns whether anything has changed.
    fn on_removed(&mut self, context: &ControlContext, now: Duration, id: &InstanceId) -> bool {
        let process = self.membership.process(id);
        let change = self.membership.on_removed(now, id);
        log_change(context, id, change);
        if change == MembershipChange::Removed
            && let Some(process) = process
        {
            Arc::make_mut(&mut self.departures).on_removed(now, process);
        }
        change != MembershipChange::Unchanged
    }

    /// Records that a response of a server states that it leaves.
    fn on_stated_leaving(&mut self, context: &ControlContext, process: ServerProcess) {
        let now = context.epoch.elapsed();
        Arc::make_mut(&mut self.departures).on_stated_leaving(now, process.clone());
        let id = process.id.clone();
        log_change(context, &id, self.membership.on_stated_leaving(process));
    }

    /// Removes the servers that have not registered again in time.
    fn remove_missing(&mut self, context: &ControlContext) {
        let now = context.epoch.elapsed();
        let before = self.membership.processes();
        let removed = self.membership.remove_missing(now);
        for id in &removed {
            log_change(context, id, MembershipChange::Removed);
        }
        for process in before {
            if removed.contains(&process.id) {
                Arc::make_mut(&mut self.departures).on_removed(now, process);
            }
        }
    }

    fn record_registration(
        &mut self,
        now: Duration,
        process: ServerProcess,
        heartbeat: u64,
    ) -> bool {
        let leaving = self.membership.is_leaving(&process);
        // Most registrations concern servers that stay, for which nothing is copied.
        if !leaving && self.departures.get(&process).is_none() {
            return false;
        }
        Arc::make_mut(&mut self.departures).on_registered(now, process, heartbeat, leaving)
    }
}

/// Registrations that cannot be decoded, of which each is logged once.
#[derive(Debug, Default)]
struct IgnoredRegistrations {
    names: HashSet<InstanceId>,
}

impl IgnoredRegistrations {
    /// Decodes a registration; an invalid one is ignored.
    fn decode(&mut self, context: &ControlContext, object: &StoreObject) -> Option<BackendServer> {
        match decode_server(&object.name, &object.content) {
            Ok(server) => {
                self.names.remove(&object.name);
                Some(server)
            }
            Err(error) => {
                if self.names.len() >= MAX_IGNORED {
                    self.names.clear();
                }
                if self.names.insert(object.name.clone()) {
                    warn!(context.log, "registration ignored"; "server" => %object.name,
                        "version" => object.version, "cause" => %error);
                }
                None
            }
        }
    }
}

fn log_change(context: &ControlContext, id: &InstanceId, change: MembershipChange) {
    let event = match change {
        MembershipChange::Unchanged => return,
        MembershipChange::Added => "server added",
        MembershipChange::Updated => "server updated",
        MembershipChange::Leaving => "server leaving",
        MembershipChange::Missing => "server missing",
        MembershipChange::Removed => "server removed",
        MembershipChange::Outdated => {
            debug!(context.log, "outdated registration ignored"; "server" => %id);
            return;
        }
    };
    info!(context.log, "registry changed"; "server" => %id, "change" => event);
}
