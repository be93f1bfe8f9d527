//! Calls to plain services: retries, claims and stored outcomes.

mod common;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{
    SHORT_TIMEOUTS, client, eventually, fake_platform, listed_service, post_request, read_response,
    start,
};
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use wagtailarch_entry::Instance;
use wagtailarch_platform::{FakeFaults, FakePlatform};
use wagtailarch_types::{RefusalReason, RetryReason, fingerprint};

/// How a fake service handles one call.
#[derive(Debug, Clone, Copy)]
enum Script {
    /// Runs the call and closes the connection without a response.
    Break,
    /// Refuses the call with `x-ran: no`.
    RefuseNotRun,
    /// Refuses the call as a leaving server, without stating whether it ran.
    RefuseLeaving,
}

/// A fake service that handles each call by the next script, and runs it if there is none.
#[derive(Debug, Default)]
struct FakeService {
    scripts: Mutex<VecDeque<Script>>,
    /// Number of runs by the body of the call.
    runs: Mutex<HashMap<String, u32>>,
    /// Load report; if absent, the service does not provide one.
    report: Mutex<Option<Value>>,
}

impl FakeService {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Arc::new(Self::default());
        let fake = Arc::clone(&service);
        common::serve(listener, move |request| Arc::clone(&fake).handle(request));
        (service, address)
    }

    async fn handle(
        self: Arc<Self>,
        request: Request<hyper::body::Incoming>,
    ) -> Response<common::FakeBody> {
        if request.uri().path() == "/service/v1/report" {
            let report = self.report.lock().unwrap().clone();
            return match report {
                Some(report) => common::full_response(200, report.to_string()),
                None => common::full_response(404, "{}".into()),
            };
        }
        let body = http_body_util::BodyExt::collect(request.into_body())
            .await
            .unwrap()
            .to_bytes();
        let body = String::from_utf8(body.to_vec()).unwrap();
        let script = self.scripts.lock().unwrap().pop_front();
        if let Some(Script::RefuseNotRun) = script {
            let mut response = common::full_response(503, "{}".into());
            response
                .headers_mut()
                .insert("x-ran", "no".parse().unwrap());
            return response;
        }
        if let Some(Script::RefuseLeaving) = script {
            let mut response = common::full_response(503, "{}".into());
            response
                .headers_mut()
                .insert("connection", "close".parse().unwrap());
            return response;
        }
        *self.runs.lock().unwrap().entry(body.clone()).or_default() += 1;
        if let Some(Script::Break) = script {
            return common::broken_response();
        }
        common::full_response(201, json!({ "reserved": body }).to_string())
    }

    fn run_count(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }
}

/// Starts a fake service, a platform that lists it, and an instance that uses both.
async fn fixture() -> (Arc<FakeService>, Arc<FakePlatform>, Instance) {
    let (service, address) = FakeService::start().await;
    let platform = fake_platform(json!([listed_service("s1", address)]));
    let instance = start(&platform, SHORT_TIMEOUTS).await;
    (service, platform, instance)
}

/// Makes a non-idempotent call; see [`call`].
async fn reserve(instance: &Instance, key: &str) -> (u16, Value, bool) {
    call(instance, "/lids/reservations", key).await
}

/// Makes a call with an idempotency key, which is also its body; returns the status, the body and
/// whether the response is a replayed outcome.
async fn call(instance: &Instance, path: &str, key: &str) -> (u16, Value, bool) {
    let mut call: Request<Full<_>> = post_request(instance.client_address(), path, key.to_owned());
    call.headers_mut()
        .insert("idempotency-key", key.parse().unwrap());
    let response = client().request(call).await.unwrap();
    let replayed = response.headers().contains_key("idempotent-replayed");
    let (status, body) = read_response(response).await;
    (
        status.as_u16(),
        serde_json::from_str(&body).unwrap(),
        replayed,
    )
}

/// Guards against idempotent calls that are not retried, or that are retried without a bound.
#[tokio::test]
async fn an_idempotent_call_is_retried() {
    let (service, _platform, instance) = fixture().await;
    service
        .scripts
        .lock()
        .unwrap()
        .extend([Script::Break, Script::RefuseNotRun]);
    assert_eq!(call(&instance, "/lids/quotes", "a").await.0, 201);
    assert_eq!(service.run_count(), 2);
    let metrics = &instance.shared().metrics;
    assert_eq!(metrics.outcomes.retries(RetryReason::RefusedNotRun), 1);
    service.scripts.lock().unwrap().extend([Script::Break; 5]);
    assert_eq!(call(&instance, "/lids/quotes", "b").await.0, 502);
    assert_eq!(service.run_count(), 5);
}

/// Guards against a non-idempotent call that runs twice after its connection broke.
#[tokio::test]
async fn a_non_idempotent_call_runs_once() {
    let (service, _platform, instance) = fixture().await;
    service.scripts.lock().unwrap().push_back(Script::Break);
    let (status, body, _) = reserve(&instance, "a").await;
    assert_eq!(status, 502);
    assert_ne!(body["error"]["ran"], "no");
    assert_eq!(service.run_count(), 1);
    let (status, replayed_body, replayed) = reserve(&instance, "a").await;
    assert_eq!((status, replayed_body, replayed), (502, body, true));
    assert_eq!(service.run_count(), 1);
}

/// Guards against a non-idempotent call that is not retried although it did not run.
#[tokio::test]
async fn a_call_that_did_not_run_is_retried() {
    let (service, _platform, instance) = fixture().await;
    service
        .scripts
        .lock()
        .unwrap()
        .push_back(Script::RefuseNotRun);
    assert_eq!(reserve(&instance, "a").await.0, 201);
    assert_eq!(service.run_count(), 1);
}

