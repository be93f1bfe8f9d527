//! Stand-ins and cases of the third review: store, worker, client and the scripts' drivers.
//!
//! Only the standard library; `build-3.sh` compiles this file. The store and the clients run in the
//! driver; each worker and each gateway is a process of its own.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the store removes the entry of a worker: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("worker") => worker::run(&args[1..]),
        Some("refused-route") => cases::refused_route(),
        Some("late-drain") => cases::late_drain(),
        Some("cut-release") => cases::cut_release(),
        Some("cut-pause") => cases::cut_pause(),
        Some("barred-release") => cases::barred_release(),
        _ => 2,
    };
    std::process::exit(code);
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Values of top-level fields of JSON objects, without a parser for whole documents.
mod json {
    /// Returns the raw value of a field of an object.
    pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
        let bytes = text.as_bytes();
        let mut at = skip_space(bytes, 0);
        if bytes.get(at) != Some(&b'{') {
            return None;
        }
        at += 1;
        loop {
            at = skip_space(bytes, at);
            if bytes.get(at) != Some(&b'"') {
                return None;
            }
            let key_end = value_end(bytes, at)?;
            let key = &text[at + 1..key_end - 1];
            at = skip_space(bytes, key_end);
            if bytes.get(at) != Some(&b':') {
                return None;
            }
            at = skip_space(bytes, at + 1);
            let end = value_end(bytes, at)?;
            if key == name {
                return Some(&text[at..end]);
            }
            at = skip_space(bytes, end);
            if bytes.get(at) != Some(&b',') {
                return None;
            }
            at += 1;
        }
    }

    /// Returns a text field without escapes.
    pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
        field(object, name)?.strip_prefix('"')?.strip_suffix('"')
    }

    pub fn number(object: &str, name: &str) -> Option<u64> {
        field(object, name)?.parse().ok()
    }

    fn skip_space(bytes: &[u8], mut at: usize) -> usize {
        while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
            at += 1;
        }
        at
    }

    fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
        let (mut at, mut depth, mut in_text) = (start, 0, false);
        while at < bytes.len() {
            match bytes[at] {
                b'\\' if in_text => at += 1,
                b'"' => {
                    in_text = !in_text;
                    if !in_text && depth == 0 {
                        return Some(at + 1);
                    }
                }
                b'{' | b'[' if !in_text => depth += 1,
                b'}' | b']' if !in_text => {
                    if depth == 0 {
                        return Some(at);
                    }
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if !in_text && depth == 0 => return Some(at),
                _ => {}
            }
            at += 1;
        }
        (depth == 0 && !in_text).then_some(at)
    }
}

/// HTTP/1.1 messages.
mod http {
    use super::*;

    #[derive(Debug, Clone, Default)]
    pub struct Message {
        /// First line.
        pub start: String,
        pub headers: Vec<(String, String)>,
        pub body: Vec<u8>,
    }

    impl Message {
        pub fn header(&self, name: &str) -> Option<&str> {
            let mut headers = self.headers.iter();
            let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.as_str())
        }

        pub fn method(&self) -> &str {
            self.start.split(' ').next().unwrap_or("")
        }

        pub fn target(&self) -> &str {
            self.start.split(' ').nth(1).unwrap_or("")
        }

        pub fn status(&self) -> u16 {
            let text = self.start.split(' ').nth(1);
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        }
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return match message.start.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            if message.start.is_empty() {
                message.start = line.to_owned();
            } else if line.is_empty() {
                return Ok(Some(message));
            } else if let Some((key, value)) = line.split_once(':') {
                let header = (key.trim().to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }

    /// Reads a whole request with a length.
    pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let Some(mut message) = read_head(reader)? else {
            return Ok(None);
        };
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Why the body of an answer ended.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum End {
        /// By its length or its last chunk.
        Complete,
        /// With the connection, before its length or its last chunk.
        CutOff,
        /// No byte came within the patience of the client.
        Abandoned,
    }

    /// Reads the body of an answer, as far as it comes.
    pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> End {
        let result = match message.header("transfer-encoding") {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => read_chunks(reader, message),
            _ => read_length(reader, message),
        };
        match result {
            Ok(true) => End::Complete,
            Ok(false) => End::CutOff,
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                End::Abandoned
            }
            Err(_) => End::CutOff,
        }
    }

    fn read_length(reader: &mut impl BufRead, message: &mut Message) -> io::Result<bool> {
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut part = [0; 4096];
        while message.body.len() < length {
            let count = reader.read(&mut part)?;
            if count == 0 {
                return Ok(false);
            }
            message.body.extend_from_slice(&part[..count]);
        }
        Ok(true)
    }

    fn read_chunks(reader: &mut impl BufRead, message: &mut Message) -> io::Result<bool> {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok(false);
            };
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(true);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn answer(
        stream: &mut TcpStream,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)
    }
}

/// The platform's store.
mod store {
    use super::*;

    #[derive(Debug, Clone)]
    struct Object {
        revision: u64,
        create_rev: u64,
        spec: String,
        status: String,
        written_at: Instant,
    }

    #[derive(Debug, Default)]
    struct State {
        revision: u64,
        objects: BTreeMap<(String, String), Object>,
        /// Changes: revision, kind, object, whether it was deleted.
        history: Vec<(u64, String, String, bool)>,
    }

    #[derive(Debug)]
    pub struct Store {
        pub address: SocketAddr,
        state: Mutex<State>,
        changed: Condvar,
    }

    impl State {
        fn render(name: &str, object: &Object) -> String {
            format!(
                "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"create_rev\":{},\
                 \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
                object.revision, object.create_rev, object.spec, object.status
            )
        }

        fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
            let key = (kind.to_owned(), name.to_owned());
            let now = Instant::now();
            if let Some(object) = self.objects.get_mut(&key) {
                object.written_at = now;
                if object.spec == spec {
                    return Self::render(name, object);
                }
            }
            self.revision += 1;
            let revision = self.revision;
            let create_rev = self.objects.get(&key).map_or(revision, |o| o.create_rev);
            let object = Object {
                revision,
                create_rev,
                spec: spec.to_owned(),
                status: "null".to_owned(),
                written_at: now,
            };
            let text = Self::render(name, &object);
            self.objects.insert(key, object);
            self.history
                .push((revision, kind.to_owned(), text.clone(), false));
            text
        }

