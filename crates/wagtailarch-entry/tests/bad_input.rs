//! Invalid requests: each is refused with its own status and counted, and others are still served.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{
    FakeEngine, KEY, SHORT_TIMEOUTS, chat_request, client, fake_platform, listed_engine,
    listed_service, post_request, read_response, start,
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

/// Starts an engine, and an instance with short timeouts and low limits.
async fn fixture() -> (Arc<FakeEngine>, Instance) {
    let engine = FakeEngine::start("e1").await;
    let platform = fake_platform(json!([listed_engine(&engine)]));
    let instance = start(&platform, SETTINGS).await;
    (engine, instance)
}

/// Sends raw bytes and returns everything that is received until the connection closes.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(5), read)
        .await
        .expect("the server closes");
    String::from_utf8_lossy(&response).into_owned()
}

/// Asserts that the instance still serves a valid call.
async fn assert_serves(instance: &Instance) {
    let response = client()
        .request(chat_request(instance.client_address(), "hi", false))
        .await
        .unwrap();
    assert_eq!(read_response(response).await.0, 200);
}

/// Guards against refusals with a wrong status or code, or without the counter or `ran: no`.
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
async fn an_invalid_call_is_refused(
    #[case] path: &str,
    #[case] body: &str,
    #[case] reason: RefusalReason,
) {
    let (engine, instance) = fixture().await;
    let call = post_request(instance.client_address(), path, body.to_owned());
    let response = client().request(call).await.unwrap();
    assert!(response.headers().contains_key("x-request-id"));
    let (status, body) = read_response(response).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status.as_u16(), reason.status(), "{body}");
    assert_eq!(body["error"]["code"], reason.as_str());
    assert_eq!(body["error"]["ran"], "no");
    assert_eq!(instance.shared().metrics.outcomes.refusals(reason), 1);
    assert!(engine.calls().is_empty());
    assert_serves(&instance).await;
}

/// Guards against missing, empty, wrong and malformed keys that are accepted.
#[rstest]
#[case::missing(None)]
#[case::empty(Some("Bearer ".to_owned()))]
#[case::wrong(Some("Bearer other-key".to_owned()))]
#[case::other_scheme(Some(format!("Basic {KEY}")))]
#[tokio::test]
async fn an_invalid_key_is_refused(#[case] key: Option<String>) {
    let (_engine, instance) = fixture().await;
    let mut call = Request::get(format!("http://{}/v1/models", instance.client_address()));
    if let Some(key) = key {
        call = call.header("authorization", key);
    }
    let response = client()
        .request(call.body(Full::default()).unwrap())
        .await
        .unwrap();
    assert_eq!(read_response(response).await.0, 401);
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .refusals(RefusalReason::Unauthorized),
        1
    );
}

/// Guards against bodies above the size limit that are buffered, with a stated length or without.
#[tokio::test]
async fn an_oversized_body_is_refused() {
    let (_engine, instance) = fixture().await;
    let body = "x".repeat(5_000);
    let response = client()
        .request(post_request(
            instance.client_address(),
            "/v1/completions",
            body,
        ))
        .await;
    assert_eq!(read_response(response.unwrap()).await.0, 413);
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         transfer-encoding: chunked\r\n\r\n1800\r\n{}\r\n",
        "x".repeat(0x1800),
    );
    let chunked = send_raw(instance.client_address(), head.as_bytes()).await;
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

/// Guards against clients that keep a connection open with a request that they never finish.
#[rstest]
#[case::half_a_line("GET /v1/mod", true)]
#[case::half_the_headers("GET /v1/models HTTP/1.1\r\nhost: somewhere\r\n", true)]
#[case::nothing("", false)]
#[tokio::test]
async fn slow_headers_end_the_connection(#[case] sent: &str, #[case] gets_response: bool) {
    let (_engine, instance) = fixture().await;
    let response = send_raw(instance.client_address(), sent.as_bytes()).await;
    assert_eq!(
        response.starts_with("HTTP/1.1 408"),
        gets_response,
        "{response}"
    );
    let counted = instance
        .shared()
        .metrics
        .outcomes
        .refusals(RefusalReason::HeadersTooSlow);
    assert_eq!(counted, u64::from(gets_response));
    assert_serves(&instance).await;
}

