//! Calls of the control thread to the platform and to backend servers, whose results arrive in one
//! queue.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::{Mutex, mpsc},
    time::timeout,
};
use wagtailarch_control::{LeaseAction, OrderAction, ReadOutcome, SendOutcome, WriteOutcome};
use wagtailarch_platform::{ClaimCollector, PartCollector, Platform, PlatformError, Precondition};
use wagtailarch_traffic::CLAIM_PARTITIONS;
use wagtailarch_types::{InstanceId, ObjectVersion};
use wagtailarch_wire::{
    engine::{EngineReport, Order},
    platform::InstanceList,
    records::{
        LeaseRecord, OrderRecord, ZoneStatusRecord, decode_record, encode_record, lease_key,
        order_key, status_key,
    },
    service::ServiceReport,
};

use super::order_call::send_order;
use crate::{engine_client::EngineClient, shared::Shared};

/// Maximum number of results in the queue; when it is full, finished calls wait for space.
const RESULT_QUEUE_CAPACITY: usize = 1_024;

/// Timeout of a platform call.
///
/// A renewal of the lease must fit into the term of 5 s and leave time for another attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a call.
#[derive(Debug)]
pub(super) enum CallResult {
    /// The list and when it was requested; `None` if the call failed.
    List(Duration, Option<InstanceList>),
    /// The report of an engine and when it was requested; `None` if the call failed.
    Report(InstanceId, Duration, Option<Box<EngineReport>>),
    /// The report of a plain service; `None` if the call failed.
    ServiceReport(InstanceId, Option<ServiceReport>),
    LeaseRead(ReadOutcome<LeaseRecord>),
    LeaseWritten(WriteOutcome),
    OrderRead(InstanceId, ReadOutcome<OrderRecord>),
    OrderWritten(InstanceId, WriteOutcome),
    Sent(InstanceId, SendOutcome),
}

/// Collectors, which remove objects that are no longer needed.
struct Collectors {
    parts: PartCollector,
    claims: ClaimCollector,
}

/// Starts calls on the runtime of the control thread.
pub(super) struct Calls {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    engine_client: EngineClient,
    sender: mpsc::Sender<CallResult>,
    collectors: Arc<Mutex<Collectors>>,
}

impl Calls {
    /// Creates the calls and the receiver of their results.
    pub(super) fn new(
        shared: Arc<Shared>,
        platform: Arc<dyn Platform>,
    ) -> (Self, mpsc::Receiver<CallResult>) {
        let (sender, receiver) = mpsc::channel(RESULT_QUEUE_CAPACITY);
        let engine_client = EngineClient::new(&shared.settings.timeouts, &shared.settings.limits);
        let collectors = Collectors {
            parts: PartCollector::new(Arc::clone(&platform)),
            claims: ClaimCollector::new(Arc::clone(&platform), CLAIM_PARTITIONS),
        };
        let calls = Self {
            shared,
            collectors: Arc::new(Mutex::new(collectors)),
            platform,
            engine_client,
            sender,
        };
        (calls, receiver)
    }

    pub(super) fn request_list(&self) {
        let platform = Arc::clone(&self.platform);
        let requested_at = self.shared.now();
        self.spawn(async move {
            let list = timeout(CALL_TIMEOUT, platform.instances()).await;
            CallResult::List(requested_at, list.ok().and_then(Result::ok))
        });
    }

    pub(super) fn request_report(&self, engine: InstanceId, address: String) {
        let engine_client = self.engine_client.clone();
        let requested_at = self.shared.now();
        self.spawn(async move {
            let report = engine_client.fetch_report(&address).await.ok();
            CallResult::Report(engine, requested_at, report.map(Box::new))
        });
    }

    pub(super) fn request_service_report(&self, service: InstanceId, address: String) {
        let engine_client = self.engine_client.clone();
        self.spawn(async move {
            let report = engine_client.fetch_service_report(&address).await.ok();
            CallResult::ServiceReport(service, report)
        });
    }

    pub(super) fn start_lease_action(&self, action: LeaseAction) {
        let platform = Arc::clone(&self.platform);
        let key = lease_key(&self.shared.settings.zone);
        match action {
            LeaseAction::Read => {
                self.spawn(
                    async move { CallResult::LeaseRead(read_record(&*platform, &key).await) },
                );
            }
            LeaseAction::Write { record, expect } => self.spawn(async move {
                CallResult::LeaseWritten(write_record(&*platform, &key, &record, expect).await)
            }),
        }
    }

