//! The data model of the fleet file.
//!
//! Section 5 of the design page specifies the tables and the units of their values. Unknown keys
//! are rejected in every table.

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
    /// Weights of the role planner and retry budgets.
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

/// Name and location of a fleet.
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

/// Weights of the role planner and retry budgets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Weight of goodput, from 0 to 1; sums to 1 with `role_change_weight`.
    pub goodput_weight: f64,
    /// Weight of the cost of role changes, from 0 to 1.
    pub role_change_weight: f64,
    /// Time in seconds for which a role change makes an engine unavailable.
    pub role_change_cost_s: f64,
    /// Time in seconds for which the current mix of requests is expected to last.
    pub mix_horizon_s: f64,
    /// Number of retries that each request adds to the retry budget of its service, from 0 to 1.
    pub retry_budget_ratio: f64,
    /// Retries per second that a service may make regardless of its number of requests.
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
    /// Adapters of the model.
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
    /// Name of the group, as in the platform's list of backend servers.
    pub name: GroupName,
    /// Whether the backend servers are engines or plain services.
    pub kind: GroupKind,
    /// Whether the engines reject orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Model that the engines load; required for groups of engines.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Version of the model; required for groups of engines.
    #[serde(default)]
    pub version: Option<VersionName>,
    /// Adapters that the engines load.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Maximum number of requests that a backend server runs concurrently.
    pub max_running: u32,
    /// Bounds on the number of engines of each role per availability zone.
    #[serde(default)]
    pub roles: RoleTable,
}

/// Bounds on the number of engines of each role; a missing role is unbounded.
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
    /// Returns the bounds for `role`; an unbounded role may have any number of engines.
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

/// Bounds on the number of engines; `min <= max`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleBounds {
    /// Minimum number of engines.
    pub min: u32,
    /// Maximum number of engines.
    pub max: u32,
}

/// A service that clients can call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; clients of a model service send it as the name of the model.
    pub name: ServiceName,
    /// Group of backend servers that run the service.
    pub group: GroupName,
    /// Model of a model service.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Path prefix of a plain service; starts and ends with a slash.
    #[serde(default)]
    pub path_prefix: Option<SmolStr>,
    /// Routes with their own settings; the one with the longest matching path applies.
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
    /// Whether requests may be repeated.
    pub idempotent: bool,
}

/// A team with its keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Hash of the bearer key: `blake3:` followed by 64 hexadecimal digits.
    ///
    /// Empty for a team without a key.
    pub key_hash: SmolStr,
    /// Hashes of further keys of the team, in the same form.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub further_key_hashes: Vec<SmolStr>,
    /// Limit on the requests per second over all instances.
    pub requests_per_s: f64,
    /// Limit on the prompt and output tokens per second over all instances.
    pub tokens_per_s: f64,
    /// Weight of the team in fair sharing; above 0.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Default priority of the team's requests, and the highest that a request may ask for.
    #[serde(default)]
    pub priority: Priority,
    /// Services that the team may call; an empty list permits all.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Priority that the team's requests have instead of that of their route; 0 is the highest.
    ///
    /// Only the configuration of a platform states it; a fleet file states `priority`.
    #[serde(skip)]
    pub route_priority: Option<u8>,
}

impl Team {
    /// Returns the hashes of all keys of the team.
    pub fn key_hashes(&self) -> impl Iterator<Item = &SmolStr> {
        std::iter::once(&self.key_hash).chain(&self.further_key_hashes)
    }
}

fn default_weight() -> f64 {
    1.0
}
