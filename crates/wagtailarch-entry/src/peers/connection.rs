//! Sending and receiving messages on one connection.

use std::time::Duration;

use displaydoc::Display;
use quinn::{Connection, ConnectionError, ReadToEndError, RecvStream, StoppedError, WriteError};
use rustls::pki_types::CertificateDer;
use tokio::time::timeout;
use wagtailarch_wire::peer::{
    FrameError, Hello, MAX_FRAME_BYTES, PeerMessage, decode_frame, encode_frame,
};

use super::identity::PeerIdentity;

/// Timeout for the delivery of a message, and for the arrival of one whose stream has started.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of the length prefix of a message.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Reason why a message was not sent or received.
#[derive(Debug, Display)]
pub enum MessageError {
    /// the message is not valid: {0}
    Frame(FrameError),
    /// the length prefix differs from the length of the message
    Length,
    /// the connection failed: {0}
    Connection(ConnectionError),
    /// the stream failed: {0}
    Stream(String),
    /// no acknowledgement or message within the timeout
    TimedOut,
    /// the first message is not a hello
    NoHello,
    /// the identity {0:?} of the peer is not the expected one or not that of its certificate
    WrongIdentity(PeerIdentity),
}

impl std::error::Error for MessageError {}

impl From<ConnectionError> for MessageError {
    fn from(error: ConnectionError) -> Self {
        Self::Connection(error)
    }
}

impl From<WriteError> for MessageError {
    fn from(error: WriteError) -> Self {
        Self::Stream(error.to_string())
    }
}

impl From<StoppedError> for MessageError {
    fn from(error: StoppedError) -> Self {
        Self::Stream(error.to_string())
    }
}

impl From<ReadToEndError> for MessageError {
    fn from(error: ReadToEndError) -> Self {
        Self::Stream(error.to_string())
    }
}

/// Sends a message and waits until the other side has received it.
pub async fn send(connection: &Connection, message: &PeerMessage) -> Result<(), MessageError> {
    let frame = encode_frame(message).map_err(MessageError::Frame)?;
    let send = async {
        let mut stream = connection.open_uni().await?;
        stream
            .write_all(&(frame.len() as u32).to_le_bytes())
            .await?;
        stream.write_all(&frame).await?;
        let _ = stream.finish();
        stream.stopped().await?;
        Ok(())
    };
    timeout(MESSAGE_TIMEOUT, send)
        .await
        .unwrap_or(Err(MessageError::TimedOut))
}

/// Receives the next message.
pub async fn receive(connection: &Connection) -> Result<PeerMessage, MessageError> {
    let stream = connection.accept_uni().await?;
    timeout(MESSAGE_TIMEOUT, read_message(stream))
        .await
        .unwrap_or(Err(MessageError::TimedOut))
}

/// Receives the hello of the other side and checks its identity against its certificate.
pub async fn receive_hello(connection: &Connection) -> Result<Hello, MessageError> {
    let received = timeout(MESSAGE_TIMEOUT, receive(connection)).await;
    let PeerMessage::Hello(hello) = received.unwrap_or(Err(MessageError::TimedOut))? else {
        return Err(MessageError::NoHello);
    };
    let identity = PeerIdentity {
        instance: hello.instance.clone(),
        zone: hello.zone.clone(),
    };
    let chain = connection.peer_identity();
    let chain = chain.and_then(|any| any.downcast::<Vec<CertificateDer<'static>>>().ok());
    let certificate = chain.as_ref().and_then(|chain| chain.first());
    if certificate.is_some_and(|certificate| identity.matches(certificate)) {
        return Ok(hello);
    }
    Err(MessageError::WrongIdentity(identity))
}

async fn read_message(mut stream: RecvStream) -> Result<PeerMessage, MessageError> {
    let bytes = stream
        .read_to_end(MAX_FRAME_BYTES + LENGTH_PREFIX_BYTES)
        .await?;
    let (length, frame) = bytes.split_first_chunk().ok_or(MessageError::Length)?;
    if u32::from_le_bytes(*length) as usize != frame.len() {
        return Err(MessageError::Length);
    }
    decode_frame(frame).map_err(MessageError::Frame)
}
