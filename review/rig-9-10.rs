//! Stand-ins and sequence of the cases 9 and 10: a store, plain workers, another system's server and
//! clients of one small deployment with two entry instances, on loopback addresses and the real clock.
//!
//! Usage: `rig-9-10 pages|fields RECORD FOLDER`; RECORD is written at the end, FOLDER takes settings and
//! logs. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
//! `TROUBLE=0` the other writer's entry does not appear. Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

/// The bound of DRAIN, as in the settings below.
const DRAIN_MS: u64 = 2_000;
/// Time for which a leaving worker goes on beyond that: "a little longer (at times many seconds)".
const LONGER_MS: u64 = 3_000;
/// Limits of one page of a list.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Calls a second that the store answers.
const READS_PER_S: u64 = 2_000;

// ---------------------------------------------------------------- record

struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    fn add(&self, line: String) {
        let now = self.ms();
        self.lines.lock().unwrap().push((now, line));
    }
}

// ---------------------------------------------------------------- http

struct Message {
    first: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// Reads one message; `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body,
    })
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).is_ok() && stream.write_all(body).is_ok()
}

/// Decodes a part of a query as every server of HTTP forms does.
fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes
            .get(i + 1..i + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- json

/// Returns the raw value of `key` in the JSON object `text`.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut i) = (0, 0);
    let mut at_key = false;
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                let end = string_end(bytes, i)?;
                if depth == 1 && at_key {
                    at_key = false;
                    let name = &text[i + 1..end - 1];
                    let mut value = end;
                    while bytes
                        .get(value)
                        .is_some_and(|b| b.is_ascii_whitespace() || *b == b':')
                    {
                        value += 1;
                    }
                    if name == key {
                        return Some(&text[value..value_end(bytes, value)?]);
                    }
                    i = value;
                    continue;
                }
                i = end;
                continue;
            }
            b'{' | b'[' => {
                depth += 1;
                at_key = depth == 1;
            }
            b'}' | b']' => depth -= 1,
            b',' if depth == 1 => at_key = true,
            _ => {}
        }
        i += 1;
    }
    None
}

fn string_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut i = start + 1;
    while i < bytes.len() {
        match bytes[i] {
            b'\\' => i += 1,
            b'"' => return Some(i + 1),
            _ => {}
        }
        i += 1;
    }
    None
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut depth, mut i) = (0, start);
    while i < bytes.len() {
        match bytes[i] {
            b'"' => {
                i = string_end(bytes, i)?;
                if depth == 0 {
                    return Some(i);
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(i),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(i + 1);
                }
            }
            b',' if depth == 0 => return Some(i),
            _ => {}
        }
        i += 1;
    }
    Some(i)
}

fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    create_rev: u64,
    spec: Vec<u8>,
}

