//! Status reports of engines.

use std::time::Duration;

use http::StatusCode;
use wagtailarch_adapter::{EngineReport, decode_report, report_request, states_leaving};
use wagtailarch_dispatch::ServerEndpoint;

use crate::{
    connection::ConnectError,
    gateway::{Gateway, LeavingSource},
    http_client::{CallError, HttpClient},
};

/// Time limit for the connection and for the response.
const REPORT_LIMIT: Duration = Duration::from_millis(200);

/// What a call for the report of an engine has shown.
#[derive(Debug)]
pub enum ReportOutcome {
    /// The engine responds.
    Received(EngineReport),
    /// The engine may go on later.
    Silent,
    /// The engine refuses connections or sends no report.
    Failed,
}

/// Calls an engine for its report.
pub async fn fetch_report(gateway: &Gateway, engine: &ServerEndpoint) -> ReportOutcome {
    let response = HttpClient::of_server(engine.address, REPORT_LIMIT)
        .call_with_head(report_request(&engine.id), REPORT_LIMIT)
        .await;
    if let Ok((parts, _)) = &response
        && states_leaving(&parts.headers)
    {
        gateway.on_stated_leaving(engine.process(), LeavingSource::Report);
    }
    match response {
        Ok((parts, body)) if parts.status == StatusCode::OK => {
            decode_report(&body).map_or(ReportOutcome::Failed, ReportOutcome::Received)
        }
        Err(CallError::TimedOut(_) | CallError::Connect(ConnectError::TimedOut(_))) => {
            ReportOutcome::Silent
        }
        Ok(_) | Err(_) => ReportOutcome::Failed,
    }
}
