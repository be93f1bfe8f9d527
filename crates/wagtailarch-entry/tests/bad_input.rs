//! Bad input is refused with its own status and counted, and other requests are served.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    FakeEngine, KEY, QUICK, chat, client, listed, listed_service, platform, post, read, start,
};
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wagtailarch_entry::Instance;
use wagtailarch_types::RefusalReason;

const SETTINGS: &str = "[timeouts]\nlist_ms = 50\nreport_ms = 50\nheader_ms = 1000\nbody_ms = 1000\n\
    [limits]\nbody_bytes = 4096\nconnections = 8\n";

async fn fixture() -> (Arc<FakeEngine>, Instance) {
    let engine = FakeEngine::start("e1").await;
    let platform = platform(json!([listed(&engine)]));
    let instance = start(&platform, SETTINGS).await;
    (engine, instance)
}

/// Sends raw bytes and returns what comes back before the connection closes.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(5), read)
        .await
        .expect("the server closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a bad call that disturbs the instance: a good one must succeed afterwards.
async fn assert_serves(instance: &Instance) {
    let good = client()
        .request(chat(instance.client_address(), "hi", false))
        .await
        .unwrap();
    assert_eq!(read(good).await.0, 200);
}

/// Guards against refusals without the right status, code, or counter, and without "not run".
#[rstest]
#[case::not_json("/v1/chat/completions", "{", RefusalReason::BadRequest)]
#[case::no_messages(
    "/v1/chat/completions",
    r#"{"model":"fedel"}"#,
    RefusalReason::BadRequest
)]
#[case::unknown_model(
    "/v1/completions",
    r#"{"model":"gull","prompt":"x"}"#,
    RefusalReason::UnknownModel
)]
#[case::unknown_adapter(
    "/v1/completions",
    r#"{"model":"fedel:tar","prompt":"x"}"#,
    RefusalReason::UnknownModel
)]
#[case::no_tokens(
    "/v1/completions",
    r#"{"model":"fedel","prompt":"x","max_tokens":0}"#,
    RefusalReason::BadRequest
)]
#[case::unknown_route("/nowhere", "{}", RefusalReason::UnknownRoute)]
#[case::hidden_route("/lids/quotes/../reservations", "{}", RefusalReason::BadRequest)]
#[tokio::test]
async fn a_wrong_call_is_refused(
    #[case] path: &str,
    #[case] body: &str,
    #[case] reason: RefusalReason,
) {
    let (engine, instance) = fixture().await;
    let call = post(instance.client_address(), path, body.to_owned());
    let response = client().request(call).await.unwrap();
    assert!(response.headers().contains_key("x-request-id"));
    let (status, body) = read(response).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status.as_u16(), reason.status(), "{body}");
    assert_eq!(body["error"]["code"], reason.as_str());
    assert_eq!(body["error"]["ran"], "no");
    assert_eq!(instance.shared().metrics.outcomes.refusals(reason), 1);
    assert!(engine.calls().is_empty());
    assert_serves(&instance).await;
}

/// Guards against keys that are accepted although they are missing, empty, wrong or malformed.
#[rstest]
#[case::missing(None)]
#[case::empty(Some("Bearer ".to_owned()))]
#[case::wrong(Some("Bearer other-key".to_owned()))]
#[case::other_scheme(Some(format!("Basic {KEY}")))]
#[tokio::test]
async fn a_wrong_key_is_refused(#[case] key: Option<String>) {
    let (_engine, instance) = fixture().await;
    let mut call = Request::get(format!("http://{}/v1/models", instance.client_address()));
    if let Some(key) = key {
        call = call.header("authorization", key);
    }
    let response = client()
        .request(call.body(Full::default()).unwrap())
        .await
        .unwrap();
    assert_eq!(read(response).await.0, 401);
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .refusals(RefusalReason::Unauthorized),
        1
    );
}