impl Object {
    fn json(&self) -> Vec<u8> {
        let mut out = format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":",
            self.name, self.revision, self.create_rev
        )
        .into_bytes();
        out.extend_from_slice(&self.spec);
        out.extend_from_slice(b",\"status\":null}");
        out
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object and whether it was deleted.
    events: Vec<(u64, String, Object, bool)>,
    /// Increased when all waiting watches are cut off.
    cuts: u64,
    lists: u64,
    refused: u64,
    second: u64,
    reads_in_second: u64,
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = put(&mut state, kind, name, spec).revision;
        drop(state);
        self.changed.notify_all();
        revision
    }
    fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        delete(&mut state, kind, name);
        drop(state);
        self.changed.notify_all();
    }
    fn cut_watches(&self) {
        self.state.lock().unwrap().cuts += 1;
        self.changed.notify_all();
    }
    fn serve(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let store = Arc::clone(&self);
            thread::spawn(move || store.serve_connection(stream));
        }
    }
    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(message) = read_message(&mut reader) {
            thread::sleep(Duration::from_millis(2));
            let Some((status, body)) = self.answer(&message) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if !respond(
                &mut stream,
                status,
                "Content-Type: application/json\r\n",
                &body,
            ) {
                return;
            }
        }
    }
    /// Returns the answer; `None` if the connection is cut off.
    fn answer(&self, message: &Message) -> Option<(&'static str, Vec<u8>)> {
        let mut words = message.first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| {
                let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
                Some((percent_decode(name), percent_decode(value)))
            })
            .collect();
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            self.record
                .add(format!("store answers 404 to {method} {target}"));
            return Some(("404 Not Found", b"{}".to_vec()));
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(percent_decode(name))),
            None => (rest, None),
        };
        if method == "GET" {
            let second = self.record.ms() / 1_000;
            let mut state = self.state.lock().unwrap();
            if state.second != second {
                state.second = second;
                state.reads_in_second = 0;
            }
            state.reads_in_second += 1;
            if state.reads_in_second > READS_PER_S {
                state.refused += 1;
                return Some(("429 Too Many Requests", b"{}".to_vec()));
            }
        }
        let body = String::from_utf8_lossy(&message.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or("{}").to_owned();
        let expected: Option<u64> =
            field(&metadata, "revision").and_then(|v| v.trim().parse().ok());
        let spec = field(&body, "spec").unwrap_or("null").as_bytes().to_vec();
        match (method, name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => Some(("200 OK", self.list(kind, query.get("after")))),
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                Some(match state.objects.get(&(kind.to_owned(), name)) {
                    Some(object) => ("200 OK", object.json()),
                    None => ("404 Not Found", b"{}".to_vec()),
                })
            }
            ("POST", None) => {
                let name = unquote(field(&metadata, "name")?);
                let mut state = self.state.lock().unwrap();
                if let Some(object) = state.objects.get(&(kind.to_owned(), name.clone())) {
                    return Some(("409 Conflict", object.json()));
                }
                let object = put(&mut state, kind, &name, &spec);
                drop(state);
                self.changed.notify_all();
                Some(("201 Created", object.json()))
            }
            ("PUT", Some(name)) => {
                let mut state = self.state.lock().unwrap();
                let Some(object) = state.objects.get(&(kind.to_owned(), name.clone())) else {
                    return Some(("404 Not Found", b"{}".to_vec()));
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return Some(("409 Conflict", object.json()));
                }
                let object = put(&mut state, kind, &name, &spec);
                drop(state);
                self.changed.notify_all();
                Some(("200 OK", object.json()))
            }
            ("DELETE", Some(name)) => {
                self.delete(kind, &name);
                Some(("200 OK", b"{}".to_vec()))
            }
            _ => Some(("404 Not Found", b"{}".to_vec())),
        }
    }
    fn list(&self, kind: &str, after: Option<&String>) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        state.lists += 1;
        let mut items: Vec<Vec<u8>> = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        for ((_, name), object) in of_kind {
            if after.is_some_and(|after| name <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            let json = object.json();
            bytes += json.len();
            items.push(json);
        }
        let mut out = b"{\"items\":[".to_vec();
        out.extend_from_slice(&items.join(&b","[..]));
        out.extend_from_slice(
            format!(
                "],\"has_more\":{has_more},\"current_rev\":{}}}",
                state.revision
            )
            .as_bytes(),
        );
        out
    }
    fn watch(
        &self,
        kind: &str,
        query: &HashMap<String, String>,
    ) -> Option<(&'static str, Vec<u8>)> {
        let after: u64 = query.get("watch")?.parse().ok()?;
        let wait = query
            .get("wait_ms")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        let cuts = state.cuts;
        loop {
            let newer = state
                .events
                .iter()
                .filter(|(rev, k, _, _)| *rev > after && k == kind);
            let events: Vec<Vec<u8>> = newer
                .map(|(_, _, object, deleted)| {
                    let mut out = b"{\"object\":".to_vec();
                    out.extend_from_slice(&object.json());
                    out.extend_from_slice(format!(",\"deleted\":{deleted}}}").as_bytes());
                    out
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut out = b"{\"events\":[".to_vec();
                out.extend_from_slice(&events.join(&b","[..]));
                out.extend_from_slice(format!("],\"current_rev\":{}}}", state.revision).as_bytes());
                return Some(("200 OK", out));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
            if state.cuts != cuts {
                return None;
            }
        }
    }
}

fn put(state: &mut StoreState, kind: &str, name: &str, spec: &[u8]) -> Object {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(object) = state.objects.get(&key).filter(|object| object.spec == spec) {
        return object.clone();
    }
    state.revision += 1;
    let revision = state.revision;
    let create_rev = state
        .objects
        .get(&key)
        .map_or(revision, |object| object.create_rev);
    let object = Object {
        name: name.to_owned(),
        revision,
        create_rev,
        spec: spec.to_vec(),
    };
    state.objects.insert(key, object.clone());
    state
        .events
        .push((revision, kind.to_owned(), object.clone(), false));
    object
}

fn delete(state: &mut StoreState, kind: &str, name: &str) {
    if let Some(mut object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
        state.revision += 1;
        object.revision = state.revision;
        state
            .events
            .push((state.revision, kind.to_owned(), object, true));
    }
}

// ---------------------------------------------------------------- workers

struct Worker {
    id: String,
    address: SocketAddr,
    born: u64,
    beat: AtomicU64,
    /// Whether the process has ended.
    ended: AtomicBool,
    /// When the store acknowledged that the worker is draining.
    draining_since: Mutex<Option<u64>>,
    /// Arrivals that the worker ran: time and request.
    arrivals: Mutex<Vec<(u64, String)>>,
    record: Arc<Record>,
}

impl Worker {
    fn start(id: &str, born: u64, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            born,
            beat: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            draining_since: Mutex::new(None),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&worker);
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !shared.ended.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let worker = Arc::clone(&shared);
                        let _ = stream.set_nonblocking(false);
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        worker
    }
    fn spec(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"orders\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq_no\":{},\"born\":{}}}",
            self.address,
            self.beat.fetch_add(1, SeqCst) + 1,
            self.born
        )
    }
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(message) = read_message(&mut reader) {
            if self.ended.load(SeqCst) {
                return;
            }
            let none = String::new();
            let id = message
                .headers
                .get("wagtailarch-request-id")
                .unwrap_or(&none)
                .clone();
            let echo =
                format!("Wagtailarch-Request-Id: {id}\r\nWagtailarch-Server-Load: 1,0,6\r\n");
            if message
                .headers
                .get("wagtailarch-expect-instance")
                .is_some_and(|e| *e != self.id)
            {
                if !respond(
                    &mut stream,
                    "421 Misdirected Request",
                    &format!("{echo}Wagtailarch-Not-Run: 1\r\n"),
                    b"",
                ) {
                    return;
                }
                continue;
            }
            self.arrivals
                .lock()
                .unwrap()
                .push((self.record.ms(), id.clone()));
            self.record.add(format!("{} runs {id}", self.id));
            thread::sleep(Duration::from_millis(60));
            if self.ended.load(SeqCst) {
                self.record
                    .add(format!("{} ended while it ran {id}", self.id));
                return;
            }
            let stamp = format!("{echo}Wagtailarch-Server-Stamp: s.{}.{id}\r\n", self.id);
            if !respond(&mut stream, "200 OK", &stamp, id.as_bytes()) {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- clients

struct Client {
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(u64, String, String)>>>,
}

impl Client {
    fn run(self, number: u64) {
        let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
        let mut count = 0;
        while !self.stop.load(SeqCst) {
            count += 1;
            let id = format!("c{number:02}r{count:05}");
            let unsafe_kind = count % 2 == 0;
            let sent = self.record.ms();
            let outcome = self.call(&mut connection, number, &id, unsafe_kind);
            let kind = if unsafe_kind { "unsafe" } else { "safe" };
            self.record
                .add(format!("client gets {outcome} for {id} ({kind})"));
            if outcome != "200" {
                connection = None;
            }
            self.outcomes
                .lock()
                .unwrap()
                .push((sent, kind.to_owned(), outcome));
            thread::sleep(Duration::from_millis(100));
        }
    }
    fn call(
        &self,
        connection: &mut Option<(TcpStream, BufReader<TcpStream>)>,
        number: u64,
        id: &str,
        unsafe_kind: bool,
    ) -> String {
        if connection.is_none() {
            let address = self.gateways[number as usize % self.gateways.len()];
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                return "no connection".to_owned();
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(3_300)));
            let Ok(copy) = stream.try_clone() else {
                return "no connection".to_owned();
            };
            *connection = Some((stream, BufReader::new(copy)));
        }
        let Some((stream, reader)) = connection else {
            return "no connection".to_owned();
        };
        let line = match unsafe_kind {
            true => "POST /book/1 HTTP/1.1",
            false => "GET /look/1 HTTP/1.1",
        };
        let body = if unsafe_kind {
            format!("order {id}")
        } else {
            String::new()
        };
        let head = format!(
            "{line}\r\nHost: shop.example\r\nWagtailarch-Request-Id: {id}\r\nWagtailarch-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return "closed".to_owned();
        }
        match read_message(reader) {
            None => "closed or silent".to_owned(),
            Some(answer) => {
                let status = answer.first.split(' ').nth(1).unwrap_or("").to_owned();
                if status == "200" && answer.body != id.as_bytes() {
                    return "200 with another body".to_owned();
                }
                status
            }
        }
    }
}

