//! The arrivals of one request at servers, as far as they count in the retry budget.

/// What a call asks of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Running the request.
    Run,
    /// Only the prefill of its prompt.
    Prefill,
}

/// The arrivals of one request at servers, as far as they count in the retry budget.
///
/// Each arrival beyond the first takes a retry from the budget, also one that a server rejects. Only the
/// first prefill that a server accepts is free.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestArrivals {
    /// Number of calls that may have reached a server, without the free prefill.
    counted: u32,
    /// Retries taken from the budget for calls that have not been made.
    prepaid: u32,
    /// Whether the free prefill was accepted.
    has_free_prefill: bool,
}

impl RequestArrivals {
    /// Returns whether a retry has to be taken from the budget before the next call, perhaps several.
    ///
    /// A prefill is followed by a run, so that the retries of both are taken before the prompt is read
    /// in vain.
    pub fn needs_retry(&self, call: CallKind) -> bool {
        let arrivals = match call {
            CallKind::Run => 1,
            CallKind::Prefill => 1 + u32::from(self.has_free_prefill),
        };
        let free = u32::from(self.counted == 0);
        self.prepaid + free < arrivals
    }

    /// Records that a retry was taken from the budget for the next call.
    pub fn on_retry_taken(&mut self) {
        self.prepaid += 1;
    }

    /// Records a call that may have reached a server and was not accepted, or that failed.
    pub fn on_arrival(&mut self) {
        if self.counted > 0 {
            self.prepaid = self.prepaid.saturating_sub(1);
        }
        self.counted += 1;
    }

    /// Records a prefill that a server accepted.
    pub fn on_prefill_accepted(&mut self) {
        if std::mem::replace(&mut self.has_free_prefill, true) {
            self.on_arrival();
        }
    }
}
