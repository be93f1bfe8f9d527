//! Claims of calls that may run at most once. One task per partition runs the claim log of the
//! partition.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use displaydoc::Display;
use slog::{Logger, warn};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep_until,
};
use wagtailarch_platform::{Platform, PlatformError, Precondition};
use wagtailarch_traffic::{
    ClaimAction, ClaimBatch, ClaimKey, ClaimLog, ClaimOutcome, ClaimResult, ClaimTicket,
    CreateResult, ReadResult, claim_partition,
};
use wagtailarch_types::InstanceId;

/// Maximum number of queued commands of one partition.
const COMMAND_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of claims that wait for newer entries.
const MAX_REFRESHING: usize = 1_024;

/// Number of objects in one page of a list.
const PAGE_SIZE: usize = 64;

/// Delay after a failed list of a partition.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum time between two ticks of a claim log.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(60);

/// Handle to the claim logs of all partitions.
#[derive(Debug)]
pub struct Claims {
    platform: PlatformHandle,
    instance: InstanceId,
    log: Logger,
    /// Command queues of the running partitions; at most `CLAIM_PARTITIONS`.
    partitions: Mutex<HashMap<u32, mpsc::Sender<Command>>>,
}

/// Platform client of the traffic threads.
#[derive(Clone)]
pub struct PlatformHandle(pub Arc<dyn Platform>);

impl std::fmt::Debug for PlatformHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformHandle")
    }
}

/// Command for one partition.
#[derive(Debug)]
enum Command {
    Submit {
        key: ClaimKey,
        result: oneshot::Sender<ClaimResult>,
    },
    Outcome {
        key: ClaimKey,
        outcome: ClaimOutcome,
    },
}

impl Claims {
    /// Creates a handle. The task of a partition starts with the first command for it.
    pub fn new(platform: PlatformHandle, instance: InstanceId, log: Logger) -> Self {
        Self {
            platform,
            instance,
            log,
            partitions: Mutex::default(),
        }
    }

    /// Claims `key`; the call may be sent only if the result is `Granted`.
    pub async fn claim(&self, key: ClaimKey) -> ClaimResult {
        let (result, received) = oneshot::channel();
        if self
            .partition(key)
            .try_send(Command::Submit { key, result })
            .is_err()
        {
            return ClaimResult::Unavailable;
        }
        received.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Records the outcome of a granted call; waits while the queue is full.
    pub async fn record(&self, key: ClaimKey, outcome: ClaimOutcome) {
        let _ = self
            .partition(key)
            .send(Command::Outcome { key, outcome })
            .await;
    }

    fn partition(&self, key: ClaimKey) -> mpsc::Sender<Command> {
        let number = claim_partition(key);
        let mut partitions = self
            .partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let sender = partitions.entry(number).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
            let store = PartitionStore {
                platform: self.platform.clone(),
                partition: number,
            };
            let runner = PartitionRunner {
                store,
                instance: self.instance.clone(),
                epoch: Instant::now(),
                pending: HashMap::new(),
                refreshing: Vec::new(),
                to_refresh: Vec::new(),
                next_ticket: 0,
                logger: self.log.clone(),
            };
            tokio::spawn(runner.run(receiver));
            sender
        });
        sender.clone()
    }
}

/// Access to the objects of one partition.
#[derive(Debug, Clone)]
struct PartitionStore {
    platform: PlatformHandle,
    partition: u32,
}

/// the entries of a claim log could not be listed: {0}
#[derive(Debug, Display)]
struct ListError(String);

impl std::error::Error for ListError {}

impl PartitionStore {
    fn prefix(&self) -> String {
        format!("claims/{:02}/", self.partition)
    }

    /// Returns the key of an entry; its number has a fixed width, so that keys sort by number.
    fn key(&self, seq: u64) -> String {
        format!("{}{seq:020}", self.prefix())
    }

    async fn read(&self, seq: u64) -> ReadResult {
        match self.platform.0.get(&self.key(seq)).await {
            Ok(Some(object)) => {
                serde_json::from_slice(&object.value).map_or(ReadResult::Failed, ReadResult::Entry)
            }
            Ok(None) => ReadResult::Absent,
            Err(_) => ReadResult::Failed,
        }
    }

