//! The software versions at which streams began, and those at which clients take them up.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use indexmap::IndexMap;
use slog::{debug, info};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};
use wagtailarch_dispatch::{
    ServerEndpoint, ServiceVersions, StreamOrigins, asked_keepers, origin_keepers, version_key,
};
use wagtailarch_types::{InstanceId, Ran, RefusalReason, ServiceName, VersionKey, fingerprint};
use wagtailarch_wire::{
    load_note::server_key,
    origin::{MAX_RECORDS, Origin, OriginBody, OriginKey, OriginMessage, OriginRecord},
};

use crate::{
    engine_report::{ReportOutcome, fetch_report},
    gateway::Gateway,
    refusal::{DEFAULT_RETRY_AFTER, Refusal},
    request_context::RequestContext,
    snapshot::Snapshot,
};

/// Time limit for the answers of keepers.
///
/// A round trip between zones takes a few milliseconds; the rest is for instances that wait for
/// their share of a processor.
const ANSWER_LIMIT: Duration = Duration::from_millis(100);
/// Time limit for reading the versions that are recorded in the store.
const RECORD_LIMIT: Duration = Duration::from_millis(300);
/// Interval between two looks at the reads of the control thread.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What this instance knows about the origins of streams.
#[derive(Debug, Default)]
pub struct Origins {
    streams: RefCell<StreamOrigins>,
    versions: RefCell<ServiceVersions>,
    /// Questions that wait for answers, by their number.
    questions: RefCell<IndexMap<u32, mpsc::UnboundedSender<Origin>>>,
    next_question: Cell<u32>,
    /// When the recorded versions that were applied last were read.
    record_read_at: Cell<Option<Duration>>,
}

/// Removes a question when its answer is no longer awaited.
struct OpenQuestion<'a> {
    origins: &'a Origins,
    number: u32,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        let mut questions = self.origins.questions.borrow_mut();
        questions.swap_remove(&self.number);
    }
}

impl Origins {
    /// Returns the versions to report to peers in load notes.
    pub fn report(&self) -> Vec<(u64, VersionKey)> {
        self.versions.borrow().report()
    }

    /// Drops versions whose streams have all ended.
    pub fn expire(&self, now: Duration) {
        self.versions.borrow_mut().forget_unused(now);
    }
}

/// Returns the key of the stream of a request: the attempt that received its first event.
fn stream_key(context: &RequestContext) -> Option<OriginKey> {
    match context.client.resume_after {
        None => Some(origin_key(&context.client.id)),
        Some(_) => context.client.origin.as_deref().map(origin_key),
    }
}

fn origin_key(attempt: &str) -> OriginKey {
    fingerprint(&[attempt.as_bytes()]) as OriginKey
}

/// Applies a snapshot: the versions in service, and those recorded in the store.
pub async fn on_snapshot(gateway: &Gateway, snapshot: &Snapshot, before: &Snapshot) {
    let now = gateway.now();
    let origins = &gateway.origins;
    let newly_mixed = {
        let mut versions = origins.versions.borrow_mut();
        let mut mixed = versions.on_servers(now, &snapshot.servers, snapshot.servers_since);
        if let Some(record) = &snapshot.version_record
            && origins.record_read_at.replace(Some(record.read_at)) != Some(record.read_at)
        {
            for (service, names) in &record.services {
                let names = names.iter().map(|name| version_key(service, name));
                let names: Vec<_> = names.collect();
                if versions.on_record(record.read_at, service, &names) {
                    mixed.push(service.clone());
                }
            }
            let changed = record.changed.iter();
            let changed = changed.map(|(name, version)| (name.clone(), version_key(name, version)));
            let changed: Vec<_> = changed.collect();
            mixed.extend(versions.on_current(record.read_at, &changed));
        }
        mixed
    };
    on_mixed(gateway, &newly_mixed).await;
    if !Arc::ptr_eq(&snapshot.servers, &before.servers) {
        on_restarted_servers(gateway, snapshot, before).await;
    }
}

/// Applies the versions that a peer reports.
pub async fn on_peer_versions(gateway: &Gateway, reported: &[(u64, VersionKey)]) {
    let versions = &gateway.origins.versions;
    let newly_mixed = versions.borrow_mut().on_peer(gateway.now(), reported);
    on_mixed(gateway, &newly_mixed).await;
}

/// Sends the origins of unfinished streams to their keepers, which did not need them before.
async fn on_mixed(gateway: &Gateway, services: &[ServiceName]) {
    if services.is_empty() {
        return;
    }
    for service in services {
        info!(gateway.log, "several software versions"; "service" => %service);
    }
    let unfinished: Vec<_> = gateway.origins.streams.borrow().unfinished().collect();
    let records = unfinished.into_iter().map(|(key, version)| OriginRecord {
        key,
        version: Some(version),
    });
    send_records(gateway, records).await;
}

