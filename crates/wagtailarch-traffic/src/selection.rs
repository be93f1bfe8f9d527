//! Requests to the router and the backend servers it selects.

use std::sync::Arc;

use smol_str::SmolStr;
use wagtailarch_types::{
    AdapterName, BackendKind, GroupName, InstanceId, ModelName, Phase, VersionName, ZoneName,
};

use crate::backend_load::LocalLoad;

/// Requirements and preferences for the selection of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionRequest {
    /// Group to select from.
    pub group: GroupName,
    /// Engine or plain service.
    pub kind: BackendKind,
    /// Phase of the generation to serve; ignored for plain services.
    pub phase: Phase,
    /// Model that must be loaded; any if `None`.
    pub model: Option<ModelName>,
    /// Version that must be loaded; any if `None`.
    pub version: Option<VersionName>,
    /// Adapter that must be loaded; any set of adapters if `None`.
    pub adapter: Option<AdapterName>,
    /// Hashes of the prompt's prefixes, shortest first, as returned by `prefix_hashes`.
    pub prefix_hashes: Vec<u64>,
    /// Prompt tokens that the backend server has to prefill.
    pub prompt_tokens: u32,
    /// Zone to prefer over that of this instance, such as the zone of the prefill for a decode.
    pub preferred_zone: Option<ZoneName>,
    /// Backend servers that must not be selected, such as those on which this request
    /// failed.
    pub excluded: Vec<InstanceId>,
    /// Whether the request is a suspect, which must not share a backend server with another one.
    pub suspect: bool,
    /// Backend servers that may be running suspects of other instances; not selected for a suspect.
    pub backends_with_suspects: Vec<InstanceId>,
}

/// A selected backend server. Counts as one request in flight on it until dropped.
#[derive(Debug)]
pub struct Selection {
    /// Identifier of the backend server.
    pub id: InstanceId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address (`ip:port`).
    pub address: SmolStr,
    local_load: Arc<LocalLoad>,
    /// Prompt tokens still counted as waiting.
    waiting_tokens: u32,
    suspect: bool,
}

impl Selection {
    /// Creates a selection whose request has already been counted in `local_load`.
    pub(crate) fn new(
        id: InstanceId,
        zone: ZoneName,
        address: SmolStr,
        local_load: Arc<LocalLoad>,
        request: &SelectionRequest,
    ) -> Self {
        Self {
            id,
            zone,
            address,
            local_load,
            waiting_tokens: request.prompt_tokens,
            suspect: request.suspect,
        }
    }

    /// Records that the prefill has finished, so that the prompt no longer counts as waiting.
    pub fn finish_prefill(&mut self) {
        self.local_load.finish_prefill(self.waiting_tokens);
        self.waiting_tokens = 0;
    }
}

impl Drop for Selection {
    fn drop(&mut self) {
        self.finish_prefill();
        self.local_load.finish(self.suspect);
    }
}
