//! The administration API, which provides read-only views of one instance.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use serde_json::{Value, json};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

use wagtailarch_traffic::{BackendView, Verdict};
use wagtailarch_types::Fingerprint;

use crate::{
    admin::json_response,
    auth::{bearer_hash, parse_key_hash},
    shared::Shared,
};

/// Maximum number of fingerprints in one response.
const MAX_FINGERPRINTS: usize = 1_024;

/// Path prefix of the administration API.
pub const PREFIX: &str = "/admin/v1/";

/// Responds to a GET call of the administration API.
pub fn respond(
    shared: &Shared,
    path: &str,
    headers: &HeaderMap,
) -> Response<http_body_util::Full<Bytes>> {
    let Some(holder) = key_holder(shared, headers) else {
        return json_response(
            StatusCode::UNAUTHORIZED,
            &json!({"error": "an admin key is required"}),
        );
    };
    slog::info!(shared.log, "admin_call"; "holder" => holder.as_str(), "path" => path);
    match path.strip_prefix(PREFIX) {
        Some("generation") => json_response(StatusCode::OK, &generation(shared)),
        Some("backends") => json_response(StatusCode::OK, &backends(shared)),
        Some("quarantine") => json_response(StatusCode::OK, &quarantine(shared)),
        _ => json_response(StatusCode::NOT_FOUND, &json!({"error": "unknown path"})),
    }
}

/// Returns the name of the holder of the bearer key.
///
/// The key is compared with every admin key in constant time, so that the response time reveals
/// nothing about the keys.
fn key_holder(shared: &Shared, headers: &HeaderMap) -> Option<SmolStr> {
    let bearer = bearer_hash(headers)?;
    let mut holder = None;
    for key in &shared.settings.admin_keys {
        let Some(hash) = parse_key_hash(&key.key_hash) else {
            continue;
        };
        if bool::from(hash.ct_eq(&bearer)) {
            holder = Some(key.name.clone());
        }
    }
    holder
}

/// Returns the configuration generation and readiness of the instance.
fn generation(shared: &Shared) -> Value {
    json!({
        "instance": shared.settings.instance,
        "zone": shared.settings.zone,
        "generation": shared.snapshot.load().as_ref().map(|snapshot| snapshot.generation),
        "ready": shared.is_ready(),
    })
}

/// Returns the known backend servers.
fn backends(shared: &Shared) -> Value {
    let views = shared.backends.load();
    json!({"backends": views.values().map(backend).collect::<Vec<_>>()})
}

/// Returns the fingerprints of suspect and quarantined requests.
fn quarantine(shared: &Shared) -> Value {
    let listed = shared.quarantine.list(shared.now(), MAX_FINGERPRINTS);
    let entry = |(fingerprint, verdict, time_left): (Fingerprint, Verdict, Duration)| {
        let quarantined = verdict == Verdict::Quarantined;
        json!({
            "fingerprint": format!("{fingerprint:032x}"),
            "state": if quarantined { "quarantined" } else { "suspect" },
            "left_s": time_left.as_secs(),
        })
    };
    json!({"fingerprints": listed.into_iter().map(entry).collect::<Vec<_>>()})
}

fn backend(view: &BackendView) -> Value {
    json!({
        "id": view.id,
        "group": view.group,
        "zone": view.zone,
        "address": view.address,
        "report_age_ms": view.report.map(|_| view.report_age.as_millis() as u64),
        "role": view.assignment.as_ref().map(|assignment| assignment.role.as_str()),
        "accepting": view.accepting,
    })
}
