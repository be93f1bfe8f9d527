//! Tests of the stand-in for links with sockets on loopback.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use wagtailarch_standin::link::LinkCounters;

/// Timeout for events that occur within milliseconds on an idle machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which data that is not blocked arrives.
const BLOCKED_TIME: Duration = Duration::from_millis(300);

/// Process with a link for TCP and a link for UDP, which is killed when dropped.
struct Process {
    child: Child,
    control: SocketAddr,
}

impl Process {
    fn start(tcp: SocketAddr, udp: SocketAddr) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin-link"))
            .args(["--tcp", &format!("t={tcp}"), "--udp", &format!("u={udp}")])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        let mut line = String::new();
        let output = child.stdout.take().expect("piped");
        BufReader::new(output).read_line(&mut line).expect("read");
        let address = line.trim().strip_prefix("listening address=");
        let control = address.and_then(|text| text.parse().ok()).expect("address");
        Self { child, control }
    }

    /// Makes a control call and returns the raw response.
    fn call(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.control).expect("connected");
        let length = body.len();
        let head = format!(
            "{method} /standin/v1/{path} HTTP/1.1\r\nhost: link\r\nconnection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("responded");
        response
    }

    fn post(&self, path: &str, body: &str) {
        let response = self.call("POST", path, body);
        assert!(response.starts_with("HTTP/1.1 204"), "{response}");
    }

    fn counters(&self) -> Vec<LinkCounters> {
        let response = self.call("GET", "counters", "");
        let (_, body) = response.split_once("\r\n\r\n").expect("body");
        serde_json::from_str(body).expect("counters")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_byte(stream: &mut TcpStream, limit: Duration) -> std::io::Result<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(limit))?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

fn udp() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bound");
    socket.set_read_timeout(Some(TIMEOUT)).expect("set");
    socket
}

/// Guards against a cut through which bytes pass, or which loses bytes of an established
/// connection.
#[test]
fn cut_connections_stall_until_healed() {
    let server = TcpListener::bind("127.0.0.1:0").expect("bound");
    let target = server.local_addr().expect("address");
    let process = Process::start(target, target);
    let address = process.counters()[0].address;
    let mut client = TcpStream::connect(address).expect("connected");
    let (mut accepted, _) = server.accept().expect("accepted");
    client.write_all(b"a").expect("sent");
    assert_eq!(read_byte(&mut accepted, TIMEOUT).ok(), Some(b'a'));
    process.post("cut", r#"{"links":["t"]}"#);
    client.write_all(b"b").expect("sent");
    let stalled = read_byte(&mut accepted, BLOCKED_TIME).expect_err("no byte passes");
    assert!(matches!(
        stalled.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut
    ));
    process.post("cut", r#"{"links":["t"],"refuse":true}"#);
    let mut refused = TcpStream::connect(address).expect("accepted and closed");
    let closed = read_byte(&mut refused, TIMEOUT).expect_err("closed");
    assert!(matches!(
        closed.kind(),
        ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
    ));
    process.post("heal", "{}");
    assert_eq!(read_byte(&mut accepted, TIMEOUT).ok(), Some(b'b'));
}

/// Guards against a cut for one sender that affects others, and against datagrams that were sent
/// during a cut but arrive after it.
#[test]
fn cut_drops_datagrams_of_the_named_sender() {
    let (server, first, second) = (udp(), udp(), udp());
    let target = server.local_addr().expect("address");
    let process = Process::start(target, target);
    let address = process.counters()[1].address;
    let from = first.local_addr().expect("address");
    process.post("cut", &format!(r#"{{"links":["u"],"from":["{from}"]}}"#));
    let mut buffer = [0; 8];
    first.send_to(b"lost", address).expect("sent");
    second.send_to(b"2", address).expect("sent");
    let (length, via) = server.recv_from(&mut buffer).expect("received");
    assert_eq!(&buffer[..length], b"2");
    server.send_to(b"answer", via).expect("sent");
    let length = second.recv(&mut buffer).expect("received");
    assert_eq!(&buffer[..length], b"answer");
    assert_eq!(process.counters()[1].dropped, 1);
    process.post("heal", r#"{"links":["u"]}"#);
    process.post("delay", r#"{"links":["u"],"ms":50}"#);
    let start = std::time::Instant::now();
    first.send_to(b"1", address).expect("sent");
    let (length, _) = server.recv_from(&mut buffer).expect("received");
    assert_eq!(&buffer[..length], b"1");
    assert!(start.elapsed() >= Duration::from_millis(50));
}

/// Guards against a cut in one direction that also blocks the other, and against a reset that
/// closes connections normally.
#[test]
fn one_way_cuts_and_resets() {
    let server = TcpListener::bind("127.0.0.1:0").expect("bound");
    let target = server.local_addr().expect("address");
    let process = Process::start(target, target);
    let address = process.counters()[0].address;
    let mut client = TcpStream::connect(address).expect("connected");
    let (mut accepted, _) = server.accept().expect("accepted");
    process.post("cut", r#"{"links":["t"],"only":"to_source"}"#);
    client.write_all(b"a").expect("sent");
    assert_eq!(read_byte(&mut accepted, TIMEOUT).ok(), Some(b'a'));
    accepted.write_all(b"b").expect("sent");
    read_byte(&mut client, BLOCKED_TIME).expect_err("no byte passes");
    process.post("heal", "{}");
    assert_eq!(read_byte(&mut client, TIMEOUT).ok(), Some(b'b'));
    process.post("reset", r#"{"links":["t"]}"#);
    for stream in [&mut client, &mut accepted] {
        let error = read_byte(stream, TIMEOUT).expect_err("reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
}
