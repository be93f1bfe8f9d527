//! Stand-ins and drivers for the cases of `review/REPORT-2.md`; standard library only.
//!
//! `standins-2 CASE` plays a case: it starts the store (in this process), workers (`standins-2 worker`)
//! and `wagtail-gateway` as processes of their own, sends requests, and judges what the clients got.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

use std::{
    collections::BTreeMap,
    env,
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    net::{Shutdown, TcpListener, TcpStream, UdpSocket},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// Events of each stream.
const EVENTS: u64 = 10;
/// Events that a worker sends before its pause.
const EVENTS_BEFORE_PAUSE: u64 = 5;
/// Time between two writes of a worker's entry, `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Pause of a worker in the middle of each answer.
const PAUSE: Duration = Duration::from_millis(1_000);

type Res<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// A record of what happened, one line an entry, shared by processes as one file each.
#[derive(Clone)]
struct Record(Arc<Mutex<File>>);

impl Record {
    fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    fn add(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = file.write_all(format!("{} {text}\n", now_ms()).as_bytes());
    }
}

// ---------------------------------------------------------------- messages

#[derive(Debug, Default)]
struct Message {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message; the rest of `buffer` belongs to the body.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16 * 1024];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    Ok(Some(Message {
        first_line,
        headers,
        body: Vec::new(),
    }))
}

/// Reads a request; its body has a length.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut chunk = [0; 16 * 1024];
    while buffer.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
    deleted: bool,
}

/// The link of one machine to the store.
#[derive(Default)]
struct Gate {
    is_cut: AtomicBool,
    /// Number of watches of the workers.
    server_watches: AtomicU64,
    /// The next watch of the workers is cut off while it waits, and this entry is removed.
    leaves_with_next_watch: Mutex<Option<String>>,
    /// When that happened.
    left_at: Mutex<Option<u64>>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// The platform's store: lists, watches and writes, as PROTOCOL.md tells them.
#[derive(Clone)]
struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"create_rev":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.revision, self.created, self.spec
        )
    }
}

impl Store {
    fn start() -> io::Result<(Self, u16)> {
        let store = Self::new();
        let port = store.open_port(Arc::default())?;
        Ok((store, port))
    }

