//! Responses of model services over broken and slow streams, and streams with misdirected frames.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{
    FakeEngine, SHORT_TIMEOUTS, Script, chat_request, client, eventually, fake_platform,
    fleet_file, listed_engine, read_response, start, start_with_fleet, stream_text, text,
    token_line,
};
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpSocket,
};
use wagtailarch_entry::Instance;
use wagtailarch_types::{Phase, RefusalReason, RetryReason};

const COMPLETE: Script = Script::Generate {
    tokens: 8,
    token_delay: Duration::ZERO,
};

/// Starts this many engines, and an instance that uses them.
async fn fixture(count: usize) -> (Vec<Arc<FakeEngine>>, Instance) {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(FakeEngine::start(&format!("e{number}")).await);
    }
    let items: Vec<_> = engines.iter().map(|engine| listed_engine(engine)).collect();
    let instance = start(&fake_platform(json!(items)), SHORT_TIMEOUTS).await;
    (engines, instance)
}

/// Adds `script` to each of the engines, for one call.
fn add_script_to_each(engines: &[Arc<FakeEngine>], script: &Script) {
    for engine in engines {
        engine.add_script(script.clone());
    }
}

/// Returns the generate calls that the engines received, in the order of their attempts.
fn calls(engines: &[Arc<FakeEngine>]) -> Vec<wagtailarch_wire::engine::GenerateRequest> {
    let mut calls: Vec<_> = engines.iter().flat_map(|engine| engine.calls()).collect();
    calls.sort_by_key(|call| call.attempt);
    calls
}

/// Makes a chat call; returns the status, and the generated text or the body of a refusal.
async fn chat_text(instance: &Instance, stream: bool) -> (u16, String) {
    let call = chat_request(instance.client_address(), "hi", stream);
    let (status, body) = read_response(client().request(call).await.unwrap()).await;
    if status != 200 {
        return (status.as_u16(), body);
    }
    if stream {
        let (text, complete) = stream_text(&body);
        assert!(complete, "{body}");
        return (200, text);
    }
    let body: Value = serde_json::from_str(&body).unwrap();
    (
        200,
        body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap()
            .to_owned(),
    )
}

/// Guards against text that is lost, duplicated or reordered between engine and client.
#[rstest]
#[tokio::test]
async fn a_response_has_the_text_of_the_engine(#[values(false, true)] stream: bool) {
    let (_engines, instance) = fixture(1).await;
    assert_eq!(chat_text(&instance, stream).await, (200, text(8)));
    assert_eq!(instance.shared().metrics.completed.get(), 1);
}

/// Guards against a response that ends early, starts again or resumes at a wrong token after its
/// engine stream broke.
#[rstest]
#[tokio::test]
async fn a_broken_stream_resumes_on_another_engine(
    #[values(0, 1, 5)] index: u32,
    #[values(false, true)] stream: bool,
) {
    let (engines, instance) = fixture(2).await;
    add_script_to_each(&engines[..1], &Script::BreakAt { index });
    add_script_to_each(&engines[1..], &Script::BreakAt { index });
    engines[0].add_script(COMPLETE);
    let (status, body) = chat_text(&instance, stream).await;
    assert_eq!((status, body), (200, text(8)));
    let calls = calls(&engines);
    for pair in calls.windows(2) {
        assert_eq!(pair[1].attempt, pair[0].attempt + 1);
        assert_eq!(pair[1].request, pair[0].request);
    }
    let resumed = &calls[1];
    assert_eq!(
        (resumed.from_index, resumed.emitted.as_str()),
        (index, text(index).as_str())
    );
}

