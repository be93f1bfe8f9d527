//! Reads and checks the responses of model requests, both streamed and not.

use std::time::{Duration, Instant};

use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_standin::token::{check_output, output_length, prompt_key};

use super::outcome::{Exchange, Refusal, RequestOutcome};
use super::schedule::Arrival;

/// Maximum length of a line of a stream.
const MAX_LINE_BYTES: usize = 1 << 20;

/// An event of a stream, or the body of a response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Completion {
    /// ID of the completion, which is the same in all events of a stream.
    id: SmolStr,
    choices: Vec<Choice>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    text: Option<String>,
    delta: Option<Message>,
    message: Option<Message>,
    finish_reason: Option<SmolStr>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    content: Option<String>,
}

/// The error in a response.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    code: SmolStr,
    ran: SmolStr,
}

impl Completion {
    /// Returns the text of the first choice; empty if it has none.
    fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let message = choice.delta.as_ref().or(choice.message.as_ref());
        let content = message.and_then(|message| message.content.as_deref());
        choice.text.as_deref().or(content).unwrap_or_default()
    }

    /// Returns whether the first choice has a finish reason.
    fn has_finish_reason(&self) -> bool {
        self.choices
            .first()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }
}

/// Collects a response and its times.
#[derive(Debug)]
pub(super) struct ResponseReader {
    start: Instant,
    /// ID in the events; empty before the first one.
    id: SmolStr,
    /// Output received so far.
    text: String,
    /// Start of a line whose end has not been received; at most [`MAX_LINE_BYTES`].
    partial_line: Vec<u8>,
    /// Time from `start` to the first token.
    first_token: Option<Duration>,
    last_token_at: Option<Instant>,
    /// Times between tokens.
    token_intervals: Vec<Duration>,
    /// Whether the finish reason has been received.
    has_finish_reason: bool,
    /// Whether the end of the stream or body has been received.
    stream_ended: bool,
    /// First failure.
    failure: Option<RequestOutcome>,
}

impl ResponseReader {
    /// Creates a reader for the response to a request sent at `start`.
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            id: SmolStr::default(),
            text: String::new(),
            partial_line: Vec::new(),
            first_token: None,
            last_token_at: None,
            token_intervals: Vec::new(),
            has_finish_reason: false,
            stream_ended: false,
            failure: None,
        }
    }

    /// Reads a chunk of a stream of server-sent events.
    pub(super) fn push_events(&mut self, bytes: &[u8]) {
        self.push_lines(bytes, |reader, line| {
            let Some(data) = line.strip_prefix(b"data:") else {
                return;
            };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                reader.stream_ended = true;
            } else {
                reader.push_json(data);
            }
        });
    }

    /// Reads the body of a response that is not streamed.
    pub(super) fn push_body(&mut self, bytes: &[u8]) {
        self.push_json(bytes);
        self.stream_ended = true;
    }

    /// Adds a chunk and calls `handle_line` for each complete line.
    pub(super) fn push_lines(&mut self, bytes: &[u8], handle_line: impl Fn(&mut Self, &[u8])) {
        self.partial_line.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.partial_line);
        let mut lines = buffer.split(|byte| *byte == b'\n');
        let partial_line = lines.next_back().unwrap_or_default();
        for line in lines {
            handle_line(self, line.trim_ascii_end());
        }
        if partial_line.len() > MAX_LINE_BYTES {
            self.fail(RequestOutcome::Mixed(
                "a line of the stream is too long".into(),
            ));
            return;
        }
        self.partial_line = partial_line.to_vec();
    }

    /// Reads an event or a body.
    fn push_json(&mut self, data: &[u8]) {
        let event: Completion = match serde_json::from_slice(data) {
            Ok(event) => event,
            Err(error) => {
                return self.fail(RequestOutcome::Mixed(
                    format!("malformed event: {error}").into(),
                ));
            }
        };
        if let Some(error) = &event.error {
            // The request was accepted, so an error within the stream counts as a lost response.
            return self.fail(RequestOutcome::Lost(
                format!("error {} within the stream", error.code).into(),
            ));
        }
        if !event.id.is_empty() {
            if !self.id.is_empty() && self.id != event.id {
                self.fail(RequestOutcome::Mixed("events have different IDs".into()));
            }
            self.id = event.id.clone();
        }
        self.push_text(event.text());
        if event.has_finish_reason() {
            self.record_finish_reason();
        }
    }

    /// Adds output text and records its time.
    pub(super) fn push_text(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        if self.has_finish_reason {
            self.fail(RequestOutcome::Doubled(
                "text after the finish reason".into(),
            ));
        }
        let now = Instant::now();
        match self.last_token_at {
            Some(last_token_at) => self.token_intervals.push(now - last_token_at),
            None => self.first_token = Some(now - self.start),
        }
        self.last_token_at = Some(now);
        self.text.push_str(text);
    }

    /// Records that the response has a finish reason, so that its output is complete.
    pub(super) fn record_finish_reason(&mut self) {
        self.has_finish_reason = true;
    }

    /// Records that the stream ended as the protocol requires.
    pub(super) fn record_end(&mut self) {
        self.stream_ended = true;
    }

    /// Records a failure; only the first one counts.
    pub(super) fn fail(&mut self, outcome: RequestOutcome) {
        self.failure.get_or_insert(outcome);
    }

    /// Returns the exchange.
    ///
    /// Its outcome is the first failure, or the result of comparing the output with the token
    /// function of the stand-in engines.
    pub(super) fn into_exchange(self, arrival: &Arrival, request_id: SmolStr) -> Exchange {
        let (count, _) = output_length(&arrival.prompt, arrival.max_tokens);
        let output_check = check_output(prompt_key(&arrival.prompt), count, &self.text);
        let outcome = match (self.failure, output_check) {
            (Some(failure), _) => failure,
            (None, Err(error)) => RequestOutcome::from_output_error(error),
            (None, Ok(())) if !self.has_finish_reason => {
                RequestOutcome::Lost("no finish reason".into())
            }
            (None, Ok(())) if !self.stream_ended => {
                RequestOutcome::Lost("the stream has no end marker".into())
            }
            (None, Ok(())) => RequestOutcome::Complete,
        };
        Exchange {
            outcome,
            request_id,
            first_token: self.first_token,
            token_intervals: self.token_intervals,
            total: self.start.elapsed(),
            tokens: u32::try_from(self.text.split_inclusive(' ').count()).unwrap_or(u32::MAX),
        }
    }
}

/// Parses a refusal from the body of an error response.
pub(super) fn parse_refusal(status: u16, body: &[u8]) -> Refusal {
    let parsed: Completion = serde_json::from_slice(body).unwrap_or_default();
    let error = parsed.error.unwrap_or_default();
    let or_default = |text: SmolStr, default: String| {
        if text.is_empty() {
            default.into()
        } else {
            text
        }
    };
    Refusal {
        status,
        code: or_default(error.code, format!("http_{status}")),
        ran: or_default(error.ran, "unknown".into()),
    }
}
