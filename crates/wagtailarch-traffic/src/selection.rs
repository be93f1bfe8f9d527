//! What is needed of a backend server and what was chosen.

use std::sync::Arc;

use smol_str::SmolStr;
use wagtailarch_types::{
    AdapterName, BackendKind, GroupName, InstanceId, ModelName, Phase, VersionName, ZoneName,
};

use crate::slot::Counters;

/// What is needed of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct SelectionRequest {
    /// Group that serves the request.
    pub group: GroupName,
    /// Engine or plain service.
    pub kind: BackendKind,
    /// Part of the generation; ignored for plain services.
    pub phase: Phase,
    /// Model that must be loaded.
    pub model: Option<ModelName>,
    /// Version that must be loaded; any if `None`.
    pub version: Option<VersionName>,
    /// Adapter that must be loaded.
    pub adapter: Option<AdapterName>,
    /// Hashes of the prompt's prefixes, shortest first, as `prefix_hashes` returns them.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the prompt that the backend server processes.
    pub prompt_tokens: u32,
    /// Zone to prefer instead of the own one: that of the prefill, for the decode.
    pub preferred_zone: Option<ZoneName>,
    /// Backend servers that have failed this request or must not be used.
    pub excluded: Vec<InstanceId>,
    /// Whether the request is a suspect, which runs apart from other suspects.
    pub suspect: bool,
    /// For a suspect: backend servers on which suspects of other instances may run.
    pub backends_with_suspects: Vec<InstanceId>,
}

/// A chosen backend server; counts as one request in flight on it until dropped.
#[derive(Debug)]
pub struct Selection {
    /// Name of the backend server.
    pub id: InstanceId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address (`ip:port`).
    pub address: SmolStr,
    counters: Arc<Counters>,
    /// Prompt tokens that still wait.
    waiting_tokens: u32,
    suspect: bool,
}

impl Selection {
    /// Creates a pick whose load has been added to `counters`.
    pub(crate) fn new(
        id: InstanceId,
        zone: ZoneName,
        address: SmolStr,
        counters: Arc<Counters>,
        request: &SelectionRequest,
    ) -> Self {
        Self {
            id,
            zone,
            address,
            counters,
            waiting_tokens: request.prompt_tokens,
            suspect: request.suspect,
        }
    }

    /// Notes that the prompt has been processed, so that it no longer counts as waiting.
    pub fn finish_prefill(&mut self) {
        self.counters.prompt_done(self.waiting_tokens);
        self.waiting_tokens = 0;
    }
}

impl Drop for Selection {
    fn drop(&mut self) {
        self.finish_prefill();
        self.counters.finish(self.suspect);
    }
}
