//! Calls in which an instance sends a client's request through another instance, over HTTP/1.1.
//!
//! The call has the method, path, query, headers and body of the client. [`ForwardCall`] accompanies
//! it in the header [`CALL_HEADER`]; [`ForwardOutcome`] is in the header [`OUTCOME_HEADER`] of the
//! response. The end of a streamed response states in the trailer [`END_TRAILER`] whether the stream
//! is complete.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smol_str::SmolStr;
use wagtailarch_types::{BootId, Generation, InstanceId, Ran, TeamName, VersionKey};

/// Version of the encoding; calls of versions that an instance does not know are refused.
pub const FORWARD_VERSION: u8 = 1;
/// Version of a call for a request that has a team, which only instances take that pass it on.
const TEAM_VERSION: u8 = 2;
/// Header with the name of the request's team, in calls of version [`TEAM_VERSION`].
///
/// `Connection` lists it, so that it reaches no server.
const TEAM_HEADER: HeaderName = HeaderName::from_static("wagtail-team");
/// Header with the encoded [`ForwardCall`].
pub const CALL_HEADER: HeaderName = HeaderName::from_static("wagtail-call");
/// Header with the encoded [`ForwardOutcome`].
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("wagtail-outcome");
/// Header with the start time and the identifier of a server that states in its response that it
/// leaves, once for each such server.
///
/// `Connection` lists it, so that an instance that does not know it removes it.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("wagtail-leaving");
/// Status of the response to a call that was not taken, in all versions of the encoding.
pub const NOT_TAKEN_STATUS: StatusCode = StatusCode::MISDIRECTED_REQUEST;
/// Trailer with the [`StreamEnd`]; a streamed response without it is not complete.
pub const END_TRAILER: HeaderName = HeaderName::from_static("wagtail-end");

/// What accompanies a client's request that is sent through another instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardCall {
    /// Instance that received the request from the client.
    pub sender: InstanceId,
    /// Identifies the start of the sender.
    pub boot: BootId,
    /// Generation of the sender's configuration.
    pub generation: Generation,
    /// Time in milliseconds since the request arrived at the sender, with the time on the way.
    pub age_ms: u32,
    /// Number of earlier calls that may have run the request.
    pub possible_runs: u32,
    /// Whether the request is counted in the retry budget of another instance.
    pub is_counted: bool,
    /// Whether the call is a retry that no instance has taken from its budget yet.
    pub takes_retry: bool,
    /// Where a stream goes on whose first events have reached the client.
    pub resume: Option<ForwardResume>,
}

/// Where a stream goes on whose first events have reached the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardResume {
    /// Last event that the client has received.
    pub after: u64,
    /// Software version of the server that sent the events.
    pub version: VersionKey,
}

/// A call with the team of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamCall {
    /// The call.
    pub call: ForwardCall,
    /// Team of the request, as the sender has determined it by the key.
    pub team: Option<TeamName>,
}

/// What the other instance did with a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardOutcome {
    /// The call was not taken, and nothing has run or will run because of it.
    NotTaken(NotTaken),
    /// The call was taken, and this instance refused the request.
    Refused {
        /// Text of the `RefusalReason`.
        reason: SmolStr,
        /// Whether the request may have run because of this call.
        ran: Ran,
        /// Time in milliseconds after which the client may retry.
        retry_after_ms: u32,
    },
    /// The response is for the client.
    Response {
        /// Number of calls to servers that may have run the request, with the earlier ones.
        possible_runs: u32,
        /// Software version of the server that began a stream.
        version: Option<VersionKey>,
    },
}

/// Reason why an instance does not take a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum NotTaken {
    /// the call has another version or is malformed
    Malformed,
    /// the sender is not a listed instance
    UnknownSender,
    /// the call was received before
    Replayed,
    /// the configuration is older than that of the sender
    OlderConfiguration,
    /// there is no path to the servers
    NoPath,
    /// the instance is shutting down
    Leaving,
    /// too many requests of other instances are open
    NoRoom,
}

/// How a streamed response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream was broken off, and no attempt may follow.
    BrokenOff,
    /// The time limit of the request expired.
    TimedOut,
}

impl StreamEnd {
    const ALL: [Self; 3] = [Self::Complete, Self::BrokenOff, Self::TimedOut];