        fn delete(&mut self, kind: &str, name: &str) -> bool {
            let key = (kind.to_owned(), name.to_owned());
            let Some(object) = self.objects.remove(&key) else {
                return false;
            };
            self.revision += 1;
            let text = Self::render(name, &object);
            self.history
                .push((self.revision, kind.to_owned(), text, true));
            true
        }
    }

    impl Store {
        pub fn start() -> Arc<Self> {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let store = Arc::new(Self {
                address: listener.local_addr().expect("an address"),
                state: Mutex::new(State {
                    revision: 10,
                    ..State::default()
                }),
                changed: Condvar::new(),
            });
            let shared = Arc::clone(&store);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&shared);
                    thread::spawn(move || store.serve(stream));
                }
            });
            let shared = Arc::clone(&store);
            thread::spawn(move || {
                loop {
                    thread::sleep(Duration::from_millis(100));
                    shared.expire();
                }
            });
            store
        }

        pub fn put(&self, kind: &str, name: &str, spec: &str) {
            self.state.lock().unwrap().put(kind, name, spec);
            self.changed.notify_all();
        }

        /// Returns the numbers of ready entries of workers.
        pub fn ready_workers(&self) -> usize {
            let state = self.state.lock().unwrap();
            let workers = state
                .objects
                .iter()
                .filter(|((kind, _), _)| kind == "servers");
            workers
                .filter(|(_, o)| o.spec.contains("\"ready\""))
                .count()
        }

        fn expire(&self) {
            let mut state = self.state.lock().unwrap();
            let silent = state.objects.iter().filter(|((kind, _), object)| {
                kind == "servers" && object.written_at.elapsed() > EXPIRY
            });
            let names: Vec<_> = silent.map(|((_, name), _)| name.clone()).collect();
            for name in names {
                state.delete("servers", &name);
                self.changed.notify_all();
            }
        }

        fn serve(&self, stream: TcpStream) {
            let _ = stream.set_nodelay(true);
            let mut writer = stream.try_clone().expect("a socket");
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = http::read_request(&mut reader) {
                let (status, body) = self.answer(&request);
                let headers = "Content-Type: application/json\r\n";
                if http::answer(&mut writer, status, headers, body.as_bytes()).is_err() {
                    return;
                }
            }
        }

        fn answer(&self, request: &http::Message) -> (&'static str, String) {
            let target = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let Some(rest) = path.strip_prefix("/v1/objects/") else {
                return ("404 Not Found", "{}".to_owned());
            };
            let mut parts = rest.split('/');
            let kind = parts.next().unwrap_or("");
            let name = parts.next().unwrap_or("");
            let body = String::from_utf8_lossy(&request.body);
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
            };
            match (request.method(), name) {
                ("GET", "") => match parameter("watch").and_then(|text| text.parse().ok()) {
                    Some(revision) => {
                        let wait_ms = parameter("wait_ms").and_then(|text| text.parse().ok());
                        self.watch(kind, revision, wait_ms.unwrap_or(0))
                    }
                    None => self.list(kind, parameter("after").unwrap_or("")),
                },
                ("GET", name) => {
                    let state = self.state.lock().unwrap();
                    match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                        Some(object) => ("200 OK", State::render(name, object)),
                        None => ("404 Not Found", "{}".to_owned()),
                    }
                }
                ("DELETE", name) => {
                    let deleted = self.state.lock().unwrap().delete(kind, name);
                    self.changed.notify_all();
                    match deleted {
                        true => ("200 OK", "{}".to_owned()),
                        false => ("404 Not Found", "{}".to_owned()),
                    }
                }
                (method @ ("POST" | "PUT"), name) => self.write(method, kind, name, &body),
                _ => ("400 Bad Request", "{}".to_owned()),
            }
        }

        fn list(&self, kind: &str, after: &str) -> (&'static str, String) {
            let state = self.state.lock().unwrap();
            let objects = state.objects.iter();
            let of_kind = objects.filter(|((k, name), _)| k == kind && name.as_str() > after);
            let items: Vec<_> = of_kind
                .map(|((_, name), o)| State::render(name, o))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
                items.join(","),
                state.revision
            );
            ("200 OK", body)
        }

        fn watch(&self, kind: &str, revision: u64, wait_ms: u64) -> (&'static str, String) {
            let until = Instant::now() + Duration::from_millis(wait_ms);
            let mut state = self.state.lock().unwrap();
            loop {
                let newer = state.history.iter();
                let newer = newer.filter(|(at, k, _, _)| *at > revision && k == kind);
                let events: Vec<_> = newer
                    .map(|(_, _, object, deleted)| {
                        format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                    })
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let body = format!(
                        "{{\"events\":[{}],\"current_rev\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return ("200 OK", body);
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
        }

        fn write(
            &self,
            method: &str,
            kind: &str,
            name: &str,
            body: &str,
        ) -> (&'static str, String) {
            let metadata = json::field(body, "metadata").unwrap_or("{}");
            let name = match name {
                "" => json::text(metadata, "name").unwrap_or(""),
                name => name,
            };
            let spec = json::field(body, "spec").unwrap_or("null");
            let mut state = self.state.lock().unwrap();
            let existing = state.objects.get(&(kind.to_owned(), name.to_owned()));
            let expected = json::number(metadata, "revision");
            let answer = match (method, existing) {
                ("POST", Some(object)) => ("409 Conflict", State::render(name, object)),
                ("PUT", None) => ("404 Not Found", "{}".to_owned()),
                ("PUT", Some(object)) if expected.is_some_and(|e| e != object.revision) => {
                    ("409 Conflict", State::render(name, object))
                }
                _ => ("200 OK", state.put(kind, name, spec)),
            };
            drop(state);
            self.changed.notify_all();
            answer
        }
    }
}

/// A worker: a process that registers itself and runs requests.
mod worker {
    use super::*;

    #[derive(Debug)]
    struct Worker {
        id: String,
        address: SocketAddr,
        store: SocketAddr,
        service: String,
        zone: String,
        /// Stage of an engine; empty for plain workers.
        stage: Mutex<String>,
        slots: u32,
        born: u64,
        /// Number of accepted orders.
        orders: AtomicU64,
        heartbeats: AtomicU64,
        running: AtomicU32,
        handles: AtomicU64,
        /// Events of a stream.
        events: u32,
        /// Time between two events, or of a plain request.
        work: Duration,
        /// Time to read a prompt.
        prefill: Duration,
        /// Silence between the last event of a stream and its last chunk; streams are sent in chunks if
        /// there is one, and end with their connections otherwise.
        last_pause: Option<Duration>,
        /// File whose presence asks the worker to leave.
        leave: PathBuf,
        is_leaving: AtomicBool,
        log: Mutex<File>,
    }

