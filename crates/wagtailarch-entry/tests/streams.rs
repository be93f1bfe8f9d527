//! Answers of model services over broken, crossed and slow streams.

mod common;

use common::{FakeEngine, FakeList, QUICK, chat, client, listed, read, start, stream_text, text};
use serde_json::{Value, json};

/// Guards against text that is lost, doubled or reordered between engine and client.
#[tokio::test]
async fn a_whole_and_a_streamed_answer_have_the_same_text() {
    let engine = FakeEngine::start("e1").await;
    let platform = FakeList::start(json!([listed(&engine)])).await;
    let instance = start(&platform, QUICK).await;
    let client = client();
    let whole = client
        .request(chat(instance.client_address(), "hi", false))
        .await
        .unwrap();
    let (status, body) = read(whole).await;
    assert_eq!(status, 200, "{body}");
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(body["choices"][0]["message"]["content"], json!(text(8)));
    let streamed = client
        .request(chat(instance.client_address(), "hi", true))
        .await
        .unwrap();
    let (_, body) = read(streamed).await;
    assert_eq!(stream_text(&body), (text(8), true));
}
