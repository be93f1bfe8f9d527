//! Responses without a length of services that leave: whole ones are passed on, parts are not.

mod common;

use std::time::Duration;

use common::{KEY, SHORT_TIMEOUTS, fake_platform, listed_service, start};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// Time for which a leaving service takes connections.
const SERVE_TIME: Duration = Duration::from_millis(500);
/// Time from the closing of its port to the end of its response.
const LAST_TIME: Duration = Duration::from_millis(700);
/// Interval between two pieces of a response.
const PIECE_INTERVAL: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_secs(10);
const LAST_PIECE: &str = "id: 99\ndata: last\n\n";

/// What a service does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Its port is closed.
    Closed,
    /// Its responses end, after their last piece.
    Finished,
    /// It was killed.
    Killed,
}

/// How a service leaves the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announcement {
    Leaving,
    Removal,
}

async fn serve(mut stream: TcpStream, content_type: &str, mut phase: watch::Receiver<Phase>) {
    let mut head = Vec::new();
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return;
        }
    }
    if !head.starts_with(b"POST") {
        let text = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    }
    let mut text = format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n");
    while matches!(*phase.borrow_and_update(), Phase::Serving | Phase::Closed) {
        text += "id: 1\ndata: a\n\n";
        let _ = stream.write_all(text.as_bytes()).await;
        text.clear();
        let _ = timeout(PIECE_INTERVAL, phase.changed()).await;
    }
    if *phase.borrow() == Phase::Finished {
        let _ = stream.write_all(LAST_PIECE.as_bytes()).await;
    }
}

/// Guards against whole responses that are cut since the closed port of a service that leaves passes
/// for a crash, and against parts that pass as whole since it had announced that it leaves
/// (issue 72, LOST).
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_the_whole_responses_of_a_leaving_service_look_complete(
    #[values("text/plain", "text/event-stream")] content_type: &'static str,
    #[values(Announcement::Leaving, Announcement::Removal)] announcement: Announcement,
    #[values(Some(Phase::Finished), Some(Phase::Killed), None)] end: Option<Phase>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let phase = watch::Sender::new(Phase::Serving);
    let mut is_closed = phase.subscribe();
    let requests = phase.subscribe();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                biased;
                _ = is_closed.wait_for(|phase| *phase != Phase::Serving) => return,
                accepted = listener.accept() => {
                    let (stream, _) = accepted.expect("a connection");
                    tokio::spawn(serve(stream, content_type, requests.clone()));
                }
            }
        }
    });
    let platform = fake_platform(json!([listed_service("s1", address)]));
    let instance = start(&platform, SHORT_TIMEOUTS).await;
    let client_address = instance.client_address();
    let call = tokio::spawn(async move {
        let text = format!(
            "POST /lids/quotes HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let mut stream = TcpStream::connect(client_address).await.expect("connected");
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut bytes = Vec::new();
        let read = timeout(CALL_LIMIT, stream.read_to_end(&mut bytes)).await;
        let _ = read.expect("an end of the response");
        String::from_utf8(bytes).expect("text")
    });
    sleep(Duration::from_millis(200)).await;
    let mut listed = listed_service("s1", address);
    listed["state"] = "leaving".into();
    let items = match announcement {
        Announcement::Leaving => json!([listed]),
        Announcement::Removal => json!([]),
    };
    let set_instances =
        |items| platform.set_instances(serde_json::from_value(items).expect("a list"));
    set_instances(items);
    sleep(SERVE_TIME).await;
    match end {
        Some(end) => {
            phase.send_replace(Phase::Closed);
            sleep(LAST_TIME).await;
            phase.send_replace(end);
        }
        None => {
            phase.send_replace(Phase::Killed);
        }
    }
    if end == Some(Phase::Finished) {
        set_instances(json!([]));
    }
    let response = call.await.expect("a response");
    let looks_whole = response.starts_with("HTTP/1.1 200 ")
        && (!response.contains("transfer-encoding: chunked") || response.ends_with("0\r\n\r\n"));
    match end {
        Some(Phase::Finished) => {
            assert!(looks_whole && response.contains(LAST_PIECE), "{response}");
        }
        // Nothing tells this end from one in order; see docs/platform.md, section 2.
        Some(_) if announcement == Announcement::Removal => {}
        Some(_) | None => assert!(!looks_whole, "{response}"),
    }
}