/// Guards against text of another response in a stream that had begun, and against a stream that
/// such a response ends.
#[rstest]
#[case::empty(Script::Lines(Vec::new()))]
#[case::plain(Script::Lines(vec!["whole body\n".into()]))]
#[case::head(Script::Lines(vec!["HTTP/1.1 500 Error\r\n\r\nerror\n".into()]))]
#[case::json(Script::Lines(vec!["{\"error\": \"failed\"}\n".into()]))]
#[case::of_another_attempt(Script::Lines(vec![token_line("REQUEST", 1, 2, true)]))]
#[case::error(Script::Refuse { status: 500, code: "internal", not_run: false })]
#[tokio::test]
async fn another_response_adds_nothing_to_a_stream_that_had_begun(
    #[case] next: Script,
    #[values(false, true)] stream: bool,
) {
    let (engines, instance) = fixture(1).await;
    engines[0].add_script(Script::BreakAt { index: 2 });
    engines[0].add_script(next);
    engines[0].add_script(COMPLETE);
    assert_eq!(chat_text(&instance, stream).await, (200, text(8)));
    assert_eq!(calls(&engines).len(), 3);
}

/// Guards against responses that include frames of other requests or attempts, duplicates, or
/// frames after the last one.
#[tokio::test]
async fn misdirected_and_duplicate_frames_are_dropped() {
    let (engines, instance) = fixture(1).await;
    let other_request = "0123456789abcdef0123456789abcdef";
    let own_frame =
        |index, last| token_line("REQUEST", 999, index, last).replace("999", "\"ATTEMPT\"");
    engines[0].add_script(Script::Lines(vec![
        token_line(other_request, 1, 0, false),
        own_frame(0, false),
        token_line("REQUEST", 7, 1, false),
        own_frame(0, false),
        own_frame(1, false),
        token_line(other_request, 1, 2, true),
        own_frame(2, true),
        own_frame(3, false),
    ]));
    assert_eq!(chat_text(&instance, true).await, (200, text(3)));
    let metrics = &instance.shared().metrics;
    assert_eq!(metrics.dropped_frame_count("other_request"), 2);
    assert_eq!(metrics.dropped_frame_count("other_attempt"), 1);
    assert_eq!(metrics.dropped_frame_count("duplicate"), 1);
}

/// Guards against a response with missing tokens: a gap, a malformed frame or a frame without an
/// end must end the attempt.
#[rstest]
#[case::gap(vec![token_line("REQUEST", 1, 0, false), token_line("REQUEST", 1, 2, false)])]
#[case::not_json(vec![token_line("REQUEST", 1, 0, false), "{\"request\": 1\n".into()])]
#[case::endless(vec!["x".repeat(200_000)])]
#[tokio::test]
async fn an_invalid_frame_leads_to_another_attempt(#[case] lines: Vec<String>) {
    let (engines, instance) = fixture(1).await;
    engines[0].add_script(Script::Lines(lines));
    assert_eq!(chat_text(&instance, true).await, (200, text(8)));
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .retries(RetryReason::WrongFrame),
        1
    );
}

/// Guards against a refusal with `x-ran: no` that reaches the client while another engine is idle.
#[tokio::test]
async fn a_refusal_that_did_not_run_is_retried() {
    let (engines, instance) = fixture(2).await;
    let refuse = Script::Refuse {
        status: 409,
        code: "draining",
        not_run: true,
    };
    add_script_to_each(&engines[..1], &refuse);
    for _ in 0..4 {
        assert_eq!(chat_text(&instance, false).await, (200, text(8)));
    }
    // An engine that has refused a call as draining gets no new requests.
    assert!(engines[0].calls().len() <= 1);
}

