//! HTTP server for the object API of the in-memory platform, which the process under test calls.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use wagtailarch_platform::{FakePlatform, Platform, PlatformError, Precondition};
use wagtailarch_wire::platform::OBJECTS_PATH_PREFIX;

type HttpResponse = Response<Full<Bytes>>;

/// Serves `platform` on a loopback address until the runtime ends.
pub async fn serve(platform: Arc<FakePlatform>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let platform = Arc::clone(&platform);
            let service = service_fn(move |request| handle_request(Arc::clone(&platform), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    address
}

/// Handles reads and writes of objects; a lost response closes the connection.
async fn handle_request(
    platform: Arc<FakePlatform>,
    request: Request<Incoming>,
) -> Result<HttpResponse, String> {
    let key = request
        .uri()
        .path()
        .strip_prefix(OBJECTS_PATH_PREFIX)
        .unwrap_or_default();
    let key = percent_encoding::percent_decode_str(key)
        .decode_utf8_lossy()
        .into_owned();
    if request.method() == Method::GET {
        return match platform.get(&key).await {
            Ok(Some(object)) => Ok(object_response(
                StatusCode::OK,
                object.version,
                object.value,
            )),
            Ok(None) => Ok(object_response(StatusCode::NOT_FOUND, 0, Bytes::new())),
            Err(error) => error_response(error),
        };
    }
    let precondition = match (
        request.headers().get("if-none-match"),
        request.headers().get("if-match"),
    ) {
        (Some(_), _) => Precondition::Absent,
        (None, Some(version)) => {
            Precondition::Version(version.to_str().unwrap().trim_matches('"').parse().unwrap())
        }
        (None, None) => Precondition::Any,
    };
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?
        .to_bytes();
    match platform.put(&key, body, precondition).await {
        Ok(version) => Ok(object_response(StatusCode::OK, version, Bytes::new())),
        Err(error) => error_response(error),
    }
}

/// Converts an error of the platform; an unknown outcome closes the connection.
fn error_response(error: PlatformError) -> Result<HttpResponse, String> {
    match error {
        PlatformError::Conflict => Ok(object_response(
            StatusCode::PRECONDITION_FAILED,
            0,
            Bytes::new(),
        )),
        PlatformError::Unknown(reason) => Err(reason),
        _ => Ok(object_response(
            StatusCode::SERVICE_UNAVAILABLE,
            0,
            Bytes::new(),
        )),
    }
}

fn object_response(status: StatusCode, version: u64, body: Bytes) -> HttpResponse {
    let etag = format!("\"{version}\"");
    Response::builder()
        .status(status)
        .header("etag", etag)
        .body(Full::new(body))
        .unwrap()
}