    async fn create(&self, seq: u64, batch: &ClaimBatch) -> CreateResult {
        let value = serde_json::to_vec(batch).expect("claim batches can be serialized");
        match self
            .platform
            .0
            .put(&self.key(seq), Bytes::from(value), Precondition::Absent)
            .await
        {
            Ok(_) => CreateResult::Created,
            Err(PlatformError::Conflict) => CreateResult::Exists,
            Err(PlatformError::Unknown(_) | PlatformError::Protocol(_)) => CreateResult::Unknown,
            Err(_) => CreateResult::Failed,
        }
    }

    /// Lists all entries whose number is at least `first`.
    async fn list(&self, first: u64) -> Result<Vec<(u64, ClaimBatch)>, ListError> {
        let prefix = self.prefix();
        let mut entries = Vec::new();
        let mut after = first.checked_sub(1).map(|before| self.key(before));
        loop {
            let page = self
                .platform
                .0
                .list(&prefix, after.as_deref(), PAGE_SIZE)
                .await;
            let page = page.map_err(|error| ListError(error.to_string()))?;
            for item in page.items {
                let number = item
                    .key
                    .strip_prefix(&prefix)
                    .and_then(|text| text.parse().ok());
                let batch = serde_json::from_slice(&item.value);
                let (Some(number), Ok(batch)) = (number, batch) else {
                    return Err(ListError(format!("the entry {:?} is malformed", item.key)));
                };
                entries.push((number, batch));
            }
            after = page.next;
            if after.is_none() {
                return Ok(entries);
            }
        }
    }
}

/// Result of a platform call that was started for the log.
#[derive(Debug)]
enum IoResult {
    Read(u64, ReadResult),
    Created(u64, CreateResult),
    Listed(Option<Vec<(u64, ClaimBatch)>>),
}

/// A claim without a result.
#[derive(Debug)]
struct PendingClaim {
    key: ClaimKey,
    result: oneshot::Sender<ClaimResult>,
    /// Whether newer entries were already listed for this claim.
    refreshed: bool,
}

/// Runs the claim log of one partition.
#[derive(Debug)]
struct PartitionRunner {
    store: PartitionStore,
    instance: InstanceId,
    epoch: Instant,
    /// Claims without a result; the claim log limits their number.
    pending: HashMap<ClaimTicket, PendingClaim>,
    /// Claims that wait for the list of newer entries that is being read.
    refreshing: Vec<PendingClaim>,
    /// Claims that wait for the next list; together with `refreshing` at most `MAX_REFRESHING`.
    to_refresh: Vec<PendingClaim>,
    next_ticket: ClaimTicket,
    logger: Logger,
}

