//! Orders that change the roles of engines.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode, response};
use indexmap::IndexMap;
use slog::{info, warn};
use tokio::{
    sync::watch,
    task::spawn_local,
    time::{sleep, timeout},
};
use wagtailarch_adapter::{
    ObjectKind, OrderResponse, RoleOrder, decode_order_response, decode_report, order_request,
    report_request, states_leaving,
};
use wagtailarch_dispatch::{
    BackendServer, OrderClaim, PlannedEngine, RoleChange, RolePlan, RolePlanInput, is_designated,
};
use wagtailarch_types::{InstanceId, Role, ServiceName, ZoneName};

use crate::{
    control::{
        ControlContext,
        claims::{ClaimError, ClaimPayload, Claimed, claim},
    },
    http_client::{CONNECT_LIMIT, CallError, HttpClient},
    snapshot::Snapshot,
};

/// Interval between two checks of the roles.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the start and the first check of the roles; load notes of peers arrive before the
/// fleet counts as settled.
const START_DELAY: Duration = Duration::from_millis(1_000);
/// Time without a request after which the fleet counts as idle.
const IDLE_AFTER: Duration = Duration::from_secs(5);
/// Timeout for a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for an order, which includes waiting for another instance's claim to expire.
const ORDER_TIMEOUT: Duration = Duration::from_secs(7);

/// Why an order was not given.
#[derive(Debug, Display)]
enum OrderError {
    /// cannot call the engine: {0}
    Engine(CallError),
    /// the engine responded with status {0}
    Status(StatusCode),
    /// the engine is leaving
    Leaving,
    /// the engine's report cannot be decoded: {0}
    Report(serde_json::Error),
    /// {0}
    Claim(ClaimError),
    /// the claim was written too long ago
    ClaimTooOld,
    /// engines cannot be ordered to take the role {0}
    Role(Role),
}

impl From<ClaimError> for OrderError {
    fn from(error: ClaimError) -> Self {
        Self::Claim(error)
    }
}

