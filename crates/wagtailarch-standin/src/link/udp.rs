//! Forwarding of UDP datagrams.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

use super::delay_channel::{DelayReceiver, DelaySender, delay_channel};
use super::state::{Direction, Link};

/// Maximum number of sources of a link; datagrams of further ones are dropped.
const MAX_FLOWS: usize = 256;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Forwards datagrams until the future is dropped.
///
/// Each source has its own socket to the target, which replies to that socket.
pub(super) async fn forward_udp(socket: UdpSocket, link: Arc<Link>) {
    let socket = Arc::new(socket);
    let mut flows: HashMap<SocketAddr, DelaySender> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here is that of an earlier send, whose datagram is lost.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !flows.contains_key(&source) && flows.len() < MAX_FLOWS {
            let Ok(upstream) = connect(link.target).await else {
                Link::increment(&link.dropped);
                continue;
            };
            let (channel, receiver) = delay_channel();
            flows.insert(source, channel);
            let flow = Flow {
                source,
                upstream,
                socket: Arc::clone(&socket),
                link: Arc::clone(&link),
            };
            tasks.spawn(flow.run(receiver));
        }
        let datagram = Bytes::copy_from_slice(&buffer[..length]);
        let flow = flows.get(&source);
        if link.is_blocked_for(source, Direction::ToTarget)
            || !flow.is_some_and(|flow| flow.try_send(&link, datagram))
        {
            Link::increment(&link.dropped);
        }
    }
}

/// Opens a socket to the target.
async fn connect(target: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    socket.connect(target).await?;
    Ok(socket)
}

/// Datagrams between a source and the target.
struct Flow {
    source: SocketAddr,
    /// Socket to the target.
    upstream: UdpSocket,
    /// Socket of the link, to which sources send.
    socket: Arc<UdpSocket>,
    link: Arc<Link>,
}

impl Flow {
    /// Forwards datagrams in both directions.
    async fn run(self, to_target: DelayReceiver) {
        let (channel, to_source) = delay_channel();
        tokio::join!(
            self.send_to_target(to_target),
            self.receive_from_target(channel),
            self.send_to_source(to_source),
        );
    }

    /// Sends the datagrams of the source to the target.
    async fn send_to_target(&self, mut channel: DelayReceiver) {
        while let Some(datagram) = channel.next().await {
            let is_open = !self.link.is_blocked_for(self.source, Direction::ToTarget);
            self.count_datagram(is_open && self.upstream.send(&datagram).await.is_ok());
        }
    }

    /// Sends the datagrams of the target to the source.
    async fn send_to_source(&self, mut channel: DelayReceiver) {
        while let Some(datagram) = channel.next().await {
            let is_open = !self.link.is_blocked_for(self.source, Direction::ToSource);
            self.count_datagram(
                is_open && self.socket.send_to(&datagram, self.source).await.is_ok(),
            );
        }
    }

    /// Receives datagrams of the target into the delay channel.
    async fn receive_from_target(&self, channel: DelaySender) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error means that the target has no open socket; it may open one later.
            let Ok(length) = self.upstream.recv(&mut buffer).await else {
                continue;
            };
            let datagram = Bytes::copy_from_slice(&buffer[..length]);
            if self.link.is_blocked_for(self.source, Direction::ToSource)
                || !channel.try_send(&self.link, datagram)
            {
                Link::increment(&self.link.dropped);
            }
        }
    }

    /// Counts a datagram as forwarded or dropped.
    fn count_datagram(&self, forwarded: bool) {
        let counter = match forwarded {
            true => &self.link.forwarded,
            false => &self.link.dropped,
        };
        Link::increment(counter);
    }
}
