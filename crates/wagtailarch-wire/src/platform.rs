//! The platform protocol: JSON bodies of the object API and of the list of instances.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{GroupName, InstanceId, ObjectVersion, ZoneName};

/// Greatest size of an object's value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Path prefix of objects; the percent-encoded key follows.
pub const OBJECTS_PATH_PREFIX: &str = "/v1/objects/";
/// Path of the list call: `?prefix=&after=&limit=`.
pub const LIST_PATH: &str = "/v1/list";
/// Path of the watch call: `?prefix=&since=&wait_ms=`.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the list of live and leaving instances.
pub const INSTANCES_PATH: &str = "/v1/instances";

/// Answer to a list call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Version of the store that the list shows; a watch can start here.
    pub revision: ObjectVersion,
    /// Objects in the order of their keys.
    pub items: Vec<ListItem>,
    /// Last key of this page if there are more.
    #[serde(default)]
    pub next: Option<String>,
}

/// One object of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// Key.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value in base64 (standard alphabet, padded).
    pub value_base64: String,
}

/// Answer to a watch call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Version of the store up to which events are complete.
    pub revision: ObjectVersion,
    /// Changes in the order of their versions.
    pub events: Vec<WatchEvent>,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Written or deleted.
    pub kind: WatchEventKind,
    /// Key.
    pub key: String,
    /// Version of the change.
    pub version: ObjectVersion,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchEventKind {
    /// Created or updated.
    Put,
    /// Deleted.
    Delete,
}

/// Answer to a call for the list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version of the list; it rises.
    pub revision: u64,
    /// Instances, live and leaving.
    pub items: Vec<ListedInstance>,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Kind of process.
    pub kind: InstanceKind,
    /// Group of a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address (`ip:port`) for requests.
    pub address: SmolStr,
    /// Address (`ip:port`) of an entry instance for its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SmolStr>,
    /// Live or leaving.
    pub state: ListedState,
}

/// Kind of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Entry instance of this system.
    Entry,
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// State of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Takes new work.
    Live,
    /// Is about to stop and takes no new work.
    Leaving,
}
