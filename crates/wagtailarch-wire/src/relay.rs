//! What an entry instance asks another one of its zone in place of the store, over HTTP.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use wagtailarch_types::ObjectVersion;

/// Version of the encoding; questions of other versions are not answered.
pub const RELAY_VERSION: u8 = 1;
/// Path of the questions.
pub const RELAY_PATH: &str = "/relay";

/// Objects that relays pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RelayKind {
    /// The configuration.
    Routing,
    /// Registrations of backend servers.
    Servers,
    /// Entry instances.
    Instances,
}

/// A question for the objects of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    /// `RELAY_VERSION` of the sender.
    pub version: u8,
    /// Kind.
    pub kind: RelayKind,
    /// Version of the store up to which the sender has everything; absent if it has nothing.
    pub have: Option<ObjectVersion>,
    /// Time in milliseconds for which the answer may wait for news.
    pub wait_ms: u32,
}

/// An answer to a [`RelayRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayResponse {
    /// The instance does not read from the store, or the store does not answer it.
    Unknown,
    /// There is no news.
    Unchanged,
    /// All objects at a version of the store.
    All(ObjectVersion, Vec<RelayedObject>),
    /// The changes up to a version of the store, each with whether the object was deleted.
    Changes(ObjectVersion, Vec<(RelayedObject, bool)>),
    /// There is news that is too large to be passed on; the store has to be asked.
    TooLarge,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedObject {
    /// Name within its kind.
    pub name: SmolStr,
    /// Version of its last change.
    pub version: ObjectVersion,
    /// Content as JSON.
    pub content: String,
}

/// Encodes a question or an answer.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a question or an answer.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
