//! An HTTP client with one persistent connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderValue, Request, StatusCode, header, response};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::connection::{
    ConnectError, Connection, MAX_HEAD_BYTES, SilenceLimit, connect, describe,
};

/// Timeout for opening a connection where no bound on applying changes demands a shorter one.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(800);
/// Maximum size of a response of the store or of another instance; a page of a list has about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of a response of a backend server to a call of this process; a report has a few
/// hundred bytes. Many streams may ask for reports at the same time.
const MAX_SERVER_RESPONSE_BYTES: usize = 16 * 1024;

/// Calls one address over a persistent connection, which is reopened after a failure.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    /// Timeout for opening a connection.
    connect_limit: Duration,
    /// Maximum size of the body of a response.
    max_response_bytes: usize,
    connection: Option<Connection>,
}

/// Why a call has no result.
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(ConnectError),
    /// no response within {0:?}
    TimedOut(Duration),
    /// the connection failed: {0}
    Connection(String),
}

impl HttpClient {
    /// Creates a client of the store or of another instance; the connection is opened at the first
    /// call.
    pub fn new(address: SocketAddr, connect_limit: Duration) -> Self {
        Self {
            address,
            connect_limit,
            max_response_bytes: MAX_RESPONSE_BYTES,
            connection: None,
        }
    }

    /// Creates a client of a backend server, which may send endless data.
    pub fn of_server(address: SocketAddr, connect_limit: Duration) -> Self {
        Self {
            max_response_bytes: MAX_SERVER_RESPONSE_BYTES,
            ..Self::new(address, connect_limit)
        }
    }

    /// Sends a request and returns status and body of the response; see [`Self::call_with_head`].
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let (parts, body) = self.call_with_head(request, limit).await?;
        Ok((parts.status, body))
    }

    /// Sends a request and returns head and body of the response.
    ///
    /// After a failure the outcome of a write is unknown. The connection is closed, since a missing
    /// response blocks it.
    pub async fn call_with_head(
        &mut self,
        mut request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(response::Parts, Bytes), CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => connect(self.address, self.connect_limit, SilenceLimit::Probe)
                .await
                .map_err(CallError::Connect)?,
        };
        if let Ok(host) = HeaderValue::try_from(self.address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let exchange = async {
            let connection_error = |error: hyper::Error| CallError::Connection(describe(&error));
            connection.sender.ready().await.map_err(connection_error)?;
            connection
                .meter
                .allow(MAX_HEAD_BYTES + self.max_response_bytes);
            let sent = connection.sender.send_request(request.map(Full::new));
            let (parts, body) = sent.await.map_err(connection_error)?.into_parts();
            let body = Limited::new(body, self.max_response_bytes).collect().await;
            let body = body.map_err(|error| CallError::Connection(error.to_string()))?;
            Ok((parts, body.to_bytes()))
        };
        let response = timeout(limit, exchange).await;
        let response = response.map_err(|_| CallError::TimedOut(limit))??;
        self.connection = Some(connection);
        Ok(response)
    }
}
