//! Calls that the control thread starts; their results come back over one queue.

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

/// Results that may wait for the control thread; then the calls wait with theirs.
const RESULT_QUEUE: usize = 1_024;

/// Time for a platform call. Renewals must fit into a term of 5 s with time for another attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of a call.
#[derive(Debug)]
pub(super) enum Done {
    /// The list that was asked for at a time; `None` if the platform did not answer.
    List(Duration, Option<InstanceList>),
    /// The report of an engine that was asked for at a time; `None` if it did not answer.
    Report(InstanceId, Duration, Option<Box<EngineReport>>),
    /// The report of a plain service; `None` if it gave none.
    ServiceReport(InstanceId, Option<ServiceReport>),
    LeaseRead(ReadOutcome<LeaseRecord>),
    LeaseWritten(WriteOutcome),
    OrderRead(InstanceId, ReadOutcome<OrderRecord>),
    OrderWritten(InstanceId, WriteOutcome),
    Sent(InstanceId, SendOutcome),
}

/// Remove objects that are no longer needed.
struct Collectors {
    parts: PartCollector,
    claims: ClaimCollector,
}

/// Starts calls on the runtime of the control thread.
pub(super) struct Calls {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    engines: EngineClient,
    done: mpsc::Sender<Done>,
    collectors: Arc<Mutex<Collectors>>,
}

impl Calls {
    /// Returns the calls and the queue of their results.
    pub(super) fn new(
        shared: Arc<Shared>,
        platform: Arc<dyn Platform>,
    ) -> (Self, mpsc::Receiver<Done>) {
        let (done, results) = mpsc::channel(RESULT_QUEUE);
        let engines = EngineClient::new(&shared.settings.timeouts, &shared.settings.limits);
        let collectors = Collectors {
            parts: PartCollector::new(Arc::clone(&platform)),
            claims: ClaimCollector::new(Arc::clone(&platform), CLAIM_PARTITIONS),
        };
        let calls = Self {
            shared,
            collectors: Arc::new(Mutex::new(collectors)),
            platform,
            engines,
            done,
        };
        (calls, results)
    }

    pub(super) fn list(&self) {
        let platform = Arc::clone(&self.platform);
        let asked_at = self.shared.now();
        self.start(async move {
            let list = timeout(CALL_TIMEOUT, platform.instances()).await;
            Done::List(asked_at, list.ok().and_then(Result::ok))
        });
    }

    pub(super) fn report(&self, engine: InstanceId, address: String) {
        let engines = self.engines.clone();
        let asked_at = self.shared.now();
        self.start(async move {
            let report = engines.fetch_report(&address).await.ok();
            Done::Report(engine, asked_at, report.map(Box::new))
        });
    }

    pub(super) fn service_report(&self, service: InstanceId, address: String) {
        let engines = self.engines.clone();
        self.start(async move {
            let report = engines.fetch_service_report(&address).await.ok();
            Done::ServiceReport(service, report)
        });
    }

    pub(super) fn lease(&self, action: LeaseAction) {
        let platform = Arc::clone(&self.platform);
        let key = lease_key(&self.shared.settings.zone);
        match action {
            LeaseAction::Read => {
                self.start(async move { Done::LeaseRead(read(&*platform, &key).await) });
            }
            LeaseAction::Write { record, expect } => self.start(async move {
                Done::LeaseWritten(write(&*platform, &key, &record, expect).await)
            }),
        }
    }

    /// Starts a call for an order; `address` is that of the engine.
    pub(super) fn order(&self, action: OrderAction, address: Option<String>) {
        match action {
            OrderAction::ReadRecord { engine } => {
                let platform = Arc::clone(&self.platform);
                self.start(async move {
                    let outcome = read(&*platform, &order_key(&engine)).await;
                    Done::OrderRead(engine, outcome)
                });
            }
            OrderAction::WriteRecord {
                engine,
                record,
                expect,
            } => {
                let platform = Arc::clone(&self.platform);
                self.start(async move {
                    let outcome = write(&*platform, &order_key(&engine), &record, expect).await;
                    Done::OrderWritten(engine, outcome)
                });
            }
            OrderAction::Send {
                engine,
                order,
                not_after,
            } => self.send(engine, address, order, not_after),
        }
    }

    /// Writes the status of the zone; a failure is made up for by the next write.
    pub(super) fn status(&self, record: &ZoneStatusRecord) {
        let platform = Arc::clone(&self.platform);
        let key = status_key(&self.shared.settings.zone);
        let value = Bytes::from(encode_record(record));
        tokio::spawn(async move {
            let _ = timeout(CALL_TIMEOUT, platform.put(&key, value, Precondition::Any)).await;
        });
    }

    /// Lets the collectors make a step, unless one is under way.
    pub(super) fn collect(&self) {
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
        self.start(async move {
            let outcome = match address {
                Some(address) => send_order(&shared, &address, &order, not_after).await,
                None => SendOutcome::NotSent,
            };
            slog::info!(shared.log, "order"; "engine" => engine.as_str(),
                "kind" => kind_of(&order), "number" => order.fencing_number,
                "generation" => order.generation, "outcome" => outcome_of(outcome));
            Done::Sent(engine, outcome)
        });
    }

    fn start(&self, call: impl Future<Output = Done> + Send + 'static) {
        let done = self.done.clone();
        tokio::spawn(async move {
            let result = call.await;
            // The receiver is gone only when the thread ends.
            let _ = done.send(result).await;
        });
    }
}

async fn read<T: DeserializeOwned>(platform: &dyn Platform, key: &str) -> ReadOutcome<T> {
    match timeout(CALL_TIMEOUT, platform.get(key)).await {
        Ok(Ok(Some(object))) => match decode_record(&object.value) {
            Ok(record) => ReadOutcome::Found(record, object.version),
            Err(_) => ReadOutcome::Failed,
        },
        Ok(Ok(None) | Err(PlatformError::NotFound)) => ReadOutcome::Absent,
        Ok(Err(_)) | Err(_) => ReadOutcome::Failed,
    }
}

async fn write<T: Serialize>(
    platform: &dyn Platform,
    key: &str,
    record: &T,
    expect: Option<ObjectVersion>,
) -> WriteOutcome {
    let value = Bytes::from(encode_record(record));
    let expect = expect.map_or(Precondition::Absent, Precondition::Version);
    match timeout(CALL_TIMEOUT, platform.put(key, value, expect)).await {
        Ok(Ok(version)) => WriteOutcome::Written(version),
        Ok(Err(PlatformError::Conflict)) => WriteOutcome::Conflict,
        Ok(Err(PlatformError::Unknown(_) | PlatformError::Protocol(_))) | Err(_) => {
            WriteOutcome::Unknown
        }
        Ok(Err(_)) => WriteOutcome::Failed,
    }
}

fn kind_of(order: &Order) -> &'static str {
    use wagtailarch_wire::engine::OrderKind;
    match order.kind {
        OrderKind::Drain => "drain",
        OrderKind::Undrain => "undrain",
        OrderKind::Assign(_) => "assign",
    }
}

fn outcome_of(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Accepted => "accepted",
        SendOutcome::Refused => "refused",
        SendOutcome::NotSent => "not_sent",
        SendOutcome::Unknown => "unknown",
    }
}
