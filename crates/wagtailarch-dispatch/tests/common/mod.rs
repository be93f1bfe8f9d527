//! Test fixtures: servers, configurations and prompts.

#![allow(dead_code)]

use std::time::Duration;

use indexmap::IndexMap;
use wagtailarch_dispatch::{
    BackendServer, ClientLimits, EngineProperties, GenerationRequest, PrefixLink, Prompt,
    PromptPart, RoutingConfig, ServiceConfig, Urgency,
};
use wagtailarch_types::{Role, ZoneName};
use wagtailarch_wire::{
    load_note::{LoadNote, OpenPrefill, StoreVersions, server_key},
    part_report::PartReports,
    path_report::PathReport,
    permit::PermitRank,
};

/// Service of the engines.
pub const ENGINES: &str = "lm";
/// Service of the plain servers.
pub const PLAIN: &str = "app";

/// Returns a configuration with one service of engines and one plain service.
pub fn config() -> RoutingConfig {
    let properties = EngineProperties {
        slots: 64,
        kv_capacity_tokens: 473_698,
        kv_token_bytes: 327_680,
        link_mbps: 3_200_000.0,
    };
    let engines = ServiceConfig {
        max_connections: 370,
        engine: Some(properties),
        scaling: None,
    };
    let plain = ServiceConfig {
        max_connections: 110,
        engine: None,
        scaling: None,
    };
    let services = IndexMap::from([(ENGINES.into(), engines), (PLAIN.into(), plain)]);
    RoutingConfig::new(1, Vec::new(), services, ClientLimits::default())
}

/// Returns an engine in a zone.
pub fn engine(id: &str, zone: &str, role: Role) -> BackendServer {
    BackendServer {
        service: ENGINES.into(),
        slots: 64,
        role: Some(role),
        ..plain(id, zone)
    }
}

/// Returns a plain server in a zone.
pub fn plain(id: &str, zone: &str) -> BackendServer {
    let last = id.bytes().fold(0u8, u8::wrapping_add);
    BackendServer {
        id: id.into(),
        started_unix_ms: 1_000,
        heartbeat: 1,
        service: PLAIN.into(),
        address: ([10, 0, 0, last], 8_000).into(),
        zone: zone.into(),
        version: "v1".into(),
        slots: 6,
        leaving: false,
        reclaimable: false,
        role: None,
    }
}

/// Returns the prefixes of a prompt with a shared part and a part of its own.
pub fn prompt(shared: &str, shared_tokens: u32, own: &str, own_tokens: u32) -> Vec<PrefixLink> {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    let prompt = Prompt {
        model: "m".into(),
        parts: vec![part(shared, shared_tokens), part(own, own_tokens)],
        prompt_tokens: shared_tokens + own_tokens,
        output_tokens: 20,
    };
    prompt.prefixes()
}

/// Returns a request for a prompt with the given prefixes.
pub fn request<'a>(prefixes: &'a [PrefixLink], zone: &'a ZoneName) -> GenerationRequest<'a> {
    GenerationRequest {
        prefixes,
        prompt_tokens: prefixes.last().map_or(0, |link| link.end_tokens),
        objective_left: Duration::from_millis(600),
        client_timeout_left: Duration::from_millis(2_400),
        zone,
        rank: PermitRank::Normal,
        isolated: false,
        version: None,
    }
}

/// Returns a load note of a peer with the numbers of its prompts and its running requests, by engine.
pub fn note(sender: &str, prefills: &[(&str, u32)], running: &[(&str, u32)]) -> LoadNote {
    let open_prefill = |&(engine, number): &(&str, u32)| OpenPrefill {
        engine: server_key(engine),
        number,
        work_ms: 100,
        urgency: Urgency::OnTime,
    };
    let running = running.iter().map(|(id, count)| (server_key(id), *count));
    LoadNote {
        sender: sender.into(),
        zone: "a".into(),
        boot: 1,
        sequence: 1,
        generation: 1,
        store_versions: StoreVersions::default(),
        open_prefills: prefills.iter().map(open_prefill).collect(),
        sent_prefixes: Vec::new(),
        running: running.collect(),
        strikes: Vec::new(),
        limits: Vec::new(),
        parts: PartReports::default(),
        versions: Vec::new(),
        paths: PathReport::default(),
    }
}
