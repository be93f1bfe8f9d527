//! Shutdown without aborted requests, TLS for clients, metrics and the administration API.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    FakeEngine, SHORT_TIMEOUTS, Script, chat_request, client, fake_platform, listed_engine,
    read_response, start, stream_text,
};
use http::Request;
use http_body_util::{BodyExt, Full};
use rustls::pki_types::{CertificateDer, ServerName, pem::PemObject};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wagtailarch_entry::{PeerIdentity, create_authority, create_instance_certificate};
use wagtailarch_types::{RefusalReason, RetryReason};

/// Makes a GET call; returns the status and the body.
async fn get(address: SocketAddr, path: &str, key: Option<&str>) -> (u16, String) {
    let mut call = Request::get(format!("http://{address}{path}"));
    if let Some(key) = key {
        call = call.header("authorization", format!("Bearer {key}"));
    }
    let call = call.body(Full::default()).unwrap();
    let (status, body) = read_response(client().request(call).await.unwrap()).await;
    (status.as_u16(), body)
}

/// Guards against a shutdown that aborts a stream, refuses clients that connect during it, or never
/// ends.
#[tokio::test]
async fn a_drain_aborts_no_request() {
    let engine = FakeEngine::start("e1").await;
    engine.add_script(Script::Generate {
        tokens: 100,
        token_delay: Duration::from_millis(10),
    });
    let instance = start(
        &fake_platform(json!([listed_engine(&engine)])),
        SHORT_TIMEOUTS,
    )
    .await;
    let (client_address, admin_address) = (instance.client_address(), instance.admin_address());
    assert_eq!(get(admin_address, "/readyz", None).await.0, 200);
    let mut body = client()
        .request(chat_request(client_address, "hi", true))
        .await
        .unwrap()
        .into_body();
    let mut received = body
        .frame()
        .await
        .unwrap()
        .unwrap()
        .into_data()
        .unwrap()
        .to_vec();
    let shared = instance.shared().clone();
    let drain = tokio::spawn(instance.drain());
    common::eventually("the start of the drain", || !shared.is_ready()).await;
    assert_eq!(get(admin_address, "/readyz", None).await.0, 503);
    assert_eq!(get(admin_address, "/healthz", None).await.0, 200);
    // The balancer notices the drain with a delay; new clients are served until then.
    let late_response = client()
        .request(chat_request(client_address, "hi", false))
        .await
        .unwrap();
    assert_eq!(read_response(late_response).await.0, 200);
    while let Some(frame) = body.frame().await {
        received.extend_from_slice(&frame.unwrap().into_data().unwrap());
    }
    let received = String::from_utf8(received).unwrap();
    assert_eq!(stream_text(&received), (common::text(100), true));
    assert!(drain.await.unwrap());
    assert!(
        client()
            .request(chat_request(client_address, "hi", false))
            .await
            .is_err()
    );
}

/// Guards against a request that ends without a response, since the drain time is over before its
/// engine responds (issue 44).
#[tokio::test]
async fn a_request_that_outlasts_the_drain_gets_a_response() {
    let engine = FakeEngine::start("e1").await;
    engine.add_script(Script::Generate {
        tokens: 1,
        token_delay: Duration::from_secs(60),
    });
    let platform = fake_platform(json!([listed_engine(&engine)]));
    let timeouts = SHORT_TIMEOUTS.replace("first_token_ms = 2000", "first_token_ms = 60000");
    let instance = start(&platform, &format!("{timeouts}drain_ms = 1000\n")).await;
    let request = chat_request(instance.client_address(), "hi", false);
    let call = tokio::spawn(async move { client().request(request).await });
    common::eventually("the call of the engine", || {
        !engine.calls.lock().unwrap().is_empty()
    })
    .await;
    let drain = tokio::spawn(instance.drain());
    let response = call.await.unwrap().expect("a response");
    assert_eq!(response.headers()["x-ran"], "unknown");
    let (status, body) = read_response(response).await;
    assert_eq!(status, 503);
    assert!(body.contains("\"draining\""), "{body}");
    drain.await.unwrap();
}

