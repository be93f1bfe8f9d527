//! The data model of the fleet file.
//!
//! Shapes and units follow section 5 of the design page. Every table refuses unknown keys.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{
    AdapterName, GroupName, ModelName, Priority, Role, ServiceName, TeamName, VersionName, ZoneName,
};

/// A whole fleet file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name, region and availability zones.
    pub fleet: FleetSection,
    /// Weights and budgets of the decisions.
    pub policy: Policy,
    /// Models that engines can load.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Groups of backend servers.
    #[serde(default, rename = "group")]
    pub groups: Vec<Group>,
    /// Services that clients can call.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Teams with their keys and limits.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
}

/// Name and place of a fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// Name of the fleet.
    pub name: SmolStr,
    /// Region of all its availability zones.
    pub region: SmolStr,
    /// Availability zones; not empty and without duplicates.
    pub zones: Vec<ZoneName>,
}

/// Weights and budgets of the decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Weight of goodput, from 0 to 1; sums to 1 with `role_change_weight`.
    pub goodput_weight: f64,
    /// Weight of the cost of role changes, from 0 to 1.
    pub role_change_weight: f64,
    /// Time in seconds that an engine is away for one change.
    pub role_change_cost_s: f64,
    /// Time in seconds that the present mix is expected to last.
    pub mix_horizon_s: f64,
    /// Retries that a service may add for each request, from 0 to 1.
    pub retry_budget_ratio: f64,
    /// Retries per second that a service may always make.
    pub retry_budget_floor_per_s: f64,
}

/// A model with the versions and adapters that engines may load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelName,
    /// Versions; not empty.
    pub versions: Vec<VersionName>,
    /// Adapters.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// Kind of the backend servers of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// A group of backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group, as the platform lists it.
    pub name: GroupName,
    /// Engines or plain services.
    pub kind: GroupKind,
    /// Whether the engines refuse orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Model that the engines load; required for engines.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Version of the model; required for engines.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Adapters that the engines load.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Requests that one backend server runs at once.
    pub max_running: u32,
    /// Bounds on the number of engines per role in each availability zone.
    #[serde(default)]
    pub roles: RoleTable,
}

/// Bounds per role; a role that is absent has no bounds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleTable {
    /// Bounds for prefill engines.
    #[serde(default)]
    pub prefill: Option<RoleBounds>,
    /// Bounds for decode engines.
    #[serde(default)]
    pub decode: Option<RoleBounds>,
    /// Bounds for mixed engines.
    #[serde(default)]
    pub mixed: Option<RoleBounds>,
}

impl RoleTable {
    /// Returns the bounds for `role`; a role without bounds may have any number of engines.
    pub fn bounds(&self, role: Role) -> RoleBounds {
        let bounds = match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        };
        bounds.unwrap_or(RoleBounds {
            min: 0,
            max: u32::MAX,
        })
    }
}

/// Least and greatest number of engines; `min <= max`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleBounds {
    /// Least number of engines.
    pub min: u32,
    /// Greatest number of engines.
    pub max: u32,
}

/// A service that clients can call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; clients of a model service give it as the model.
    pub name: ServiceName,
    /// Group that serves it.
    pub group: GroupName,
    /// Model of a model service.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Path prefix of a plain service; begins and ends with a slash.
    #[serde(default)]
    pub path_prefix: Option<SmolStr>,
    /// Routes with settings of their own; the longest matching path applies.
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
}

/// Settings of one route of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: SmolStr,
    /// Path prefix of the route.
    pub path: SmolStr,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}

/// A team with its key and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Hash of the bearer key: `blake3:` and 64 hexadecimal digits.
    pub key_hash: SmolStr,
    /// Requests per second that the team may make over all instances.
    pub requests_per_s: f64,
    /// Prompt and output tokens per second that the team may use over all instances.
    pub tokens_per_s: f64,
    /// Weight of its fair share; above 0.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Priority of requests that state none, and the highest that requests may state.
    #[serde(default)]
    pub priority: Priority,
    /// Services that the team may call; empty for all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

fn default_weight() -> f64 {
    1.0
}