/// Guards against refusals of a leaving service that reach clients, and against further calls to
/// it.
#[tokio::test]
async fn a_leaving_service_gets_no_new_calls() {
    let (leaving, leaving_address) = FakeService::start().await;
    let (staying, staying_address) = FakeService::start().await;
    leaving
        .scripts
        .lock()
        .unwrap()
        .extend([Script::RefuseLeaving; 40]);
    let items = json!([
        listed_service("s1", leaving_address),
        listed_service("s2", staying_address)
    ]);
    let instance = start(&fake_platform(items), SHORT_TIMEOUTS).await;
    for number in 0..40 {
        let path = "/lids/quotes";
        assert_eq!(call(&instance, path, &number.to_string()).await.0, 201);
    }
    assert_eq!(staying.run_count(), 40);
    assert!(leaving.scripts.lock().unwrap().len() >= 39);
}

/// Guards against a call that runs again under a claimed key, at the same or another instance.
#[tokio::test]
async fn a_claimed_key_returns_its_outcome() {
    let (service, platform, instance) = fixture().await;
    let other = start(&platform, SHORT_TIMEOUTS).await;
    let first = reserve(&instance, "a").await;
    assert_eq!((first.0, first.2), (201, false));
    assert_eq!(reserve(&instance, "a").await, (201, first.1.clone(), true));
    // The outcome is stored after the response was sent; until then the other instance finds only
    // the claim.
    let mut repeated = reserve(&other, "a").await;
    for _ in 0..500 {
        if repeated.0 == 201 {
            break;
        }
        assert_eq!(repeated.1["error"]["code"], "already_accepted");
        tokio::time::sleep(Duration::from_millis(10)).await;
        repeated = reserve(&other, "a").await;
    }
    assert_eq!(repeated, (201, first.1, true));
    assert_eq!(service.run_count(), 1);
}

/// Guards against a call that runs although its claim could not be stored.
#[tokio::test]
async fn without_the_platform_a_claimed_call_is_refused() {
    let (service, platform, instance) = fixture().await;
    platform.set_outage(true);
    let (status, body, _) = reserve(&instance, "a").await;
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "claims_unavailable");
    assert_eq!(body["error"]["ran"], "no");
    assert!(body["error"]["retry_after_s"].as_f64().unwrap() > 0.0);
    assert_eq!(service.run_count(), 0);
    assert_eq!(call(&instance, "/lids/quotes", "b").await.0, 201);
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .refusals(RefusalReason::ClaimsUnavailable),
        1
    );
}

/// Guards against calls that run twice when the platform is unavailable, when its responses are
/// lost, and when writes are lost or late.
#[tokio::test]
async fn a_faulty_platform_never_causes_a_second_run() {
    let (service, platform, instance) = fixture().await;
    let other = start(&platform, SHORT_TIMEOUTS).await;
    platform.set_faults(FakeFaults {
        unavailable_ratio: 0.05,
        lost_response_ratio: 0.2,
        lost_write_ratio: 0.1,
        late_write_ratio: 0.1,
        ..FakeFaults::default()
    });
    let mut calls = Vec::new();
    for number in 0..60 {
        let key = format!("key-{}", number % 20);
        let (instance, other) = (&instance, &other);
        calls.push(async move { (reserve(instance, &key).await, reserve(other, &key).await) });
    }
    let results = futures_util::future::join_all(calls).await;
    assert!(results.iter().any(|(first, _)| first.0 == 201));
    for (key, count) in &*service.runs.lock().unwrap() {
        assert_eq!(*count, 1, "{key}");
    }
}

/// Guards against calls that are refused because another call with the same body crashed servers.
#[tokio::test]
async fn only_the_crashing_call_is_quarantined() {
    let (_service, _platform, instance) = fixture().await;
    let shared = instance.shared();
    let fingerprint = fingerprint(&[b"counter-east", b"lids", b"POST /lids/quotes?id=1", b"same"]);
    for server in ["one", "two"] {
        let (now, server) = (shared.now(), server.into());
        shared.quarantine.on_crash(now, &server, &[fingerprint]);
    }
    assert_eq!(call(&instance, "/lids/quotes?id=1", "same").await.0, 422);
    assert_eq!(call(&instance, "/lids/quotes?id=2", "same").await.0, 201);
}

/// Guards against load reports of plain services that are ignored: the load from other instances
/// would then not count.
#[tokio::test]
async fn a_busy_service_gets_no_calls_while_another_is_idle() {
    let mut services = Vec::new();
    let mut items = Vec::new();
    for (id, running) in [("s1", 50), ("s2", 0)] {
        let (service, address) = FakeService::start().await;
        let report = json!({"service": id, "boot_id": 1, "seq": 1, "running": running,
            "max_running": 64, "state": "serving"});
        *service.report.lock().unwrap() = Some(report);
        services.push(service);
        items.push(listed_service(id, address));
    }
    let instance = start(&fake_platform(json!(items)), SHORT_TIMEOUTS).await;
    eventually("both load reports", || {
        let views = instance.shared().backends.load();
        views.values().filter(|view| view.report.is_some()).count() == 2
    })
    .await;
    for number in 0..20 {
        let status = call(&instance, "/lids/quotes", &number.to_string()).await.0;
        assert_eq!(status, 201);
    }
    assert_eq!((services[0].run_count(), services[1].run_count()), (0, 20));
}
