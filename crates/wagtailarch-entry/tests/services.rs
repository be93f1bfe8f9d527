//! Calls of plain services: retries, claims and outcomes.

mod common;

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{QUICK, client, eventually, listed_service, platform, post, read, start};
use http::{Request, Response};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use wagtailarch_entry::Instance;
use wagtailarch_platform::{FakeFaults, FakePlatform};
use wagtailarch_types::{RefusalReason, RetryReason, fingerprint};

/// What a fake service does with one call; without one it answers 201.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Closes the connection without a response.
    Break,
    /// Refuses and says that nothing ran.
    NotRun,
    /// Refuses as a server that leaves, without saying whether the call ran.
    Leave,
}

#[derive(Debug, Default)]
struct FakeService {
    steps: Mutex<VecDeque<Step>>,
    /// Calls that ran, by body.
    ran: Mutex<HashMap<String, u32>>,
    /// Load report; without one the service has none.
    report: Mutex<Option<Value>>,
}

impl FakeService {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let service = Arc::new(Self::default());
        let fake = Arc::clone(&service);
        common::serve(listener, move |request| Arc::clone(&fake).answer(request));
        (service, address)
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<hyper::body::Incoming>,
    ) -> Response<common::FakeBody> {
        if request.uri().path() == "/service/v1/report" {
            let report = self.report.lock().unwrap().clone();
            return match report {
                Some(report) => common::whole(200, report.to_string()),
                None => common::whole(404, "{}".into()),
            };
        }
        let body = http_body_util::BodyExt::collect(request.into_body())
            .await
            .unwrap()
            .to_bytes();
        let body = String::from_utf8(body.to_vec()).unwrap();
        let step = self.steps.lock().unwrap().pop_front();
        if let Some(Step::NotRun) = step {
            let mut response = common::whole(503, "{}".into());
            response
                .headers_mut()
                .insert("x-ran", "no".parse().unwrap());
            return response;
        }
        if let Some(Step::Leave) = step {
            let mut response = common::whole(503, "{}".into());
            response
                .headers_mut()
                .insert("connection", "close".parse().unwrap());
            return response;
        }
        *self.ran.lock().unwrap().entry(body.clone()).or_default() += 1;
        if let Some(Step::Break) = step {
            return common::broken();
        }
        common::whole(201, json!({ "reserved": body }).to_string())
    }

    fn ran(&self) -> u32 {
        self.ran.lock().unwrap().values().sum()
    }
}

async fn fixture() -> (Arc<FakeService>, Arc<FakePlatform>, Instance) {
    let (service, address) = FakeService::start().await;
    let platform = platform(json!([listed_service("s1", address)]));
    let instance = start(&platform, QUICK).await;
    (service, platform, instance)
}

async fn reserve(instance: &Instance, key: &str) -> (u16, Value, bool) {
    call(instance, "/lids/reservations", key).await
}

async fn call(instance: &Instance, path: &str, key: &str) -> (u16, Value, bool) {
    let mut call: Request<Full<_>> = post(instance.client_address(), path, key.to_owned());
    call.headers_mut()
        .insert("idempotency-key", key.parse().unwrap());
    let response = client().request(call).await.unwrap();
    let replayed = response.headers().contains_key("idempotent-replayed");
    let (status, body) = read(response).await;
    (
        status.as_u16(),
        serde_json::from_str(&body).unwrap(),
        replayed,
    )
}

/// Guards against calls that may be repeated but are not, or that are repeated without end.
#[tokio::test]
async fn a_call_that_may_be_repeated_is_retried() {
    let (service, _platform, instance) = fixture().await;
    service
        .steps
        .lock()
        .unwrap()
        .extend([Step::Break, Step::NotRun]);
    assert_eq!(call(&instance, "/lids/quotes", "a").await.0, 201);
    assert_eq!(service.ran(), 2);
    let metrics = &instance.shared().metrics;
    assert_eq!(metrics.outcomes.retries(RetryReason::RefusedNotRun), 1);
    service.steps.lock().unwrap().extend([Step::Break; 5]);
    assert_eq!(call(&instance, "/lids/quotes", "b").await.0, 502);
    assert_eq!(service.ran(), 5);
}

