//! Errors of calls to the store.

use displaydoc::Display;
use wagtailarch_adapter::{StoreRequestError, StoreResponseError};

use crate::http_client::CallError;

/// Why a call to the store has no result.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {0}
    Request(StoreRequestError),
    /// {0}
    Call(CallError),
    /// {0}
    Response(StoreResponseError),
    /// the list is incomplete
    IncompleteList,
}

impl From<StoreRequestError> for StoreError {
    fn from(error: StoreRequestError) -> Self {
        Self::Request(error)
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

impl From<StoreResponseError> for StoreError {
    fn from(error: StoreResponseError) -> Self {
        Self::Response(error)
    }
}
