//! Calls sent directly to engines, to compare their latency with calls through entry instances.

use std::time::Instant;

use http::header::CONTENT_TYPE;
use http::{Request, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use wagtailarch_types::{Phase, Priority, format_request_id};
use wagtailarch_wire::engine::{Frame, GENERATE_PATH, GenerateRequest};

use super::client::{HttpClient, read_refusal, read_stream, send};
use super::outcome::{Exchange, RequestOutcome};
use super::response::ResponseReader;
use super::scenario::{DirectCall, Scenario};
use super::schedule::Arrival;

/// Sends a generate call to an engine and checks its response.
pub(super) async fn call_engine(
    client: &HttpClient,
    address: &str,
    scenario: &Scenario,
    arrival: &Arrival,
) -> Exchange {
    let start = Instant::now();
    let Some(direct) = &scenario.direct else {
        let outcome = RequestOutcome::Unreachable("the scenario has no direct table".into());
        return Exchange::without_tokens(outcome, SmolStr::default(), start.elapsed());
    };
    let id = format_request_id(u128::from(arrival.number));
    let body = match serde_json::to_vec(&generate_request(&id, direct, arrival)) {
        Ok(body) => body,
        Err(error) => {
            let outcome = RequestOutcome::Unreachable(error.to_string().into());
            return Exchange::without_tokens(outcome, SmolStr::default(), start.elapsed());
        }
    };
    let request = Request::post(format!("http://{address}{GENERATE_PATH}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::from(body));
    let response = match send(client, request).await {
        Ok(response) => response,
        Err(outcome) => {
            return Exchange::without_tokens(outcome, SmolStr::default(), start.elapsed());
        }
    };
    if response.status() != StatusCode::OK {
        let outcome = read_refusal(response).await;
        return Exchange::without_tokens(outcome, id.into(), start.elapsed());
    }
    let mut reader = ResponseReader::new(start);
    read_stream(response, &mut reader, push_frames).await;
    reader.into_exchange(arrival, id.into())
}

fn generate_request(id: &str, direct: &DirectCall, arrival: &Arrival) -> GenerateRequest {
    GenerateRequest {
        request: id.into(),
        attempt: 1,
        group: direct.group.clone(),
        model: direct.model.clone(),
        version: direct.version.clone(),
        adapter: direct.adapter.clone(),
        prompt: arrival.prompt.clone(),
        emitted: String::new(),
        from_index: 0,
        max_tokens: arrival.max_tokens,
        priority: Priority::Normal,
        phase: Phase::Full,
        kv: None,
        deadline_ms: None,
    }
}

/// Reads a chunk of a stream of frames, one a line.
fn push_frames(reader: &mut ResponseReader, bytes: &[u8]) {
    reader.push_lines(bytes, |reader, line| {
        match serde_json::from_slice::<Frame>(line) {
            Ok(frame) => {
                reader.push_text(&frame.text);
                if frame.finish.is_some() {
                    reader.record_finish_reason();
                    reader.record_end();
                }
            }
            Err(error) => reader.fail(RequestOutcome::Mixed(
                format!("malformed frame: {error}").into(),
            )),
        }
    });
}
