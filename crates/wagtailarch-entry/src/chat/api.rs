//! Bodies of completion calls in the format that existing client libraries send.

use serde::Deserialize;
use wagtailarch_types::RefusalReason;

use crate::refusal::Refusal;

/// Maximum number of generated tokens for a call that does not set one.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

/// Maximum number of messages in one call.
const MAX_MESSAGES: usize = 4_096;

/// Type of a completion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// A parsed completion call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// Type of the call.
    pub api: Api,
    /// Name of the model as the client sent it.
    pub model: String,
    /// Service part of `model`.
    pub service: String,
    /// Adapter part of `model`, which follows a colon.
    pub adapter: Option<String>,
    /// Prompt text for the engine.
    pub prompt: String,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether a stream ends with a chunk that contains the token counts.
    pub include_usage: bool,
}

/// Parses the body of a completion call, which may request at most `max_tokens`.
pub fn parse_call(api: Api, body: &[u8], max_tokens: u32) -> Result<CompletionCall, Refusal> {
    let body: CallBody = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a valid call: {error}")))?;
    if body.n.is_some_and(|n| n != 1) {
        return Err(bad_request("n must be 1"));
    }
    let prompt = match api {
        Api::Chat => chat_prompt(&body)?,
        Api::Text => text_prompt(&body)?,
    };
    let requested = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if requested == 0 || requested > max_tokens {
        return Err(bad_request(format!(
            "max_tokens must be from 1 to {max_tokens}"
        )));
    }
    let (service, adapter) = match body.model.split_once(':') {
        Some((service, adapter)) => (service.to_owned(), Some(adapter.to_owned())),
        None => (body.model.clone(), None),
    };
    Ok(CompletionCall {
        api,
        service,
        adapter,
        prompt,
        max_tokens: requested,
        stream: body.stream,
        include_usage: body
            .stream_options
            .is_some_and(|options| options.include_usage),
        model: body.model,
    })
}

/// Fields of a completion call; other fields are ignored, since client libraries send many of them.
#[derive(Debug, Deserialize)]
struct CallBody {
    model: String,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

/// Returns a prompt with the role and the content of each message, followed by the start of the
/// assistant's message.
fn chat_prompt(body: &CallBody) -> Result<String, Refusal> {
    let messages = body
        .messages
        .as_deref()
        .filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| bad_request("messages must not be empty"))?;
    if messages.len() > MAX_MESSAGES {
        return Err(bad_request(format!(
            "there may be at most {MAX_MESSAGES} messages"
        )));
    }
    let mut prompt = String::new();
    for message in messages {
        if !matches!(
            message.role.as_str(),
            "system" | "developer" | "user" | "assistant" | "tool"
        ) {
            return Err(bad_request(format!(
                "the role {:?} is unknown",
                message.role
            )));
        }
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            None => {}
            Some(Content::Text(text)) => prompt.push_str(text),
            Some(Content::Parts(parts)) => push_parts(&mut prompt, parts)?,
        }
        prompt.push('\n');
    }
    prompt.push_str("assistant: ");
    Ok(prompt)
}

/// Appends the text of the content parts of a message to the prompt.
fn push_parts(prompt: &mut String, parts: &[Part]) -> Result<(), Refusal> {
    for part in parts {
        match (part.kind.as_str(), &part.text) {
            ("text", Some(text)) => prompt.push_str(text),
            (kind, _) => {
                return Err(bad_request(format!(
                    "content of type {kind:?} is not supported"
                )));
            }
        }
    }
    Ok(())
}

/// Returns the prompt of a text completion.
fn text_prompt(body: &CallBody) -> Result<String, Refusal> {
    match &body.prompt {
        Some(Prompt::One(text)) if !text.is_empty() => Ok(text.clone()),
        Some(Prompt::Many(texts)) if texts.len() == 1 && !texts[0].is_empty() => {
            Ok(texts[0].clone())
        }
        _ => Err(bad_request("prompt must be one text that is not empty")),
    }
}

fn bad_request(message: impl Into<String>) -> Refusal {
    Refusal::new(RefusalReason::BadRequest, message)
}
