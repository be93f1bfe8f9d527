//! The registrations of backend servers.

use std::sync::Arc;

use slog::{debug, info, warn};
use tokio::{sync::watch, time::sleep};
use wagtailarch_adapter::{ObjectKind, StoreObject, decode_server};
use wagtailarch_dispatch::{BackendServer, Membership, MembershipChange};
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::relay::RelayKind;

use crate::{
    control::{
        ControlContext, publish,
        sources::Sources,
        watcher::{Seen, Watcher},
    },
    snapshot::Snapshot,
};

/// Follows the registrations and publishes the usable servers after each change.
pub async fn watch_servers(sources: Sources, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let context = sources.context.clone();
    let bound = context.leaving_bound;
    let mut watcher = Watcher::new(ObjectKind::Servers, RelayKind::Servers, bound, sources);
    let mut membership = Membership::default();
    loop {
        let news = watcher.news();
        let seen = {
            let mut next = std::pin::pin!(watcher.next());
            // Missing servers are removed when they are due, however long the watch waits or pauses.
            loop {
                tokio::select! {
                    seen = next.as_mut() => break seen,
                    () = removal_due(&context, &membership) => {
                        remove_missing(&context, &mut membership);
                        publish_servers(&publisher, &membership, news);
                    }
                }
            }
        };
        if take_over(&context, &mut membership, seen) {
            publish_servers(&publisher, &membership, watcher.news());
        }
    }
}

/// Takes over what the watch has seen; returns whether anything has changed.
fn take_over(context: &ControlContext, membership: &mut Membership, seen: Seen) -> bool {
    let now = context.epoch.elapsed();
    match seen {
        Seen::Lost => {
            membership.on_store_lost();
            false
        }
        Seen::Listed(objects) => {
            let servers = objects.iter().filter_map(|object| decode(context, object));
            for (id, change) in membership.on_list(now, servers.collect()) {
                report(context, &id, change);
            }
            true
        }
        Seen::Changed(changes) => {
            let mut changed = false;
            for (object, deleted) in changes {
                let server = match deleted {
                    true => None,
                    false => decode(context, &object),
                };
                let change = match server {
                    Some(server) => membership.on_registered(server),
                    None => membership.on_removed(now, &object.name),
                };
                changed |= change != MembershipChange::Unchanged;
                report(context, &object.name, change);
            }
            changed
        }
    }
}

/// Waits until a missing server is to be removed.
async fn removal_due(context: &ControlContext, membership: &Membership) {
    match membership.next_removal() {
        Some(at) => sleep(at.saturating_sub(context.epoch.elapsed())).await,
        None => std::future::pending().await,
    }
}

fn remove_missing(context: &ControlContext, membership: &mut Membership) {
    for id in membership.remove_missing(context.epoch.elapsed()) {
        report(context, &id, MembershipChange::Removed);
    }
}

fn publish_servers(
    publisher: &watch::Sender<Arc<Snapshot>>,
    membership: &Membership,
    news: ObjectVersion,
) {
    let servers: Vec<_> = membership.usable().cloned().collect();
    publish(publisher, |snapshot| {
        snapshot.servers = Arc::new(servers);
        snapshot.servers_known = true;
        snapshot.news.servers = news;
    });
}

/// Decodes a registration; one that cannot be decoded names no server.
fn decode(context: &ControlContext, object: &StoreObject) -> Option<BackendServer> {
    match decode_server(&object.name, &object.content) {
        Ok(server) => Some(server),
        Err(fault) => {
            warn!(context.log, "registration ignored"; "server" => %object.name,
                "version" => object.version, "cause" => %fault);
            None
        }
    }
}

fn report(context: &ControlContext, id: &InstanceId, change: MembershipChange) {
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
