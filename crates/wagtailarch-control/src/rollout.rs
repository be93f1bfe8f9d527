//! Planned changes of engines: drain, wait, assign, ease in.

use std::time::Duration;

use wagtailarch_fleet::RoleTable;
use wagtailarch_types::{
    AdapterName, Assignment, BackendState, Generation, GroupName, InstanceId, ModelName,
    VersionName,
};
use wagtailarch_wire::engine::OrderKind;

use crate::{OrderProgress, OrderRequest, RoleChange};

/// What the rollout sees of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// Generation in force.
    pub generation: Generation,
    /// Groups of engines.
    pub groups: Vec<RolloutGroup>,
    /// Engines of the zone.
    pub engines: Vec<RolloutEngine>,
}

/// A group of engines and what it is to serve.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutGroup {
    /// Group.
    pub name: GroupName,
    /// Model to serve.
    pub model: ModelName,
    /// Version to serve.
    pub version: VersionName,
    /// Adapters to load; sorted.
    pub adapters: Vec<AdapterName>,
    /// Whether the engines check fencing numbers.
    pub checks_fencing: bool,
    /// Bounds per role.
    pub roles: RoleTable,
}

/// An engine of the zone.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutEngine {
    /// Engine.
    pub id: InstanceId,
    /// Group.
    pub group: GroupName,
    /// What it serves by its last report.
    pub assignment: Assignment,
    /// State by its last report.
    pub state: BackendState,
    /// Requests running or queued by its last report.
    pub running: u32,
    /// Time at which the last report was asked for.
    pub asked_at: Duration,
    /// Whether it is live in the list and reports.
    pub healthy: bool,
    /// State of the newest order to it.
    pub order: OrderProgress,
}

/// What the rollout asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Give an order through the ledger.
    Order {
        /// Engine.
        engine: InstanceId,
        /// Order.
        request: OrderRequest,
    },
    /// Tell all peers that the engine takes no new work, or takes it again.
    Flood {
        /// Engine.
        engine: InstanceId,
        /// Whether it takes no new work.
        drained: bool,
    },
}

/// Changes in progress in one zone.
#[derive(Debug, Default)]
pub struct Rollout {
    orders: Vec<OrderKind>,
}

impl Rollout {
    /// Returns a rollout without changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the changes in progress and starts those that the bounds permit.
    pub fn step(
        &mut self,
        _now: Duration,
        _view: &RolloutView,
        _planned: &[RoleChange],
    ) -> Vec<RolloutAction> {
        todo!("{:?}", self.orders)
    }

    /// Returns the engines under change.
    pub fn changing(&self) -> Vec<InstanceId> {
        todo!()
    }
}