/// Guards against a client that stops reading and delays others or makes the instance buffer its
/// whole response.
#[tokio::test]
async fn a_slow_client_does_not_delay_others() {
    // The chunks of this many tokens exceed the size of the socket buffers.
    const TOKENS: u32 = 40_000;
    let (engines, instance) = fixture(1).await;
    engines[0].add_script(Script::Generate {
        tokens: TOKENS,
        token_delay: Duration::ZERO,
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut slow_client = socket.connect(instance.client_address()).await.unwrap();
    let body = json!({"model": "fedel", "stream": true, "max_tokens": 1000,
        "messages": [{"role": "user", "content": "hi"}]})
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        common::KEY,
        body.len()
    );
    slow_client.write_all(head.as_bytes()).await.unwrap();
    eventually("the start of the slow stream", || {
        engines[0].calls().len() == 1
    })
    .await;
    for _ in 0..20 {
        assert_eq!(chat_text(&instance, true).await, (200, text(8)));
    }
    assert!(instance.shared().metrics.tokens.get() < u64::from(TOKENS));
    let mut received = String::new();
    slow_client.read_to_string(&mut received).await.unwrap();
    let data: String = received
        .lines()
        .filter(|l| l.starts_with("data: "))
        .fold(String::new(), |all, line| all + line + "\n");
    assert_eq!(stream_text(&data), (text(TOKENS), true));
}

/// Guards against engines that keep generating for a client that has disconnected.
#[rstest]
#[tokio::test]
async fn a_disconnected_client_cancels_its_request(#[values(false, true)] stream: bool) {
    let (engines, instance) = fixture(1).await;
    engines[0].add_script(Script::Generate {
        tokens: 10_000,
        token_delay: Duration::from_millis(5),
    });
    let call = chat_request(instance.client_address(), "hi", stream);
    let client = client();
    let response = client.request(call);
    if stream {
        let mut body = response.await.unwrap().into_body();
        body.frame().await.unwrap().unwrap();
        drop(body);
    } else {
        let _ = tokio::time::timeout(Duration::from_millis(200), response).await;
    }
    drop(client);
    let cancelled = || engines[0].cancel_calls.load(Ordering::SeqCst) == 1;
    eventually("a cancel call to the engine", cancelled).await;
    eventually("the end of the request", || {
        instance.shared().active_count() == 0
    })
    .await;
}

/// Guards against a prompt that is prefilled twice, and against a request that fails because the
/// import of its KV cache does.
#[rstest]
#[case::imported(None, &[Phase::Prefill, Phase::Decode])]
#[case::import_fails(Some("kv_import_failed"), &[Phase::Prefill, Phase::Decode, Phase::Full])]
#[tokio::test]
async fn prefill_engines_hand_over_to_decode_engines(
    #[case] refusal: Option<&'static str>,
    #[case] phases: &[Phase],
) {
    let prefill = FakeEngine::start("p").await;
    let decode = FakeEngine::start("d").await;
    *prefill.role.lock().unwrap() = "prefill";
    *decode.role.lock().unwrap() = "decode";
    prefill.add_script(Script::Prefill { handle: "h1" });
    if let Some(code) = refusal {
        decode.add_script(Script::Refuse {
            status: 409,
            code,
            not_run: true,
        });
    }
    let items = json!([listed_engine(&prefill), listed_engine(&decode)]);
    let instance = start(&fake_platform(items), SHORT_TIMEOUTS).await;
    assert_eq!(chat_text(&instance, true).await, (200, text(8)));
    let calls = calls(&[prefill.clone(), decode.clone()]);
    assert_eq!(
        calls.iter().map(|call| call.phase).collect::<Vec<_>>(),
        phases
    );
    let source = calls[1].kv.as_ref().unwrap();
    assert_eq!(source.handle, "h1");
    assert_eq!(source.engine_address, prefill.address.to_string());
}

/// Guards against a response after the deadline of its request, and against a refusal that is
/// delayed until the deadline.
#[tokio::test]
async fn a_deadline_ends_a_request() {
    let (engines, instance) = fixture(1).await;
    engines[0].add_script(Script::Generate {
        tokens: 1_000,
        token_delay: Duration::from_millis(50),
    });
    let mut call = chat_request(instance.client_address(), "hi", false);
    call.headers_mut()
        .insert("x-deadline-ms", "300".parse().unwrap());
    let response = client().request(call).await.unwrap();
    assert!(response.headers().contains_key("retry-after"));
    let (status, body) = read_response(response).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "deadline_unreachable");
    assert_eq!(body["error"]["ran"], "yes");
    assert!(body["error"]["retry_after_s"].as_f64().unwrap() > 0.0);
}