/// Gives orders for the services for which this instance is designated.
pub async fn manage_roles(context: ControlContext, published: watch::Receiver<Arc<Snapshot>>) {
    let mut plans: IndexMap<ServiceName, RolePlan> = IndexMap::new();
    sleep(START_DELAY).await;
    loop {
        let snapshot = Arc::clone(&published.borrow());
        let peers = context.live_peers();
        for (service, servers) in engines_by_service(&snapshot, &context, &peers) {
            let plan = plans.entry(service.clone()).or_default();
            let instances = snapshot.peers.len() + 1;
            let due = due_changes(&context, plan, &service, &servers, instances, peers.len());
            for (engine, change) in due {
                spawn_local(give_order(context.clone(), engine, change.role));
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the engines of each service for which this instance is designated.
fn engines_by_service(
    snapshot: &Snapshot,
    context: &ControlContext,
    peers: &[(InstanceId, ZoneName)],
) -> IndexMap<ServiceName, Vec<BackendServer>> {
    let mut services: IndexMap<&ServiceName, Vec<&BackendServer>> = IndexMap::new();
    for server in snapshot
        .servers
        .iter()
        .filter(|server| server.role.is_some())
    {
        services.entry(&server.service).or_default().push(server);
    }
    services.retain(|service, _| {
        let names = peers.iter().map(|(name, _)| name);
        is_designated(service, &context.instance, names)
    });
    let services = services.into_iter();
    let owned_services = services.map(|(service, servers)| {
        let servers = servers.into_iter().cloned().collect();
        (service.clone(), servers)
    });
    owned_services.collect()
}

/// Returns the role changes that this instance has to order.
fn due_changes(
    context: &ControlContext,
    plan: &mut RolePlan,
    service: &ServiceName,
    servers: &[BackendServer],
    instances: usize,
    live_peers: usize,
) -> Vec<(BackendServer, RoleChange)> {
    let now = context.epoch.elapsed();
    // An engine that names a rate limit contributes little, and an order would count in the limit.
    let unlimited = servers
        .iter()
        .filter(|server| !context.traffic.is_limited(&server.id));
    let engines: Vec<_> = unlimited
        .filter_map(|server| {
            Some(PlannedEngine {
                id: server.id.clone(),
                zone: server.zone.clone(),
                role: server.role?,
            })
        })
        .collect();
    let last_request = context.traffic.last_request();
    let serving = last_request.is_some_and(|at| now.saturating_sub(at) < IDLE_AFTER);
    let input = RolePlanInput {
        demand: context.traffic.demand(service),
        serving,
        instances,
    };
    let changes = plan.changes(now, &engines, &input);
    let changes_with_servers = changes.into_iter().filter_map(|change| {
        let server = servers.iter().find(|server| server.id == change.engine)?;
        info!(context.log, "role change due"; "service" => %service, "server" => %server.id,
            "role" => %change.role, "running" => input.demand.running,
            "read_wait_ms" => input.demand.late_wait.as_millis() as u64,
            "serving" => serving, "instances" => instances, "heard" => live_peers);
        Some((server.clone(), change))
    });
    changes_with_servers.collect()
}

/// Gives one order and logs its outcome.
async fn give_order(context: ControlContext, engine: BackendServer, role: Role) {
    let result = timeout(ORDER_TIMEOUT, order(&context, &engine, role)).await;
    match result {
        Ok(Ok(response)) => {
            info!(context.log, "order given"; "server" => %engine.id, "role" => %role,
                "answer" => %response);
        }
        Ok(Err(error)) => {
            warn!(context.log, "order not given"; "server" => %engine.id, "role" => %role,
                "cause" => %error);
        }
        Err(_) => {
            warn!(context.log, "order not given"; "server" => %engine.id, "role" => %role,
                "cause" => "no claim in time");
        }
    }
}

/// Claims the engine and gives it an order.
async fn order(
    context: &ControlContext,
    engine: &BackendServer,
    role: Role,
) -> Result<OrderResponse, OrderError> {
    let report = report_request(&engine.id);
    let (parts, body) = call_engine(context, engine, report).await?;
    if states_leaving(&parts.headers) {
        return Err(OrderError::Leaving);
    }
    if parts.status != StatusCode::OK {
        return Err(OrderError::Status(parts.status));
    }
    let report = decode_report(&body).map_err(OrderError::Report)?;
    if report.role == Some(role) {
        return Ok(OrderResponse::AlreadyInRole);
    }
    let attempt = OrderClaim::new(context.instance.clone());
    let claimed = claim(
        context,
        ObjectKind::OrderClaims,
        &engine.id,
        attempt,
        |_| ClaimPayload::Absent,
    );
    let Claimed {
        fence, written_at, ..
    } = claimed.await?;
    let order = RoleOrder {
        engine: engine.id.clone(),
        role,
        holder: context.instance.clone(),
        fence,
        accepted_before: report.accepted_orders,
    };
    let request = order_request(&order).ok_or(OrderError::Role(role))?;
    if !OrderClaim::may_send(context.epoch.elapsed(), written_at) {
        return Err(OrderError::ClaimTooOld);
    }
    // A connection of its own, so that a second response to the report cannot pass for the response
    // to the order.
    let (parts, _) = call_engine(context, engine, request).await?;
    Ok(decode_order_response(parts.status))
}

/// Calls an engine on a new connection.
async fn call_engine(
    context: &ControlContext,
    engine: &BackendServer,
    request: Request<Bytes>,
) -> Result<(response::Parts, Bytes), OrderError> {
    let response = HttpClient::of_server(engine.address, CONNECT_LIMIT)
        .call_with_head(request, CALL_TIMEOUT)
        .await;
    let (parts, body) = response.map_err(OrderError::Engine)?;
    if states_leaving(&parts.headers) {
        context.traffic.on_stated_leaving(engine.process());
    }
    Ok((parts, body))
}
