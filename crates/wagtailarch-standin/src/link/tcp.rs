//! Forwarding of TCP connections.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::delay_line::{DelayReceiver, DelaySender, delay_line};
use super::state::Link;
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
    if link.is_cut_for(source) {
        // A connection begun during the cut carries nothing, as its first packet is lost.
        Link::count(&link.dropped);
        if !link.refuses() {
            link.passable(source).await;
        }
        return;
    }
    let Ok(server) = TcpStream::connect(link.target).await else {
        Link::count(&link.dropped);
        return;
    };
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        one_way(client_read, server_write, source, &link),
        one_way(server_read, client_write, source, &link),
    );
}

async fn one_way(from: OwnedReadHalf, to: OwnedWriteHalf, source: SocketAddr, link: &Link) {
    let (sender, receiver) = delay_line();
    tokio::join!(
        read_pieces(from, sender, link),
        write_pieces(receiver, to, source, link),
    );
}

async fn read_pieces(mut from: OwnedReadHalf, line: DelaySender, link: &Link) {
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
    mut to: OwnedWriteHalf,
    source: SocketAddr,
    link: &Link,
) {
    while let Some(piece) = line.next().await {
        link.passable(source).await;
        if to.write_all(&piece).await.is_err() {
            return;
        }
        Link::count(&link.forwarded);
    }
    link.passable(source).await;
    // The other side may be gone already.
    let _ = to.shutdown().await;
}
