//! A small deployment on loopback: gateways as separate processes, plain servers and clients.

use std::{
    fs::{self, File},
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reader},
    store::Store,
};

/// Start command of the deploy file.
const GATEWAY: &str = "target/release/wagtail-gateway";

pub const STOP: i32 = 19;
pub const CONTINUE: i32 = 18;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// What was sent, answered and run, in order; written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            lines: Arc::default(),
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: String) {
        let line = format!("{:8.3} {text}", self.now());
        self.lines.lock().expect("no panic").push(line);
    }

    /// Adds a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{:8.3} {text}", self.now());
        self.add(text.to_owned());
    }

    pub fn write(&self, folder: &str) {
        let text = self.lines.lock().expect("no panic").join("\n") + "\n";
        let _ = fs::write(format!("{folder}/record.txt"), text);
    }
}

/// Returns an address with a free port below the range of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + (u64::from(std::process::id()) * 97 + offset) % 10_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("an address");
        }
    }
}

/// A gateway in a process of its own, which ends when this is dropped.
pub struct Gateway {
    pub name: String,
    pub client: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Gateway {
    /// Starts a gateway with settings like those of the template.
    pub fn start(folder: &TempFolder, store: &Store, name: &str, zone: &str) -> Self {
        let (client, ready) = (free_address(), free_address());
        let text = format!(
            "instance = {name:?}\nzone = {zone:?}\nclient_address = \"{client}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{}\"\nforward_address = \"{}\"\n\
             metrics_address = \"{}\"\nstore_address = \"{}\"\nconfig_bound_ms = 2000\n\
             leaving_bound_ms = 2000\ngrace_s = 8\nretry_ratio = 0.2\nretry_slack = 52\n\
             retry_window_s = 10\n",
            free_address(),
            free_address(),
            free_address(),
            store.address
        );
        let settings = folder.path.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let child = spawn(&folder.path, name, &settings);
        Self {
            name: name.to_owned(),
            client,
            ready,
            settings,
            child,
        }
    }

    /// Starts the process again after its end, with the same settings.
    pub fn restart(&mut self, folder: &TempFolder) {
        self.restart_in(&folder.path);
    }

    /// Starts the process again after its end; its log goes on in `folder`.
    pub fn restart_in(&mut self, folder: &Path) {
        let _ = self.child.wait();
        self.child = spawn(folder, &self.name, &self.settings);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // The process belongs to this one and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let response = http::call(self.ready, request, Duration::from_millis(500));
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until the gateway is ready; returns whether it was in time.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal(CONTINUE);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(folder: &Path, name: &str, settings: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")));
    let log = log.expect("a log file");
    let mut command = Command::new(GATEWAY);
    command
        .env_clear()
        .env("WAGTAILARCH_NODE_FILE", settings)
        .env("PATH", "/usr/bin:/bin");
    command
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a file"))
        .stdout(log);
    match command.spawn() {
        Ok(child) => child,
        Err(error) => {
            println!("the gateway does not start: {error}");
            std::process::exit(2);
        }
    }
}

/// A folder for settings and logs, removed at the end unless `KEEP` is set.
pub struct TempFolder {
    pub path: PathBuf,
}

impl TempFolder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("wagtail-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self { path }
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.path);
        } else {
            println!("kept {}", self.path.display());
        }
    }
}

/// A plain server that does what the pages say: one request at a time on a connection.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    running: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    pub work_ms: Arc<AtomicU64>,
    /// Target and caller whose requests crash the server when it begins to run them.
    crashed_by: Arc<Mutex<(String, String)>>,
    /// Whether the server crashes in the middle of its answer, and not before it.
    crashes_in_answer: Arc<AtomicBool>,
    /// Number of crashes.
    pub crashes: Arc<AtomicU64>,
}

