//! Calls over one connection that is kept.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::connection::{ConnectError, Connection, HEAD_BYTES, connect};

/// Limit on opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(800);
/// Greatest size of an answer; a page holds about 1 MB.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Calls one address over one connection, which is opened again after a failure.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Why a call has no result.
#[derive(Debug, Display)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(ConnectError),
    /// no answer within {0:?}
    TimedOut(Duration),
    /// the connection failed: {0}
    Broken(String),
}

impl HttpClient {
    /// Creates a client; no connection is opened before the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a call and returns status and body of the answer.
    ///
    /// After a failure the outcome of a write is unknown, and the connection is given up, since a lost
    /// answer blocks it.
    pub async fn call(
        &mut self,
        mut request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => connect(self.address, CONNECT_LIMIT)
                .await
                .map_err(CallError::Connect)?,
        };
        if let Ok(host) = HeaderValue::try_from(self.address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        let exchange = async {
            let broken = |error: hyper::Error| CallError::Broken(error.to_string());
            connection.sender.ready().await.map_err(broken)?;
            connection.allowance.renew(HEAD_BYTES + MAX_ANSWER_BYTES);
            let sent = connection.sender.send_request(request.map(Full::new));
            let (parts, body) = sent.await.map_err(broken)?.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| CallError::Broken(error.to_string()))?;
            Ok((parts.status, body.to_bytes()))
        };
        let answer = timeout(limit, exchange).await;
        let answer = answer.map_err(|_| CallError::TimedOut(limit))??;
        self.connection = Some(connection);
        Ok(answer)
    }
}
