//! The platform protocol: JSON bodies of the object API and of the list of instances.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use wagtailarch_types::{GroupName, InstanceId, ObjectVersion, ZoneName};

/// Maximum size of the value of an object in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Path prefix of objects; the percent-encoded key follows.
pub const OBJECTS_PATH_PREFIX: &str = "/v1/objects/";
/// Path of the list call: `?prefix=&after=&limit=`.
pub const LIST_PATH: &str = "/v1/list";
/// Path of the watch call: `?prefix=&since=&wait_ms=`.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the list of live and leaving instances.
pub const INSTANCES_PATH: &str = "/v1/instances";

/// Response to a list call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Store version that the list reflects; a watch can start from it.
    pub revision: ObjectVersion,
    /// Objects in the order of their keys.
    pub items: Vec<ListItem>,
    /// Last key of this page if more pages follow.
    #[serde(default)]
    pub next: Option<String>,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListItem {
    /// Key.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value in base64 (standard alphabet, padded).
    pub value_base64: String,
}

/// Response to a watch call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Store version up to which the events are complete.
    pub revision: ObjectVersion,
    /// Changes in the order of their versions.
    pub events: Vec<WatchEvent>,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Kind of the change.
    pub kind: WatchEventKind,
    /// Key.
    pub key: String,
    /// Version of the change.
    pub version: ObjectVersion,
}

/// Kind of a change of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchEventKind {
    /// The object was created or updated.
    Put,
    /// The object was deleted.
    Delete,
}

/// Response to a call for the list of instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Version of the list, which increases with each change.
    pub revision: u64,
    /// Live and leaving instances.
    pub items: Vec<ListedInstance>,
}

/// An entry instance or a backend server in the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name.
    pub id: InstanceId,
    /// Kind of the instance.
    pub kind: InstanceKind,
    /// Group, for a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupName>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address (`ip:port`) for requests.
    pub address: SmolStr,
    /// Address (`ip:port`) for messages from peers, for an entry instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SmolStr>,
    /// State of the instance.
    pub state: ListedState,
}

/// Kind of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// Entry instance.
    Entry,
    /// Engine that serves a model.
    Engine,
    /// Plain service.
    Service,
}

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Accepts new requests.
    Live,
    /// Is about to stop and accepts no new requests.
    Leaving,
}
