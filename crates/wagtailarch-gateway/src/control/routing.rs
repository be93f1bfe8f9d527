//! Watches the operator's configuration.

use std::sync::Arc;

use slog::{info, warn};
use tokio::sync::watch;
use wagtailarch_adapter::{
    DecodedRouting, ObjectKind, StoreObject, decode_routing, scaling_errors,
};
use wagtailarch_wire::relay::RelayKind;

use crate::{
    control::{
        ControlContext, publish,
        sources::Sources,
        watcher::{WatchUpdate, Watcher},
    },
    snapshot::Snapshot,
};

/// Watches the configuration and publishes each newer generation.
pub async fn watch_routing(sources: Sources, publisher: Arc<watch::Sender<Arc<Snapshot>>>) {
    let context = sources.context.clone();
    let limits = context.read_limits(context.config_bound);
    let mut watcher = Watcher::new(ObjectKind::Config, RelayKind::Routing, limits, sources);
    loop {
        let objects = match watcher.next().await {
            WatchUpdate::Listed(objects) => objects,
            WatchUpdate::Changed(changes) => {
                let existing = changes.into_iter().filter(|(_, deleted)| !deleted);
                existing.map(|(object, _)| object).collect()
            }
            WatchUpdate::StoreLost { .. } => continue,
        };
        let proven_at = context.is_proof_required.then(|| watcher.proven_at());
        for object in &objects {
            apply_config(&context, &publisher, object, &watcher);
        }
        if let Some(proven_at) = proven_at {
            publish(&publisher, |snapshot| snapshot.config_proven_at = proven_at);
        }
        let newest_change = watcher.newest_change();
        if publisher.borrow().store_versions.routing != newest_change {
            publish(&publisher, |snapshot| {
                snapshot.store_versions.routing = newest_change
            });
        }
    }
}

/// Publishes a configuration if it is newer than the one in force.
fn apply_config(
    context: &ControlContext,
    publisher: &watch::Sender<Arc<Snapshot>>,
    object: &StoreObject,
    watcher: &Watcher,
) {
    let DecodedRouting { config, odd_teams } = match decode_routing(&object.content) {
        Ok(decoded) => decoded,
        Err(error) => {
            warn!(context.log, "configuration ignored"; "name" => %object.name,
                "version" => object.version, "cause" => %error);
            return;
        }
    };
    let generation = config.generation();
    let in_force = publisher.borrow().config.as_ref().map(|c| c.generation());
    if in_force.is_some_and(|in_force| in_force >= generation) {
        return;
    }
    for odd_team in odd_teams {
        warn!(context.log, "team ignored"; "generation" => generation, "index" => odd_team.index,
            "cause" => %odd_team.error);
    }
    for shared in config.shared_keys() {
        warn!(context.log, "key of two teams ignored"; "generation" => generation,
            "team" => %shared.first, "other" => %shared.second);
    }
    let trail = watcher.trail();
    info!(context.log, "configuration taken over"; "generation" => generation,
        "before" => in_force, "version" => object.version, "routes" => config.routes().len(),
        "teams" => config.teams().len(),
        "source" => trail.source(), "age_ms" => watcher.age().as_millis() as u64, "gap_ms" => trail.gap_ms(), "tried" => trail.tried());
    for (service, error) in scaling_errors(&object.content) {
        warn!(context.log, "scaling of a service ignored"; "generation" => generation,
            "service" => %service, "cause" => %error);
    }
    context.metrics.set_generation(generation);
    publish(publisher, |snapshot| {
        snapshot.config = Some(Arc::new(config))
    });
}
