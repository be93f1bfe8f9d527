//! Forwarding of TCP connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::delay_channel::{DelayReceiver, DelaySender, delay_channel};
use super::state::{Direction, Link};
use crate::serve::accept_loop;

/// Maximum size of a chunk of a stream.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Forwards connections until the future is dropped.
pub(super) async fn forward_tcp(listener: TcpListener, link: Arc<Link>) {
    accept_loop(listener, |client| forward(client, Arc::clone(&link))).await;
}

/// Forwards a connection until both directions end, or one end or the link is reset.
async fn forward(client: TcpStream, link: Arc<Link>) {
    let Ok(source) = client.peer_addr() else {
        return;
    };
    if link.is_blocked_for(source, Direction::ToTarget) {
        // A connection that starts during a cut carries no data, as if its first packet were lost.
        Link::increment(&link.dropped);
        if !link.refuses_connections() {
            link.wait_until_open(source, Direction::ToTarget).await;
        }
        return;
    }
    let Ok(server) = TcpStream::connect(link.target).await else {
        Link::increment(&link.dropped);
        return;
    };
    let _ = server.set_nodelay(true);
    let (mut client, mut server) = (client, server);
    let completed = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let to_target = forward_direction(
            client_read,
            server_write,
            source,
            Direction::ToTarget,
            &link,
        );
        let to_source = forward_direction(
            server_read,
            client_write,
            source,
            Direction::ToSource,
            &link,
        );
        tokio::select! {
            ended = async { tokio::try_join!(to_target, to_source) } => ended.is_ok(),
            () = link.wait_for_reset() => false,
        }
    };
    if !completed {
        Link::increment(&link.dropped);
        // With a linger time of zero, dropping a socket sends a reset.
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

/// The sender of a stream has reset its connection.
struct SenderReset;

/// Forwards one direction of a connection.
async fn forward_direction(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    source: SocketAddr,
    direction: Direction,
    link: &Link,
) -> Result<(), SenderReset> {
    let (sender, receiver) = delay_channel();
    let (read, ()) = tokio::join!(
        read_chunks(from, sender, link),
        write_chunks(receiver, &mut to, source, direction, link),
    );
    read?;
    // The peer may have closed the connection already.
    let _ = to.shutdown().await;
    Ok(())
}

/// Reads a stream into the delay channel.
async fn read_chunks(
    mut from: ReadHalf<'_>,
    channel: DelaySender,
    link: &Link,
) -> Result<(), SenderReset> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await.map_err(|_| SenderReset)?;
        let chunk = Bytes::copy_from_slice(&buffer[..length]);
        if length == 0 || !channel.send(link, chunk).await {
            return Ok(());
        }
    }
}

/// Writes the chunks of a stream and waits until its end may be written; both stall while the
/// direction is cut.
async fn write_chunks(
    mut channel: DelayReceiver,
    to: &mut WriteHalf<'_>,
    source: SocketAddr,
    direction: Direction,
    link: &Link,
) {
    while let Some(chunk) = channel.next().await {
        link.wait_until_open(source, direction).await;
        if to.write_all(&chunk).await.is_err() {
            return;
        }
        Link::increment(&link.forwarded);
    }
    link.wait_until_open(source, direction).await;
}