/// Marks the streams of servers that are back under their identifier with another version.
async fn on_restarted_servers(gateway: &Gateway, snapshot: &Snapshot, before: &Snapshot) {
    let previous: HashMap<_, _> = before
        .servers
        .iter()
        .map(|server| (&server.id, server))
        .collect();
    for server in snapshot.servers.iter() {
        let same_id = previous.get(&server.id);
        if same_id.is_none_or(|previous| previous.version_key() == server.version_key()) {
            continue;
        }
        let key = server_key(&server.id);
        let affected = gateway.origins.streams.borrow_mut().on_version_changed(key);
        info!(gateway.log, "server back with another version"; "server" => %server.id,
            "version" => %server.version, "streams" => affected.len());
        let records = affected
            .into_iter()
            .map(|key| OriginRecord { key, version: None });
        send_records(gateway, records).await;
    }
}

/// Records the server that sent the first event of a stream, here and, beside other versions, at
/// the stream's keepers.
pub fn on_begun(context: &RequestContext, server: &ServerEndpoint) {
    let Some(key) = stream_key(context).filter(|_| context.route.kind.repeatable()) else {
        return;
    };
    let gateway = &context.gateway;
    let origins = &gateway.origins;
    let now = gateway.now();
    let mut streams = origins.streams.borrow_mut();
    streams.on_begun(now, key, server.version_key, server_key(&server.id));
    drop(streams);
    if !origins.versions.borrow().is_mixed(&context.service) {
        return;
    }
    let gateway = Rc::clone(gateway);
    let record = OriginRecord {
        key,
        version: Some(server.version_key),
    };
    tokio::task::spawn_local(async move { send_records(&gateway, std::iter::once(record)).await });
}

/// Records that a client received a whole stream.
pub fn on_completed(context: &RequestContext) {
    if let Some(key) = stream_key(context) {
        context
            .gateway
            .origins
            .streams
            .borrow_mut()
            .on_completed(key);
    }
}

/// Returns the software version at which a stream goes on that a client takes up.
///
/// The take-up is refused at once if that version is not known or has left.
pub async fn take_up(context: &RequestContext) -> Result<VersionKey, Refusal> {
    let gateway = &context.gateway;
    let refusal = |reason| Refusal {
        reason,
        ran: Ran::No,
        retry_after: DEFAULT_RETRY_AFTER,
    };
    let (origin, source) = origin(context).await;
    let served = origin.filter(|version| {
        let load_balancer = gateway.load_balancer.borrow();
        load_balancer.serves_version(&context.service, *version)
    });
    info!(gateway.log, "stream taken up"; "request" => %context.client.id,
        "origin" => context.client.origin.as_deref(), "last_event" => context.client.resume_after,
        "source" => source, "served" => served.is_some());
    match (origin, served) {
        (_, Some(version)) => Ok(version),
        (Some(_), None) => Err(refusal(RefusalReason::VersionGone)),
        (None, None) => Err(refusal(RefusalReason::OriginUnknown)),
    }
}

/// Returns whether the server at which a stream goes on is the process of its registration.
///
/// A server may be back under its identifier and address with another software version, before its
/// new registration has been read. Each check is a call to the server, so that none is made while
/// the registrations are read and no instance is known to have seen a second version.
pub async fn is_listed_process(context: &RequestContext, server: &ServerEndpoint) -> bool {
    let gateway = &context.gateway;
    let is_bound = context.version.get().is_some();
    let may_differ = gateway.snapshot().servers_since.is_none()
        || context.is_version_shared.get()
        || gateway.origins.versions.borrow().is_mixed(&context.service);
    if !is_bound || !may_differ {
        return true;
    }
    let report = loop {
        match fetch_report(gateway, server).await {
            ReportOutcome::Received(report) => break Some(report),
            // An unresponsive server may go on, as its response may.
            ReportOutcome::Silent if !context.time_left().is_zero() => {}
            ReportOutcome::Silent | ReportOutcome::Failed => break None,
        }
    };
    // A server that states no start time cannot be distinguished from its earlier process.
    let is_listed = report.is_some_and(|report| {
        let started = report.started_unix_ms;
        started.is_none_or(|started| started == server.started_unix_ms)
    });
    if !is_listed {
        info!(gateway.log, "stream not continued"; "request" => %context.client.id,
            "server" => %server.id, "version" => %server.version,
            "cause" => "not the process of the registration, or no report");
    }
    is_listed
}