// ---------------------------------------------------------------- gateways

struct Gateway {
    child: Child,
    client: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a port that is free for TCP and UDP, below those that outgoing connections take.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = NEXT.fetch_add(1, SeqCst) + u64::from(std::process::id()) * 61;
        let port = 20_000 + (number % 10_000) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start_gateway(name: &str, store: SocketAddr, folder: &str) -> Gateway {
    let ports: Vec<u16> = (0..5).map(|_| free_port()).collect();
    let settings = format!(
        "instance = \"{name}\"\nzone = \"a\"\nclient_address = \"127.0.0.1:{}\"\nready_address = \"127.0.0.1:{}\"\npeer_address = \"127.0.0.1:{}\"\nforward_address = \"127.0.0.1:{}\"\nmetrics_address = \"127.0.0.1:{}\"\nstore_address = \"{store}\"\nconfig_bound_ms = 2000\nleaving_bound_ms = {DRAIN_MS}\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 52\nretry_window_s = 10\n",
        ports[0], ports[1], ports[2], ports[3], ports[4]
    );
    let path = format!("{folder}/{name}.toml");
    fs::write(&path, settings).expect("settings");
    let log = fs::File::create(format!("{folder}/{name}.log")).expect("a log");
    let child = Command::new("target/release/wagtail-gateway")
        .env("WAGTAILARCH_NODE_FILE", &path)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("the gateway, built by the command of the deploy file");
    Gateway {
        child,
        client: SocketAddr::from(([127, 0, 0, 1], ports[0])),
        ready: SocketAddr::from(([127, 0, 0, 1], ports[1])),
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream
        .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        .is_err()
    {
        return false;
    }
    read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.first.contains(" 200 "))
}

// ---------------------------------------------------------------- another system's server

/// A server of another system: it knows neither a worker's headers nor the paths of the routes.
struct OtherServer {
    address: SocketAddr,
    /// Requests that reached it.
    reached: Mutex<Vec<(u64, String)>>,
    record: Arc<Record>,
}

impl OtherServer {
    fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            reached: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&shared);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }
    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(message) = read_message(&mut reader) {
            let none = String::new();
            let id = message
                .headers
                .get("wagtailarch-request-id")
                .unwrap_or(&none);
            self.reached
                .lock()
                .unwrap()
                .push((self.record.ms(), id.clone()));
            self.record.add(format!(
                "the other system's server answers 404 to {id}: {}",
                message.first
            ));
            let text = b"other system: no such page\n";
            if !respond(&mut stream, "404 Not Found", "", text) {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- the cases

/// The deployment of a case.
struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    gateways: Vec<Gateway>,
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(u64, String, String)>>>,
    clients: Vec<thread::JoinHandle<()>>,
    trouble: bool,
}

/// Start of the first worker, as its entry states it.
const BORN: u64 = 1_790_000_000_000;

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(out), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        println!("usage: rig-9-10 pages|fields RECORD FOLDER");
        std::process::exit(2);
    };
    let Some(mut deployment) = Deployment::start(&folder) else {
        println!("the entry instances do not become ready");
        std::process::exit(2);
    };
    let (broken, found) = match case.as_str() {
        "pages" => deployment.large_entry(),
        "fields" => deployment.entry_with_missing_fields(),
        _ => {
            drop(deployment);
            std::process::exit(2);
        }
    };
    deployment.gateways.clear();
    let summary = deployment.summary(&found);
    let mut text = summary.clone();
    text.push_str("\nms  what\n");
    for (at, line) in deployment.record.lines.lock().unwrap().iter() {
        text.push_str(&format!("{at}  {line}\n"));
    }
    fs::write(&out, text).expect("the record");
    print!("{summary}");
    std::process::exit(if broken { 1 } else { 0 });
}

