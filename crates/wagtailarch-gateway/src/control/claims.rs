//! Claims in the store that give one instance the right to make a call.

use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use serde_json::Value;
use tokio::time::sleep;
use wagtailarch_adapter::{
    ObjectKind, PutOutcome, create_request, decode_get, decode_put, get_request, replace_request,
};
use wagtailarch_dispatch::{ClaimContent, ClaimStep, OrderClaim};
use wagtailarch_types::{FencingNumber, ObjectVersion};

use crate::{
    control::{ControlContext, store_error::StoreError},
    http_client::{CONNECT_LIMIT, HttpClient},
    metrics::StoreCall,
};

/// Timeout for a call to the store; the call that follows must be sent within a second of the write.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Field of the claim's content that contains the payload.
const PAYLOAD: &str = "payload";

/// A claim that this instance has written.
#[derive(Debug)]
pub struct Claimed {
    /// Fencing number of the call.
    pub fence: FencingNumber,
    /// When the write of the claim began.
    pub written_at: Duration,
    /// Payload that the claim contains; `Null` if there is none.
    pub payload: Value,
}

/// What a claim contains besides holder and fencing number.
#[derive(Debug)]
pub enum ClaimPayload {
    /// Nothing.
    Absent,
    /// The content of the call.
    Present(Value),
    /// There is nothing to call, so that no claim is written.
    NothingDue,
}

/// Why there is no claim.
#[derive(Debug, Display)]
pub enum ClaimError {
    /// the store cannot be used: {0}
    Store(StoreError),
    /// the claim cannot be decoded: {0}
    Decode(serde_json::Error),
    /// another instance wrote the claim
    AlreadyClaimed,
    /// nothing is due
    NothingDue,
}

impl<E: Into<StoreError>> From<E> for ClaimError {
    fn from(error: E) -> Self {
        Self::Store(error.into())
    }
}

/// Claims an object; waits while another instance may still make calls.
///
/// `payload` returns the payload of the new claim for that of the last one, which is `Null` if there is
/// none. It is called again if the claim changes while this instance waits.
pub async fn claim(
    context: &ControlContext,
    kind: ObjectKind,
    name: &str,
    mut claim: OrderClaim,
    payload: impl Fn(&Value) -> ClaimPayload,
) -> Result<Claimed, ClaimError> {
    let mut store = HttpClient::new(context.store_address, CONNECT_LIMIT);
    loop {
        let (found, last_payload) = read(context, &mut store, kind, name).await?;
        let (content, expect) = match claim.on_read(context.epoch.elapsed(), found) {
            ClaimStep::Write { content, expect } => (content, expect),
            ClaimStep::Wait(time) => {
                sleep(time).await;
                continue;
            }
        };
        let mut value = serde_json::to_value(&content).map_err(ClaimError::Decode)?;
        let payload = match payload(&last_payload) {
            ClaimPayload::Absent => Value::Null,
            ClaimPayload::Present(payload) => payload,
            ClaimPayload::NothingDue => return Err(ClaimError::NothingDue),
        };
        if !payload.is_null() {
            value[PAYLOAD] = payload.clone();
        }
        let written_at = context.epoch.elapsed();
        return match write(context, &mut store, kind, name, &value, expect).await? {
            PutOutcome::Done(_) => Ok(Claimed {
                fence: content.fence,
                written_at,
                payload,
            }),
            PutOutcome::Conflict(_) | PutOutcome::Missing => Err(ClaimError::AlreadyClaimed),
        };
    }
}

/// Reads a claim and its payload.
async fn read(
    context: &ControlContext,
    store: &mut HttpClient,
    kind: ObjectKind,
    name: &str,
) -> Result<(Option<(ClaimContent, ObjectVersion)>, Value), ClaimError> {
    context.metrics.count_store_call(StoreCall::Get);
    let (status, body) = store.call(get_request(kind, name)?, CALL_TIMEOUT).await?;
    let Some(mut object) = decode_get(kind, status, &body)? else {
        return Ok((None, Value::Null));
    };
    let payload = object.content.get_mut(PAYLOAD).map(Value::take);
    let content = ClaimContent::deserialize(&object.content).map_err(ClaimError::Decode)?;
    Ok((
        Some((content, object.version)),
        payload.unwrap_or(Value::Null),
    ))
}

async fn write(
    context: &ControlContext,
    store: &mut HttpClient,
    kind: ObjectKind,
    name: &str,
    value: &Value,
    expect: Option<ObjectVersion>,
) -> Result<PutOutcome, ClaimError> {
    context.metrics.count_store_call(StoreCall::Write);
    let request = match expect {
        None => create_request(kind, name, value)?,
        Some(version) => replace_request(kind, name, value, Some(version))?,
    };
    let (status, body) = store.call(request, CALL_TIMEOUT).await?;
    Ok(decode_put(kind, status, &body)?)
}
