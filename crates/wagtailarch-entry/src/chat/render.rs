//! Responses to completion calls in the format that existing client libraries expect.

use bytes::Bytes;
use serde_json::{Value, json};
use wagtailarch_wire::engine::{FinishReason, Usage};

use super::api::{Api, CompletionCall};
use crate::{chat::GenerationSummary, refusal::Refusal};

/// Final event of a stream of server-sent events.
pub const STREAM_END: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Builds the response to one call.
#[derive(Debug, Clone)]
pub struct Renderer {
    api: Api,
    id: String,
    model: String,
    created_s: u64,
    include_usage: bool,
}

impl Renderer {
    /// Creates a renderer; `created_s` is the Unix time in seconds.
    pub fn new(call: &CompletionCall, request_id: &str, created_s: u64) -> Self {
        let prefix = match call.api {
            Api::Chat => "chatcmpl",
            Api::Text => "cmpl",
        };
        Self {
            api: call.api,
            id: format!("{prefix}-{request_id}"),
            model: call.model.clone(),
            created_s,
            include_usage: call.include_usage,
        }
    }

    /// Returns the chunk that precedes the text; streams of text completions have none.
    pub fn first_chunk(&self) -> Option<Bytes> {
        match self.api {
            Api::Chat => Some(self.chunk(json!({"role": "assistant", "content": ""}), None)),
            Api::Text => None,
        }
    }

    /// Returns a chunk that contains `text`.
    pub fn text_chunk(&self, text: &str) -> Bytes {
        match self.api {
            Api::Chat => self.chunk(json!({ "content": text }), None),
            Api::Text => self.chunk(json!(text), None),
        }
    }

    /// Returns the last chunks of a complete stream.
    pub fn last_chunks(&self, summary: &GenerationSummary) -> Bytes {
        let empty = match self.api {
            Api::Chat => json!({}),
            Api::Text => json!(""),
        };
        let mut bytes = self.chunk(empty, Some(summary.finish)).to_vec();
        if self.include_usage {
            let mut chunk = self.envelope(true, json!([]));
            chunk["usage"] = usage_json(&summary.usage);
            bytes.extend_from_slice(&sse_event(&chunk));
        }
        bytes.extend_from_slice(&STREAM_END);
        bytes.into()
    }

    /// Returns the event that ends a stream that cannot be completed.
    pub fn error_event(&self, refusal: &Refusal) -> Bytes {
        sse_event(&refusal.to_json())
    }

    /// Returns the body of a response that is not streamed.
    pub fn full_response(&self, text: &str, summary: &GenerationSummary) -> Bytes {
        let reason = finish_reason(summary.finish);
        let choice = match self.api {
            Api::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
            Api::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        let mut response = self.envelope(false, json!([choice]));
        response["usage"] = usage_json(&summary.usage);
        response.to_string().into()
    }

    /// Returns a chunk with the given part of the response.
    fn chunk(&self, part: Value, finish: Option<FinishReason>) -> Bytes {
        let reason = finish.map(finish_reason);
        let choice = match self.api {
            Api::Chat => json!({"index": 0, "delta": part, "finish_reason": reason}),
            Api::Text => json!({"index": 0, "text": part, "finish_reason": reason}),
        };
        sse_event(&self.envelope(true, json!([choice])))
    }

    /// Returns the JSON object that contains `choices`, as a chunk of a stream or a full response.
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

/// Formats a server-sent event.
fn sse_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

const fn finish_reason(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn usage_json(usage: &Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": u64::from(usage.prompt_tokens) + u64::from(usage.completion_tokens),
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    })
}
