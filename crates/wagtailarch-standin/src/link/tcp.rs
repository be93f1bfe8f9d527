//! Forwarding of TCP connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::delay_line::{DelayReceiver, DelaySender, delay_line};
use super::state::{Direction, Link};
use crate::serve::accept_loop;

/// Longest piece of a stream.
const PIECE_BYTES: usize = 16 << 10;

/// Forwards connections until the future is dropped.
pub(super) async fn forward_tcp(listener: TcpListener, link: Arc<Link>) {
    accept_loop(listener, |client| forward(client, Arc::clone(&link))).await;
}

async fn forward(client: TcpStream, link: Arc<Link>) {
    let Ok(source) = client.peer_addr() else {
        return;
    };
    if link.is_cut_for(source, Direction::ToTarget) {
        // A connection begun during the cut carries nothing, as its first packet is lost.
        Link::count(&link.dropped);
        if !link.refuses() {
            link.passable(source, Direction::ToTarget).await;
        }
        return;
    }
    let Ok(server) = TcpStream::connect(link.target).await else {
        Link::count(&link.dropped);
        return;
    };
    let _ = server.set_nodelay(true);
    let (mut client, mut server) = (client, server);
    let forwarded = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let to_target = one_way(
            client_read,
            server_write,
            source,
            Direction::ToTarget,
            &link,
        );
        let to_source = one_way(
            server_read,
            client_write,
            source,
            Direction::ToSource,
            &link,
        );
        tokio::select! {
            _ = async { tokio::join!(to_target, to_source) } => true,
            () = link.reset_done() => false,
        }
    };
    if !forwarded {
        Link::count(&link.dropped);
        // Dropping a socket without lingering sends a reset.
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

async fn one_way(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    source: SocketAddr,
    direction: Direction,
    link: &Link,
) {
    let (sender, receiver) = delay_line();
    tokio::join!(
        read_pieces(from, sender, link),
        write_pieces(receiver, to, source, direction, link),
    );
}

async fn read_pieces(mut from: ReadHalf<'_>, line: DelaySender, link: &Link) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let piece = Bytes::copy_from_slice(&buffer[..length]);
        if !line.send(link, piece).await {
            return;
        }
    }
}

/// Writes pieces and then the end of the stream; both stall while the link is cut.
async fn write_pieces(
    mut line: DelayReceiver,
    mut to: WriteHalf<'_>,
    source: SocketAddr,
    direction: Direction,
    link: &Link,
) {
    while let Some(piece) = line.next().await {
        link.passable(source, direction).await;
        if to.write_all(&piece).await.is_err() {
            return;
        }
        Link::count(&link.forwarded);
    }
    link.passable(source, direction).await;
    // The other side may be gone already.
    let _ = to.shutdown().await;
}
