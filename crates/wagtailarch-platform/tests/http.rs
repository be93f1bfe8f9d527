//! Tests of the HTTP client with scripted responses on loopback connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wagtailarch_platform::{
    HttpPlatform, HttpPlatformConfig, Platform, PlatformError, Precondition,
};

/// Accepts connections, sends `response` to the first request of each and closes the connection.
/// The response "none" is delayed beyond the timeout of the client.
///
/// Returns the address and a receiver of the raw requests.
async fn serve(response: &'static str) -> (SocketAddr, tokio::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = tokio::sync::mpsc::channel(16);
    tokio::spawn(async move {
        for _ in 0..16 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buffer = vec![0; 4096];
            let len = stream.read(&mut buffer).await.unwrap();
            let _ = sender
                .send(String::from_utf8_lossy(&buffer[..len]).into_owned())
                .await;
            if response == "none" {
                tokio::time::sleep(Duration::from_secs(5)).await;
            }
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    (address, receiver)
}

fn client(address: SocketAddr) -> HttpPlatform {
    let mut config = HttpPlatformConfig::new(address);
    config.call_timeout = Duration::from_millis(300);
    HttpPlatform::new(config)
}

fn error_kind(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::Conflict => "conflict",
        PlatformError::NotFound => "not_found",
        PlatformError::RateLimited { .. } => "rate_limited",
        PlatformError::Unavailable(_) => "unavailable",
        PlatformError::Unknown(_) => "unknown",
        PlatformError::Expired => "expired",
        PlatformError::TooLarge { .. } => "too_large",
        PlatformError::Protocol(_) => "protocol",
    }
}

/// Guards against reporting a write as failed although it may have taken effect, and the reverse.
#[rstest]
#[case::precondition_failed("HTTP/1.1 412 x\r\ncontent-length: 0\r\n\r\n", "conflict", "conflict")]
#[case::rate_limited(
    "HTTP/1.1 429 x\r\ncontent-length: 0\r\n\r\n",
    "rate_limited",
    "rate_limited"
)]
#[case::outage(
    "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n",
    "unavailable",
    "unavailable"
)]
#[case::gateway(
    "HTTP/1.1 502 x\r\ncontent-length: 0\r\n\r\n",
    "unknown",
    "unavailable"
)]
#[case::closed("", "unknown", "unavailable")]
#[case::no_response("none", "unknown", "unavailable")]
#[case::garbage("SMTP ready\r\n\r\n", "unknown", "unavailable")]
#[case::no_etag("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n", "unknown", "protocol")]
#[tokio::test]
async fn failures_are_classified(
    #[case] response: &'static str,
    #[case] write_error: &str,
    #[case] read_error: &str,
) {
    let (address, mut requests) = serve(response).await;
    let platform = client(address);
    let write = platform
        .put("k", Bytes::from_static(b"v"), Precondition::Absent)
        .await
        .unwrap_err();
    assert_eq!(error_kind(&write), write_error, "{write}");
    assert!(
        requests
            .recv()
            .await
            .unwrap()
            .starts_with("PUT /v1/objects/k ")
    );
    assert!(requests.try_recv().is_err(), "the client retried a write");
    let read = platform.get("k").await.unwrap_err();
    assert_eq!(error_kind(&read), read_error, "{read}");
}

/// Guards against reporting the outcome of a write as unknown although it was never sent.
#[rstest]
#[tokio::test]
async fn a_failed_connect_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = client(address)
        .put("k", Bytes::new(), Precondition::Any)
        .await
        .unwrap_err();
    assert_eq!(error_kind(&error), "unavailable", "{error}");
}

/// Guards against wrong preconditions, escapes and versions in requests and responses.
#[rstest]
#[tokio::test]
async fn requests_follow_the_protocol() {
    let (address, mut requests) =
        serve("HTTP/1.1 200 x\r\netag: \"42\"\r\ncontent-length: 1\r\n\r\nv").await;
    let platform = client(address);
    let version = platform
        .put("a b/ü?", Bytes::new(), Precondition::Version(7))
        .await
        .unwrap();
    assert_eq!(version, 42);
    let request = requests.recv().await.unwrap();
    assert!(
        request.starts_with("PUT /v1/objects/a%20b/%C3%BC%3F HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("if-match: \"7\"\r\n"), "{request}");
    platform
        .put("k", Bytes::new(), Precondition::Absent)
        .await
        .unwrap();
    assert!(
        requests
            .recv()
            .await
            .unwrap()
            .contains("if-none-match: *\r\n")
    );
    let object = platform.get("k").await.unwrap().unwrap();
    assert_eq!(
        (object.version, object.value),
        (42, Bytes::from_static(b"v"))
    );
}

/// Guards against list values that are not decoded from base64 and against a lost page key.
#[rstest]
#[tokio::test]
async fn list_values_are_decoded() {
    const BODY: &str = "HTTP/1.1 200 x\r\ncontent-length: 87\r\n\r\n\
        {\"revision\":5,\"items\":[{\"key\":\"k/1\",\"version\":3,\"value_base64\":\"dsO8\"}],\
        \"next\":\"k/1\"}    ";
    let (address, mut requests) = serve(BODY).await;
    let page = client(address).list("k/", Some("k/0"), 1).await.unwrap();
    assert_eq!((page.revision, page.next.as_deref()), (5, Some("k/1")));
    assert_eq!(page.items[0].value, "vü".as_bytes());
    let request = requests.recv().await.unwrap();
    assert!(
        request.starts_with("GET /v1/list?prefix=k/&limit=1&after=k/0 "),
        "{request}"
    );
}

/// Guards against one odd entry of another writer that hides the list of instances.
#[tokio::test]
async fn an_odd_entry_does_not_hide_the_other_instances() {
    let good = |id: &str| {
        format!(
            r#"{{"id":"{id}","kind":"engine","zone":"a","address":"10.0.0.1:80","state":"live"}}"#
        )
    };
    let nested = "[".repeat(10_000) + &"]".repeat(10_000);
    let odd = [
        nested,
        r#"{"id":"odd","kind":"engine","zone":1e999}"#.to_owned(),
        r#"{"id":"odd","kind":"unknown"}"#.to_owned(),
        "null".to_owned(),
    ];
    let items = [good("first"), odd.join(","), good("last")].join(",");
    let body = format!(r#"{{"revision":4,"items":[{items}]}}"#);
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (address, _requests) = serve(response.leak()).await;
    let list = client(address).instances().await.expect("a usable list");
    let ids: Vec<_> = list.items.iter().map(|item| item.id.as_str()).collect();
    assert_eq!(ids, ["first", "last"]);
    assert_eq!(list.revision, 4);
}
