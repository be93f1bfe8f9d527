//! Answers of completion calls in the shape that existing client libraries expect.

use bytes::Bytes;
use serde_json::{Value, json};
use wagtailarch_wire::engine::{FinishReason, Usage};

use super::api::{Api, CompletionCall};
use crate::{chat::Done, refusal::Refusal};

/// End of a stream of server-sent events.
pub const STREAM_END: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Builds the answers of one call.
#[derive(Debug, Clone)]
pub struct Renderer {
    api: Api,
    id: String,
    model: String,
    created_s: u64,
    include_usage: bool,
}

impl Renderer {
    /// Creates a renderer; `created_s` is Unix time.
    pub fn new(call: &CompletionCall, request: &str, created_s: u64) -> Self {
        let prefix = match call.api {
            Api::Chat => "chatcmpl",
            Api::Text => "cmpl",
        };
        Self {
            api: call.api,
            id: format!("{prefix}-{request}"),
            model: call.model.clone(),
            created_s,
            include_usage: call.include_usage,
        }
    }

    /// Returns the first chunk of a stream; text streams have none.
    pub fn opening(&self) -> Option<Bytes> {
        match self.api {
            Api::Chat => Some(self.chunk(json!({"role": "assistant", "content": ""}), None)),
            Api::Text => None,
        }
    }

    /// Returns a chunk with text.
    pub fn text(&self, text: &str) -> Bytes {
        match self.api {
            Api::Chat => self.chunk(json!({ "content": text }), None),
            Api::Text => self.chunk(json!(text), None),
        }
    }

    /// Returns the last chunks of a complete stream.
    pub fn closing(&self, done: &Done) -> Bytes {
        let empty = match self.api {
            Api::Chat => json!({}),
            Api::Text => json!(""),
        };
        let mut bytes = self.chunk(empty, Some(done.finish)).to_vec();
        if self.include_usage {
            let mut chunk = self.envelope(true, json!([]));
            chunk["usage"] = usage(&done.usage);
            bytes.extend_from_slice(&event(&chunk));
        }
        bytes.extend_from_slice(&STREAM_END);
        bytes.into()
    }

    /// Returns the event that ends a stream which cannot be completed.
    pub fn failure(&self, refusal: &Refusal) -> Bytes {
        event(&refusal.to_json())
    }

    /// Returns a whole answer.
    pub fn whole(&self, text: &str, done: &Done) -> Bytes {
        let finish = finish(done.finish);
        let choice = match self.api {
            Api::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            Api::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let mut answer = self.envelope(false, json!([choice]));
        answer["usage"] = usage(&done.usage);
        answer.to_string().into()
    }

    fn chunk(&self, part: Value, end: Option<FinishReason>) -> Bytes {
        let finish = end.map(finish);
        let choice = match self.api {
            Api::Chat => json!({"index": 0, "delta": part, "finish_reason": finish}),
            Api::Text => json!({"index": 0, "text": part, "finish_reason": finish}),
        };
        event(&self.envelope(true, json!([choice])))
    }

    fn envelope(&self, streamed: bool, choices: Value) -> Value {
        let object = match (self.api, streamed) {
            (Api::Chat, true) => "chat.completion.chunk",
            (Api::Chat, false) => "chat.completion",
            (Api::Text, _) => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": choices,
        })
    }
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

const fn finish(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens),
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}
