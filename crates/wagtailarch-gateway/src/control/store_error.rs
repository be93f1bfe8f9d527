//! Why a call to the store has no result.

use displaydoc::Display;
use wagtailarch_adapter::StoreFault;

use crate::http_client::CallError;

/// Why a call to the store has no result.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {0}
    Call(CallError),
    /// {0}
    Fault(StoreFault),
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

impl From<StoreFault> for StoreError {
    fn from(fault: StoreFault) -> Self {
        Self::Fault(fault)
    }
}
