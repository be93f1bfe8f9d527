//! Messages between entry instances of a zone that relay objects of the store over HTTP.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use wagtailarch_types::ObjectVersion;

/// Version of the messages.
///
/// Relays of version 2 may respond from incomplete objects and reject this version, so that their
/// responses are not used.
pub const RELAY_VERSION: u8 = 3;
/// Oldest version of requests to which relays respond; the encoding has not changed since.
const MIN_REQUEST_VERSION: u8 = 2;
/// Path of the requests.
pub const RELAY_PATH: &str = "/relay";

/// Kinds of objects that relays pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RelayKind {
    /// The configuration.
    Routing,
    /// Registrations of backend servers.
    Servers,
    /// Registrations of entry instances.
    Instances,
}

/// A request for the objects of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// `RELAY_VERSION` of the sender.
    pub version: u8,
    /// Kind of the objects.
    pub kind: RelayKind,
    /// Store version up to which the sender has all objects; absent if it has none.
    pub have: Option<ObjectVersion>,
    /// Time in milliseconds for which the response may wait for updates.
    pub wait_ms: u32,
}

impl RelayRequest {
    /// Returns whether this revision responds to the request.
    pub fn is_supported(&self) -> bool {
        (MIN_REQUEST_VERSION..=RELAY_VERSION).contains(&self.version)
    }
}

/// The response to a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The instance does not read from the store, or the store does not respond to it.
    Unknown,
    /// There are no updates.
    Unchanged(RelayedRead),
    /// All objects.
    All(RelayedRead, Vec<RelayedObject>),
    /// The changes up to the version of the read, each with whether the object was deleted.
    Changes(RelayedRead, Vec<(RelayedObject, bool)>),
    /// The updates are too large to be relayed; the store has to be asked.
    TooLarge,
}

/// The newest read of the store by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRead {
    /// Version up to which the read shows all changes.
    pub version: ObjectVersion,
    /// Time in milliseconds since the store had no further changes.
    pub age_ms: u32,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedObject {
    /// Name, unique within its kind.
    pub name: SmolStr,
    /// Store version of its last change.
    pub version: ObjectVersion,
    /// Content as JSON.
    pub content: String,
}

/// Encodes a request or a response.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a request or a response.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
