//! The registrations of backend servers.

use std::sync::Arc;

use slog::{debug, info, warn};
use tokio::sync::watch;
use wagtailarch_adapter::{Kind, StoreObject, decode_server};
use wagtailarch_dispatch::{BackendServer, Change, Membership};
use wagtailarch_types::InstanceId;

use crate::{
    control::{
        ControlContext, publish,
        watcher::{Seen, Watcher},
    },
    snapshot::Snapshot,
};

/// Follows the registrations and publishes the usable servers after each change.
pub async fn watch_servers(context: ControlContext, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let mut watcher = Watcher::new(Kind::Servers, context.clone());
    let mut membership = Membership::default();
    loop {
        let now = context.epoch.elapsed();
        let due = membership.next_removal().map(|at| at.saturating_sub(now));
        let seen = watcher.next(due).await;
        let now = context.epoch.elapsed();
        let mut changed = false;
        match seen {
            Seen::Lost => membership.on_store_lost(),
            Seen::Listed(objects) => {
                let servers = objects.iter().filter_map(|object| decode(&context, object));
                let changes = membership.on_list(now, servers.collect());
                changed = true;
                for (id, change) in changes {
                    report(&context, &id, change);
                }
            }
            Seen::Changed(changes) => {
                for (object, deleted) in changes {
                    let server = match deleted {
                        true => None,
                        false => decode(&context, &object),
                    };
                    let change = match server {
                        Some(server) => membership.on_registered(server),
                        None => membership.on_removed(now, &object.name),
                    };
                    changed |= change != Change::Unchanged;
                    report(&context, &object.name, change);
                }
            }
        }
        for id in membership.remove_missing(now) {
            changed = true;
            report(&context, &id, Change::Removed);
        }
        if changed {
            let servers: Vec<_> = membership.usable().cloned().collect();
            publish(&publisher, |snapshot| {
                snapshot.servers = Arc::new(servers);
                snapshot.servers_known = true;
                snapshot.news.servers = watcher.news();
            });
        }
    }
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

fn report(context: &ControlContext, id: &InstanceId, change: Change) {
    let event = match change {
        Change::Unchanged => return,
        Change::Added => "server added",
        Change::Updated => "server updated",
        Change::Leaving => "server leaving",
        Change::Missing => "server missing",
        Change::Removed => "server removed",
        Change::Outdated => {
            debug!(context.log, "outdated registration ignored"; "server" => %id);
            return;
        }
    };
    info!(context.log, "registry changed"; "server" => %id, "change" => event);
}