/// Guards against TLS without HTTP/2, and against clients that keep a connection open without a
/// request.
#[tokio::test]
async fn tls_offers_both_protocols() {
    let keys = tempfile::tempdir().unwrap();
    let identity = PeerIdentity {
        instance: "entry-1".into(),
        zone: "buda-a".into(),
    };
    create_authority(keys.path(), (2036, 1, 1)).unwrap();
    create_instance_certificate(keys.path(), &identity, (2036, 1, 1)).unwrap();
    let file = |name: &str| keys.path().join(name);
    let (cert, key) = (file("entry-1.pem"), file("entry-1.key"));
    let extra = format!(
        "[timeouts]\nheader_ms = 1000\n[client_tls]\ncert_file = {cert:?}\nkey_file = {key:?}\n"
    );
    let instance = start(&fake_platform(json!([])), &extra).await;
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_file(file("ca.pem")).unwrap())
        .unwrap();
    for protocol in ["h2", "http/1.1"] {
        let provider = rustls::crypto::ring::default_provider().into();
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots.clone())
            .with_no_client_auth();
        config.alpn_protocols = vec![protocol.into()];
        let stream = TcpStream::connect(instance.client_address()).await.unwrap();
        let name = ServerName::try_from("entry-1.buda-a.wagtail").unwrap();
        let connector = tokio_rustls::TlsConnector::from(std::sync::Arc::new(config));
        let mut stream = connector.connect(name, stream).await.unwrap();
        assert_eq!(
            stream.get_ref().1.alpn_protocol(),
            Some(protocol.as_bytes())
        );
        if protocol == "http/1.1" {
            let head = "GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
        }
        let mut response = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut response));
        let _ = read.await.expect("the server closes");
        assert_eq!(
            response.starts_with(b"HTTP/1.1 401"),
            protocol == "http/1.1"
        );
    }
}

/// Guards against counters that are missing from the metrics until their first event.
#[tokio::test]
async fn every_reason_has_a_counter_from_the_start() {
    let instance = start(&fake_platform(json!([])), SHORT_TIMEOUTS).await;
    let (status, metrics) = get(instance.admin_address(), "/metrics", None).await;
    assert_eq!(status, 200);
    for reason in RefusalReason::ALL {
        let line = format!("wagtail_refusals_total{{reason=\"{reason}\"}} 0");
        assert!(metrics.contains(&line), "{line}");
    }
    for reason in RetryReason::ALL {
        let line = format!("wagtail_retries_total{{reason=\"{reason}\"}} 0");
        assert!(metrics.contains(&line), "{line}");
    }
    assert!(metrics.contains("wagtail_dropped_frames_total{cause=\"other_request\"} 0"));
}

/// Guards against an administration API that accepts calls without a key or with a client's key.
#[tokio::test]
async fn the_administration_api_needs_its_own_key() {
    let engine = FakeEngine::start("e1").await;
    let hash = blake3::hash(b"admin-secret").to_hex();
    let extra =
        format!("{SHORT_TIMEOUTS}[[admin_key]]\nname = \"ops\"\nkey_hash = \"blake3:{hash}\"\n");
    let instance = start(&fake_platform(json!([listed_engine(&engine)])), &extra).await;
    let address = instance.admin_address();
    for key in [None, Some(common::KEY), Some("admin-secret ")] {
        let (status, _) = get(address, "/admin/v1/generation", key).await;
        assert_eq!(status == 401, key != Some("admin-secret "), "{key:?}");
    }
    let (_, body) = get(address, "/admin/v1/generation", Some("admin-secret")).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(
        (&body["generation"], &body["ready"]),
        (&json!(1), &json!(true))
    );
    let (_, body) = get(address, "/admin/v1/backends", Some("admin-secret")).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["backends"][0]["id"], "e1");
    assert_eq!(body["backends"][0]["accepting"], true);
    assert_eq!(
        get(address, "/admin/v1/quarantine", Some("admin-secret"))
            .await
            .0,
        200
    );
}