    /// Starts a worker with the values of `--name value` pairs.
    pub fn run(args: &[String]) -> i32 {
        let value = |name: &str| {
            let at = args.iter().position(|arg| arg == name);
            at.and_then(|at| args.get(at + 1))
                .cloned()
                .unwrap_or_default()
        };
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(value("--log"));
        let worker = Arc::new(Worker {
            id: value("--id"),
            address: value("--address").parse().expect("an address"),
            store: value("--store").parse().expect("an address"),
            service: value("--service"),
            zone: value("--zone"),
            stage: Mutex::new(value("--stage")),
            slots: value("--slots").parse().expect("a number"),
            // What the machine's clock says at the start.
            born: unix_ms() + value("--clock-ahead-ms").parse().unwrap_or(0),
            orders: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
            running: AtomicU32::new(0),
            handles: AtomicU64::new(0),
            events: value("--events").parse().unwrap_or(0),
            work: Duration::from_millis(value("--work-ms").parse().expect("a number")),
            prefill: Duration::from_millis(value("--prefill-ms").parse().unwrap_or(0)),
            last_pause: value("--last-pause-ms")
                .parse()
                .ok()
                .map(Duration::from_millis),
            leave: PathBuf::from(format!("{}.leave-{}", value("--log"), value("--id"))),
            is_leaving: AtomicBool::new(false),
            log: Mutex::new(log.expect("a log")),
        });
        let listener = TcpListener::bind(worker.address).expect("a free address");
        listener.set_nonblocking(true).expect("a socket option");
        let serve_ms = value("--serve-ms").parse().expect("a number");
        let serve_time = Duration::from_millis(serve_ms);
        let shared = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                shared.register();
                thread::sleep(HEARTBEAT);
            }
        });
        worker.record(&format!("started, born {}", worker.born));
        let mut drained_at = None;
        while drained_at.is_none_or(|at: Instant| at.elapsed() < serve_time) {
            if drained_at.is_none() && worker.leave.exists() {
                worker.is_leaving.store(true, Ordering::SeqCst);
                worker.register();
                worker.record("the store has acknowledged that it is draining");
                drained_at = Some(Instant::now());
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let worker = Arc::clone(&worker);
                    worker.running.fetch_add(1, Ordering::SeqCst);
                    thread::spawn(move || {
                        let _ = worker.serve(stream);
                        worker.running.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        // It takes no more connections, answers what it has, and exits.
        drop(listener);
        worker.record("closes its port");
        while worker.running.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(1));
        }
        call(
            worker.store,
            "DELETE",
            &format!("/v1/objects/servers/{}", worker.id),
            "",
        );
        worker.record("exits");
        0
    }

    impl Worker {
        fn record(&self, text: &str) {
            let line = format!("{} worker {} {text}\n", unix_ms(), self.id);
            let _ = self.log.lock().unwrap().write_all(line.as_bytes());
        }

        fn register(&self) {
            let beat = self.heartbeats.fetch_add(1, Ordering::SeqCst) + 1;
            let stage = self.stage.lock().unwrap().clone();
            let state = match self.is_leaving.load(Ordering::SeqCst) {
                true => "draining",
                false => "ready",
            };
            let engine = match stage.is_empty() {
                true => String::new(),
                false => format!(
                    "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                     \"adapters\":[]}}],"
                ),
            };
            let spec = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,{engine}\"born\":{},\
                 \"seq_no\":{beat}}}",
                self.service, self.address, self.zone, self.slots, self.born
            );
            let body = format!(
                "{{\"metadata\":{{\"name\":\"{}\"}},\"spec\":{spec}}}",
                self.id
            );
            let path = format!("/v1/objects/servers/{}", self.id);
            if call(self.store, "PUT", &path, &body) == Some(404) {
                call(self.store, "POST", "/v1/objects/servers", &body);
            }
        }

        /// Serves the one request of a connection.
        fn serve(&self, stream: TcpStream) -> io::Result<()> {
            stream.set_nonblocking(false)?;
            stream.set_nodelay(true)?;
            let mut writer = stream.try_clone()?;
            let mut reader = BufReader::new(stream);
            let Some(request) = http::read_request(&mut reader)? else {
                return Ok(());
            };
            let id = request
                .header("wagtailarch-request-id")
                .unwrap_or("")
                .to_owned();
            let running = self.running.load(Ordering::SeqCst);
            let common = format!(
                "Connection: close\r\nWagtailarch-Server-Load: {running},0,{}\r\n",
                self.slots
            );
            let expected = request.header("wagtailarch-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = format!(
                    "{common}Wagtailarch-Request-Id: {id}\r\nWagtailarch-Instance-Id: {}\r\n\
                     Wagtailarch-Not-Run: 1\r\n",
                    self.id
                );
                return http::answer(&mut writer, "421 Misdirected Request", &headers, b"");
            }
            match (request.method(), request.target()) {
                ("GET", "/health") => {
                    let headers = format!("{common}Wagtailarch-Instance-Id: {}\r\n", self.id);
                    return http::answer(&mut writer, "200 OK", &headers, b"");
                }
                ("GET", "/v1/report") => {
                    let body = format!(
                        "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                         \"adapters\":[]}}],\"busy\":false,\"seq_no\":{},\"queued\":0,\
                         \"running\":{running},\"kv_used\":0,\"kv_total\":500000,\
                         \"kv_handles\":0,\"born\":{}}}",
                        self.stage.lock().unwrap(),
                        self.orders.load(Ordering::SeqCst),
                        self.born
                    );
                    return http::answer(&mut writer, "200 OK", &common, body.as_bytes());
                }
                ("POST", "/v1/order") => {
                    let body = String::from_utf8_lossy(&request.body).into_owned();
                    self.record(&format!("order {body}"));
                    if let Some(stage) = json::text(&body, "stage") {
                        *self.stage.lock().unwrap() = stage.to_owned();
                    }
                    self.orders.fetch_add(1, Ordering::SeqCst);
                    self.register();
                    return http::answer(&mut writer, "202 Accepted", &common, b"{}");
                }
                _ => {}
            }
            let common = format!(
                "{common}Wagtailarch-Request-Id: {id}\r\nWagtailarch-Server-Stamp: {}.{id}\r\n",
                self.id
            );
            if request.header("wagtailarch-stage") == Some("prefill") {
                thread::sleep(self.prefill);
                let handle = self.handles.fetch_add(1, Ordering::SeqCst);
                let body = format!(
                    "{{\"handle_id\":\"{:x}{handle:x}\",\"tokens\":1460,\"version\":1}}",
                    self.born
                );
                return http::answer(&mut writer, "200 OK", &common, body.as_bytes());
            }
            let first = request
                .header("last-event-id")
                .and_then(|text| text.parse().ok());
            match request.header("wagtailarch-model") {
                Some(_) => self.stream(
                    &mut writer,
                    &common,
                    &id,
                    first.map_or(0, |last: u32| last + 1),
                ),
                None => self.run_plain(&mut writer, &common, &id),
            }
        }

        /// Sends the events of a stream after `first`.
        fn stream(
            &self,
            writer: &mut TcpStream,
            common: &str,
            id: &str,
            first: u32,
        ) -> io::Result<()> {
            self.record(&format!("runs {id} from event {first}"));
            let coding = match self.last_pause {
                Some(_) => "Transfer-Encoding: chunked\r\n",
                None => "",
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\n{common}{coding}Content-Type: text/event-stream\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            for event in first..self.events {
                thread::sleep(self.work);
                let mut text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
                if self.last_pause.is_some() {
                    text = format!("{:x}\r\n{text}\r\n", text.len());
                }
                if let Err(error) = writer.write_all(text.as_bytes()) {
                    self.record(&format!("stops {id} at event {event}: caller left"));
                    return Err(error);
                }
                if event % 5 == 0 || event + 1 == self.events {
                    self.record(&format!("made event {event} of {id}"));
                }
            }
            if let Some(pause) = self.last_pause {
                if first < self.events {
                    thread::sleep(pause);
                }
                writer.write_all(b"0\r\n\r\n")?;
            }
            self.record(&format!("ends {id}"));
            Ok(())
        }

        fn run_plain(&self, writer: &mut TcpStream, common: &str, id: &str) -> io::Result<()> {
            self.record(&format!("runs {id}"));
            thread::sleep(self.work);
            let body = format!("answer to {id}\n");
            http::answer(writer, "200 OK", common, body.as_bytes())
        }
    }

    /// Calls the store and returns the status.
    fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let head = http::read_head(&mut BufReader::new(stream)).ok()??;
        Some(head.status())
    }
}

