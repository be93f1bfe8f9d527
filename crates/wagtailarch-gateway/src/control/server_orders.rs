//! Orders for the number of servers of a service in each zone.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use http::StatusCode;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{sync::watch, task::spawn_local, time::sleep};
use wagtailarch_adapter::scale_request;
use wagtailarch_control::{
    ServerDemand, ServerKind, ServerOrder, ServerOrderOutcome, ServerOrders, ServerOrdersInput,
    ZoneServers,
};
use wagtailarch_dispatch::{EngineUse, is_designated};
use wagtailarch_types::{DutyKind, DutySubject, ScalingLimits, ServiceName, ZoneName};

use crate::{
    control::{
        ControlContext,
        duties::{DutyCaller, DutyError, DutyRight},
    },
    metrics::ServerOrderResult,
    snapshot::Snapshot,
};

/// Interval between two readings of the demand.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the listed instances that must be live for the demand to count as complete; the rest may
/// be starting or stopping. A lost zone of three is below it.
const MIN_LIVE_SHARE: f64 = 0.8;

/// Orders by service of the instance that is designated for it.
type OrdersByService = Rc<RefCell<IndexMap<ServiceName, ServerOrders>>>;

/// What the claim of a subject records of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OrderContent {
    reclaimable: bool,
    count: u32,
}

/// Gives orders for the services for which this instance is designated, if its settings ask
/// for them and name the duty.
pub async fn manage_servers(context: ControlContext, published: watch::Receiver<Arc<Snapshot>>) {
    let duties = context.duties.clone();
    let Some(caller) = duties.filter(|caller| {
        caller.settings.order_servers && caller.settings.includes(DutyKind::Scale)
    }) else {
        // The task ends only with the process.
        return std::future::pending().await;
    };
    let orders_by_service = OrdersByService::default();
    loop {
        sleep(CHECK_INTERVAL).await;
        let snapshot = Arc::clone(&published.borrow());
        let Some(config) = &snapshot.config else {
            continue;
        };
        let peers = context.live_peers();
        for (service, service_config) in config.services() {
            let names = peers.iter().map(|(name, _)| name);
            let limits = service_config.scaling.as_ref();
            let Some(limits) = limits.filter(|_| is_designated(service, &context.instance, names))
            else {
                // What was seen before counts no more if the duty returns.
                orders_by_service.borrow_mut().shift_remove(service);
                continue;
            };
            let live_share = (peers.len() + 1) as f64 / (snapshot.peers.len() + 1) as f64;
            let complete = live_share >= MIN_LIVE_SHARE;
            let due = due_orders(
                &context,
                &orders_by_service,
                &snapshot,
                service,
                limits,
                complete,
            );
            for orders in by_zone(due).into_values() {
                let (context, caller) = (context.clone(), caller.clone());
                let state = Rc::clone(&orders_by_service);
                spawn_local(give_orders(context, caller, state, service.clone(), orders));
            }
        }
    }
}

/// Returns the orders of each zone, which are given one after the other.
fn by_zone(orders: Vec<ServerOrder>) -> IndexMap<ZoneName, Vec<ServerOrder>> {
    let mut zones: IndexMap<ZoneName, Vec<ServerOrder>> = IndexMap::new();
    for order in orders {
        zones.entry(order.zone.clone()).or_default().push(order);
    }
    zones
}

fn due_orders(
    context: &ControlContext,
    orders_by_service: &OrdersByService,
    snapshot: &Snapshot,
    service: &ServiceName,
    limits: &ScalingLimits,
    complete: bool,
) -> Vec<ServerOrder> {
    let zones = present_servers(snapshot, service);
    let engine_use = context.traffic.engine_use(service);
    let mut orders_by_service = orders_by_service.borrow_mut();
    let orders = orders_by_service.entry(service.clone()).or_default();
    let demand = engine_use.map(demand);
    let input = ServerOrdersInput {
        limits,
        zones: &zones,
        demand,
        complete,
        bear_zone_loss: true,
    };
    let due = orders.orders(context.epoch.elapsed(), &input);
    for kind in [ServerKind::Regular, ServerKind::Reclaimable] {
        let expected = orders.expected(kind);
        context.metrics.set_servers_wanted(service, kind, expected);
    }
    let figures = orders.figures();
    let demand = demand.unwrap_or_default();
    for order in &due {
        info!(context.log, "order for servers due"; "service" => %service, "zone" => %order.zone,
            "kind" => %order.kind, "count" => order.count, "present" => order.present,
            "reason" => %order.reason, "reading" => format!("{:.1}", demand.reading),
            "backlog_ms" => demand.backlog.as_millis() as u64, "running" => demand.running,
            "reading_share" => format!("{:.2}", demand.reading_share),
            "peak" => format!("{:.1}", figures.peak), "after_loss" => figures.after_loss,
            "wanted" => figures.total, "complete" => complete);
    }
    due
}

