//! The boundary towards the platform.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use wagtailarch_types::ObjectVersion;
use wagtailarch_wire::platform::{InstanceList, WatchResponse};

use crate::PlatformResult;

/// Pending platform call.
///
/// Boxed so that callers can hold an `Arc<dyn Platform>`; a call is a network exchange, beside
/// which the allocation does not count.
pub type PlatformFuture<'a, T> = Pin<Box<dyn Future<Output = PlatformResult<T>> + Send + 'a>>;

/// Object API, watches and list of instances of the platform.
///
/// Implementations never repeat a write on their own. A write that fails with `Unknown` may have
/// taken effect, or may still take effect later: the caller reads back and compares.
pub trait Platform: Send + Sync + 'static {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Versioned>>;

    /// Writes an object under the condition `expect` and returns its new version.
    ///
    /// Fails with `Conflict` when the condition does not hold and `TooLarge` above
    /// `MAX_VALUE_BYTES`.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: Precondition,
    ) -> PlatformFuture<'a, ObjectVersion>;

    /// Deletes an object, at `version` only if one is given.
    ///
    /// Fails with `NotFound` when there is no object and `Conflict` when it has another version.
    fn delete<'a>(&'a self, key: &'a str, version: Option<ObjectVersion>)
    -> PlatformFuture<'a, ()>;

    /// Lists at most `limit` objects whose keys begin with `prefix` and follow `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        limit: usize,
    ) -> PlatformFuture<'a, ListPage>;

    /// Waits at most `wait` for changes after revision `since` to keys that begin with `prefix`.
    ///
    /// Returns without events when the time is over. Fails with `Expired` when changes after
    /// `since` are no longer known.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: ObjectVersion,
        wait: Duration,
    ) -> PlatformFuture<'a, WatchResponse>;

    /// Reads the lagging list of instances.
    fn instances(&self) -> PlatformFuture<'_, InstanceList>;
}

/// Value of an object with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// Version; it rises with each write over the whole store.
    pub version: ObjectVersion,
    /// Value.
    pub value: Bytes,
}

/// Condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// No condition.
    Any,
}

/// One page of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Version of the store that the list shows; a watch can start here.
    pub revision: ObjectVersion,
    /// Objects in the order of their keys.
    pub items: Vec<ListedObject>,
    /// Key to continue after if there are more objects.
    pub next: Option<String>,
}

/// One object of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// Key.
    pub key: String,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value.
    pub value: Bytes,
}
