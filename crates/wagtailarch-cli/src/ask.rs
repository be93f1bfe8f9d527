//! Questions to an entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use wagtailarch_wire::explanation::{EXPLAIN_PATH, Explanation};

/// Time within which the instance must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of an answer; one compares at most some tens of servers.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Why a question has no answer.
#[derive(Debug)]
pub enum AskError {
    /// The instance does not accept the question; the message names the field.
    Refused(String),
    /// The instance could not be asked.
    Failed(String),
}

impl AskError {
    fn failed(error: impl std::fmt::Display) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Asks the instance with the given metrics address where a request would go.
pub async fn ask(instance: SocketAddr, message: Vec<u8>) -> Result<Explanation, AskError> {
    let exchange = timeout(ANSWER_TIMEOUT, exchange(instance, message)).await;
    let (status, body) =
        exchange.map_err(|_| AskError::failed("the instance did not answer within 5 s"))??;
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(AskError::failed),
        status if status.is_client_error() => {
            let message = String::from_utf8_lossy(&body).trim_end().to_owned();
            Err(AskError::Refused(message))
        }
        status => Err(AskError::failed(format_args!(
            "the instance answered with status {status}"
        ))),
    }
}

async fn exchange(instance: SocketAddr, message: Vec<u8>) -> Result<(StatusCode, Bytes), AskError> {
    let stream = TcpStream::connect(instance).await;
    let stream = stream.map_err(AskError::failed)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(AskError::failed)?;
    // The connection ends with the exchange; a failure shows in the response.
    let driver = tokio::spawn(connection);
    let request = Request::post(EXPLAIN_PATH)
        .header(header::HOST, instance.to_string())
        .body(Full::new(Bytes::from(message)))
        .map_err(AskError::failed)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(AskError::failed)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let body = body.await.map_err(AskError::failed)?.to_bytes();
    driver.abort();
    Ok((status, body))
}
