//! Calls of plain services, and the list of the runs that the services recorded.

use std::time::{Duration, Instant};

use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use indexmap::IndexMap;
use smol_str::SmolStr;
use wagtailarch_standin::service::{Run, body_hash};

use super::client::{HttpClient, read_body, read_refusal, request_id, send};
use super::outcome::{Exchange, RequestKind, RequestOutcome};
use super::scenario::Scenario;
use super::schedule::Arrival;

/// Timeout for reading the runs of a service.
const RUNS_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the idempotency key of a request.
pub(super) fn idempotency_key(scenario: &Scenario, arrival: &Arrival) -> SmolStr {
    format!("load-{}-{}", scenario.seed, arrival.number).into()
}

/// Sends a call of a plain service once and checks that the response belongs to it.
pub(super) async fn call_plain(
    client: &HttpClient,
    address: &str,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Exchange {
    let start = Instant::now();
    let (method, path) = match arrival.kind {
        RequestKind::Post => (Method::POST, &scenario.post_path),
        _ => (Method::GET, &scenario.get_path),
    };
    let body = match arrival.kind {
        RequestKind::Post => arrival.prompt.clone(),
        _ => String::new(),
    };
    let key = idempotency_key(scenario, arrival);
    // The number makes the path of every call unique. The response repeats the path, so that it can
    // be matched to a call without a body.
    let path = format!("{path}?n={}", arrival.number);
    let hash = body_hash(body.as_bytes());
    let request = Request::builder()
        .method(&method)
        .uri(format!("http://{address}{path}"))
        .header(
            AUTHORIZATION,
            format!("Bearer {}", scenario.keys[arrival.key_index]),
        )
        .header("idempotency-key", key.as_str())
        .body(Full::from(body));
    let response = match send(client, request).await {
        Ok(response) => response,
        Err(outcome) => {
            return Exchange::without_tokens(outcome, SmolStr::default(), start.elapsed());
        }
    };
    let request_id = request_id(&response);
    if response.status() != StatusCode::OK {
        let outcome = read_refusal(response).await;
        return Exchange::without_tokens(outcome, request_id, start.elapsed());
    }
    let outcome = match read_body(response).await {
        Err(outcome) => outcome,
        Ok(bytes) => match serde_json::from_slice::<Run>(&bytes) {
            Ok(run) if run.path == path && run.body_hash == hash => RequestOutcome::Complete,
            Ok(_) => RequestOutcome::Mixed("the response belongs to another call".into()),
            Err(error) => RequestOutcome::Lost(format!("malformed response: {error}").into()),
        },
    };
    let mut exchange = Exchange::without_tokens(outcome, request_id, start.elapsed());
    exchange.first_token = Some(exchange.total);
    exchange
}

/// Returns the number of runs for each idempotency key, over all plain services.
pub(super) async fn count_runs(
    client: &HttpClient,
    services: &[SmolStr],
) -> Result<IndexMap<SmolStr, u32>, RequestOutcome> {
    let mut run_counts = IndexMap::new();
    for service in services {
        let uri = format!("http://{service}/standin/v1/runs");
        let fetch = async {
            let response = send(client, Request::get(uri).body(Full::default())).await?;
            read_body(response).await
        };
        let bytes = match tokio::time::timeout(RUNS_TIMEOUT, fetch).await {
            Ok(fetched) => fetched?,
            Err(_) => {
                return Err(RequestOutcome::Lost(
                    "no list of runs within the timeout".into(),
                ));
            }
        };
        let runs: Vec<Run> = serde_json::from_slice(&bytes).map_err(|error| {
            RequestOutcome::Lost(format!("malformed list of runs: {error}").into())
        })?;
        for run in runs {
            *run_counts.entry(run.idempotency_key).or_insert(0) += 1;
        }
    }
    Ok(run_counts)
}