impl Server {
    pub fn start(record: &Record, id: &str, work_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            running: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            work_ms: Arc::new(AtomicU64::new(work_ms)),
            crashed_by: Arc::default(),
            crashes_in_answer: Arc::default(),
            crashes: Arc::default(),
        };
        server.accept(record, listener);
        server
    }

    fn accept(&self, record: &Record, listener: TcpListener) {
        let (record, id) = (record.clone(), self.id.clone());
        let (running, work_ms) = (Arc::clone(&self.running), Arc::clone(&self.work_ms));
        let connections = Arc::clone(&self.connections);
        let (crashed_by, crashes) = (Arc::clone(&self.crashed_by), Arc::clone(&self.crashes));
        let in_answer = Arc::clone(&self.crashes_in_answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !running.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                connections
                    .lock()
                    .expect("no panic")
                    .push(stream.try_clone().expect("a socket"));
                let (record, id, work_ms) = (record.clone(), id.clone(), Arc::clone(&work_ms));
                let (crashed_by, crashes) = (Arc::clone(&crashed_by), Arc::clone(&crashes));
                let in_answer = in_answer.load(Ordering::SeqCst);
                thread::spawn(move || {
                    serve(
                        &record,
                        &id,
                        &work_ms,
                        &crashed_by,
                        in_answer,
                        &crashes,
                        stream,
                    );
                });
            }
        });
    }

    /// Makes requests of `caller` for `target` crash the server; [`Self::crash`] has to be called soon
    /// after.
    pub fn set_crashed_by(&self, target: &str, caller: &str) {
        *self.crashed_by.lock().expect("no panic") = (target.to_owned(), caller.to_owned());
    }

    /// Makes the server crash in the middle of its answer.
    pub fn crash_in_answer(&self) {
        self.crashes_in_answer.store(true, Ordering::SeqCst);
    }

    /// Ends the server as a crash does: its connections are reset and its port is closed.
    pub fn crash(&self) {
        self.running.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("no panic").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the accepting thread, which closes the port.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts the server again at its address.
    pub fn start_again(&self, record: &Record) -> bool {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.running.store(true, Ordering::SeqCst);
                self.accept(record, listener);
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the registration in the store.
    pub fn registration(&self, service: &str, zone: &str, state: &str, born: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":{born}}}",
            self.address
        )
    }
}

fn serve(
    record: &Record,
    id: &str,
    work_ms: &AtomicU64,
    crashed_by: &Mutex<(String, String)>,
    in_answer: bool,
    crashes: &AtomicU64,
    stream: TcpStream,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.message(false) {
        let request_id = request
            .header("Wagtailarch-Request-Id")
            .unwrap_or("")
            .to_owned();
        let expected = request.header("Wagtailarch-Expect-Instance");
        if expected.is_some_and(|expected| expected != id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nWagtailarch-Request-Id: {request_id}\r\n\
                 Wagtailarch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        record.add(format!(
            "run server={id} request={request_id} target={}",
            request.target()
        ));
        let caller = request.header("Authorization").unwrap_or("");
        let guilty = crashed_by.lock().expect("no panic").clone();
        if (request.target(), caller) == (&guilty.0, &guilty.1) {
            if in_answer {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nWagtailarch-Request-Id: {request_id}\r\n\
                     Wagtailarch-Server-Stamp: {id}.{request_id}\r\nContent-Length: 800\r\n\r\nbegin\n"
                );
                let _ = writer.write_all(text.as_bytes());
                thread::sleep(Duration::from_millis(20));
            }
            record.add(format!("crash server={id} request={request_id}"));
            crashes.fetch_add(1, Ordering::SeqCst);
            // The connections are reset by whoever looks after the server.
            thread::sleep(Duration::from_secs(600));
            return;
        }
        thread::sleep(Duration::from_millis(work_ms.load(Ordering::SeqCst)));
        let body = format!("{id} {request_id}\n");
        let text = format!(
            "HTTP/1.1 200 OK\r\nWagtailarch-Request-Id: {request_id}\r\n\
             Wagtailarch-Server-Stamp: {id}.{request_id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request as a client does, over a new connection; returns its status, 0 without one.
pub fn request(
    record: &Record,
    gateway: (&str, SocketAddr),
    method: &str,
    host: &str,
    target: &str,
    deadline_ms: u64,
) -> u16 {
    request_of(record, gateway, method, host, target, deadline_ms, "")
}

/// Like [`request`], for a caller that names itself in `Authorization`.
pub fn request_of(
    record: &Record,
    gateway: (&str, SocketAddr),
    method: &str,
    host: &str,
    target: &str,
    deadline_ms: u64,
    caller: &str,
) -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::SeqCst) * 0x9e37_79b9);
    let (name, address) = gateway;
    let authorization = match caller {
        "" => String::new(),
        caller => format!("Authorization: {caller}\r\n"),
    };
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: {host}\r\nWagtailarch-Request-Id: {id}\r\n\
         {authorization}Wagtailarch-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n\r\n"
    );
    record.add(format!(
        "sent gateway={name} request={id} {method} {target} {caller}"
    ));
    let response = http::call(address, &text, Duration::from_millis(deadline_ms));
    let (status, detail) = match response {
        Ok(response) => {
            let by_server = response
                .header("Wagtailarch-Server-Stamp")
                .unwrap_or("-")
                .to_owned();
            (
                response.status(),
                format!("stamp={by_server} complete={}", response.complete),
            )
        }
        Err(error) => (0, format!("error={error}")),
    };
    record.add(format!(
        "answered gateway={name} request={id} status={status} {detail}"
    ));
    status
}

/// Calls `f` every `interval` in a thread until `stop` is set.
pub fn repeat(
    stop: &Arc<AtomicBool>,
    interval: Duration,
    mut f: impl FnMut() + Send + 'static,
) -> thread::JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            f();
            thread::sleep(interval);
        }
    })
}
