//! The interface of the platform.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{InstanceList, WatchResponse};

use crate::PlatformResult;

/// Pending platform call.
///
/// The future is boxed so that callers can use an `Arc<dyn Platform>`. The cost of the allocation
/// is negligible compared to that of the network call.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = PlatformResult<T>> + Send + 'a>>;

/// Object API, watches and list of instances of the platform.
///
/// Implementations never retry writes. A write that fails with `Unknown` may have taken effect or
/// may take effect later; the caller reads the object back to determine the outcome.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object; returns `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>>;

    /// Writes an object if `precondition` holds, and returns its new version.
    ///
    /// Fails with `Conflict` if the precondition does not hold, and with `TooLarge` if the value
    /// exceeds `MAX_VALUE_BYTES`.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        precondition: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion>;

    /// Deletes an object; if `version` is given, only at that version.
    ///
    /// Fails with `NotFound` if the object does not exist, and with `Conflict` if it has another
    /// version.
    fn delete<'a>(&'a self, key: &'a str, version: Option<ObjectVersion>)
    -> PlatformFuture<'a, ()>;

    /// Lists at most `limit` objects whose keys start with `prefix`, beginning after the key
    /// `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage>;

    /// Waits at most `wait` for changes after version `since` to keys that start with `prefix`.
    ///
    /// Returns no events if there is no change within that time. Fails with `Expired` if the
    /// platform no longer has all changes after `since`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse>;

    /// Reads the list of instances, which may be stale.
    fn instances(&self) -> PlatformFuture<'_, InstanceList>;
}

/// Value and version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Version, which increases with each write to any object of the store.
    pub version: ObjectVersion,
    /// Value.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// No precondition.
    Any,
}

/// A page of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Store version that the list reflects; a watch can start from it.
    pub revision: ObjectVersion,
    /// Objects in the order of their keys.
    pub items: Vec<ListedObject>,
    /// Key after which the next page starts, if there are more objects.
    pub next: Option<String>,
}

/// An object in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// Key.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value.
    pub value: Bytes,
}
