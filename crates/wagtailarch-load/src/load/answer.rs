//! Reading of streamed and whole answers of model calls.

use std::time::{Duration, Instant};

use serde::Deserialize;
use smol_str::SmolStr;
use wagtailarch_standin::token::{answer_length, check_answer, prompt_key};

use super::outcome::{Exchange, Refusal, RequestOutcome};
use super::plan::Arrival;

/// Greatest length of one line of a stream.
const MAX_LINE_BYTES: usize = 1 << 20;

/// One event of a stream, or a whole answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Completion {
    /// Id of the answer; the same in all events.
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

/// Body of a refusal.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorBody {
    code: SmolStr,
    ran: SmolStr,
}

impl Completion {
    /// Returns the text of the first choice.
    fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let message = choice.delta.as_ref().or(choice.message.as_ref());
        let content = message.and_then(|message| message.content.as_deref());
        choice.text.as_deref().or(content).unwrap_or_default()
    }

    fn finished(&self) -> bool {
        self.choices
            .first()
            .is_some_and(|choice| choice.finish_reason.is_some())
    }
}

/// Collects an answer and its times.
#[derive(Debug)]
pub(super) struct AnswerReader {
    start: Instant,
    id: SmolStr,
    text: String,
    /// Part of a line that has not ended yet; at most [`MAX_LINE_BYTES`].
    rest: Vec<u8>,
    first: Option<Duration>,
    last: Option<Instant>,
    between: Vec<Duration>,
    finished: bool,
    done: bool,
    fault: Option<RequestOutcome>,
}

impl AnswerReader {
    /// Creates a reader of a request sent at `start`.
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            id: SmolStr::default(),
            text: String::new(),
            rest: Vec::new(),
            first: None,
            last: None,
            between: Vec::new(),
            finished: false,
            done: false,
            fault: None,
        }
    }

    /// Takes bytes of a stream of server-sent events.
    pub(super) fn push_events(&mut self, bytes: &[u8]) {
        self.push_lines(bytes, |reader, line| {
            let Some(data) = line.strip_prefix(b"data:") else {
                return;
            };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                reader.done = true;
            } else {
                reader.push_json(data);
            }
        });
    }

    /// Takes the body of a whole answer.
    pub(super) fn push_whole(&mut self, bytes: &[u8]) {
        self.push_json(bytes);
        self.done = true;
    }

    /// Splits bytes into lines.
    pub(super) fn push_lines(&mut self, bytes: &[u8], take: impl Fn(&mut Self, &[u8])) {
        self.rest.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.rest);
        let mut lines = buffer.split(|byte| *byte == b'\n');
        let rest = lines.next_back().unwrap_or_default();
        for line in lines {
            take(self, line.trim_ascii_end());
        }
        if rest.len() > MAX_LINE_BYTES {
            self.fail(RequestOutcome::Mixed("line of a stream is too long".into()));
            return;
        }
        self.rest = rest.to_vec();
    }

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
            // The request was accepted, so an error in its answer is a loss.
            return self.fail(RequestOutcome::Lost(
                format!("error {} in a stream", error.code).into(),
            ));
        }
        if !event.id.is_empty() {
            if !self.id.is_empty() && self.id != event.id {
                self.fail(RequestOutcome::Mixed("events with two ids".into()));
            }
            self.id = event.id.clone();
        }
        self.push_text(event.text());
        if event.finished() {
            self.finish();
        }
    }

    /// Takes text of the answer.
    pub(super) fn push_text(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        if self.finished {
            self.fail(RequestOutcome::Doubled("text after the end".into()));
        }
        let now = Instant::now();
        match self.last {
            Some(last) => self.between.push(now - last),
            None => self.first = Some(now - self.start),
        }
        self.last = Some(now);
        self.text.push_str(text);
    }

    /// Notes that the answer says that it ended.
    pub(super) fn finish(&mut self) {
        self.finished = true;
    }

    /// Notes that the stream ended in due form.
    pub(super) fn set_done(&mut self) {
        self.done = true;
    }

    /// Notes a fault; the first one counts.
    pub(super) fn fail(&mut self, outcome: RequestOutcome) {
        self.fault.get_or_insert(outcome);
    }

    /// Checks the answer against the token function.
    pub(super) fn into_exchange(self, arrival: &Arrival, request_id: SmolStr) -> Exchange {
        let (count, _) = answer_length(&arrival.prompt, arrival.max_tokens);
        let checked = check_answer(prompt_key(&arrival.prompt), count, &self.text);
        let outcome = match (self.fault, checked) {
            (Some(fault), _) => fault,
            (None, Err(fault)) => RequestOutcome::from_fault(fault),
            (None, Ok(())) if !self.finished => RequestOutcome::Lost("no finish reason".into()),
            (None, Ok(())) if !self.done => RequestOutcome::Lost("stream did not end".into()),
            (None, Ok(())) => RequestOutcome::Complete,
        };
        Exchange {
            outcome,
            request_id,
            first: self.first,
            between: self.between,
            total: self.start.elapsed(),
            tokens: u32::try_from(self.text.split_inclusive(' ').count()).unwrap_or(u32::MAX),
        }
    }
}

/// Reads a refusal from its body.
pub(super) fn refusal(status: u16, body: &[u8]) -> Refusal {
    let parsed: Completion = serde_json::from_slice(body).unwrap_or_default();
    let error = parsed.error.unwrap_or_default();
    let or = |text: SmolStr, default: String| {
        if text.is_empty() {
            default.into()
        } else {
            text
        }
    };
    Refusal {
        status,
        code: or(error.code, format!("http_{status}")),
        ran: or(error.ran, "unknown".into()),
    }
}
