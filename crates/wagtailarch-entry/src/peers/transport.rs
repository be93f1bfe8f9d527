//! Connections to other instances and the queues of messages for them.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use displaydoc::Display;
use quinn::{Connection, Endpoint, Incoming, TransportConfig, VarInt};
use slog::{Logger, debug, warn};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};
use wagtailarch_types::InstanceId;
use wagtailarch_wire::peer::{Hello, PeerMessage};

use super::{
    connection::{MESSAGE_TIMEOUT, MessageError, receive, receive_hello, send},
    identity::{PeerIdentity, Tls, TlsError},
};
use crate::settings::{PeerKeys, PeerSeed};

/// Maximum number of messages that are queued for one peer; further ones are dropped.
const PEER_QUEUE_CAPACITY: usize = 64;

/// Maximum number of events that are queued for the control thread; when the queue is full, reading
/// from the connections stops until there is space.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of peers with a queue or a connection; the design size is 370 instances.
const MAX_PEERS: usize = 1_024;

/// Time without messages after which a connection is closed.
///
/// At the design size, two instances exchange a message about once per minute, and a handshake
/// costs more than many messages.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum number of urgent messages that are sent to one peer at the same time.
const MAX_CONCURRENT_URGENT: usize = 16;

/// Maximum number of messages that a peer may send at the same time.
const MAX_CONCURRENT_STREAMS: u32 = 32;

/// Maximum number of unread bytes of one message.
const STREAM_WINDOW_BYTES: u32 = 128 * 1024;
/// Maximum number of unread bytes of all messages of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 512 * 1024;

/// Reason why the transport could not start.
#[derive(Debug, Display)]
pub enum PeerError {
    /// {0}
    Tls(TlsError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
}

impl std::error::Error for PeerError {}

/// Identity and address of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddress {
    /// Instance and its zone, which its certificate must contain.
    pub identity: PeerIdentity,
    /// Address of its transport.
    pub address: SocketAddr,
}

impl From<&PeerSeed> for PeerAddress {
    fn from(seed: &PeerSeed) -> Self {
        let identity = PeerIdentity {
            instance: seed.instance.clone(),
            zone: seed.zone.clone(),
        };
        Self {
            identity,
            address: seed.address,
        }
    }
}

/// Event of the transport.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A connection was established; the identity is that of the certificate.
    Connected(Hello),
    /// A message arrived from the instance with this identity.
    Message(PeerIdentity, PeerMessage),
    /// A message could not be delivered; a connection that failed is closed.
    Unreachable(PeerIdentity),
}

/// Handle to the transport.
#[derive(Debug, Clone)]
pub struct Peers(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    endpoint: Endpoint,
    own_identity: PeerIdentity,
    hello: ArcSwap<Hello>,
    events: mpsc::Sender<PeerEvent>,
    log: Logger,
    /// Peers with a queue or a connection; at most `MAX_PEERS`.
    peers: Mutex<HashMap<InstanceId, Peer>>,
}

#[derive(Debug, Default)]
struct Peer {
    queue: Option<mpsc::Sender<PeerMessage>>,
    connection: Option<Connection>,
}

impl Peers {
    /// Binds `address` and accepts connections of other instances on the current runtime.
    pub fn start(
        address: SocketAddr,
        keys: &PeerKeys,
        hello: Hello,
        log: Logger,
    ) -> Result<(Self, mpsc::Receiver<PeerEvent>), PeerError> {
        let own_identity = PeerIdentity {
            instance: hello.instance.clone(),
            zone: hello.zone.clone(),
        };
        let mut tls = Tls::load(keys, &own_identity).map_err(PeerError::Tls)?;
        let transport = Arc::new(transport_config());
        tls.server.transport_config(Arc::clone(&transport));
        tls.client.transport_config(transport);
        let endpoint = Endpoint::server(tls.server, address);
        let mut endpoint = endpoint.map_err(|error| PeerError::Listen(address, error))?;
        endpoint.set_default_client_config(tls.client);
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let hello = ArcSwap::from_pointee(hello);
        let peers = Mutex::default();
        let inner = Arc::new(Inner {
            endpoint,
            own_identity,
            hello,
            events,
            log,
            peers,
        });
        tokio::spawn(Arc::clone(&inner).accept());
        Ok((Self(inner), receiver))
    }