    /// Returns the text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::BrokenOff => "broken off",
            Self::TimedOut => "timed out",
        }
    }

    /// Returns the trailers that state this end.
    pub fn trailers(self) -> HeaderMap {
        HeaderMap::from_iter([(END_TRAILER, HeaderValue::from_static(self.as_str()))])
    }

    /// Decodes the trailers of a response; returns `None` if they state no end.
    pub fn from_trailers(trailers: &HeaderMap) -> Option<Self> {
        let text = trailers.get(END_TRAILER)?.to_str().ok()?;
        Self::ALL.into_iter().find(|end| end.as_str() == text)
    }
}

/// Encodes the value of [`LEAVING_HEADER`]; returns `None` if the identifier is no valid header.
pub fn encode_leaving(server: &InstanceId, started_unix_ms: u64) -> Option<HeaderValue> {
    HeaderValue::try_from(format!("{started_unix_ms} {server}")).ok()
}

/// Decodes the values of [`LEAVING_HEADER`] and ignores malformed ones.
pub fn decode_leaving(headers: &HeaderMap) -> Vec<(InstanceId, u64)> {
    let values = headers.get_all(LEAVING_HEADER).iter();
    let texts = values.filter_map(|value| value.to_str().ok()?.split_once(' '));
    let servers = texts.filter_map(|(started, id)| Some((id.into(), started.parse().ok()?)));
    servers.collect()
}

/// Encodes a message about call `number` as the value of a header.
///
/// The version and the number come first as text, so that instances with another version of the
/// encoding can name the call that they refuse.
pub fn encode<T: Serialize>(number: u64, message: &T) -> Option<HeaderValue> {
    encode_version(FORWARD_VERSION, number, message)
}

/// Adds a call to the head of a client's request; returns `None` if its values are no valid headers.
pub fn encode_call(headers: &mut HeaderMap, number: u64, call: &TeamCall) -> Option<()> {
    // A client may have sent a header of this name.
    headers.remove(TEAM_HEADER);
    let version = match &call.team {
        None => FORWARD_VERSION,
        Some(team) => {
            headers.insert(TEAM_HEADER, HeaderValue::from_str(team).ok()?);
            headers.append(header::CONNECTION, HeaderValue::from(TEAM_HEADER));
            TEAM_VERSION
        }
    };
    headers.insert(CALL_HEADER, encode_version(version, number, &call.call)?);
    Some(())
}

/// Takes a call from the head of a request; its content is `None` if it is malformed or has a
/// version that is not known.
pub fn take_call(headers: &mut HeaderMap) -> Option<(u64, Option<TeamCall>)> {
    let team = headers.remove(TEAM_HEADER);
    let value = headers.remove(CALL_HEADER)?;
    let (version, number, message) = fields(&value)?;
    let team = match version {
        FORWARD_VERSION => Some(None),
        TEAM_VERSION => {
            team.and_then(|team| Some(Some(std::str::from_utf8(team.as_bytes()).ok()?.into())))
        }
        _ => None,
    };
    let call = team.and_then(|team| {
        let call = decode_message(message?)?;
        Some(TeamCall { call, team })
    });
    Some((number, call))
}

fn encode_version<T: Serialize>(version: u8, number: u64, message: &T) -> Option<HeaderValue> {
    let bytes = postcard::to_stdvec(message).ok()?;
    let mut text = format!("{version} {number} ");
    for byte in bytes {
        text.push_str(&format!("{byte:02x}"));
    }
    HeaderValue::try_from(text).ok()
}

/// Decodes the number and the message in the value of a header; the message is `None` if it is
/// malformed or has another version.
pub fn decode<T: DeserializeOwned>(value: &HeaderValue) -> Option<(u64, Option<T>)> {
    let (version, number, message) = fields(value)?;
    let message = message.filter(|_| version == FORWARD_VERSION);
    Some((number, message.and_then(decode_message)))
}

/// Returns the version, the number and the encoded message.
fn fields(value: &HeaderValue) -> Option<(u8, u64, Option<&str>)> {
    let mut fields = value.to_str().ok()?.splitn(3, ' ');
    let version = fields.next()?.parse().ok()?;
    let number = fields.next()?.parse().ok()?;
    Some((version, number, fields.next()))
}

fn decode_message<T: DeserializeOwned>(text: &str) -> Option<T> {
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    let digits = pairs.iter().map(|pair| std::str::from_utf8(pair).ok());
    let bytes = digits.map(|digits| u8::from_str_radix(digits?, 16).ok());
    let bytes: Vec<u8> = bytes.collect::<Option<_>>()?;
    postcard::from_bytes(&bytes).ok()
}