/// Guards against bodies that are held although they are over the limit.
#[tokio::test]
async fn an_oversized_body_is_refused() {
    let (_engine, instance) = fixture().await;
    let body = "x".repeat(5_000);
    let stated = client()
        .request(post(instance.client_address(), "/v1/completions", body))
        .await;
    assert_eq!(read(stated.unwrap()).await.0, 413);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n1800\r\n{}\r\n",
        "x".repeat(0x1800),
    );
    let chunked = raw(instance.client_address(), head.as_bytes()).await;
    assert!(chunked.starts_with("HTTP/1.1 413"), "{chunked}");
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .refusals(RefusalReason::BodyTooLarge),
        2
    );
    assert_serves(&instance).await;
}

/// Guards against clients that hold a connection with a request they never finish.
#[rstest]
#[case::half_a_line("GET /v1/mod", true)]
#[case::half_the_headers("GET /v1/models HTTP/1.1\r\nhost: somewhere\r\n", true)]
#[case::nothing("", false)]
#[tokio::test]
async fn slow_headers_end_the_connection(#[case] sent: &str, #[case] answered: bool) {
    let (_engine, instance) = fixture().await;
    let answer = raw(instance.client_address(), sent.as_bytes()).await;
    assert_eq!(answer.starts_with("HTTP/1.1 408"), answered, "{answer}");
    let counted = instance
        .shared()
        .metrics
        .outcomes
        .refusals(RefusalReason::HeadersTooSlow);
    assert_eq!(counted, u64::from(answered));
    assert_serves(&instance).await;
}

/// Guards against a body that never ends and holds its memory.
#[tokio::test]
async fn a_slow_body_is_refused() {
    let (engine, instance) = fixture().await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{\"model\""
    );
    let answer = raw(instance.client_address(), head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(engine.calls().is_empty());
}

/// Guards against a truncated body that is run as if it were whole.
#[tokio::test]
async fn a_truncated_body_does_not_run() {
    let (engine, instance) = fixture().await;
    let mut stream = TcpStream::connect(instance.client_address()).await.unwrap();
    let body = r#"{"model":"fedel","prompt":"x"}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    drop(stream);
    assert_serves(&instance).await;
    assert_eq!(engine.calls().len(), 1);
}

/// Guards against header blocks that grow without bound.
#[tokio::test]
async fn oversized_headers_are_refused() {
    let (_engine, instance) = fixture().await;
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx-big: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    let answer = raw(instance.client_address(), head.as_bytes()).await;
    assert!(
        answer.starts_with("HTTP/1.1 431") || answer.is_empty(),
        "{answer}"
    );
    assert_serves(&instance).await;
}

/// Guards against connections that take the place of other clients' open ones.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let (_engine, instance) = fixture().await;
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(TcpStream::connect(instance.client_address()).await.unwrap());
    }
    let answer = raw(instance.client_address(), b"").await;
    assert_eq!(answer, "");
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    open[0].write_all(head.as_bytes()).await.unwrap();
    let mut first = [0; 12];
    open[0].read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    drop(open);
}

/// Guards against a service that sees a client's key, and against a wrong length for HEAD.
#[tokio::test]
async fn a_plain_service_does_not_see_the_key() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    common::serve(listener, |request| async move {
        let seen = request.headers().contains_key("authorization");
        common::whole(200, format!("{} {seen}", request.uri()))
    });
    let platform = platform(json!([listed_service("s1", address)]));
    let instance = start(&platform, QUICK).await;
    let uri = format!("http://{}/lids/3?full=1", instance.client_address());
    let call = Request::get(uri).header("authorization", format!("Bearer {KEY}"));
    let response = client()
        .request(call.body(Full::default()).unwrap())
        .await
        .unwrap();
    let whole = (http::StatusCode::OK, "/lids/3?full=1 false".to_owned());
    assert_eq!(read(response).await, whole);
    let uri = format!("http://{}/lids/3", instance.client_address());
    let call = Request::head(uri).header("authorization", format!("Bearer {KEY}"));
    let call = call.body(Full::default()).unwrap();
    let response = client().request(call).await.unwrap();
    assert_eq!(response.headers()["content-length"], "13");
}