impl Deployment {
    /// Starts everything and the load; `None` if an instance does not become ready.
    fn start(folder: &str) -> Option<Self> {
        let record = Arc::new(Record {
            start: Instant::now(),
            lines: Mutex::default(),
        });
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(&record),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_address = listener.local_addr().unwrap();
        let shared = Arc::clone(&store);
        thread::spawn(move || shared.serve(listener));
        store.put("config", "main", CONFIGURATION.as_bytes());
        let mut workers = Vec::new();
        for number in 1..=3 {
            let worker = Worker::start(&format!("i-0000000{number}"), BORN + number, &record);
            store.put("servers", &worker.id, worker.spec("ready").as_bytes());
            workers.push(worker);
        }
        let gateways: Vec<Gateway> = (1..=2)
            .map(|number| start_gateway(&format!("front-a-{number}"), store_address, folder))
            .collect();
        let deadline = Instant::now() + Duration::from_secs(20);
        while !gateways.iter().all(|gateway| is_ready(gateway.ready)) {
            if Instant::now() > deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.add("both entry instances are ready".to_owned());
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
        let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.client).collect();
        let mut clients = Vec::new();
        for number in 0..8 {
            let client = Client {
                gateways: addresses.clone(),
                record: Arc::clone(&record),
                stop: Arc::clone(&stop),
                outcomes: Arc::clone(&outcomes),
            };
            clients.push(thread::spawn(move || client.run(number)));
        }
        thread::sleep(Duration::from_secs(3));
        let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        Some(Self {
            record,
            store,
            workers,
            gateways,
            stop,
            outcomes,
            clients,
            trouble,
        })
    }