    /// Starts the call of an order action; `address` is that of the engine, if it is known.
    pub(super) fn start_order_action(&self, action: OrderAction, address: Option<String>) {
        match action {
            OrderAction::ReadRecord { engine } => {
                let platform = Arc::clone(&self.platform);
                self.spawn(async move {
                    let outcome = read_record(&*platform, &order_key(&engine)).await;
                    CallResult::OrderRead(engine, outcome)
                });
            }
            OrderAction::WriteRecord {
                engine,
                record,
                expect,
            } => {
                let platform = Arc::clone(&self.platform);
                self.spawn(async move {
                    let outcome =
                        write_record(&*platform, &order_key(&engine), &record, expect).await;
                    CallResult::OrderWritten(engine, outcome)
                });
            }
            OrderAction::Send {
                engine,
                order,
                not_after,
            } => self.send(engine, address, order, not_after),
        }
    }

    /// Writes the status of the zone. A failed write is not repeated; the next status replaces it.
    pub(super) fn write_status(&self, record: &ZoneStatusRecord) {
        let platform = Arc::clone(&self.platform);
        let key = status_key(&self.shared.settings.zone);
        let value = Bytes::from(encode_record(record));
        tokio::spawn(async move {
            let _ = timeout(CALL_TIMEOUT, platform.put(&key, value, Precondition::Any)).await;
        });
    }

    /// Runs one step of each collector, unless a step is still running.
    pub(super) fn run_collectors(&self) {
        let Ok(mut collectors) = Arc::clone(&self.collectors).try_lock_owned() else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            match collectors.parts.step(shared.now()).await {
                Ok(step) if step.removed > 0 => {
                    slog::info!(shared.log, "parts_removed"; "count" => step.removed);
                }
                Ok(_) => {}
                Err(error) => {
                    slog::debug!(shared.log, "parts_not_removed"; "error" => %error);
                }
            }
            match collectors.claims.step(|| shared.now()).await {
                Ok(step) if step.removed > 0 => {
                    slog::info!(shared.log, "claims_removed"; "count" => step.removed);
                }
                Ok(_) => {}
                Err(error) => {
                    slog::debug!(shared.log, "claims_not_removed"; "error" => %error);
                }
            }
        });
    }

    fn send(&self, engine: InstanceId, address: Option<String>, order: Order, not_after: Duration) {
        let shared = Arc::clone(&self.shared);
        self.spawn(async move {
            let outcome = match address {
                Some(address) => send_order(&shared, &address, &order, not_after).await,
                None => SendOutcome::NotSent,
            };
            slog::info!(shared.log, "order"; "engine" => engine.as_str(),
                "kind" => order_kind(&order), "number" => order.fencing_number,
                "generation" => order.generation, "outcome" => outcome_name(outcome));
            CallResult::Sent(engine, outcome)
        });
    }

    fn spawn(&self, call: impl Future<Output = CallResult> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let result = call.await;
            // The receiver is dropped only when the control thread ends.
            let _ = sender.send(result).await;
        });
    }
}

async fn read_record<T: DeserializeOwned>(platform: &dyn Platform, key: &str) -> ReadOutcome<T> {
    match timeout(CALL_TIMEOUT, platform.get(key)).await {
        Ok(Ok(Some(object))) => match decode_record(&object.value) {
            Ok(record) => ReadOutcome::Found(record, object.version),
            Err(_) => ReadOutcome::Failed,
        },
        Ok(Ok(None) | Err(PlatformError::NotFound)) => ReadOutcome::Absent,
        Ok(Err(_)) | Err(_) => ReadOutcome::Failed,
    }
}

async fn write_record<T: Serialize>(
    platform: &dyn Platform,
    key: &str,
    record: &T,
    expected_version: Option<ObjectVersion>,
) -> WriteOutcome {
    let value = Bytes::from(encode_record(record));
    let precondition = expected_version.map_or(Precondition::Absent, Precondition::Version);
    match timeout(CALL_TIMEOUT, platform.put(key, value, precondition)).await {
        Ok(Ok(version)) => WriteOutcome::Written(version),
        Ok(Err(PlatformError::Conflict)) => WriteOutcome::Conflict,
        Ok(Err(PlatformError::Unknown(_) | PlatformError::Protocol(_))) | Err(_) => {
            WriteOutcome::Unknown
        }
        Ok(Err(_)) => WriteOutcome::Failed,
    }
}

fn order_kind(order: &Order) -> &'static str {
    use wagtailarch_wire::engine::OrderKind;
    match order.kind {
        OrderKind::Drain => "drain",
        OrderKind::Undrain => "undrain",
        OrderKind::Assign(_) => "assign",
    }
}

fn outcome_name(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Accepted => "accepted",
        SendOutcome::Refused => "refused",
        SendOutcome::NotSent => "not_sent",
        SendOutcome::Unknown => "unknown",
    }
}