/// Guards against a body that never ends and keeps its memory allocated.
#[tokio::test]
async fn a_slow_body_is_refused() {
    let (engine, instance) = fixture().await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{\"model\""
    );
    let response = send_raw(instance.client_address(), head.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(engine.calls().is_empty());
}

/// Guards against a request that runs although its body is truncated.
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

/// Guards against headers of unbounded size.
#[tokio::test]
async fn oversized_headers_are_refused() {
    let (_engine, instance) = fixture().await;
    let head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx-big: {}\r\n\r\n",
        "y".repeat(40_000)
    );
    let response = send_raw(instance.client_address(), head.as_bytes()).await;
    assert!(
        response.starts_with("HTTP/1.1 431") || response.is_empty(),
        "{response}"
    );
    assert_serves(&instance).await;
}

/// Guards against new connections above the limit that displace open ones of other clients.
#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let (_engine, instance) = fixture().await;
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(TcpStream::connect(instance.client_address()).await.unwrap());
    }
    let response = send_raw(instance.client_address(), b"").await;
    assert_eq!(response, "");
    let head = format!("GET /v1/models HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\r\n");
    open[0].write_all(head.as_bytes()).await.unwrap();
    let mut status_line = [0; 12];
    open[0].read_exact(&mut status_line).await.unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 200");
    drop(open);
}

/// Guards against a client's key that is forwarded to a service, and against a wrong content length
/// in the response to HEAD.
#[tokio::test]
async fn a_plain_service_does_not_receive_the_key() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    common::serve(listener, |request| async move {
        let has_key = request.headers().contains_key("authorization");
        common::full_response(200, format!("{} {has_key}", request.uri()))
    });
    let platform = fake_platform(json!([listed_service("s1", address)]));
    let instance = start(&platform, SHORT_TIMEOUTS).await;
    let uri = format!("http://{}/lids/3?full=1", instance.client_address());
    let call = Request::get(uri).header("authorization", format!("Bearer {KEY}"));
    let response = client()
        .request(call.body(Full::default()).unwrap())
        .await
        .unwrap();
    let expected = (http::StatusCode::OK, "/lids/3?full=1 false".to_owned());
    assert_eq!(read_response(response).await, expected);
    let uri = format!("http://{}/lids/3", instance.client_address());
    let call = Request::head(uri).header("authorization", format!("Bearer {KEY}"));
    let call = call.body(Full::default()).unwrap();
    let response = client().request(call).await.unwrap();
    assert_eq!(response.headers()["content-length"], "13");
}

/// Guards against a refusal that is lost, since closing a connection with unread bytes resets it,
/// and against a kept connection that is closed without notice.
#[rstest]
#[case::unknown_route("/nowhere", KEY, 404)]
#[case::unknown_key("/v1/completions", "wrong", 401)]
#[tokio::test]
async fn a_refusal_arrives_and_the_connection_is_kept(
    #[case] path: &str,
    #[case] key: &str,
    #[case] expected: u16,
    #[values(4, 4096)] body_bytes: usize,
) {
    let (_engine, instance) = fixture().await;
    let mut stream = TcpStream::connect(instance.client_address()).await.unwrap();
    for _ in 0..3 {
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {key}\r\n\
             content-length: {body_bytes}\r\n\r\n"
        );
        // A failed write shows as a missing response.
        let _ = stream.write_all(head.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let _ = stream.write_all(&vec![b'x'; body_bytes]).await;
        let mut response = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut response));
        let count = read.await.expect("in time").unwrap_or(0);
        let response = String::from_utf8_lossy(&response[..count]).into_owned();
        assert!(
            response.starts_with(&format!("HTTP/1.1 {expected}")),
            "{response}"
        );
    }
}