    fn stop_clients(&mut self) {
        self.stop.store(true, SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Case 9: an entry that fills a page of the list, under a name with a reserved character; then the
    /// store cuts off a watch, and the workers are replaced one after the other.
    fn large_entry(&mut self) -> (bool, String) {
        if self.trouble {
            let name = env::var("ODD_NAME").unwrap_or_else(|_| "ci&cd-probe-1".to_owned());
            let mut content = b"\"".to_vec();
            content.resize(1_048_000, b'x');
            content.push(b'"');
            self.store.put("servers", &name, &content);
            self.record.add(format!(
                "another writer's entry {name:?} appears, 1 MB that is no object"
            ));
        }
        thread::sleep(Duration::from_secs(5));
        self.store.cut_watches();
        self.record
            .add("the store cuts off the watches that wait".to_owned());
        thread::sleep(Duration::from_secs(5));
        for number in 0..3 {
            let fresh = Worker::start(
                &format!("i-0000001{number}"),
                BORN + 100 + number as u64,
                &self.record,
            );
            self.store
                .put("servers", &fresh.id, fresh.spec("ready").as_bytes());
            self.record.add(format!("{} is registered", fresh.id));
            self.workers.push(fresh);
            thread::sleep(Duration::from_secs(3));
            let old = Arc::clone(&self.workers[number]);
            self.store
                .put("servers", &old.id, old.spec("draining").as_bytes());
            *old.draining_since.lock().unwrap() = Some(self.record.ms());
            self.record.add(format!(
                "the store has accepted that {} is draining",
                old.id
            ));
            let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS));
                old.ended.store(true, SeqCst);
                record.add(format!("{} ends", old.id));
                store.delete("servers", &old.id);
            });
            thread::sleep(Duration::from_secs(2));
        }
        thread::sleep(Duration::from_secs(8));
        self.stop_clients();
        let ready: Vec<bool> = self
            .gateways
            .iter()
            .map(|gateway| is_ready(gateway.ready))
            .collect();
        let mut late = Vec::new();
        for worker in &self.workers {
            let Some(since) = *worker.draining_since.lock().unwrap() else {
                continue;
            };
            for (at, id) in worker.arrivals.lock().unwrap().iter() {
                if *at > since + DRAIN_MS {
                    late.push(format!(
                        "  {at} ms: {id} reaches {}, {} ms after",
                        worker.id,
                        at - since
                    ));
                }
            }
        }
        let mut found = format!(
            "instances that say they are ready at the end: {ready:?}\nDRAIN: arrivals later than {DRAIN_MS} ms after the store accepted 'draining': {}\n",
            late.len()
        );
        for line in late.iter().take(5) {
            found.push_str(&format!("{line}\n"));
        }
        (!late.is_empty(), found)
    }

    /// Case 10: an entry without the fields `cold_left_ms`, `seq_no` and `born`, at whose address a server
    /// of another system listens.
    fn entry_with_missing_fields(&mut self) -> (bool, String) {
        let other = OtherServer::start(&self.record);
        if self.trouble {
            let content = format!(
                "{{\"service\":\"orders\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\"}}",
                other.address
            );
            self.store
                .put("servers", "old-inventory-4", content.as_bytes());
            self.record.add(
                "another writer's entry \"old-inventory-4\" appears, with fields missing"
                    .to_owned(),
            );
        }
        thread::sleep(Duration::from_secs(15));
        self.stop_clients();
        let reached = other.reached.lock().unwrap();
        let outcomes = self.outcomes.lock().unwrap();
        let denied = outcomes.iter().filter(|(_, _, outcome)| outcome == "404");
        let denied = denied.count();
        let allowed = 5 + outcomes.len() / 500;
        let mut found = format!(
            "requests that reached the other system's server: {}\nDENIED: proper requests that ended with 404 and without a worker's stamp: {denied} of {}, allowed {allowed}\n",
            reached.len(),
            outcomes.len()
        );
        for (at, id) in reached.iter().take(5) {
            found.push_str(&format!("  {at} ms: {id}\n"));
        }
        drop(outcomes);
        (denied > allowed, found)
    }

    fn summary(&self, found: &str) -> String {
        let outcomes = self.outcomes.lock().unwrap();
        let mut counts: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for (_, kind, outcome) in outcomes.iter() {
            *counts.entry((kind, outcome)).or_default() += 1;
        }
        let end = outcomes.iter().map(|(sent, _, _)| *sent).max().unwrap_or(0);
        let last: Vec<_> = outcomes
            .iter()
            .filter(|(sent, _, _)| sent + 3_000 >= end)
            .collect();
        let served = last
            .iter()
            .filter(|(_, _, outcome)| outcome == "200")
            .count();
        let state = self.store.state.lock().unwrap();
        format!(
            "other writer's entry: {}\nrequests by kind and outcome: {counts:?}\nserved of those sent in the last 3 s: {served} of {}\nlist calls at the store: {}, refused by its rate: {}\n{found}",
            self.trouble,
            last.len(),
            state.lists,
            state.refused
        )
    }
}

const CONFIGURATION: &str = r#"{"version":7,
"routes":[
{"name":"book","host":"shop.example","path_prefix":"/book/","kind":"unsafe","service":"orders","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":2},
{"name":"look","host":"shop.example","path_prefix":"/look/","kind":"safe","service":"orders","timeout_ms":3000,"target_latency_ms":300,"priority":2,"max_attempts":2}],
"services":[{"name":"orders","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