/// Guards against a request that crashes one engine after the other, and against a quarantine of
/// other requests.
#[tokio::test]
async fn a_request_that_crashes_two_engines_is_quarantined() {
    let (engines, instance) = fixture(4).await;
    add_script_to_each(&engines, &Script::Crash);
    let (status, body) = chat_text(&instance, false).await;
    assert_eq!(status, 422, "{body}");
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["error"]["ran"], "yes");
    let crashed = || {
        engines
            .iter()
            .filter(|engine| engine.crashed.is_cancelled())
            .count()
    };
    assert_eq!(crashed(), 2);
    assert_eq!(chat_text(&instance, false).await.0, 422);
    assert_eq!(crashed(), 2);
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .refusals(RefusalReason::Quarantined),
        2
    );
    for engine in &engines {
        engine.scripts.lock().unwrap().clear();
    }
    let other_call = chat_request(instance.client_address(), "another prompt", false);
    assert_eq!(
        read_response(client().request(other_call).await.unwrap())
            .await
            .0,
        200
    );
}

/// Guards against streams that are abandoned after a crash because all of them are suspects, which
/// run on separate engines.
#[tokio::test]
async fn every_stream_of_a_crashed_engine_is_resumed() {
    let (engines, instance) = fixture(2).await;
    crash_with_streams(&engines, &instance).await;
}

/// Crashes the first engine while 16 streams run, and asserts that all of them complete.
async fn crash_with_streams(engines: &[Arc<FakeEngine>], instance: &Instance) {
    for engine in engines {
        for _ in 0..16 {
            engine.add_script(Script::Generate {
                tokens: 40,
                token_delay: Duration::from_millis(10),
            });
        }
    }
    let calls: Vec<_> = (0..16)
        .map(|number| chat_request(instance.client_address(), &format!("prompt {number}"), true))
        .map(|call| {
            tokio::spawn(async { read_response(client().request(call).await.unwrap()).await })
        })
        .collect();
    let all_started = || {
        engines
            .iter()
            .map(|engine| engine.calls().len())
            .sum::<usize>()
            == 16
    };
    eventually("the start of all streams", all_started).await;
    engines[0].crashed.cancel();
    for call in calls {
        let (status, body) = call.await.unwrap();
        assert_eq!(
            (status.as_u16(), stream_text(&body)),
            (200, (text(40), true))
        );
    }
    assert!(instance.shared().metrics.crashes.get() >= 1);
}

/// Guards against accepted requests that fail after a crash because the retry budget is used up.
#[tokio::test]
async fn a_crash_is_survived_without_a_retry_budget() {
    let mut engines = Vec::new();
    for number in 0..2 {
        engines.push(FakeEngine::start(&format!("e{number}")).await);
    }
    let items: Vec<_> = engines.iter().map(|engine| listed_engine(engine)).collect();
    let fleet = fleet_file()
        .replace("retry_budget_ratio = 0.5", "retry_budget_ratio = 0.0")
        .replace(
            "retry_budget_floor_per_s = 20.0",
            "retry_budget_floor_per_s = 0.0",
        );
    let instance = start_with_fleet(&fake_platform(json!(items)), SHORT_TIMEOUTS, &fleet).await;
    crash_with_streams(&engines, &instance).await;
    let metrics = &instance.shared().metrics;
    assert_eq!(
        metrics
            .outcomes
            .refusals(RefusalReason::RetryBudgetExhausted),
        0
    );
}

/// Guards against an unbounded number of attempts: after the last one, the request is refused and
/// states whether it ran.
#[tokio::test]
async fn attempts_are_bounded() {
    let (engines, instance) = fixture(1).await;
    for _ in 0..10 {
        engines[0].add_script(Script::BreakAt { index: 0 });
    }
    let (status, body) = chat_text(&instance, false).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 502);
    assert_eq!(body["error"]["code"], "attempts_exhausted");
    assert_eq!(body["error"]["ran"], "unknown");
    assert_eq!(engines[0].calls().len(), 4);
}
