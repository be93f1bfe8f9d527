//! Paths from this instance to the backend servers, and the instances that take requests while one
//! is lost.

use wagtailarch_types::{InstanceId, ServiceName};

use crate::{gateway::Gateway, snapshot::Peer};

/// How a request that was sent to another instance ended there, for the choice of the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardResult {
    /// The instance served the request, whatever the response was.
    Served,
    /// The instance has no path to a server of the service either.
    NoPath,
    /// The instance could not be reached or takes no requests of others at present.
    Unavailable,
}

impl Gateway {
    /// Returns the instance to which a request for `service` goes because this one has lost its
    /// path.
    pub fn forward_target(&self, _service: &ServiceName, _excluded: &[InstanceId]) -> Option<Peer> {
        None
    }

    /// Returns the instance to use for a request of which no call could open a connection, although
    /// the loss of the path is not established yet.
    pub fn fallback_target(
        &self,
        _service: &ServiceName,
        _excluded: &[InstanceId],
    ) -> Option<Peer> {
        None
    }

    /// Returns whether this instance has no path to the servers of a service, so that it takes no
    /// requests of others for it.
    pub fn is_path_lost(&self, _service: &ServiceName) -> bool {
        false
    }

    /// Records that a request is sent to another instance.
    pub fn on_forward_started(&self, _peer: &InstanceId) {}

    /// Records the end of a request that was sent to another instance; `None` if the client left.
    pub fn on_forward_ended(
        &self,
        _service: &ServiceName,
        _peer: &InstanceId,
        _result: Option<ForwardResult>,
    ) {
    }

    /// Takes a place for a request of another instance; returns whether there was one.
    pub fn start_serving_for_peer(&self) -> bool {
        true
    }

    /// Records the end of a request of another instance.
    pub fn stop_serving_for_peer(&self) {}
}
