//! Claims of calls that may run at most once: a task per partition drives its claim log.

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

/// Commands that may wait for one partition.
const QUEUE: usize = 1_024;

/// Claims that may wait for newer entries.
const MAX_REFRESH: usize = 1_024;

/// Objects that are listed at once.
const PAGE: usize = 64;

/// Pause after the platform could not list a partition.
const LIST_PAUSE: Duration = Duration::from_millis(200);

/// Longest time between two ticks of a log.
const MAX_TICK: Duration = Duration::from_secs(60);

/// Handle of the claim logs of all partitions.
#[derive(Debug)]
pub struct Claims {
    platform: PlatformHandle,
    instance: InstanceId,
    log: Logger,
    /// Running partitions; at most `CLAIM_PARTITIONS`.
    partitions: Mutex<HashMap<u32, mpsc::Sender<Command>>>,
}

/// Platform of the traffic threads.
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
    /// Creates a handle; a partition is read once it is needed.
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
            let (sender, receiver) = mpsc::channel(QUEUE);
            let store = Store {
                platform: self.platform.clone(),
                partition: number,
            };
            let runner = Runner {
                store,
                instance: self.instance.clone(),
                epoch: Instant::now(),
                waiting: HashMap::new(),
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

/// Objects of one partition.
#[derive(Debug, Clone)]
struct Store {
    platform: PlatformHandle,
    partition: u32,
}

/// the entries of a claim log could not be listed: {0}
#[derive(Debug, Display)]
struct ListError(String);

impl std::error::Error for ListError {}

impl Store {
    fn prefix(&self) -> String {
        format!("claims/{:02}/", self.partition)
    }

    /// Numbers have a fixed width, so that keys sort by number.
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
        let value = serde_json::to_vec(batch).expect("claim batches serialize");
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

    /// Lists all entries from number `first` on.
    async fn list(&self, first: u64) -> Result<Vec<(u64, ClaimBatch)>, ListError> {
        let prefix = self.prefix();
        let mut entries = Vec::new();
        let mut after = first.checked_sub(1).map(|before| self.key(before));
        loop {
            let page = self.platform.0.list(&prefix, after.as_deref(), PAGE).await;
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

/// A claim without result.
#[derive(Debug)]
struct Waiting {
    key: ClaimKey,
    result: oneshot::Sender<ClaimResult>,
    /// Whether newer entries have been listed for it.
    refreshed: bool,
}

/// Drives the claim log of one partition.
#[derive(Debug)]
struct Runner {
    store: Store,
    instance: InstanceId,
    epoch: Instant,
    /// Claims without result; bounded by the log.
    waiting: HashMap<ClaimTicket, Waiting>,
    /// Claims whose outcome may be in entries that are being listed.
    refreshing: Vec<Waiting>,
    /// Claims for the next listing; with `refreshing` at most `MAX_REFRESH`.
    to_refresh: Vec<Waiting>,
    next_ticket: ClaimTicket,
    logger: Logger,
}

impl Runner {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        // One operation of the log is under way at a time; an expired one may overlap.
        let (io, mut results) = mpsc::channel(16);
        let mut log: Option<ClaimLog> = None;
        loop {
            let Some(current) = &mut log else {
                log = self.open(&mut commands).await;
                continue;
            };
            let now = self.now();
            let wait = current
                .next_tick()
                .map_or(MAX_TICK, |at| at.saturating_sub(now));
            let tick = (Instant::now() + wait.min(MAX_TICK)).into();
            let actions = tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.command(current, command),
                    None => return,
                },
                Some(result) = results.recv() => {
                    self.on_io(current, result)
                }
                () = sleep_until(tick) => current.tick(self.now()),
            };
            self.act(actions, &io);
            self.refresh(current, &io);
            if current.is_stale() {
                log = None;
            }
        }
    }

    /// Lists the partition; claims that arrive while the platform fails are refused.
    async fn open(&mut self, commands: &mut mpsc::Receiver<Command>) -> Option<ClaimLog> {
        let listed_at = self.now();
        let entries = match self.store.list(0).await {
            Ok(entries) => entries,
            Err(error) => {
                warn!(self.logger, "claims_unreadable"; "partition" => self.store.partition,
                    "error" => %error);
                tokio::time::sleep(LIST_PAUSE).await;
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
        debug_assert!(actions.is_empty(), "a log without claims has nothing to do");
        Some(log)
    }

    fn command(&mut self, log: &mut ClaimLog, command: Command) -> Vec<ClaimAction> {
        let now = self.now();
        match command {
            Command::Submit { key, result } => self.submit(
                log,
                Waiting {
                    key,
                    result,
                    refreshed: false,
                },
            ),
            Command::Outcome { key, outcome } => log.record_outcome(now, key, outcome),
        }
    }

    fn submit(&mut self, log: &mut ClaimLog, waiting: Waiting) -> Vec<ClaimAction> {
        let (ticket, key) = (self.next_ticket, waiting.key);
        self.next_ticket += 1;
        self.waiting.insert(ticket, waiting);
        log.submit(self.now(), ticket, key)
    }

    fn on_io(&mut self, log: &mut ClaimLog, result: IoResult) -> Vec<ClaimAction> {
        let now = self.now();
        match result {
            IoResult::Read(seq, result) => log.on_read(now, seq, result),
            IoResult::Created(seq, result) => log.on_created(now, seq, result),
            IoResult::Listed(entries) => {
                let mut actions = log.on_page(now, entries.unwrap_or_default());
                for waiting in std::mem::take(&mut self.refreshing) {
                    actions.extend(self.submit(log, waiting));
                }
                actions
            }
        }
    }

    /// Lists newer entries for claims whose outcome is not known.
    ///
    /// A log that is caught up reads no further on its own, so an outcome that another instance
    /// has recorded since would stay unknown.
    fn refresh(&mut self, log: &ClaimLog, io: &mpsc::Sender<IoResult>) {
        if self.to_refresh.is_empty() || !self.refreshing.is_empty() {
            return;
        }
        self.refreshing = std::mem::take(&mut self.to_refresh);
        let (store, io, first) = (self.store.clone(), io.clone(), log.next_seq());
        tokio::spawn(async move {
            let entries = store.list(first).await.ok();
            let _ = io.send(IoResult::Listed(entries)).await;
        });
    }

    /// Answers a claim, or keeps it until newer entries were listed.
    fn resolve(&mut self, ticket: ClaimTicket, result: ClaimResult) {
        let Some(mut waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let full = self.refreshing.len() + self.to_refresh.len() >= MAX_REFRESH;
        if result == ClaimResult::AlreadyClaimed(None) && !waiting.refreshed && !full {
            waiting.refreshed = true;
            self.to_refresh.push(waiting);
            return;
        }
        let _ = waiting.result.send(result);
    }

    fn act(&mut self, actions: Vec<ClaimAction>, io: &mpsc::Sender<IoResult>) {
        for action in actions {
            let (store, io) = (self.store.clone(), io.clone());
            match action {
                ClaimAction::Read { seq } => {
                    tokio::spawn(async move {
                        let result = store.read(seq).await;
                        let _ = io.send(IoResult::Read(seq, result)).await;
                    });
                }
                ClaimAction::Create { seq, batch } => {
                    tokio::spawn(async move {
                        let result = store.create(seq, &batch).await;
                        let _ = io.send(IoResult::Created(seq, result)).await;
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