    /// Returns the address of the transport.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.0.endpoint.local_addr()
    }

    /// Sets the hello that is sent on new connections.
    pub fn set_hello(&self, hello: Hello) {
        self.0.hello.store(Arc::new(hello));
    }

    /// Queues a message for a peer and opens a connection if necessary; returns whether it was
    /// queued.
    pub fn send(&self, to: &PeerAddress, message: PeerMessage) -> bool {
        self.0.enqueue(&to.identity, Some(to.address), message)
    }

    /// Queues a message for a peer that is connected; returns whether it was queued.
    pub fn reply(&self, to: &PeerIdentity, message: PeerMessage) -> bool {
        self.0.enqueue(to, None, message)
    }

    /// Closes all connections.
    pub async fn close(&self) {
        self.0.endpoint.close(VarInt::from_u32(0), b"shutdown");
        let _ = timeout(Duration::from_secs(1), self.0.endpoint.wait_idle()).await;
    }
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(None)
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    transport
}

impl Inner {
    /// Accepts connections until the endpoint is closed.
    async fn accept(self: Arc<Self>) {
        while let Some(incoming) = self.endpoint.accept().await {
            if self.endpoint.open_connections() > MAX_PEERS {
                incoming.refuse();
                continue;
            }
            let inner = Arc::clone(&self);
            tokio::spawn(async move {
                let result = timeout(MESSAGE_TIMEOUT, inner.establish_incoming(incoming)).await;
                if let Ok(Err(error)) = result {
                    warn!(inner.log, "peer_refused"; "error" => %error);
                }
            });
        }
    }

    async fn establish_incoming(
        self: &Arc<Self>,
        incoming: Incoming,
    ) -> Result<Connection, MessageError> {
        let connection = incoming.await?;
        self.exchange_hellos(connection, None).await
    }

    async fn establish(self: &Arc<Self>, to: &PeerAddress) -> Result<Connection, MessageError> {
        let connecting = self
            .endpoint
            .connect(to.address, &to.identity.certificate_name());
        let connecting = connecting.map_err(|error| MessageError::Stream(error.to_string()))?;
        let connection = timeout(MESSAGE_TIMEOUT, connecting).await;
        let connection = connection.map_err(|_| MessageError::TimedOut)??;
        self.exchange_hellos(connection, Some(&to.identity)).await
    }

    /// Exchanges hellos, verifies the identity of the peer and starts to read its messages.
    async fn exchange_hellos(
        self: &Arc<Self>,
        connection: Connection,
        expected: Option<&PeerIdentity>,
    ) -> Result<Connection, MessageError> {
        let own_hello = PeerMessage::Hello(Hello::clone(&self.hello.load()));
        let exchange =
            async { tokio::try_join!(send(&connection, &own_hello), receive_hello(&connection)) };
        let hello = match exchange.await {
            Ok(((), hello)) => hello,
            Err(error) => {
                connection.close(VarInt::from_u32(1), b"no introduction");
                return Err(error);
            }
        };
        let identity = PeerIdentity {
            instance: hello.instance.clone(),
            zone: hello.zone.clone(),
        };
        if expected.is_some_and(|expected| *expected != identity) || identity == self.own_identity {
            connection.close(VarInt::from_u32(2), b"wrong identity");
            return Err(MessageError::WrongIdentity(identity));
        }
        if let Some(peer) = self.peer_entry(&mut self.lock(), &identity.instance) {
            peer.connection = Some(connection.clone());
        }
        let _ = self.events.send(PeerEvent::Connected(hello)).await;
        tokio::spawn(Arc::clone(self).read_messages(connection.clone(), identity));
        Ok(connection)
    }

    /// Sends the messages of a connection to the control thread until the connection fails.
    async fn read_messages(self: Arc<Self>, connection: Connection, identity: PeerIdentity) {
        loop {
            match receive(&connection).await {
                Ok(message) => {
                    let event = PeerEvent::Message(identity.clone(), message);
                    if self.events.send(event).await.is_err() {
                        break;
                    }
                }
                Err(MessageError::Connection(error)) => {
                    debug!(self.log, "peer_closed"; "peer" => %identity.instance, "why" => %error);
                    break;
                }
                Err(error) => {
                    warn!(self.log, "peer_message"; "peer" => %identity.instance,
                        "error" => %error);
                    connection.close(VarInt::from_u32(3), b"bad message");
                    break;
                }
            }
        }
        self.remove_connection(&connection, &identity);
    }