/// Returns the version at which a stream began, if it is known, and from where.
async fn origin(context: &RequestContext) -> (Option<VersionKey>, &'static str) {
    let gateway = &context.gateway;
    let origins = &gateway.origins;
    let key = context.client.origin.as_deref().map(origin_key);
    let own = key.map(|key| origins.streams.borrow().origin(gateway.now(), key));
    match own {
        Some(Origin::Version(version)) => return (Some(version), "own record"),
        Some(Origin::Ambiguous) => return (None, "ambiguous record"),
        Some(Origin::Unknown) | None => {}
    }
    if !origins.versions.borrow().is_mixed(&context.service) {
        let asked_at = gateway.now();
        read_record(gateway, asked_at).await;
        let versions = origins.versions.borrow();
        let only = versions.only_version(gateway.now(), &context.service, asked_at);
        if let Some(version) = only {
            return (Some(version), "only version");
        }
    }
    let Some(key) = key else {
        return (None, "no origin named");
    };
    match ask_keepers(gateway, key).await {
        Some(version) => {
            context.is_version_shared.set(true);
            (Some(version), "keeper")
        }
        None => (None, "no record"),
    }
}

/// Reads the versions in the store after `asked_at`, unless the store is known to be lost.
async fn read_record(gateway: &Gateway, asked_at: Duration) {
    if gateway.snapshot().servers_since.is_none() {
        return;
    }
    gateway.traffic.request_version_record();
    while gateway.now() < asked_at + RECORD_LIMIT {
        if gateway.origins.record_read_at.get() >= Some(asked_at) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    info!(gateway.log, "recorded versions not read"; "limit_ms" => RECORD_LIMIT.as_millis() as u64);
}

/// Asks the keepers of a stream for its origin; the first one that has a record decides.
async fn ask_keepers(gateway: &Gateway, key: OriginKey) -> Option<VersionKey> {
    let origins = &gateway.origins;
    let number = origins.next_question.get();
    origins.next_question.set(number.wrapping_add(1));
    let (sender, mut answers) = mpsc::unbounded_channel();
    origins.questions.borrow_mut().insert(number, sender);
    let _question = OpenQuestion { origins, number };
    let snapshot = gateway.snapshot();
    let listed: Vec<_> = snapshot
        .peers
        .iter()
        .map(|peer| peer.name.clone())
        .collect();
    let asked = asked_keepers(key, &listed);
    let question = OriginMessage::new(OriginBody::Question { number, key });
    for address in snapshot.peer_addresses(&asked) {
        send(gateway, &question, address).await;
    }
    let deadline = Instant::now() + ANSWER_LIMIT;
    let mut answered = 0;
    while answered < asked.len() {
        match timeout_at(deadline, answers.recv()).await {
            Ok(Some(Origin::Version(version))) => return Some(version),
            Ok(Some(Origin::Unknown)) => answered += 1,
            Ok(Some(Origin::Ambiguous)) | Ok(None) | Err(_) => break,
        }
    }
    debug!(gateway.log, "no keeper has the origin"; "asked" => asked.len(), "answered" => answered);
    None
}

/// Handles a message of another instance.
pub async fn on_message(gateway: &Gateway, message: OriginMessage, from: SocketAddr) {
    let now = gateway.now();
    match message.body {
        OriginBody::Records(records) => {
            let mut streams = gateway.origins.streams.borrow_mut();
            for record in records.into_iter().take(MAX_RECORDS) {
                streams.on_record(now, record.key, record.version);
            }
        }
        OriginBody::Question { number, key } => {
            let origin = gateway.origins.streams.borrow().origin(now, key);
            let answer = OriginMessage::new(OriginBody::Answer { number, origin });
            send(gateway, &answer, from).await;
        }
        OriginBody::Answer { number, origin } => {
            let questions = gateway.origins.questions.borrow();
            // A question that is answered late is no longer open.
            if let Some(question) = questions.get(&number)
                && question.send(origin).is_err()
            {
                debug!(gateway.log, "answer not awaited"; "from" => %from);
            }
        }
    }
}

/// Sends records to the keepers of their streams, those for one keeper in few messages.
async fn send_records(gateway: &Gateway, records: impl Iterator<Item = OriginRecord>) {
    let snapshot = gateway.snapshot();
    let live = gateway.traffic.live_peers(gateway.now());
    let live: Vec<_> = live.into_iter().map(|(name, _)| name).collect();
    let mut by_keeper: IndexMap<InstanceId, Vec<OriginRecord>> = IndexMap::new();
    for record in records {
        for keeper in origin_keepers(record.key, &live) {
            by_keeper.entry(keeper).or_default().push(record);
        }
    }
    for (keeper, records) in by_keeper {
        for address in snapshot.peer_addresses(std::slice::from_ref(&keeper)) {
            for part in records.chunks(MAX_RECORDS) {
                let message = OriginMessage::new(OriginBody::Records(part.to_vec()));
                send(gateway, &message, address).await;
            }
        }
    }
}

async fn send(gateway: &Gateway, message: &OriginMessage, to: SocketAddr) {
    let sent = match message.encode() {
        Ok(bytes) => gateway.peer_socket.send_to(&bytes, to).await,
        Err(error) => {
            debug!(gateway.log, "origin message not encoded"; "cause" => %error);
            return;
        }
    };
    if let Err(error) = sent {
        debug!(gateway.log, "origin message not sent"; "peer" => %to, "cause" => %error);
    }
}