impl PartitionRunner {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        // The log runs one operation at a time; an operation that has timed out may overlap with
        // the next one.
        let (sender, mut results) = mpsc::channel(16);
        let mut log: Option<ClaimLog> = None;
        loop {
            let Some(current) = &mut log else {
                log = self.open(&mut commands).await;
                continue;
            };
            let now = self.now();
            let wait = current
                .next_tick()
                .map_or(MAX_TICK_INTERVAL, |at| at.saturating_sub(now));
            let tick = (Instant::now() + wait.min(MAX_TICK_INTERVAL)).into();
            let actions = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.on_command(current, command),
                    None => return,
                },
                Some(result) = results.recv() => {
                    self.on_io(current, result)
                }
                () = sleep_until(tick) => current.tick(self.now()),
            };
            self.execute(actions, &sender);
            self.refresh(current, &sender);
            if current.is_stale() {
                log = None;
            }
        }
    }

    /// Lists the partition and creates its log. If the list fails, the queued claims are refused.
    async fn open(&mut self, commands: &mut mpsc::Receiver<Command>) -> Option<ClaimLog> {
        let listed_at = self.now();
        let entries = match self.store.list(0).await {
            Ok(entries) => entries,
            Err(error) => {
                warn!(self.logger, "claims_unreadable"; "partition" => self.store.partition,
                    "error" => %error);
                tokio::time::sleep(LIST_RETRY_DELAY).await;
                while let Ok(command) = commands.try_recv() {
                    refuse(command);
                }
                return None;
            }
        };
        let first = entries.first().map_or(0, |entry| entry.0);
        let end = entries.last().map_or(0, |entry| entry.0 + 1);
        let instance = self.instance.clone();
        let mut log = ClaimLog::new(instance, rand::random(), listed_at, first, end);
        let actions = log.on_page(self.now(), entries);
        debug_assert!(
            actions.is_empty(),
            "a log without claims returns no actions"
        );
        Some(log)
    }

    fn on_command(&mut self, log: &mut ClaimLog, command: Command) -> Vec<ClaimAction> {
        let now = self.now();
        match command {
            Command::Submit { key, result } => self.submit(
                log,
                PendingClaim {
                    key,
                    result,
                    refreshed: false,
                },
            ),
            Command::Outcome { key, outcome } => log.record_outcome(now, key, outcome),
        }
    }

    fn submit(&mut self, log: &mut ClaimLog, claim: PendingClaim) -> Vec<ClaimAction> {
        let (ticket, key) = (self.next_ticket, claim.key);
        self.next_ticket += 1;
        self.pending.insert(ticket, claim);
        log.submit(self.now(), ticket, key)
    }

    fn on_io(&mut self, log: &mut ClaimLog, result: IoResult) -> Vec<ClaimAction> {
        let now = self.now();
        match result {
            IoResult::Read(seq, result) => log.on_read(now, seq, result),
            IoResult::Created(seq, result) => log.on_created(now, seq, result),
            IoResult::Listed(entries) => {
                let mut actions = log.on_page(now, entries.unwrap_or_default());
                for claim in std::mem::take(&mut self.refreshing) {
                    actions.extend(self.submit(log, claim));
                }
                actions
            }
        }
    }

    /// Lists newer entries for claims whose outcome is not known.
    ///
    /// A log that has read all entries does not read newer ones by itself, so an outcome that
    /// another instance has recorded since then would remain unknown.
    fn refresh(&mut self, log: &ClaimLog, sender: &mpsc::Sender<IoResult>) {
        if self.to_refresh.is_empty() || !self.refreshing.is_empty() {
            return;
        }
        self.refreshing = std::mem::take(&mut self.to_refresh);
        let (store, sender, first) = (self.store.clone(), sender.clone(), log.next_seq());
        tokio::spawn(async move {
            let entries = store.list(first).await.ok();
            let _ = sender.send(IoResult::Listed(entries)).await;
        });
    }

    /// Sends the result of a claim, or defers the claim until newer entries are listed.
    ///
    /// Only a claim whose key is already claimed with an unknown outcome is deferred, and only
    /// once.
    fn resolve(&mut self, ticket: ClaimTicket, result: ClaimResult) {
        let Some(mut claim) = self.pending.remove(&ticket) else {
            return;
        };
        let is_full = self.refreshing.len() + self.to_refresh.len() >= MAX_REFRESHING;
        if result == ClaimResult::AlreadyClaimed(None) && !claim.refreshed && !is_full {
            claim.refreshed = true;
            self.to_refresh.push(claim);
            return;
        }
        let _ = claim.result.send(result);
    }

    fn execute(&mut self, actions: Vec<ClaimAction>, sender: &mpsc::Sender<IoResult>) {
        for action in actions {
            let (store, sender) = (self.store.clone(), sender.clone());
            match action {
                ClaimAction::Read { seq } => {
                    tokio::spawn(async move {
                        let result = store.read(seq).await;
                        let _ = sender.send(IoResult::Read(seq, result)).await;
                    });
                }
                ClaimAction::Create { seq, batch } => {
                    tokio::spawn(async move {
                        let result = store.create(seq, &batch).await;
                        let _ = sender.send(IoResult::Created(seq, result)).await;
                    });
                }
                ClaimAction::Resolve { ticket, result } => self.resolve(ticket, result),
            }
        }
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }
}

fn refuse(command: Command) {
    match command {
        Command::Submit { result, .. } => {
            let _ = result.send(ClaimResult::Unavailable);
        }
        Command::Outcome { .. } => {}
    }
}