/// Returns the servers of a service that are registered and not leaving.
fn present_servers(snapshot: &Snapshot, service: &ServiceName) -> Vec<ZoneServers> {
    let mut zones: IndexMap<&ZoneName, ZoneServers> = IndexMap::new();
    for server in snapshot.servers.iter() {
        if server.service != *service || server.leaving {
            continue;
        }
        let zone = zones.entry(&server.zone).or_insert_with(|| ZoneServers {
            zone: server.zone.clone(),
            regular: 0,
            reclaimable: 0,
        });
        match server.reclaimable {
            true => zone.reclaimable += 1,
            false => zone.regular += 1,
        }
    }
    zones.into_values().collect()
}

fn demand(engine_use: EngineUse) -> ServerDemand {
    let engines = engine_use.engines.max(1);
    ServerDemand {
        reading: engine_use.prefilling,
        backlog: engine_use.prefill_work,
        running: engine_use.running,
        reading_share: f64::from(engine_use.prefill_engines) / f64::from(engines),
    }
}

/// Gives the orders of one zone one after the other and records their outcomes.
async fn give_orders(
    context: ControlContext,
    caller: DutyCaller,
    state: OrdersByService,
    service: ServiceName,
    orders: Vec<ServerOrder>,
) {
    for order in orders {
        let outcome = give_order(&context, &caller, &service, &order).await;
        let result = match outcome {
            ServerOrderOutcome::Accepted => ServerOrderResult::Accepted,
            ServerOrderOutcome::NoneAvailable => ServerOrderResult::NoneAvailable,
            ServerOrderOutcome::NotGiven => ServerOrderResult::NotGiven,
            ServerOrderOutcome::Unknown => ServerOrderResult::Unanswered,
        };
        context.metrics.count_server_order(result);
        if let Some(orders) = state.borrow_mut().get_mut(&service) {
            orders.on_outcome(context.epoch.elapsed(), &order, outcome);
        }
    }
}

async fn give_order(
    context: &ControlContext,
    caller: &DutyCaller,
    service: &ServiceName,
    order: &ServerOrder,
) -> ServerOrderOutcome {
    let subject = DutySubject::Scale {
        service: service.clone(),
        zone: order.zone.clone(),
    };
    let content = OrderContent {
        reclaimable: order.kind == ServerKind::Reclaimable,
        count: order.count,
    };
    let zone = &order.zone;
    let encode = |right: &DutyRight, content: &OrderContent| {
        let (holder, fence) = (&right.holder, right.fence);
        let (count, reclaimable) = (content.count, content.reclaimable);
        scale_request(holder, fence, service, zone, count, reclaimable)
    };
    let plan = |_: Option<OrderContent>| Some(content.clone());
    match caller.call(context, &subject, plan, encode).await {
        Ok(response) => {
            info!(context.log, "order for servers given"; "service" => %service, "zone" => %zone,
                "kind" => %order.kind, "count" => response.content.count, "fence" => response.fence,
                "status" => response.status.as_u16());
            match response.status {
                status if status.is_success() => ServerOrderOutcome::Accepted,
                StatusCode::TOO_MANY_REQUESTS => ServerOrderOutcome::NotGiven,
                status if status.is_server_error() => ServerOrderOutcome::NotGiven,
                _ => ServerOrderOutcome::NoneAvailable,
            }
        }
        Err(error) => {
            warn!(context.log, "order for servers not given"; "service" => %service,
                "zone" => %zone, "kind" => %order.kind, "count" => order.count,
                "cause" => %error);
            match error {
                DutyError::Call(..) => ServerOrderOutcome::Unknown,
                _ => ServerOrderOutcome::NotGiven,
            }
        }
    }
}