/// What all cases share: processes, clients and the record.
mod rig {
    use super::*;

    /// A process that is killed when it is dropped.
    pub struct Process(Option<Child>);

    impl Process {
        pub fn signal(&self, name: &str) {
            if let Some(child) = &self.0 {
                let command = format!("kill -{name} {}", child.id());
                let _ = Command::new("sh").args(["-c", &command]).status();
            }
        }

        pub fn kill(&mut self) {
            if let Some(mut child) = self.0.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    impl Drop for Process {
        fn drop(&mut self) {
            self.kill();
        }
    }

    pub struct Rig {
        pub dir: PathBuf,
        pub store: Arc<store::Store>,
        pub record: Arc<Mutex<File>>,
        started: Instant,
        next_port: AtomicU32,
    }

    /// Values by which a worker is started.
    #[derive(Debug, Clone)]
    pub struct WorkerSpec {
        pub id: String,
        pub address: SocketAddr,
        pub service: &'static str,
        pub zone: &'static str,
        pub stage: &'static str,
        pub slots: u32,
        pub events: u32,
        pub work_ms: u64,
        /// How far the clock of its machine is ahead.
        pub clock_ahead_ms: u64,
        /// How long it takes connections after the store has accepted that it is draining.
        pub serve_ms: u64,
        /// How long it reads a prompt.
        pub prefill_ms: u64,
        /// How long it is silent before the last chunk of a stream; without it streams have no chunks.
        pub last_pause_ms: Option<u64>,
    }

    pub struct Gateway {
        pub process: Process,
        pub client: SocketAddr,
        pub ready: SocketAddr,
        pub settings: PathBuf,
    }

    impl Rig {
        /// Creates a temporary folder, and the record at the path that follows the name of the case.
        pub fn new() -> Option<Self> {
            let record = File::create(std::env::args().nth(2)?).ok()?;
            let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
            std::fs::create_dir_all(&dir).ok()?;
            let offset = std::process::id() % 800;
            Some(Self {
                dir,
                store: store::Store::start(),
                record: Arc::new(Mutex::new(record)),
                started: Instant::now(),
                next_port: AtomicU32::new(14_000 + offset * 20),
            })
        }

        pub fn note(&self, text: &str) {
            let line = format!("{} driver {text}\n", unix_ms());
            let _ = self.record.lock().unwrap().write_all(line.as_bytes());
        }

        pub fn elapsed(&self) -> Duration {
            self.started.elapsed()
        }

        /// Returns a free address below the range of outgoing ports.
        pub fn address(&self) -> SocketAddr {
            loop {
                let port = self.next_port.fetch_add(1, Ordering::SeqCst) as u16;
                let address = SocketAddr::from(([127, 0, 0, 1], port));
                if TcpListener::bind(address).is_ok() {
                    return address;
                }
            }
        }

        pub fn worker(&self, spec: &WorkerSpec) -> Process {
            let program = std::env::current_exe().expect("a path");
            let child = Command::new(program)
                .arg("worker")
                .args(["--id", &spec.id, "--address", &spec.address.to_string()])
                .args(["--store", &self.store.address.to_string()])
                .args([
                    "--service",
                    spec.service,
                    "--zone",
                    spec.zone,
                    "--stage",
                    spec.stage,
                ])
                .args(["--slots", &spec.slots.to_string()])
                .args(["--events", &spec.events.to_string()])
                .args(["--work-ms", &spec.work_ms.to_string()])
                .args(["--clock-ahead-ms", &spec.clock_ahead_ms.to_string()])
                .args(["--serve-ms", &spec.serve_ms.to_string()])
                .args(["--prefill-ms", &spec.prefill_ms.to_string()])
                .args([
                    "--last-pause-ms",
                    &spec
                        .last_pause_ms
                        .map_or(String::new(), |ms| ms.to_string()),
                ])
                .arg("--log")
                .arg(self.dir.join("workers.log"))
                .spawn();
            Process(child.ok())
        }

        /// Starts a gateway with the command of the deploy file.
        pub fn gateway(&self, name: &str, zone: &str) -> Gateway {
            let (client, ready) = (self.address(), self.address());
            let settings = format!(
                "instance = \"{name}\"\nzone = \"{zone}\"\nclient_address = \"{client}\"\n\
                 ready_address = \"{ready}\"\npeer_address = \"{}\"\nforward_address = \"{}\"\n\
                 metrics_address = \"{}\"\nstore_address = \"{}\"\nconfig_bound_ms = 2000\n\
                 leaving_bound_ms = 2000\nrecovery_bound_ms = 3000\ngrace_s = 8\n\
                 retry_ratio = 0.2\nretry_slack = 52\nretry_window_s = 10\n",
                self.address(),
                self.address(),
                self.address(),
                self.store.address
            );
            let path = self.dir.join(format!("{name}.toml"));
            std::fs::write(&path, settings).expect("a settings file");
            let log = File::create(self.dir.join(format!("{name}.log"))).expect("a log");
            let child = Command::new("target/release/wagtail-gateway")
                .current_dir(repository())
                .env("WAGTAILARCH_NODE_FILE", &path)
                .stdout(log.try_clone().expect("a log"))
                .stderr(log)
                .stdin(Stdio::null())
                .spawn();
            Gateway {
                process: Process(child.ok()),
                client,
                ready,
                settings: path,
            }
        }

        /// Waits until the gateways are ready and know `workers` workers.
        pub fn until_ready(&self, gateways: &[&Gateway], workers: usize) -> bool {
            let until = Instant::now() + Duration::from_secs(20);
            while Instant::now() < until {
                let is_ready = |gateway: &&Gateway| {
                    let request = "GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
                    call(gateway.ready, request, Duration::from_secs(1))
                        .is_some_and(|answer| answer.message.status() == 200)
                };
                if self.store.ready_workers() >= workers && gateways.iter().all(is_ready) {
                    return true;
                }
                thread::sleep(Duration::from_millis(100));
            }
            false
        }

        /// Returns the indexes of the workers, those with the most runs first.
        pub fn busiest(&self, specs: &[WorkerSpec]) -> Vec<usize> {
            let log = std::fs::read_to_string(self.dir.join("workers.log")).unwrap_or_default();
            let runs = |index: &usize| {
                let name = format!(" worker {} runs ", specs[*index].id);
                log.lines().filter(|line| line.contains(&name)).count()
            };
            let mut indexes: Vec<_> = (0..specs.len()).collect();
            indexes.sort_by_key(|index| std::cmp::Reverse(runs(index)));
            indexes
        }

        /// Appends what the workers recorded, and the lines of the gateways' logs with one of `words`.
        pub fn finish(&self, words: &[&str]) {
            let mut record = self.record.lock().unwrap();
            let mut logs: Vec<PathBuf> = std::fs::read_dir(&self.dir)
                .map(|entries| entries.flatten().map(|entry| entry.path()).collect())
                .unwrap_or_default();
            logs.sort();
            for path in logs
                .iter()
                .filter(|path| path.extension().is_some_and(|e| e == "log"))
            {
                let is_workers = path.ends_with("workers.log");
                let _ = writeln!(
                    record,
                    "\n== {}",
                    path.file_name().unwrap().to_string_lossy()
                );
                let Ok(text) = std::fs::read_to_string(path) else {
                    continue;
                };
                let lines = text
                    .lines()
                    .filter(|line| is_workers || words.iter().any(|word| line.contains(word)));
                for line in lines {
                    let _ = writeln!(record, "{line}");
                }
            }
            drop(record);
            if std::env::var_os("KEEP").is_none() {
                let _ = std::fs::remove_dir_all(&self.dir);
            }
        }
    }

    fn repository() -> PathBuf {
        let path = std::env::var_os("REPOSITORY").map(PathBuf::from);
        path.unwrap_or_else(|| Path::new("../..").to_path_buf())
    }

    /// Whether the case runs with its disruption.
    pub fn trouble() -> bool {
        std::env::var("TROUBLE").map_or(true, |value| value != "0")
    }

    #[derive(Debug, Clone)]
    pub struct Answer {
        pub message: http::Message,
        pub end: http::End,
    }

    /// Sends a request on a new connection and reads the answer; `None` without one.
    pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Option<Answer> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let mut message = http::read_head(&mut reader).ok()??;
        let end = http::read_body(&mut reader, &mut message);
        Some(Answer { message, end })
    }
}

/// The drivers of the cases; each returns the exit code of its script.
mod cases {
    use super::rig::*;
    use super::*;