    fn enqueue(
        self: &Arc<Self>,
        to: &PeerIdentity,
        address: Option<SocketAddr>,
        message: PeerMessage,
    ) -> bool {
        let mut peers = self.lock();
        let Some(peer) = self.peer_entry(&mut peers, &to.instance) else {
            return false;
        };
        if address.is_none() && peer.connection.is_none() {
            return false;
        }
        let unsent = match &peer.queue {
            Some(queue) => match queue.try_send(message) {
                Ok(()) => return true,
                Err(mpsc::error::TrySendError::Full(_)) => return false,
                Err(mpsc::error::TrySendError::Closed(message)) => message,
            },
            None => message,
        };
        let (queue, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
        let is_queued = queue.try_send(unsent).is_ok();
        peer.queue = Some(queue);
        tokio::spawn(Arc::clone(self).deliver(to.clone(), address, receiver));
        is_queued
    }

    /// Delivers the queued messages of one peer until a delivery fails or the queue was empty for
    /// `IDLE_TIMEOUT`.
    async fn deliver(
        self: Arc<Self>,
        to: PeerIdentity,
        address: Option<SocketAddr>,
        mut queue: mpsc::Receiver<PeerMessage>,
    ) {
        let mut urgent = JoinSet::new();
        while let Some(message) = tokio::select! {
            message = queue.recv() => message,
            () = sleep(IDLE_TIMEOUT) => None,
        } {
            if matches!(message, PeerMessage::Urgent(_)) && self.connection(&to).is_some() {
                // An acknowledgement can take 25 ms, so urgent messages are sent concurrently.
                if urgent.len() >= MAX_CONCURRENT_URGENT {
                    urgent.join_next().await;
                }
                let (inner, peer) = (Arc::clone(&self), to.clone());
                urgent.spawn(async move { inner.deliver_one(&peer, address, &message).await });
                while let Some(Ok(result)) = urgent.try_join_next() {
                    if result.is_err() {
                        let _ = self.events.send(PeerEvent::Unreachable(to.clone())).await;
                    }
                }
                continue;
            }
            let Err(error) = self.deliver_one(&to, address, &message).await else {
                continue;
            };
            debug!(self.log, "peer_unreachable"; "peer" => %to.instance, "error" => %error);
            let _ = self.events.send(PeerEvent::Unreachable(to.clone())).await;
            // A failure closes the queue: the other messages in it are about as old as the failed
            // one, and the next message may have a new address.
            break;
        }
    }

    async fn deliver_one(
        self: &Arc<Self>,
        to: &PeerIdentity,
        address: Option<SocketAddr>,
        message: &PeerMessage,
    ) -> Result<(), MessageError> {
        if let Some(connection) = self.connection(to) {
            match send(&connection, message).await {
                Ok(()) => return Ok(()),
                Err(error @ MessageError::Frame(_)) => return Err(error),
                Err(_) => {
                    connection.close(VarInt::from_u32(4), b"not delivered");
                    self.remove_connection(&connection, to);
                }
            }
        }
        let address = address.ok_or(MessageError::TimedOut)?;
        let to = PeerAddress {
            identity: to.clone(),
            address,
        };
        let connection = self.establish(&to).await?;
        send(&connection, message).await
    }

    fn connection(&self, to: &PeerIdentity) -> Option<Connection> {
        let peers = self.lock();
        let connection = peers.get(&to.instance)?.connection.as_ref()?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.clone())
    }

    /// Removes a connection that has ended.
    fn remove_connection(&self, connection: &Connection, identity: &PeerIdentity) {
        let mut peers = self.lock();
        let Some(peer) = peers.get_mut(&identity.instance) else {
            return;
        };
        let is_same = |current: &Connection| current.stable_id() == connection.stable_id();
        if peer.connection.as_ref().is_some_and(is_same) {
            peer.connection = None;
        }
        if peer.connection.is_none() && peer.queue.as_ref().is_none_or(mpsc::Sender::is_closed) {
            peers.remove(&identity.instance);
        }
    }

    /// Returns the entry of a peer, which is created if necessary; `None` if there are `MAX_PEERS`
    /// others.
    fn peer_entry<'a>(
        &self,
        peers: &'a mut HashMap<InstanceId, Peer>,
        instance: &InstanceId,
    ) -> Option<&'a mut Peer> {
        if peers.len() >= MAX_PEERS && !peers.contains_key(instance) {
            return None;
        }
        Some(peers.entry(instance.clone()).or_default())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
