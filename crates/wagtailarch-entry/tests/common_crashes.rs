//! Services that crash at the same moment for a reason of their own.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{KEY, SHORT_TIMEOUTS, fake_platform, listed_service, start};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

/// Number of services that crash together.
const CRASHING: usize = 2;
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Starts a service that takes calls and ends with all of them when it is told to crash.
async fn crashing_service(crash: Arc<Notify>, taken: watch::Sender<usize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut streams = Vec::new();
        loop {
            tokio::select! {
                () = crash.notified() => return,
                accepted = listener.accept() => {
                    let (mut stream, _) = accepted.expect("a connection");
                    let mut head = [0; 4];
                    if stream.read(&mut head).await.unwrap_or(0) > 0 && head.starts_with(b"POST") {
                        taken.send_modify(|taken| *taken += 1);
                        streams.push(stream);
                    }
                }
            }
        }
    });
    address
}

/// Starts a service that responds to every call.
async fn sound_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let text = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
            let _ = stream.write_all(text.as_bytes()).await;
        }
    });
    address
}

async fn call(address: SocketAddr, path: &str) -> String {
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         content-length: 4\r\n\r\npage"
    );
    let mut stream = TcpStream::connect(address).await.expect("connected");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut response = String::new();
    let read = timeout(CALL_LIMIT, stream.read_to_string(&mut response)).await;
    let _ = read.expect("an end of the response");
    response
}

/// Guards against a call that is quarantined since two services that ran it crashed at the same moment
/// (issue 72, CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn services_that_crash_together_quarantine_no_call() {
    let crash = Arc::new(Notify::new());
    let taken = [watch::Sender::new(0), watch::Sender::new(0)];
    let mut items = Vec::new();
    for (index, taken) in taken.iter().enumerate() {
        let address = crashing_service(Arc::clone(&crash), taken.clone()).await;
        items.push(listed_service(&format!("s{index}"), address));
    }
    assert_eq!(items.len(), CRASHING);
    let platform = fake_platform(json!(items));
    let instance = start(&platform, SHORT_TIMEOUTS).await;
    let address = instance.client_address();
    let mut calls = JoinSet::new();
    for _ in 0..8 {
        calls.spawn(call(address, "/lids/reservations"));
    }
    for taken in &taken {
        let mut taken = taken.subscribe();
        let both = timeout(CALL_LIMIT, taken.wait_for(|taken| *taken > 0)).await;
        both.expect("calls run at both services").expect("a sender");
    }
    items.push(listed_service("s9", sound_service().await));
    platform.set_instances(serde_json::from_value(json!(items)).expect("a list"));
    sleep(Duration::from_millis(200)).await;
    crash.notify_waiters();
    calls.join_all().await;
    let served = call(address, "/lids/reservations").await;
    assert!(served.starts_with("HTTP/1.1 200 "), "{served}");
}