/// Guards against a reservation that runs twice after its connection broke.
#[tokio::test]
async fn a_call_that_may_not_be_repeated_runs_once() {
    let (service, _platform, instance) = fixture().await;
    service.steps.lock().unwrap().push_back(Step::Break);
    let (status, body, _) = reserve(&instance, "a").await;
    assert_eq!(status, 502);
    assert_ne!(body["error"]["ran"], "no");
    assert_eq!(service.ran(), 1);
    let (status, again, replayed) = reserve(&instance, "a").await;
    assert_eq!((status, again, replayed), (502, body, true));
    assert_eq!(service.ran(), 1);
}

/// Guards against a reservation that is given up although it did not run.
#[tokio::test]
async fn a_call_that_did_not_run_is_retried() {
    let (service, _platform, instance) = fixture().await;
    service.steps.lock().unwrap().push_back(Step::NotRun);
    assert_eq!(reserve(&instance, "a").await.0, 201);
    assert_eq!(service.ran(), 1);
}

/// Guards against a refusal of a leaving service that reaches clients, and against work for it.
#[tokio::test]
async fn a_leaving_service_gets_no_new_work() {
    let (leaving, first) = FakeService::start().await;
    let (staying, second) = FakeService::start().await;
    leaving.steps.lock().unwrap().extend([Step::Leave; 40]);
    let items = json!([listed_service("s1", first), listed_service("s2", second)]);
    let instance = start(&platform(items), QUICK).await;
    for number in 0..40 {
        let path = "/lids/quotes";
        assert_eq!(call(&instance, path, &number.to_string()).await.0, 201);
    }
    assert_eq!(staying.ran(), 40);
    assert!(leaving.steps.lock().unwrap().len() >= 39);
}

/// Guards against a second run of a claimed key, at the same or another instance.
#[tokio::test]
async fn a_claimed_key_returns_its_outcome() {
    let (service, platform, instance) = fixture().await;
    let other = start(&platform, QUICK).await;
    let first = reserve(&instance, "a").await;
    assert_eq!((first.0, first.2), (201, false));
    assert_eq!(reserve(&instance, "a").await, (201, first.1.clone(), true));
    // The outcome is written after the response; until then the other instance knows the claim.
    let mut seen = reserve(&other, "a").await;
    for _ in 0..500 {
        if seen.0 == 201 {
            break;
        }
        assert_eq!(seen.1["error"]["code"], "already_accepted");
        tokio::time::sleep(Duration::from_millis(10)).await;
        seen = reserve(&other, "a").await;
    }
    assert_eq!(seen, (201, first.1, true));
    assert_eq!(service.ran(), 1);
}

/// Guards against a call that is sent although its claim could not be recorded.
#[tokio::test]
async fn without_the_platform_a_claimed_call_is_refused() {
    let (service, platform, instance) = fixture().await;
    platform.set_outage(true);
    let (status, body, _) = reserve(&instance, "a").await;
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "claims_unavailable");
    assert_eq!(body["error"]["ran"], "no");
    assert!(body["error"]["retry_after_s"].as_f64().unwrap() > 0.0);
    assert_eq!(service.ran(), 0);
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

/// Guards against double runs when answers of the platform are lost, late or refused.
#[tokio::test]
async fn a_faulty_platform_never_causes_a_second_run() {
    let (service, platform, instance) = fixture().await;
    let other = start(&platform, QUICK).await;
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
    assert!(results.iter().any(|(own, _)| own.0 == 201));
    for (key, count) in &*service.ran.lock().unwrap() {
        assert_eq!(*count, 1, "{key}");
    }
}

/// Guards against calls that are refused because another call with an equal body crashed servers.
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

/// Guards against load reports of plain services that are not used: calls of other instances would
/// then not count.
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
    let instance = start(&platform(json!(items)), QUICK).await;
    eventually("both reports are known", || {
        let views = instance.shared().backends.load();
        views.values().filter(|view| view.report.is_some()).count() == 2
    })
    .await;
    for number in 0..20 {
        let status = call(&instance, "/lids/quotes", &number.to_string()).await.0;
        assert_eq!(status, 201);
    }
    assert_eq!((services[0].ran(), services[1].ran()), (0, 20));
}
