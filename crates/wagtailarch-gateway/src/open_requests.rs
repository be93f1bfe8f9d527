//! The requests without a complete response, and what each of them waits for.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use slog::{Logger, warn};
use smol_str::SmolStr;
use wagtailarch_types::{InstanceId, Ran};

/// Maximum number of requests that the log names when the process stops.
const MAX_LOGGED: usize = 32;

/// The requests without a complete response.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: RefCell<IndexMap<u64, Rc<OpenRequest>>>,
    next_number: Cell<u64>,
}

/// A request without a complete response.
#[derive(Debug)]
pub struct OpenRequest {
    id: SmolStr,
    arrived_at: Duration,
    waits_for: Cell<WaitsFor>,
    /// When the whole request had been read.
    read_at: Cell<Option<Duration>>,
    /// Server or instance of the last call, and when the request was sent there.
    last_call: RefCell<Option<(InstanceId, Duration)>>,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitsFor {
    /// The rest of its body.
    Body,
    /// A server to be selected, connected to or permitted.
    Placement,
    /// The response of a server or an instance.
    Response,
    /// The end of its stream, or its client to read the response.
    End,
}

impl WaitsFor {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Placement => "placement",
            Self::Response => "response",
            Self::End => "end",
        }
    }
}

impl OpenRequests {
    /// Adds a request whose head was read; returns its number.
    pub fn add(&self, id: SmolStr, now: Duration) -> (u64, Rc<OpenRequest>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let request = Rc::new(OpenRequest {
            id,
            arrived_at: now,
            waits_for: Cell::new(WaitsFor::Body),
            read_at: Cell::default(),
            last_call: RefCell::default(),
        });
        let shared = Rc::clone(&request);
        self.requests.borrow_mut().insert(number, shared);
        (number, request)
    }

    /// Removes a request whose response is complete or was dropped.
    pub fn remove(&self, number: u64) {
        self.requests.borrow_mut().swap_remove(&number);
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Logs the requests that are cut off, since the process ends.
    pub fn log_cut_off(&self, log: &Logger, now: Duration) {
        let since = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        for request in self.requests.borrow().values().take(MAX_LOGGED) {
            let last_call = request.last_call.borrow();
            warn!(log, "request cut off"; "request" => %request.id,
                "waits_for" => request.waits_for.get().as_str(),
                "age_ms" => since(request.arrived_at),
                "read_ago_ms" => request.read_at.get().map(since),
                "server" => last_call.as_ref().map(|(server, _)| server.as_str()),
                "sent_ago_ms" => last_call.as_ref().map(|(_, at)| since(*at)));
        }
    }
}

impl OpenRequest {
    /// Records that the whole request has been read.
    pub fn on_read(&self, now: Duration) {
        self.read_at.set(Some(now));
        self.waits_for.set(WaitsFor::Placement);
    }

    /// Records that the request is sent to a server or an instance.
    pub fn on_sent(&self, now: Duration, server: &InstanceId) {
        *self.last_call.borrow_mut() = Some((server.clone(), now));
        self.waits_for.set(WaitsFor::Response);
    }

    /// Records that the last call has ended without a response for the client.
    pub fn on_call_failed(&self) {
        self.waits_for.set(WaitsFor::Placement);
    }

    /// Records that the response to the client has begun.
    pub fn on_response(&self) {
        self.waits_for.set(WaitsFor::End);
    }

    /// Returns whether the request may have run, as far as is known without the outcome of its calls.
    pub fn ran(&self) -> Ran {
        match self.last_call.borrow().is_some() {
            true => Ran::Unknown,
            false => Ran::No,
        }
    }
}
