//! Tests of the response check against a server that corrupts its responses.

use std::convert::Infallible;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use wagtailarch_load::load::{LoadConfig, LoadReport, Scenario, Targets, run_load};
use wagtailarch_standin::token::{prompt_key, token_text};

const SCENARIO: &str = r#"
model = "fedel"
keys = ["a"]
timeout_s = 5.0
[[phase]]
duration_s = 1.0
rate_per_s = 200.0
prompt_tokens = { min = 10, max = 10 }
output_tokens = { min = 4, max = 4 }
weights = { stream = 1.0 }
"#;

/// How the server corrupts a response.
#[derive(Debug, Clone, Copy)]
enum InjectedFault {
    None,
    RepeatedToken,
    SkippedToken,
    ForeignToken,
    MissingEnd,
    ErrorEvent,
    ChangedId,
    Refusal,
}

/// Returns the server-sent events of a response to a prompt.
fn events(prompt: &str, chat: bool, fault: InjectedFault) -> String {
    let key = prompt_key(prompt);
    let mut tokens: Vec<String> = (0..4).map(|index| token_text(key, index)).collect();
    match fault {
        InjectedFault::RepeatedToken => tokens.insert(2, tokens[1].clone()),
        InjectedFault::SkippedToken => drop(tokens.remove(1)),
        InjectedFault::ForeignToken => tokens[2] = token_text(key + 1, 2),
        _ => {}
    }
    let mut text = String::new();
    let last = tokens.len() - 1;
    for (index, token) in tokens.iter().enumerate() {
        let mut choice = if chat {
            json!({"delta": {"content": token}})
        } else {
            json!({"text": token})
        };
        if index == last {
            choice["finish_reason"] = json!("length");
        }
        let id = if matches!(fault, InjectedFault::ChangedId) && index == 1 {
            "b"
        } else {
            "a"
        };
        text += &format!("data: {}\n\n", json!({"id": id, "choices": [choice]}));
        if matches!(fault, InjectedFault::ErrorEvent) {
            text += "data: {\"error\":{\"code\":\"backend_failed_midway\"}}\n\n";
        }
    }
    if !matches!(fault, InjectedFault::MissingEnd) {
        text += "data: [DONE]\n\n";
    }
    text
}

/// Responds to a request with the given fault.
async fn respond(request: Request<Incoming>, fault: InjectedFault) -> Response<Full<Bytes>> {
    let chat = request.uri().path().contains("chat");
    let body = request
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let body: Value = serde_json::from_slice(&body).expect("JSON");
    let prompt = if chat {
        &body["messages"][0]["content"]
    } else {
        &body["prompt"]
    };
    if matches!(fault, InjectedFault::Refusal) {
        let text = r#"{"error":{"code":"overloaded","ran":"no"}}"#;
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    Response::new(Full::from(events(
        prompt.as_str().unwrap_or_default(),
        chat,
        fault,
    )))
}

/// Sends ten requests to a server that corrupts every response in the same way.
async fn run_with_fault(fault: InjectedFault) -> LoadReport {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request| async move {
                Ok::<_, Infallible>(respond(request, fault).await)
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    let load = LoadConfig {
        scenario: Scenario::parse(SCENARIO).expect("valid scenario"),
        targets: Targets {
            entries: vec![address.into()],
            ..Targets::default()
        },
        requests: Some(10),
        http2: false,
        stop: Default::default(),
    };
    let report = run_load(load, |_| {}).await.expect("a run");
    server.abort();
    report
}

/// Guards against a check that misses a corrupted response or reports a fault in a correct one.
#[rstest]
#[case::correct(InjectedFault::None, [10, 0, 0, 0, 0])]
#[case::repeated(InjectedFault::RepeatedToken, [0, 0, 10, 0, 0])]
#[case::skipped(InjectedFault::SkippedToken, [0, 10, 0, 0, 0])]
#[case::foreign(InjectedFault::ForeignToken, [0, 0, 0, 10, 0])]
#[case::no_end(InjectedFault::MissingEnd, [0, 10, 0, 0, 0])]
#[case::error_event(InjectedFault::ErrorEvent, [0, 10, 0, 0, 0])]
#[case::other_id(InjectedFault::ChangedId, [0, 0, 0, 10, 0])]
#[case::refused(InjectedFault::Refusal, [0, 0, 0, 0, 10])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn corrupted_responses_are_detected(
    #[case] fault: InjectedFault,
    #[case] expected: [u64; 5],
) {
    let report = run_with_fault(fault).await;
    let counts = [
        report.completed,
        report.lost,
        report.doubled,
        report.mixed,
        report.refused,
    ];
    assert_eq!(counts, expected, "{report}");
    assert_eq!(
        report.has_faults(),
        expected[1] + expected[2] + expected[3] > 0
    );
}