    /// Configuration with a route for bookings, and with a later one for a page that all callers read.
    fn plain_config(version: u32, with_board: bool) -> String {
        let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"bulbs.example\",\"path_prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\
                 \"priority\":2,\"service\":\"app\",\"max_attempts\":{attempts}}}"
            )
        };
        let mut routes = vec![route("r-look", "/look/", "safe", 2)];
        if with_board {
            routes.push(route("r-board", "/board/", "safe", 2));
        }
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"app\",\
             \"health_path\":\"/health\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        )
    }

    /// Requests of one kind, counted by the statuses of their answers.
    #[derive(Debug, Default, Clone)]
    struct Statuses {
        counts: BTreeMap<u16, u32>,
    }

    impl Statuses {
        fn total(&self) -> u32 {
            self.counts.values().sum()
        }

        fn served(&self) -> u32 {
            self.counts.get(&200).copied().unwrap_or(0)
        }
    }

    /// Sends `GET`s of both routes to both gateways, alternately, `per_s` each second for `time`;
    /// returns the statuses of the first route and of the later one.
    fn load(rig: &Rig, gateways: &[Gateway], per_s: u32, time: Duration) -> (Statuses, Statuses) {
        let sent = AtomicU64::new(0);
        let results = Mutex::new((Statuses::default(), Statuses::default()));
        let start = rig.elapsed();
        thread::scope(|scope| {
            while rig.elapsed() - start < time {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let address = gateways[(number % 2) as usize].client;
                let results = &results;
                scope.spawn(move || {
                    let is_board = number / 2 % 4 != 0;
                    let path = match is_board {
                        true => "/board/today".to_owned(),
                        false => format!("/look/{number}"),
                    };
                    let request = format!(
                        "GET {path} HTTP/1.1\r\nHost: bulbs.example\r\n\
                         Wagtailarch-Request-Id: c{number}-{}\r\nWagtailarch-Deadline-Ms: 3000\r\n\r\n",
                        start.as_millis()
                    );
                    let answer = call(address, &request, Duration::from_secs(3));
                    let status = answer.map_or(0, |answer| answer.message.status());
                    rig.note(&format!("client sent GET {path} as c{number} to {address}: {status}"));
                    let mut results = results.lock().unwrap();
                    let statuses = match is_board {
                        true => &mut results.0,
                        false => &mut results.1,
                    };
                    *statuses.counts.entry(status).or_default() += 1;
                });
                thread::sleep(Duration::from_secs(1) / per_s);
            }
        });
        let (board, look) = results.into_inner().unwrap();
        (look, board)
    }

    /// A later route of which two requests were at two workers that crashed at the same time.
    pub fn refused_route() -> i32 {
        const WORKERS: usize = 8;
        let Some(rig) = Rig::new() else {
            return 2;
        };
        let specs: Vec<_> = (0..WORKERS)
            .map(|index| WorkerSpec {
                id: format!("i-{index}-first"),
                address: rig.address(),
                service: "app",
                zone: "lisse",
                stage: "",
                slots: 6,
                events: 0,
                work_ms: 60,
                clock_ahead_ms: 0,
                serve_ms: 6_000,
                prefill_ms: 0,
                last_pause_ms: None,
            })
            .collect();
        let mut workers: Vec<_> = specs.iter().map(|spec| rig.worker(spec)).collect();
        rig.store.put("config", "main", &plain_config(7, false));
        let gateways = [
            rig.gateway("front-lisse-1", "lisse"),
            rig.gateway("front-lisse-2", "lisse"),
        ];
        if !rig.until_ready(&[&gateways[0], &gateways[1]], WORKERS) {
            rig.note("the deployment did not become ready");
            rig.finish(&["level=warn"]);
            return 2;
        }
        rig.note("the operator adds the route /board/");
        rig.store.put("config", "main", &plain_config(8, true));
        thread::sleep(Duration::from_secs(5));
        let (look, board) = load(&rig, &gateways, 50, Duration::from_secs(4));
        rig.note(&format!(
            "before: /look/ {:?}, /board/ {:?}",
            look.counts, board.counts
        ));
        let (rig_ref, gateways_ref) = (&rig, &gateways);
        let (specs_ref, workers_ref) = (&specs, &mut workers);
        thread::scope(|scope| {
            let traffic =
                scope.spawn(move || load(rig_ref, gateways_ref, 300, Duration::from_secs(34)));
            for round in 0..6 {
                thread::sleep(Duration::from_secs(2));
                if trouble() {
                    // A quarter of the workers.
                    let crashed = [round * 2 % WORKERS, round * 2 % WORKERS + 1];
                    for index in crashed {
                        rig_ref.note(&format!(
                            "worker of {} crashes (SIGKILL)",
                            specs_ref[index].address
                        ));
                        workers_ref[index].kill();
                    }
                    thread::sleep(Duration::from_secs(3));
                    for index in crashed {
                        let spec = WorkerSpec {
                            id: format!("i-{index}-after-{round}"),
                            ..specs_ref[index].clone()
                        };
                        rig_ref.note(&format!("worker {} starts", spec.id));
                        workers_ref[index] = rig_ref.worker(&spec);
                    }
                }
            }
            let (look, board) = traffic.join().unwrap();
            rig_ref.note(&format!(
                "around the crashes: /look/ {:?}, /board/ {:?}",
                look.counts, board.counts
            ));
        });
        // Twice the stable window, so that the machines are in touch and the state is steady.
        thread::sleep(Duration::from_secs(6));
        let (look, board) = load(&rig, &gateways, 50, Duration::from_secs(20));
        rig.note(&format!(
            "steady state: /look/ {:?}, /board/ {:?}",
            look.counts, board.counts
        ));
        let share =
            |statuses: &Statuses| f64::from(statuses.served()) / f64::from(statuses.total().max(1));
        let is_broken = board.total() >= 20 && share(&board) < share(&look) / 4.0;
        if is_broken {
            rig.note(
                "BROKEN: the later route is served less than a quarter as often as the first one",
            );
        }
        drop(workers);
        drop(gateways);
        rig.finish(&[
            "request suspected",
            "server crashed",
            "reason=quarantine",
            "Quarantined",
        ]);
        i32::from(is_broken)
    }

    /// A worker that starts again under its id after its machine's clock has jumped back, and leaves.
    pub fn late_drain() -> i32 {
        const DRAIN: Duration = Duration::from_millis(2_000);
        let Some(rig) = Rig::new() else {
            return 2;
        };
        let specs: Vec<_> = (0..3)
            .map(|index| WorkerSpec {
                id: format!("i-{index}"),
                address: rig.address(),
                service: "app",
                zone: "lisse",
                stage: "",
                slots: 6,
                events: 0,
                work_ms: 60,
                clock_ahead_ms: 0,
                serve_ms: 6_000,
                prefill_ms: 0,
                last_pause_ms: None,
            })
            .collect();
        let mut workers: Vec<_> = specs.iter().skip(1).map(|spec| rig.worker(spec)).collect();
        rig.store.put("config", "main", &plain_config(7, true));
        let gateways = [
            rig.gateway("front-lisse-1", "lisse"),
            rig.gateway("front-lisse-2", "lisse"),
        ];
        if !rig.until_ready(&[&gateways[0], &gateways[1]], 2) {
            rig.note("the deployment did not become ready");
            rig.finish(&["level=warn"]);
            return 2;
        }
        thread::sleep(Duration::from_secs(3));
        let (rig, gateways) = (&rig, &gateways);
        let mut drained_at = 0;
        thread::scope(|scope| {
            let traffic = scope.spawn(move || load(rig, gateways, 400, Duration::from_secs(30)));
            if trouble() {
                rig.note("the clock of the machine of i-0 has jumped ahead by 2 s");
            }
            let ahead = WorkerSpec {
                clock_ahead_ms: if trouble() { 2_000 } else { 0 },
                ..specs[0].clone()
            };
            let mut worker = rig.worker(&ahead);
            thread::sleep(Duration::from_millis(1_000));
            rig.note("worker i-0 crashes (SIGKILL); the clock has jumped back");
            worker.kill();
            thread::sleep(Duration::from_millis(500));
            rig.note("worker i-0 starts again under its id");
            workers.push(rig.worker(&specs[0]));
            thread::sleep(Duration::from_secs(15));
            rig.note("worker i-0 is to leave");
            drained_at = unix_ms();
            let flag = rig.dir.join("workers.log.leave-i-0");
            let _ = File::create(flag);
            let (look, board) = traffic.join().unwrap();
            rig.note(&format!(
                "answers: /look/ {:?}, /board/ {:?}",
                look.counts, board.counts
            ));
        });
        let log = std::fs::read_to_string(rig.dir.join("workers.log")).unwrap_or_default();
        let late = log.lines().filter(|line| {
            let at: u64 = line
                .split(' ')
                .next()
                .and_then(|at| at.parse().ok())
                .unwrap_or(0);
            // The acknowledgement follows within 100 ms.
            line.contains(" worker i-0 runs ") && at > drained_at + 100 + DRAIN.as_millis() as u64
        });
        let late = late.count();
        rig.note(&format!(
            "{late} requests reach i-0 later than drain_ms after the acknowledgement"
        ));
        if late > 0 {
            rig.note("BROKEN: requests reach a worker that leaves");
        }
        drop(workers);
        rig.finish(&["registry changed", "outdated", "attempt failed"]);
        i32::from(late > 0)
    }

    const ENGINE_CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\
        \"host\":\"bulbs.example\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\
        \"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":1,\"service\":\"llm\",\
        \"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":200},{\
        \"name\":\"r-check\",\"host\":\"bulbs.example\",\"path_prefix\":\"/check/\",\
        \"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":600,\"priority\":1,\
        \"service\":\"llm\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\
        \"gap_target_ms\":200}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\
        \"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\
        \"kv_capacity\":504666,\"kv_token_bytes\":327680,\"link_mbps\":3200000.0,\
        \"kv_hold_s\":5.0,\"reconfig_s\":3.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\
        \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
        \"idle_timeout_ms\":15000}}";

    /// What a worker does beside the change of the settings.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    enum Beside {
        /// Two workers leave and send the streams that they have to their ends.
        Release,
        /// All workers are silent before the last chunk of a stream.
        Pause,
    }

    /// Whole answers of workers that leave, beside a change of the settings.
    pub fn cut_release() -> i32 {
        cut_streams(Beside::Release)
    }

    /// Whole answers of workers that are silent before their ends, beside a change of the settings.
    pub fn cut_pause() -> i32 {
        cut_streams(Beside::Pause)
    }

    fn cut_streams(beside: Beside) -> i32 {
        const EVENTS: u32 = 40;
        const STREAMS: usize = 24;
        let Some(rig) = Rig::new() else {
            return 2;
        };
        let stages = [
            "decode", "decode", "decode", "prefill", "prefill", "prefill", "prefill", "prefill",
        ];
        let zones = ["lisse", "hillegom"];
        let specs: Vec<_> = (0..stages.len())
            .map(|index| WorkerSpec {
                id: format!("i-{index}"),
                address: rig.address(),
                service: "llm",
                zone: zones[index / 4],
                stage: stages[index],
                slots: 64,
                events: EVENTS,
                work_ms: 100,
                clock_ahead_ms: 0,
                serve_ms: 2_500,
                prefill_ms: if beside == Beside::Pause { 340 } else { 0 },
                last_pause_ms: (beside == Beside::Pause).then_some(if trouble() {
                    2_000
                } else {
                    0
                }),
            })
            .collect();
        let workers: Vec<_> = specs.iter().map(|spec| rig.worker(spec)).collect();
        rig.store.put("config", "main", ENGINE_CONFIG);
        let gateways = [
            rig.gateway("front-lisse-1", "lisse"),
            rig.gateway("front-hillegom-1", "hillegom"),
        ];
        if !rig.until_ready(&[&gateways[0], &gateways[1]], specs.len()) {
            rig.note("the deployment did not become ready");
            rig.finish(&["level=warn"]);
            return 2;
        }
        thread::sleep(Duration::from_secs(5));
        if trouble() {
            for gateway in &gateways {
                let text = std::fs::read_to_string(&gateway.settings).unwrap_or_default();
                let changed = text.replace("retry_slack = 52", "retry_slack = 56");
                let _ = std::fs::write(&gateway.settings, changed);
                gateway.process.signal("HUP");
            }
            rig.note("the settings files change, and the gateways get SIGHUP");
            thread::sleep(Duration::from_millis(200));
        }
        let calls: Vec<_> = (0..STREAMS)
            .map(|index| {
                let route = ["draft", "check"][index % 2];
                let id = format!("{route}-{index}");
                let address = gateways[index / 2 % 2].client;
                rig.note(&format!("client sends {id} to {address}"));
                let request = format!(
                    "POST /{route}/{index} HTTP/1.1\r\nHost: bulbs.example\r\n\
                     Wagtailarch-Request-Id: {id}\r\nWagtailarch-Model: m\r\n\
                     Wagtailarch-Token-Counts: 17020,80\r\n\
                     Wagtailarch-Prompt-Prefix: 5c1e07a2:13300,a{index}:3720\r\n\
                     Wagtailarch-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\nhello"
                );
                let call =
                    thread::spawn(move || call(address, &request, Duration::from_millis(2_400)));
                thread::sleep(Duration::from_millis(20));
                (id, call)
            })
            .collect();
        if trouble() && beside == Beside::Release {
            thread::sleep(Duration::from_millis(300));
            // A quarter of the workers.
            for &index in &rig.busiest(&specs)[..2] {
                rig.note(&format!("worker {} is to leave", specs[index].id));
                let _ = File::create(
                    rig.dir
                        .join(format!("workers.log.leave-{}", specs[index].id)),
                );
            }
        }
        let answers: Vec<_> = calls
            .into_iter()
            .map(|(id, call)| (id, call.join()))
            .collect();
        let log = std::fs::read_to_string(rig.dir.join("workers.log")).unwrap_or_default();
        let mut broken = 0;
        for (id, answer) in answers {
            let ended = format!(" ends {id}");
            let is_whole_at_worker = log.lines().any(|line| line.ends_with(&ended));
            let Ok(Some(answer)) = answer else {
                rig.note(&format!(
                    "client of {id} has no answer; whole at a worker: {is_whole_at_worker}"
                ));
                broken += u32::from(is_whole_at_worker);
                continue;
            };
            let text = String::from_utf8_lossy(&answer.message.body).into_owned();
            let ids = text.lines().filter(|line| line.starts_with("id: ")).count();
            rig.note(&format!(
                "client of {id} gets {}, {ids} of {EVENTS} events, end {:?}; whole at a worker: \
                 {is_whole_at_worker}",
                answer.message.status(),
                answer.end
            ));
            if answer.end != http::End::Complete && is_whole_at_worker {
                rig.note(&format!(
                    "BROKEN: the connection of {id} ends without a complete answer"
                ));
                broken += 1;
            }
        }
        rig.note(&format!(
            "{broken} of {STREAMS} streams are cut though no worker broke one off"
        ));
        drop(workers);
        drop(gateways);
        rig.finish(&[
            "stream broken",
            "stream resumed",
            "stream not resumed",
            "server crashed",
            "settings",
            "registry",
        ]);
        i32::from(broken > 0)
    }

    /// Sends streams of both routes to both gateways for `time`, those of the later route all alike;
    /// returns the statuses of the first route and of the later one.
    fn load_streams(rig: &Rig, gateways: &[Gateway], time: Duration) -> (Statuses, Statuses) {
        let results = Mutex::new((Statuses::default(), Statuses::default()));
        let start = rig.elapsed();
        let mut number = 0u64;
        thread::scope(|scope| {
            while rig.elapsed() - start < time {
                number += 1;
                let address = gateways[(number / 2 % 2) as usize].client;
                let (results, is_later) = (&results, number % 2 == 0);
                let (path, body) = match is_later {
                    true => (
                        "/draft/rules".to_owned(),
                        "which bulbs for clay?".to_owned(),
                    ),
                    false => (
                        format!("/check/{number}"),
                        format!("order {number} of {}", start.as_millis()),
                    ),
                };
                let id = format!("s{number}-{}", start.as_millis());
                let part = match is_later {
                    true => "c0ffee:660".to_owned(),
                    false => format!("a{number}:660"),
                };
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: bulbs.example\r\nWagtailarch-Request-Id: {id}\r\n\
                     Wagtailarch-Model: m\r\nWagtailarch-Token-Counts: 1460,80\r\n\
                     Wagtailarch-Prompt-Prefix: 5c1e07a2:800,{part}\r\nWagtailarch-Deadline-Ms: 8000\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                scope.spawn(move || {
                    let answer = call(address, &request, Duration::from_millis(2_400));
                    let (status, end) = answer.map_or((0, http::End::CutOff), |answer| {
                        (answer.message.status(), answer.end)
                    });
                    rig.note(&format!(
                        "client sent {path} as {id} to {address}: {status}, {end:?}"
                    ));
                    let mut results = results.lock().unwrap();
                    let statuses = match is_later {
                        true => &mut results.1,
                        false => &mut results.0,
                    };
                    *statuses.counts.entry(status).or_default() += 1;
                });
                thread::sleep(Duration::from_millis(60));
            }
        });
        results.into_inner().unwrap()
    }

    /// A later route whose callers all ask the same, and workers that leave as announced.
    pub fn barred_release() -> i32 {
        let Some(rig) = Rig::new() else {
            return 2;
        };
        let stages = [
            "decode", "decode", "decode", "decode", "prefill", "prefill", "prefill", "prefill",
        ];
        let specs: Vec<_> = (0..stages.len())
            .map(|index| WorkerSpec {
                id: format!("i-{index}"),
                address: rig.address(),
                service: "llm",
                zone: "lisse",
                stage: stages[index],
                slots: 64,
                events: 40,
                work_ms: 100,
                clock_ahead_ms: 0,
                serve_ms: 2_500,
                prefill_ms: 0,
                last_pause_ms: None,
            })
            .collect();
        let workers: Vec<_> = specs.iter().map(|spec| rig.worker(spec)).collect();
        let first = ENGINE_CONFIG
            .find("{\"name\":\"r-draft\"")
            .zip(ENGINE_CONFIG.find("{\"name\":\"r-check\""));
        let Some((draft, check)) = first else {
            return 2;
        };
        let without = format!("{}{}", &ENGINE_CONFIG[..draft], &ENGINE_CONFIG[check..]);
        rig.store.put("config", "main", &without);
        let gateways = [
            rig.gateway("front-lisse-1", "lisse"),
            rig.gateway("front-lisse-2", "lisse"),
        ];
        if !rig.until_ready(&[&gateways[0], &gateways[1]], specs.len()) {
            rig.note("the deployment did not become ready");
            rig.finish(&["level=warn"]);
            return 2;
        }
        rig.note("the operator adds the route /draft/");
        let with = ENGINE_CONFIG.replace("\"version\":7", "\"version\":8");
        rig.store.put("config", "main", &with);
        thread::sleep(Duration::from_secs(5));
        let (rig, gateways, specs) = (&rig, &gateways, &specs);
        let mut joined = Vec::new();
        thread::scope(|scope| {
            let traffic = scope.spawn(move || load_streams(rig, gateways, Duration::from_secs(14)));
            thread::sleep(Duration::from_secs(5));
            if trouble() {
                // A quarter of the workers.
                for &index in &rig.busiest(specs)[..2] {
                    rig.note(&format!("worker {} is to leave", specs[index].id));
                    let _ = File::create(
                        rig.dir
                            .join(format!("workers.log.leave-{}", specs[index].id)),
                    );
                    let spec = WorkerSpec {
                        id: format!("{}-next", specs[index].id),
                        address: rig.address(),
                        ..specs[index].clone()
                    };
                    joined.push(rig.worker(&spec));
                }
            }
            let (first, later) = traffic.join().unwrap();
            rig.note(&format!(
                "around the release: /check/ {:?}, /draft/ {:?}",
                first.counts, later.counts
            ));
        });
        thread::sleep(Duration::from_secs(6));
        let (first, later) = load_streams(rig, gateways, Duration::from_secs(16));
        rig.note(&format!(
            "steady state: /check/ {:?}, /draft/ {:?}",
            first.counts, later.counts
        ));
        let share =
            |statuses: &Statuses| f64::from(statuses.served()) / f64::from(statuses.total().max(1));
        let is_broken = later.total() >= 20 && share(&later) < share(&first) / 4.0;
        if is_broken {
            rig.note(
                "BROKEN: the later route is served less than a quarter as often as the first one",
            );
        }
        drop((workers, joined));
        rig.finish(&["request suspected", "server crashed", "registry changed"]);
        i32::from(is_broken)
    }
}
