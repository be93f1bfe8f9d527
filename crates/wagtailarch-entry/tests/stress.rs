//! Many concurrent requests to engines that break streams, refuse requests and mix up frames at
//! random.

mod common;

use std::time::Duration;

use common::{
    FakeEngine, SHORT_TIMEOUTS, Script, chat_request, client, eventually, fake_platform,
    listed_engine, read_response, start, stream_text, text, token_line,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};

/// Number of concurrent requests.
const REQUESTS: usize = 60;

/// Returns a random script; most of them break the stream or refuse the request.
fn random_script(rng: &mut ChaCha8Rng) -> Script {
    let token_delay = Duration::from_millis(rng.random_range(0..3));
    match rng.random_range(0..10) {
        0 | 1 => Script::BreakAt {
            index: rng.random_range(0..8),
        },
        2 => Script::Refuse {
            status: 409,
            code: "full",
            not_run: true,
        },
        3 => Script::Refuse {
            status: 500,
            code: "unknown",
            not_run: false,
        },
        4 => Script::Lines(shuffled_lines(rng)),
        5 => Script::Lines(vec!["not json\n".into()]),
        _ => Script::Generate {
            tokens: 8,
            token_delay,
        },
    }
}

/// Returns frames of the current attempt, of another attempt and of another request in random
/// order.
fn shuffled_lines(rng: &mut ChaCha8Rng) -> Vec<String> {
    let own_frame =
        |index: u32| token_line("REQUEST", 999, index, index == 7).replace("999", "\"ATTEMPT\"");
    let other_request = "00112233445566778899aabbccddeeff";
    (0..20)
        .map(|_| match rng.random_range(0..4) {
            0 => token_line(other_request, 1, rng.random_range(0..8), false),
            1 => token_line("REQUEST", 77, rng.random_range(0..8), true),
            _ => own_frame(rng.random_range(0..8)),
        })
        .collect()
}

/// Guards against responses with a wrong text, and against refusals without a code or the value
/// `ran`.
#[rstest]
#[tokio::test]
async fn no_response_has_a_wrong_text(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut engines = Vec::new();
    for number in 0..4 {
        let engine = FakeEngine::start(&format!("e{number}")).await;
        for _ in 0..REQUESTS {
            engine.add_script(random_script(&mut rng));
        }
        engines.push(engine);
    }
    let items: Vec<_> = engines.iter().map(|engine| listed_engine(engine)).collect();
    let instance = start(&fake_platform(json!(items)), SHORT_TIMEOUTS).await;
    let address = instance.client_address();
    let mut calls = Vec::new();
    for number in 0..REQUESTS {
        let stream = number % 2 == 0;
        let call = chat_request(address, &format!("prompt {number}"), stream);
        calls.push(tokio::spawn(async move {
            let (status, body) = read_response(client().request(call).await.unwrap()).await;
            check_response(status.as_u16(), &body, stream)
        }));
    }
    let mut complete = 0;
    for call in calls {
        complete += usize::from(call.await.unwrap());
    }
    // With up to four attempts each, most requests complete.
    assert!(complete > REQUESTS / 2, "{complete} of {REQUESTS}");
    let shared = instance.shared().clone();
    drop(instance);
    let is_idle = || {
        engines
            .iter()
            .all(|e| shared.router.in_flight(&e.id.as_str().into()) == 0)
    };
    eventually("completion of all calls to engines", is_idle).await;
}

/// Checks a response; returns whether it is complete.
fn check_response(status: u16, body: &str, stream: bool) -> bool {
    if status != 200 {
        let body: Value = serde_json::from_str(body).unwrap();
        let code = body["error"]["code"].as_str().unwrap();
        let known = ["attempts_exhausted", "retry_budget_exhausted", "no_backend"];
        assert!(known.contains(&code), "{body}");
        assert!(body["error"]["ran"].is_string(), "{body}");
        return false;
    }
    if !stream {
        let body: Value = serde_json::from_str(body).unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], json!(text(8)));
        return true;
    }
    let (received, complete) = stream_text(body);
    if complete {
        assert_eq!(received, text(8));
    } else {
        assert!(text(8).starts_with(&received), "{received}");
        assert!(body.contains("\"error\""), "{body}");
    }
    complete
}
