//! Forwarding of UDP datagrams.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use super::delay_line::{DelayReceiver, DelaySender, delay_line};
use super::state::{Direction, Link};

/// Senders that one link serves; datagrams of further ones are dropped.
const MAX_FLOWS: usize = 256;
/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Forwards datagrams until the future is dropped. Each sender gets a socket of its own towards the
/// target, which answers to that socket.
pub(super) async fn forward_udp(socket: UdpSocket, link: Arc<Link>) {
    let socket = Arc::new(socket);
    let mut flows: HashMap<SocketAddr, DelaySender> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error of an earlier send is reported here; the datagram it concerns is lost.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !flows.contains_key(&source) && flows.len() < MAX_FLOWS {
            let Ok(upstream) = connect(link.target).await else {
                Link::count(&link.dropped);
                continue;
            };
            let (sender, receiver) = delay_line();
            flows.insert(source, sender);
            let flow = Flow {
                source,
                upstream,
                socket: Arc::clone(&socket),
                link: Arc::clone(&link),
            };
            tasks.spawn(flow.run(receiver));
        }
        let piece = Bytes::copy_from_slice(&buffer[..length]);
        let flow = flows.get(&source);
        if link.is_cut_for(source, Direction::ToTarget)
            || !flow.is_some_and(|flow| flow.try_send(&link, piece))
        {
            Link::count(&link.dropped);
        }
    }
}

async fn connect(target: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(target).await?;
    Ok(socket)
}

/// Datagrams between one sender and the target.
struct Flow {
    source: SocketAddr,
    upstream: UdpSocket,
    socket: Arc<UdpSocket>,
    link: Arc<Link>,
}

impl Flow {
    async fn run(self, to_target: DelayReceiver) {
        let (sender, to_source) = delay_line();
        tokio::join!(
            self.send_to_target(to_target),
            self.receive(sender),
            self.send_to_source(to_source),
        );
    }

    async fn send_to_target(&self, mut line: DelayReceiver) {
        while let Some(piece) = line.next().await {
            let passes = !self.link.is_cut_for(self.source, Direction::ToTarget);
            self.count(passes && self.upstream.send(&piece).await.is_ok());
        }
    }

    async fn send_to_source(&self, mut line: DelayReceiver) {
        while let Some(piece) = line.next().await {
            let passes = !self.link.is_cut_for(self.source, Direction::ToSource);
            self.count(passes && self.socket.send_to(&piece, self.source).await.is_ok());
        }
    }

    async fn receive(&self, line: DelaySender) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // A target without a socket gives an error; it may open one later.
            let Ok(length) = self.upstream.recv(&mut buffer).await else {
                continue;
            };
            let piece = Bytes::copy_from_slice(&buffer[..length]);
            if self.link.is_cut_for(self.source, Direction::ToSource)
                || !line.try_send(&self.link, piece)
            {
                Link::count(&self.link.dropped);
            }
        }
    }

    fn count(&self, passed: bool) {
        let counter = match passed {
            true => &self.link.forwarded,
            false => &self.link.dropped,
        };
        Link::count(counter);
    }
}