    fn new() -> Self {
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Opens a port, the end of the link of one machine.
    fn open_port(&self, gate: Arc<Gate>) -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let shared = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (shared.clone(), Arc::clone(&gate));
                thread::spawn(move || store.serve(stream, &gate));
            }
        });
        Ok(port)
    }

    fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state
            .objects
            .get(&key)
            .filter(|o| !o.deleted)
            .map_or(revision, |o| o.created);
        let object = Object {
            revision,
            created,
            spec: spec.to_owned(),
            deleted: false,
        };
        state.objects.insert(key, object);
        self.0.1.notify_all();
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if let Some(object) = state.objects.get_mut(&(kind.to_owned(), name.to_owned())) {
            object.deleted = true;
            object.revision = revision;
        }
        self.0.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, gate: &Gate) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            wait_for_link(&gate.is_cut);
            if request.first_line.contains("/servers?watch=") {
                gate.server_watches.fetch_add(1, Ordering::SeqCst);
                let entry = gate.leaves_with_next_watch.lock().unwrap().take();
                if let Some(entry) = entry {
                    thread::sleep(Duration::from_millis(5));
                    drop(stream);
                    self.remove("servers", &entry);
                    *gate.left_at.lock().unwrap() = Some(now_ms());
                    return;
                }
            }
            let (status, body) = self.answer(&request);
            wait_for_link(&gate.is_cut);
            let json = "Content-Type: application/json\r\n";
            if respond(&mut stream, status, json, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let mut words = request.first_line.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |name: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (method, name) {
            ("GET", "") => match parameter("watch") {
                Some(after) => self.watch(kind, after, parameter("wait_ms").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", name) => match self.get(kind, name) {
                Some(object) => ("200 OK", object.json(name)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("POST", _) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let name = text_after(&body, r#""name":""#, '"').unwrap_or_default();
                if let Some(object) = self.get(kind, &name) {
                    return ("409 Conflict", object.json(&name));
                }
                self.write(kind, &name, &body)
            }
            ("PUT", name) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(object) = self.get(kind, name) else {
                    return ("404 Not Found", "{}".to_owned());
                };
                let expected = body.split(r#""spec":"#).next().and_then(|metadata| {
                    let digits = metadata.split(r#""revision":"#).nth(1)?;
                    let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
                    digits.parse::<u64>().ok()
                });
                if expected.is_some_and(|expected| expected != object.revision) {
                    return ("409 Conflict", object.json(name));
                }
                self.write(kind, name, &body)
            }
            ("DELETE", name) => {
                self.remove(kind, name);
                ("200 OK", "{}".to_owned())
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str) -> (&'static str, String) {
        let spec = body
            .split_once(r#""spec":"#)
            .map_or("null}", |(_, spec)| spec);
        self.put(kind, name, &spec[..spec.len() - 1]);
        match self.get(kind, name) {
            Some(object) => ("200 OK", object.json(name)),
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.0.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.filter(|object| !object.deleted).cloned()
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.0.0.lock().unwrap();
        let objects = state
            .objects
            .iter()
            .filter(|((k, _), o)| k == kind && !o.deleted);
        let items: Vec<_> = objects
            .map(|((_, name), object)| object.json(name))
            .collect();
        let revision = state.revision;
        let items = items.join(",");
        (
            "200 OK",
            format!(r#"{{"items":[{items}],"has_more":false,"current_rev":{revision}}}"#),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changed = state.objects.iter();
            let changed = changed.filter(|((k, _), o)| k == kind && o.revision > after);
            let mut events: Vec<_> = changed
                .map(|((_, name), o)| {
                    let event = format!(r#"{{"deleted":{},"object":{}}}"#, o.deleted, o.json(name));
                    (o.revision, event)
                })
                .collect();
            events.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events: Vec<_> = events.into_iter().map(|(_, event)| event).collect();
                let (events, revision) = (events.join(","), state.revision);
                let body = format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#);
                return ("200 OK", body);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn text_after(text: &str, start: &str, end: char) -> Option<String> {
    let rest = text.split_once(start)?.1;
    Some(rest.split(end).next()?.to_owned())
}

// ---------------------------------------------------------------- worker

/// The whole body of a plain answer to a request.
fn plain_body(request: &str) -> String {
    let lines = (0..12).map(|line| format!("{{\"request\":\"{request}\",\"line\":{line}}}"));
    format!("[{}]", lines.collect::<Vec<_>>().join(","))
}

fn event(request: &str, id: u64) -> String {
    format!("id: {id}\ndata: {request} piece {id} of {EVENTS}\n\n")
}

/// Serves requests of one service; its answers have no length and end with their connections.
///
/// Arguments: port, id, status of plain answers, start time in Unix milliseconds, record.
fn worker(arguments: &[String]) -> Res<()> {
    let [port, id, status, born, record] = arguments else {
        return Err("worker PORT ID STATUS BORN RECORD".into());
    };
    let record = Record::open(Path::new(record))?;
    let listener = TcpListener::bind(("127.0.0.1", port.parse()?))?;
    record.add(&format!("worker {id} started at port {port}"));
    for stream in listener.incoming().flatten() {
        let (id, status, record) = (id.clone(), status.clone(), record.clone());
        let born = born.clone();
        thread::spawn(move || {
            let _ = serve_worker(stream, &id, &status, &born, &record);
        });
    }
    Ok(())
}

fn serve_worker(
    mut stream: TcpStream,
    id: &str,
    status: &str,
    born: &str,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let line = &request.first_line;
        let instance = format!("Wagtailarch-Instance-Id: {id}\r\n");
        if line.starts_with("GET /health ") {
            respond(&mut stream, "200 OK", &instance, "")?;
            continue;
        }
        if request
            .header("wagtailarch-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            record.add(&format!("worker {id} is not the expected one: {line}"));
            let echo = request
                .header("wagtailarch-request-id")
                .map_or(String::new(), |name| {
                    format!("Wagtailarch-Request-Id: {name}\r\n")
                });
            respond(
                &mut stream,
                "421 Misdirected Request",
                &format!("{instance}{echo}"),
                "",
            )?;
            continue;
        }
        if line.starts_with("GET /v1/report ") {
            let report = format!(
                r#"{{"stage":"decode","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq_no":0,"born":{born},"queued":0,"running":0,"kv_used":0,"kv_total":504666,"kv_handles":0}}"#
            );
            respond(
                &mut stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                &report,
            )?;
            continue;
        }
        if line.starts_with("POST /v1/order ") {
            record.add(&format!("worker {id} gets an order"));
            respond(&mut stream, "409 Conflict", "", "")?;
            continue;
        }
        let Some(name) = request.header("wagtailarch-request-id").map(str::to_owned) else {
            respond(
                &mut stream,
                "400 Bad Request",
                "Wagtailarch-Not-Run: 1\r\n",
                "",
            )?;
            continue;
        };
        let signature =
            format!("Wagtailarch-Request-Id: {name}\r\nWagtailarch-Server-Stamp: {id}.{name}\r\n");
        if line.contains(" /fast/") {
            record.add(&format!("worker {id} runs {name}"));
            let connection = "Content-Type: application/json\r\n";
            respond(
                &mut stream,
                "200 OK",
                &format!("{signature}{connection}"),
                &plain_body(&name),
            )?;
            continue;
        }
        if line.contains(" /ask/") {
            let after = request
                .header("last-event-id")
                .and_then(|v| v.parse().ok())
                .unwrap_or(0);
            record.add(&format!(
                "worker {id} runs stream {name} after event {after}"
            ));
            let head =
                format!("HTTP/1.1 200 OK\r\n{signature}Content-Type: text/event-stream\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            for number in after + 1..=EVENTS {
                stream.write_all(event(&name, number).as_bytes())?;
                if number == EVENTS_BEFORE_PAUSE {
                    record.add(&format!(
                        "worker {id} has sent events to {number} of {name}"
                    ));
                    thread::sleep(PAUSE);
                }
                thread::sleep(Duration::from_millis(20));
            }
        } else {
            record.add(&format!("worker {id} runs {name}, answers {status}"));
            let body = plain_body(&name);
            let half = body.len() / 2;
            let head =
                format!("HTTP/1.1 {status}\r\n{signature}Content-Type: application/json\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body.as_bytes()[..half])?;
            record.add(&format!(
                "worker {id} has sent half of {name}: {half} of {} bytes",
                body.len()
            ));
            thread::sleep(PAUSE);
            stream.write_all(&body.as_bytes()[half..])?;
        }
        record.add(&format!("worker {id} has sent all of {name}"));
        // The end of the connection is the end of the answer.
        return Ok(());
    }
    Ok(())
}

// ---------------------------------------------------------------- link

/// The link to a worker. While it is cut it holds what either side sent, and what their kernels would
/// send again, and delivers it afterwards.
fn start_link(worker_port: u16, cut: Arc<AtomicBool>) -> io::Result<u16> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = Arc::clone(&cut);
            thread::spawn(move || {
                wait_for_link(&cut);
                let Ok(far) = TcpStream::connect(("127.0.0.1", worker_port)) else {
                    return;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                if let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) {
                    let back = Arc::clone(&cut);
                    thread::spawn(move || carry(near_read, far, &cut));
                    carry(far_read, near, &back);
                }
            });
        }
    });
    Ok(port)
}

fn wait_for_link(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

/// Carries bytes and their end in one direction.
fn carry(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut chunk) {
        wait_for_link(cut);
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

// ---------------------------------------------------------------- client

/// What a client received.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    stamp: Option<String>,
    body: Vec<u8>,
    /// Whether the framing says that the answer is whole.
    is_complete: bool,
}

fn call(
    port: u16,
    path: &str,
    name: &str,
    extra: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect(("127.0.0.1", port))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nWagtailarch-Request-Id: {name}\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer)? else {
        return Ok(Answer::default());
    };
    let status = head
        .first_line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let stamp = head.header("wagtailarch-server-stamp").map(str::to_owned);
    let mut answer = Answer {
        status,
        stamp,
        ..Answer::default()
    };
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    let length = head
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    let mut chunk = [0; 16 * 1024];
    loop {
        if chunked {
            while let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                if buffer.len() < end + 2 + size + 2 {
                    break;
                }
                answer
                    .body
                    .extend_from_slice(&buffer[end + 2..end + 2 + size]);
                buffer.drain(..end + 2 + size + 2);
                if size == 0 {
                    answer.is_complete = true;
                    return Ok(answer);
                }
            }
        } else if let Some(length) = length {
            if buffer.len() >= length {
                answer.body = buffer;
                answer.is_complete = true;
                return Ok(answer);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => {
                // Without a length or chunks the orderly end of the connection completes the answer.
                answer.is_complete = !chunked && length.is_none();
                answer.body.extend_from_slice(&buffer);
                return Ok(answer);
            }
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(_) => {
                answer.body.extend_from_slice(&buffer);
                return Ok(answer);
            }
        }
    }
}

// ---------------------------------------------------------------- deployment

/// What the entries of workers in the store hold, by id.
type Entries = Arc<Mutex<Vec<Entry>>>;

struct Entry {
    id: String,
    fields: String,
    silent_since: Option<Instant>,
}

/// Removes each worker's entry after three heartbeats of silence. While only `seq_no` changes, an entry
/// stays as it is.
fn remove_silent_entries(store: &Store, entries: &Entries) {
    loop {
        thread::sleep(HEARTBEAT / 12);
        let mut entries = entries.lock().unwrap();
        entries.retain(|entry| {
            if entry
                .silent_since
                .is_some_and(|since| since.elapsed() >= HEARTBEAT * 3)
            {
                store.remove("servers", &entry.id);
                return false;
            }
            true
        });
    }
}

impl Entry {
    fn write(&self, store: &Store) {
        store.put(
            "servers",
            &self.id,
            &format!("{{{},\"seq_no\":1}}", self.fields),
        );
    }
}

struct Running {
    child: Child,
    port: u16,
    id: String,
    service: &'static str,
    zone: &'static str,
    status: &'static str,
}

struct Deployment {
    dir: PathBuf,
    record: Record,
    store: Store,
    gateway: Child,
    client_port: u16,
    workers: Vec<Running>,
    entries: Entries,
    /// Whether the links to the workers are cut; `None` without links of the stand-in.
    cut: Option<Arc<AtomicBool>>,
    /// Ports of links by the ports of their workers.
    links: BTreeMap<u16, u16>,
    starts: u64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        signal(&self.gateway, SIGCONT);
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
        for worker in &mut self.workers {
            let _ = worker.child.kill();
            let _ = worker.child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Starts a process that ends with this one, however this one ends.
fn spawn(command: &mut Command) -> io::Result<Child> {
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn()
}

fn signal(child: &Child, number: i32) {
    unsafe { kill(child.id() as i32, number) };
}

/// Returns free ports below those that the system gives to outgoing connections.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 97;
    let mut ports = Vec::new();
    while ports.len() < count {
        let tried = NEXT.fetch_add(1, Ordering::SeqCst);
        if tried > 10_000 {
            return Err(io::Error::other("no free ports"));
        }
        let port = 12_000 + ((first + tried) % 18_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            ports.push(port);
        }
    }
    Ok(ports)
}

/// Figures of `sites/bollenplatform.toml`.
fn configuration() -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","path_prefix":"{prefix}","priority":2,{rest}}}"#
        )
    };
    let ask = route(
        "ask",
        "/ask/",
        r#""kind":"streaming","timeout_ms":8000,"target_latency_ms":600,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":200"#,
    );
    let book = route(
        "book",
        "/book/",
        r#""kind":"unsafe","timeout_ms":1500,"target_latency_ms":300,"service":"app","max_attempts":1"#,
    );
    let fast = book.replace("book", "fast");
    let engine = r#"{"slots":64,"kv_capacity":504666,"kv_token_bytes":327680,"link_mbps":3200000.0,"moves":true,"backups":true,"kv_hold_s":5.0,"reconfig_s":3.0,"models":[{"name":"m"}]}"#;
    format!(
        r#"{{"version":7,"routes":[{ask},{book},{fast}],"services":[{{"name":"llm","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{engine}}},{{"name":"app","health_path":"/health","max_conns":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Settings of a gateway, as the template gives them; `ports` are clients, ready, peers, forward, metrics.
fn settings(instance: &str, ports: &[u16], store_port: u16) -> String {
    format!(
        "instance = \"{instance}\"\nzone = \"a\"\nclient_address = \"127.0.0.1:{}\"\nready_address = \"127.0.0.1:{}\"\npeer_address = \"127.0.0.1:{}\"\nforward_address = \"127.0.0.1:{}\"\nmetrics_address = \"127.0.0.1:{}\"\nstore_address = \"127.0.0.1:{store_port}\"\nconfig_bound_ms = 2000\nleaving_bound_ms = 2000\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 52\nretry_window_s = 10\n",
        ports[0], ports[1], ports[2], ports[3], ports[4]
    )
}

fn start_gateway(dir: &Path, instance: &str, settings: &str, log: &File) -> Res<Child> {
    let path = dir.join(format!("{instance}.toml"));
    fs::write(&path, settings)?;
    let mut command = Command::new("target/release/wagtail-gateway");
    command
        .env_clear()
        .env("WAGTAILARCH_NODE_FILE", &path)
        .stdin(Stdio::null());
    command.stdout(log.try_clone()?).stderr(log.try_clone()?);
    Ok(spawn(&mut command)?)
}

impl Deployment {
    /// Starts the store, the workers and the gateway, and waits until the gateway is ready.
    fn start(case: &str, plain_status: &'static str, has_links: bool) -> Res<Self> {
        let dir = env::temp_dir().join(format!("standins-2-{case}-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let record = Record::open(&dir.join("record-driver"))?;
        let (store, store_port) = Store::start()?;
        store.put("config", "main", &configuration());
        let ports = free_ports(8)?;
        let settings = settings("front-a-1", &ports, store_port);
        let log = File::create(dir.join("gateway.log"))?;
        let gateway = start_gateway(&dir, "front-a-1", &settings, &log)?;
        let mut deployment = Self {
            dir,
            record,
            store,
            gateway,
            client_port: ports[0],
            workers: Vec::new(),
            entries: Entries::default(),
            cut: has_links.then(Arc::default),
            links: BTreeMap::new(),
            starts: 0,
        };
        let (store, entries) = (deployment.store.clone(), deployment.entries.clone());
        thread::spawn(move || remove_silent_entries(&store, &entries));
        for (service, zone, port) in [
            ("llm", "a", ports[5]),
            ("llm", "b", ports[6]),
            ("app", "a", ports[7]),
        ] {
            deployment.start_worker(service, zone, port, plain_status)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !is_ready(ports[1]) {
            if Instant::now() > until {
                return Err("the gateway isn't ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        deployment.record.add("gateway ready");
        thread::sleep(Duration::from_millis(1_500));
        Ok(deployment)
    }

    /// Starts a worker under a new id, waits until it listens, and registers it.
    fn start_worker(
        &mut self,
        service: &'static str,
        zone: &'static str,
        port: u16,
        status: &'static str,
    ) -> Res<()> {
        self.starts += 1;
        let id = format!("i-{service}-{zone}-{}", self.starts);
        let born = now_ms();
        let mut command = Command::new(env::current_exe()?);
        command.args(["worker", &port.to_string(), &id, status, &born.to_string()]);
        command
            .arg(self.dir.join(format!("record-{id}")))
            .stdin(Stdio::null());
        let child = spawn(&mut command)?;
        let until = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(("127.0.0.1", port)).is_err() {
            if Instant::now() > until {
                return Err("a worker doesn't start".into());
            }
            thread::sleep(Duration::from_millis(5));
        }
        let mut address_port = port;
        if let Some(cut) = &self.cut {
            if !self.links.contains_key(&port) {
                self.links.insert(port, start_link(port, Arc::clone(cut))?);
            }
            address_port = self.links[&port];
        }
        let stage = if service == "llm" {
            r#","stage":"decode","models":[{"name":"m","version":1,"adapters":[]}]"#
        } else {
            ""
        };
        let fields = format!(
            r#""service":"{service}","address":"127.0.0.1:{address_port}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"born":{born}{stage}"#
        );
        let entry = Entry {
            id: id.clone(),
            fields,
            silent_since: None,
        };
        entry.write(&self.store);
        self.entries.lock().unwrap().push(entry);
        self.workers.push(Running {
            child,
            port,
            id,
            service,
            zone,
            status,
        });
        Ok(())
    }

    /// Waits until a worker has recorded `text`; returns its index.
    fn worker_that(&self, text: &str) -> Res<usize> {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            for (index, worker) in self.workers.iter().enumerate() {
                let path = self.dir.join(format!("record-{}", worker.id));
                if fs::read_to_string(path).is_ok_and(|record| record.contains(text)) {
                    return Ok(index);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        Err(format!("no worker recorded {text:?}").into())
    }

    /// Begins or ends the freeze of the gateway or the cut of the links.
    fn delay(&self, delay: Delay, begins: bool) {
        let text = match (delay, begins) {
            (Delay::Freeze, true) => "gateway frozen",
            (Delay::Freeze, false) => "gateway awake",
            (Delay::Cut, true) => "links cut",
            (Delay::Cut, false) => "links whole",
        };
        self.record.add(text);
        match (delay, &self.cut) {
            (Delay::Cut, Some(cut)) => cut.store(begins, Ordering::SeqCst),
            _ => signal(&self.gateway, if begins { SIGSTOP } else { SIGCONT }),
        }
    }

    /// Kills a worker.
    fn crash(&mut self, index: usize) -> io::Result<()> {
        let worker = &mut self.workers[index];
        worker.child.kill()?;
        worker.child.wait()?;
        let mut entries = self.entries.lock().unwrap();
        if let Some(entry) = entries.iter_mut().find(|entry| entry.id == worker.id) {
            entry.silent_since = Some(Instant::now());
        }
        drop(entries);
        self.record.add(&format!("worker {} killed", worker.id));
        Ok(())
    }

    /// Starts a killed worker again at its address, under a new id.
    fn restart(&mut self, index: usize) -> Res<()> {
        let former = self.workers.remove(index);
        self.start_worker(former.service, former.zone, former.port, former.status)
    }

    /// Writes what was sent, answered and run, in the order of time, and removes the folder.
    fn write_record(&self, path: &str, verdict: &str) -> Res<()> {
        let mut lines = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            let path = entry?.path();
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            if name.starts_with("record-") {
                let text = fs::read_to_string(&path)?;
                lines.extend(text.lines().map(str::to_owned));
            }
        }
        lines.sort();
        let first: u64 = lines
            .first()
            .and_then(|l| l.split(' ').next()?.parse().ok())
            .unwrap_or(0);
        let mut out = String::new();
        for line in &lines {
            let (time, text) = line.split_once(' ').unwrap_or(("0", line));
            let time: u64 = time.parse().unwrap_or(0);
            out.push_str(&format!("{:>7} ms  {text}\n", time.saturating_sub(first)));
        }
        let log = fs::read_to_string(self.dir.join("gateway.log")).unwrap_or_default();
        out.push_str("\nThe gateway's log of the requests:\n");
        for line in log.lines().filter(|line| line.contains("request=")) {
            out.push_str(line);
            out.push('\n');
        }
        out.push_str(&format!("\n{verdict}\n"));
        fs::write(path, out)?;
        fs::remove_dir_all(&self.dir)?;
        Ok(())
    }
}

fn is_ready(port: u16) -> bool {
    let Ok(mut stream) = TcpStream::connect(("127.0.0.1", port)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut text = String::new();
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_to_string(&mut text).is_ok()
        && text.starts_with("HTTP/1.1 200")
}

// ---------------------------------------------------------------- judgement

/// Judges a stream; returns what is wrong with it.
fn judge_stream(name: &str, answer: &Answer) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole: String = (1..=EVENTS).map(|id| event(name, id)).collect();
    if answer.status / 100 != 2 {
        return None;
    }
    let events = text.matches("id: ").count();
    match answer.is_complete {
        true if text == whole => None,
        true if whole.starts_with(&text) => Some(format!(
            "stream {name} ended as complete after piece {events} of {EVENTS}"
        )),
        false if whole.starts_with(&text) => None,
        _ => Some(format!("stream {name} has other pieces: {text:?}")),
    }
}

/// Judges a plain answer that a worker signed; returns what is wrong with it.
fn judge_plain(name: &str, answer: &Answer) -> Option<String> {
    let whole = plain_body(name);
    let is_signed = answer.stamp.is_some();
    let differs = answer.body != whole.as_bytes();
    (answer.is_complete && is_signed && differs).then(|| {
        let (got, sent) = (answer.body.len(), whole.len());
        let status = answer.status;
        format!("answer {name} ({status}, signed) looks complete with {got} of the worker's {sent} bytes")
    })
}

const STREAM_HEADERS: &str = "Wagtailarch-Model: m\r\nWagtailarch-Token-Counts: 460,40\r\nWagtailarch-Prompt-Prefix: 5c1e07a2:300,91bd3f06:160\r\nWagtailarch-Deadline-Ms: 8000\r\n";
const PLAIN_HEADERS: &str = "Wagtailarch-Deadline-Ms: 3000\r\n";

fn spawn_stream(port: u16, name: &str) -> thread::JoinHandle<io::Result<Answer>> {
    let name = name.to_owned();
    // A client abandons a stream after a gap of four times its objective, 2.4 s.
    let limit = Duration::from_millis(2_400);
    thread::spawn(move || call(port, "/ask/1", &name, STREAM_HEADERS, "prompt", limit))
}

fn spawn_plain(port: u16, name: &str) -> thread::JoinHandle<io::Result<Answer>> {
    let name = name.to_owned();
    let limit = Duration::from_millis(3_000);
    thread::spawn(move || {
        call(
            port,
            "/book/1",
            &name,
            PLAIN_HEADERS,
            "{\"bulbs\":3}",
            limit,
        )
    })
}

fn note_answer(record: &Record, name: &str, answer: &Answer) {
    record.add(&format!(
        "client got {name}: status {}, {} bytes, {}",
        answer.status,
        answer.body.len(),
        if answer.is_complete {
            "complete by its framing"
        } else {
            "broken off"
        }
    ));
}

/// What delays the end of an answer until its worker is back.
#[derive(Clone, Copy)]
enum Delay {
    /// The gateway stands still.
    Freeze,
    /// The links to the workers are cut; the workers crash behind the cut and start again.
    Cut,
}

/// Workers crash in the middle of their answers and start again before the gateway reads the ends.
fn ends(trouble: bool, record_path: &str) -> Res<bool> {
    let mut broken = Vec::new();
    let mut records = String::new();
    for delay in [Delay::Cut, Delay::Freeze] {
        let part = match delay {
            Delay::Cut => "workers crash behind a cut of their links and start again",
            Delay::Freeze => "workers crash and start again while the gateway is frozen",
        };
        records.push_str(&format!("== {part}\n"));
        let found = delayed_ends(trouble, delay, record_path)?;
        records.push_str(&fs::read_to_string(record_path)?);
        records.push('\n');
        broken.extend(found.into_iter().map(|text| format!("{part}: {text}")));
    }
    fs::write(record_path, records)?;
    println!("{}", verdict(&broken));
    Ok(broken.is_empty())
}

fn delayed_ends(trouble: bool, delay: Delay, record_path: &str) -> Res<Vec<String>> {
    let has_links = matches!(delay, Delay::Cut);
    let mut deployment = Deployment::start("ends", "200 OK", has_links)?;
    let port = deployment.client_port;
    let mut broken = Vec::new();
    for round in 0..3 {
        let stream_name = format!("5a{round:02}00000000000a");
        let plain_name = format!("5b{round:02}00000000000b");
        let names = [&stream_name, &plain_name];
        deployment.record.add(&format!(
            "client sends {stream_name} (stream) and {plain_name} (unsafe)"
        ));
        let stream = spawn_stream(port, &stream_name);
        deployment.worker_that(&format!(
            "has sent events to {EVENTS_BEFORE_PAUSE} of {stream_name}"
        ))?;
        let plain = spawn_plain(port, &plain_name);
        deployment.worker_that(&format!("has sent half of {plain_name}"))?;
        if trouble {
            thread::sleep(Duration::from_millis(50));
            deployment.delay(delay, true);
            for name in names {
                let index = deployment.worker_that(name)?;
                deployment.crash(index)?;
            }
            thread::sleep(Duration::from_millis(600));
            for name in names {
                let index = deployment.worker_that(name)?;
                deployment.restart(index)?;
            }
            thread::sleep(Duration::from_millis(300));
            deployment.delay(delay, false);
        }
        let stream = stream.join().map_err(|_| "client failed")??;
        let plain = plain.join().map_err(|_| "client failed")??;
        note_answer(&deployment.record, &stream_name, &stream);
        note_answer(&deployment.record, &plain_name, &plain);
        broken.extend(judge_stream(&stream_name, &stream));
        broken.extend(judge_plain(&plain_name, &plain));
        thread::sleep(Duration::from_millis(6_000));
    }
    deployment.write_record(record_path, &verdict(&broken))?;
    Ok(broken)
}

/// A worker crashes in the middle of an answer with status 500.
fn failure(trouble: bool, record_path: &str) -> Res<bool> {
    let mut deployment = Deployment::start("failure", "500 Internal Server Error", false)?;
    let port = deployment.client_port;
    let mut broken = Vec::new();
    for round in 0..3 {
        let name = format!("5c{round:02}00000000000c");
        deployment
            .record
            .add(&format!("client sends {name} (unsafe)"));
        let plain = spawn_plain(port, &name);
        let index = deployment.worker_that(&format!("has sent half of {name}"))?;
        if trouble {
            thread::sleep(Duration::from_millis(50));
            deployment.crash(index)?;
        }
        let answer = plain.join().map_err(|_| "client failed")??;
        note_answer(&deployment.record, &name, &answer);
        broken.extend(judge_plain(&name, &answer));
        if trouble {
            thread::sleep(Duration::from_millis(500));
            deployment.restart(index)?;
        }
        thread::sleep(Duration::from_millis(6_000));
    }
    let verdict = verdict(&broken);
    println!("{verdict}");
    deployment.write_record(record_path, &verdict)?;
    Ok(broken.is_empty())
}

/// Gateways beside that of the deployment.
struct Others(Vec<Child>);

impl Drop for Others {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Two of three machines of a zone are cut off from the store; the third one, which isn't, has a watch
/// cut off, and a worker leaves without reporting `draining`.
fn zone(trouble: bool, record_path: &str) -> Res<bool> {
    let dir = env::temp_dir().join(format!("standins-2-zone-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let record = Record::open(&dir.join("record-driver"))?;
    let store = Store::new();
    store.put("config", "main", &configuration());
    let log = File::create(dir.join("gateway.log"))?;
    let gates: Vec<Arc<Gate>> = (0..3).map(|_| Arc::default()).collect();
    let mut clients = Vec::new();
    let mut ready = Vec::new();
    let mut gateways = Vec::new();
    for (number, gate) in gates.iter().enumerate() {
        let ports = free_ports(5)?;
        let instance = format!("front-a-{}", number + 1);
        let settings = settings(&instance, &ports, store.open_port(Arc::clone(gate))?);
        gateways.push(start_gateway(&dir, &instance, &settings, &log)?);
        clients.push(ports[0]);
        ready.push(ports[1]);
    }
    let mut deployment = Deployment {
        gateway: gateways.remove(0),
        dir,
        record,
        store: store.clone(),
        client_port: clients[0],
        workers: Vec::new(),
        entries: Entries::default(),
        cut: None,
        links: BTreeMap::new(),
        starts: 0,
    };
    let _others = Others(gateways);
    for port in free_ports(3)? {
        deployment.start_worker("app", "a", port, "200 OK")?;
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !ready.iter().all(|port| is_ready(*port)) {
        if Instant::now() > until {
            return Err("a gateway isn't ready".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(9));
    let watches = || {
        gates
            .iter()
            .map(|gate| gate.server_watches.load(Ordering::SeqCst))
    };
    let before: Vec<u64> = watches().collect();
    thread::sleep(Duration::from_secs(3));
    let after: Vec<u64> = watches().collect();
    let member = (0..3).find(|&index| before[index] == after[index]);
    let member = member.ok_or("no machine reads from the others")?;
    let name = format!("front-a-{}", member + 1);
    deployment.record.add(&format!(
        "{name} reads from the others of its zone, these from the store"
    ));
    let leaving = deployment.workers[0].id.clone();
    let port = clients[member];
    let is_over = Arc::new(AtomicBool::new(false));
    let over = Arc::clone(&is_over);
    let sent_record = deployment.record.clone();
    let sender = thread::spawn(move || {
        let mut sent = 0;
        while !over.load(Ordering::SeqCst) {
            sent += 1;
            let name = format!("5d{sent:06}0000000d");
            let limit = Duration::from_secs(3);
            let answer = call(port, "/fast/1", &name, PLAIN_HEADERS, "{}", limit);
            let status = answer.map_or(0, |answer| answer.status);
            sent_record.add(&format!("client sent {name} and got {status}"));
            thread::sleep(Duration::from_millis(20));
        }
        sent
    });
    let others = (0..3).filter(|index| *index != member);
    let cut = |is_cut: bool| {
        for index in others.clone() {
            gates[index].is_cut.store(is_cut, Ordering::SeqCst);
        }
    };
    thread::sleep(Duration::from_secs(1));
    let mut left_at = None;
    if trouble {
        deployment
            .record
            .add("the others are cut off from the store");
        cut(true);
        thread::sleep(Duration::from_millis(2_500));
        *gates[member].leaves_with_next_watch.lock().unwrap() = Some(leaving.clone());
        let until = Instant::now() + Duration::from_secs(3);
        while left_at.is_none() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
            left_at = *gates[member].left_at.lock().unwrap();
        }
    } else {
        thread::sleep(Duration::from_millis(2_500));
        store.remove("servers", &leaving);
        left_at = Some(now_ms());
    }
    let left_at = left_at.ok_or("the machine watches no workers")?;
    deployment.record.add(&format!(
        "{leaving} is gone: its entry is removed, and it serves on"
    ));
    thread::sleep(Duration::from_secs(3));
    if trouble {
        cut(false);
        deployment.record.add("the others reach the store again");
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let sent = sender.join().map_err(|_| "client failed")?;
    deployment
        .record
        .add(&format!("{sent} requests were sent to {name}"));
    let text = fs::read_to_string(deployment.dir.join(format!("record-{leaving}")))?;
    let runs = text.lines().filter(|line| line.contains(" runs "));
    let times = runs.filter_map(|line| line.split(' ').next()?.parse::<u64>().ok());
    let late: Vec<u64> = times.filter(|time| *time > left_at + 2_000).collect();
    let mut broken = Vec::new();
    if let Some(last) = late.last() {
        let (count, last) = (late.len(), last - left_at);
        broken.push(format!(
            "{count} requests reached {leaving} from {name} later than 2000 ms after it was gone, the last after {last} ms"
        ));
    }
    let verdict = verdict(&broken);
    println!("{verdict}");
    deployment.write_record(record_path, &verdict)?;
    Ok(broken.is_empty())
}

fn verdict(broken: &[String]) -> String {
    match broken {
        [] => "held".to_owned(),
        broken => format!("BROKEN\n{}", broken.join("\n")),
    }
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let played = match arguments.first().map(String::as_str) {
        Some("worker") => worker(&arguments[1..]).map(|()| true),
        Some("ends") => ends(trouble, &record),
        Some("failure") => failure(trouble, &record),
        Some("zone") => zone(trouble, &record),
        _ => Err("standins-2 ends | failure | zone | worker".into()),
    };
    match played {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    }
}
