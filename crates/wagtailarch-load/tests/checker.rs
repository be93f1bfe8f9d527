//! Tests of the check of answers against a server that spoils them.

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

/// What the server does with an answer.
#[derive(Debug, Clone, Copy)]
enum Spoil {
    Nothing,
    RepeatToken,
    SkipToken,
    ForeignToken,
    NoEnd,
    ErrorEvent,
    OtherId,
    Refusal,
}

/// Composes a stream of server-sent events for a prompt.
fn events(prompt: &str, chat: bool, spoil: Spoil) -> String {
    let key = prompt_key(prompt);
    let mut tokens: Vec<String> = (0..4).map(|index| token_text(key, index)).collect();
    match spoil {
        Spoil::RepeatToken => tokens.insert(2, tokens[1].clone()),
        Spoil::SkipToken => drop(tokens.remove(1)),
        Spoil::ForeignToken => tokens[2] = token_text(key + 1, 2),
        _ => {}
    }
    let mut text = String::new();
    let last = tokens.len() - 1;
    for (number, token) in tokens.iter().enumerate() {
        let mut choice = if chat {
            json!({"delta": {"content": token}})
        } else {
            json!({"text": token})
        };
        if number == last {
            choice["finish_reason"] = json!("length");
        }
        let id = if matches!(spoil, Spoil::OtherId) && number == 1 {
            "b"
        } else {
            "a"
        };
        text += &format!("data: {}\n\n", json!({"id": id, "choices": [choice]}));
        if matches!(spoil, Spoil::ErrorEvent) {
            text += "data: {\"error\":{\"code\":\"backend_failed_midway\"}}\n\n";
        }
    }
    if !matches!(spoil, Spoil::NoEnd) {
        text += "data: [DONE]\n\n";
    }
    text
}

async fn answer(request: Request<Incoming>, spoil: Spoil) -> Response<Full<Bytes>> {
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
    if matches!(spoil, Spoil::Refusal) {
        let text = r#"{"error":{"code":"overloaded","ran":"no"}}"#;
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return response;
    }
    Response::new(Full::from(events(
        prompt.as_str().unwrap_or_default(),
        chat,
        spoil,
    )))
}

/// Runs ten requests against a server that spoils every answer in the same way.
async fn run(spoil: Spoil) -> LoadReport {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |request| async move {
                Ok::<_, Infallible>(answer(request, spoil).await)
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

/// Guards against a tool that overlooks a spoiled answer or blames a right one.
#[rstest]
#[case::right(Spoil::Nothing, [10, 0, 0, 0, 0])]
#[case::repeated(Spoil::RepeatToken, [0, 0, 10, 0, 0])]
#[case::skipped(Spoil::SkipToken, [0, 10, 0, 0, 0])]
#[case::foreign(Spoil::ForeignToken, [0, 0, 0, 10, 0])]
#[case::no_end(Spoil::NoEnd, [0, 10, 0, 0, 0])]
#[case::error_event(Spoil::ErrorEvent, [0, 10, 0, 0, 0])]
#[case::other_id(Spoil::OtherId, [0, 0, 0, 10, 0])]
#[case::refused(Spoil::Refusal, [0, 0, 0, 0, 10])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spoiled_answers_are_found(#[case] spoil: Spoil, #[case] expected: [u64; 5]) {
    let report = run(spoil).await;
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
