//! Answers of model services over broken, crossed and slow streams.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{
    FakeEngine, QUICK, Script, chat, client, eventually, fleet_file, listed, platform, read, start,
    start_with_fleet, stream_text, text, token_line,
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

const COMPLETE: Script = Script::Answer {
    tokens: 8,
    pause: Duration::ZERO,
};

async fn fixture(count: usize) -> (Vec<Arc<FakeEngine>>, Instance) {
    let mut engines = Vec::new();
    for number in 0..count {
        engines.push(FakeEngine::start(&format!("e{number}")).await);
    }
    let items: Vec<_> = engines.iter().map(|engine| listed(engine)).collect();
    let instance = start(&platform(json!(items)), QUICK).await;
    (engines, instance)
}

/// Makes the first call at any engine run `script`; later calls are answered.
fn script_first(engines: &[Arc<FakeEngine>], script: &Script) {
    for engine in engines {
        engine.script(script.clone());
    }
}

fn calls(engines: &[Arc<FakeEngine>]) -> Vec<wagtailarch_wire::engine::GenerateRequest> {
    let mut calls: Vec<_> = engines.iter().flat_map(|engine| engine.calls()).collect();
    calls.sort_by_key(|call| call.attempt);
    calls
}

async fn answer(instance: &Instance, stream: bool) -> (u16, String) {
    let call = chat(instance.client_address(), "hi", stream);
    let (status, body) = read(client().request(call).await.unwrap()).await;
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

/// Guards against text that is lost, doubled or reordered between engine and client.
#[rstest]
#[tokio::test]
async fn an_answer_has_the_text_of_the_engine(#[values(false, true)] stream: bool) {
    let (_engines, instance) = fixture(1).await;
    assert_eq!(answer(&instance, stream).await, (200, text(8)));
    assert_eq!(instance.shared().metrics.completed.get(), 1);
}

/// Guards against a broken stream that is cut, restarted or resumed at the wrong token.
#[rstest]
#[tokio::test]
async fn a_broken_stream_resumes_on_another_engine(
    #[values(0, 1, 5)] index: u32,
    #[values(false, true)] stream: bool,
) {
    let (engines, instance) = fixture(2).await;
    script_first(&engines[..1], &Script::BreakAt { index });
    script_first(&engines[1..], &Script::BreakAt { index });
    engines[0].script(COMPLETE);
    let (status, body) = answer(&instance, stream).await;
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

/// Guards against frames of other requests, other attempts or other positions in an answer.
#[tokio::test]
async fn crossed_and_late_frames_are_dropped() {
    let (engines, instance) = fixture(1).await;
    let other = "0123456789abcdef0123456789abcdef";
    let own = |index, last| token_line("REQUEST", 999, index, last).replace("999", "\"ATTEMPT\"");
    engines[0].script(Script::Lines(vec![
        token_line(other, 1, 0, false),
        own(0, false),
        token_line("REQUEST", 7, 1, false),
        own(0, false),
        own(1, false),
        token_line(other, 1, 2, true),
        own(2, true),
        own(3, false),
    ]));
    assert_eq!(answer(&instance, true).await, (200, text(3)));
    let metrics = &instance.shared().metrics;
    assert_eq!(metrics.dropped_frame_count("other_request"), 2);
    assert_eq!(metrics.dropped_frame_count("other_attempt"), 1);
    assert_eq!(metrics.dropped_frame_count("duplicate"), 1);
}

/// Guards against an answer with a hole: a gap, a malformed or an endless frame ends the attempt.
#[rstest]
#[case::gap(vec![token_line("REQUEST", 1, 0, false), token_line("REQUEST", 1, 2, false)])]
#[case::not_json(vec![token_line("REQUEST", 1, 0, false), "{\"request\": 1\n".into()])]
#[case::endless(vec!["x".repeat(200_000)])]
#[tokio::test]
async fn a_wrong_frame_leads_to_another_attempt(#[case] lines: Vec<String>) {
    let (engines, instance) = fixture(1).await;
    engines[0].script(Script::Lines(lines));
    assert_eq!(answer(&instance, true).await, (200, text(8)));
    assert_eq!(
        instance
            .shared()
            .metrics
            .outcomes
            .retries(RetryReason::WrongFrame),
        1
    );
}

/// Guards against a refusal "not run" that reaches the client while another engine is free.
#[tokio::test]
async fn a_refusal_that_did_not_run_is_retried() {
    let (engines, instance) = fixture(2).await;
    let refuse = Script::Refuse {
        status: 409,
        code: "draining",
        not_run: true,
    };
    script_first(&engines[..1], &refuse);
    for _ in 0..4 {
        assert_eq!(answer(&instance, false).await, (200, text(8)));
    }
    // After its own word of leaving, an engine gets no new work.
    assert!(engines[0].calls().len() <= 1);
}

/// Guards against a client that stops reading and holds up others or fills memory.
#[tokio::test]
async fn a_slow_client_does_not_delay_others() {
    // The chunks of so many tokens exceed what the buffers of a socket hold.
    const TOKENS: u32 = 40_000;
    let (engines, instance) = fixture(1).await;
    engines[0].script(Script::Answer {
        tokens: TOKENS,
        pause: Duration::ZERO,
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut slow = socket.connect(instance.client_address()).await.unwrap();
    let body = json!({"model": "fedel", "stream": true, "max_tokens": 1000,
        "messages": [{"role": "user", "content": "hi"}]})
    .to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n{body}",
        common::KEY,
        body.len()
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    eventually("the slow stream starts", || engines[0].calls().len() == 1).await;
    for _ in 0..20 {
        assert_eq!(answer(&instance, true).await, (200, text(8)));
    }
    assert!(instance.shared().metrics.tokens.get() < u64::from(TOKENS));
    let mut received = String::new();
    slow.read_to_string(&mut received).await.unwrap();
    let data: String = received
        .lines()
        .filter(|l| l.starts_with("data: "))
        .fold(String::new(), |all, line| all + line + "\n");
    assert_eq!(stream_text(&data), (text(TOKENS), true));
}

/// Guards against engines that go on generating for a client that went away.
#[rstest]
#[tokio::test]
async fn a_client_that_goes_away_cancels_its_request(#[values(false, true)] stream: bool) {
    let (engines, instance) = fixture(1).await;
    engines[0].script(Script::Answer {
        tokens: 10_000,
        pause: Duration::from_millis(5),
    });
    let call = chat(instance.client_address(), "hi", stream);
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
    let cancelled = || engines[0].cancels.load(Ordering::SeqCst) == 1;
    eventually("the engine is told", cancelled).await;
    eventually("the request ends", || instance.shared().active_count() == 0).await;
}

/// Guards against a prompt that is processed twice, or lost when its KV cache is.
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
    prefill.script(Script::Prefill { handle: "h1" });
    if let Some(code) = refusal {
        decode.script(Script::Refuse {
            status: 409,
            code,
            not_run: true,
        });
    }
    let items = json!([listed(&prefill), listed(&decode)]);
    let instance = start(&platform(items), QUICK).await;
    assert_eq!(answer(&instance, true).await, (200, text(8)));
    let calls = calls(&[prefill.clone(), decode.clone()]);
    assert_eq!(
        calls.iter().map(|call| call.phase).collect::<Vec<_>>(),
        phases
    );
    let source = calls[1].kv.as_ref().unwrap();
    assert_eq!(source.handle, "h1");
    assert_eq!(source.engine_address, prefill.address.to_string());
}

/// Guards against an answer that comes after its deadline, or a refusal held until then.
#[tokio::test]
async fn a_deadline_ends_a_request() {
    let (engines, instance) = fixture(1).await;
    engines[0].script(Script::Answer {
        tokens: 1_000,
        pause: Duration::from_millis(50),
    });
    let mut call = chat(instance.client_address(), "hi", false);
    call.headers_mut()
        .insert("x-deadline-ms", "300".parse().unwrap());
    let response = client().request(call).await.unwrap();
    assert!(response.headers().contains_key("retry-after"));
    let (status, body) = read(response).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 503);
    assert_eq!(body["error"]["code"], "deadline_unreachable");
    assert_eq!(body["error"]["ran"], "yes");
    assert!(body["error"]["retry_after_s"].as_f64().unwrap() > 0.0);
}

/// Guards against a request that crashes engine after engine, and against blame for others.
#[tokio::test]
async fn a_request_that_crashes_two_engines_is_quarantined() {
    let (engines, instance) = fixture(4).await;
    script_first(&engines, &Script::Crash);
    let (status, body) = answer(&instance, false).await;
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
    assert_eq!(answer(&instance, false).await.0, 422);
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
    let other = chat(instance.client_address(), "another prompt", false);
    assert_eq!(read(client().request(other).await.unwrap()).await.0, 200);
}

/// Guards against streams that are given up because the suspects of a crash must run apart.
#[tokio::test]
async fn every_stream_of_a_crashed_engine_is_resumed() {
    let (engines, instance) = fixture(2).await;
    crash_with_streams(&engines, &instance).await;
}

/// Crashes the first engine under 16 streams, which must all be complete.
async fn crash_with_streams(engines: &[Arc<FakeEngine>], instance: &Instance) {
    for engine in engines {
        for _ in 0..16 {
            engine.script(Script::Answer {
                tokens: 40,
                pause: Duration::from_millis(10),
            });
        }
    }
    let calls: Vec<_> = (0..16)
        .map(|number| chat(instance.client_address(), &format!("prompt {number}"), true))
        .map(|call| tokio::spawn(async { read(client().request(call).await.unwrap()).await }))
        .collect();
    let busy = || {
        engines
            .iter()
            .map(|engine| engine.calls().len())
            .sum::<usize>()
            == 16
    };
    eventually("every stream has started", busy).await;
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

/// Guards against accepted requests that a crash ends because the retry budget is used up.
#[tokio::test]
async fn a_crash_is_survived_without_a_retry_budget() {
    let mut engines = Vec::new();
    for number in 0..2 {
        engines.push(FakeEngine::start(&format!("e{number}")).await);
    }
    let items: Vec<_> = engines.iter().map(|engine| listed(engine)).collect();
    let fleet = fleet_file()
        .replace("retry_budget_ratio = 0.5", "retry_budget_ratio = 0.0")
        .replace(
            "retry_budget_floor_per_s = 20.0",
            "retry_budget_floor_per_s = 0.0",
        );
    let instance = start_with_fleet(&platform(json!(items)), QUICK, &fleet).await;
    crash_with_streams(&engines, &instance).await;
    let metrics = &instance.shared().metrics;
    assert_eq!(
        metrics
            .outcomes
            .refusals(RefusalReason::RetryBudgetExhausted),
        0
    );
}

/// Guards against endless attempts: the last one ends the request with what is known of it.
#[tokio::test]
async fn attempts_are_bounded() {
    let (engines, instance) = fixture(1).await;
    for _ in 0..10 {
        engines[0].script(Script::BreakAt { index: 0 });
    }
    let (status, body) = answer(&instance, false).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 502);
    assert_eq!(body["error"]["code"], "attempts_exhausted");
    assert_eq!(body["error"]["ran"], "unknown");
    assert_eq!(engines[0].calls().len(), 4);
}
