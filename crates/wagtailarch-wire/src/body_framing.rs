//! Framing of response bodies.

use http::{HeaderMap, header};

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The length that the head states, or that its status or method implies.
    Length,
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Connection,
}

impl BodyFraming {
    /// Returns the framing that the head of a response declares; `has_no_body` states whether its
    /// status or method excludes a body.
    pub fn of_response(headers: &HeaderMap, has_no_body: bool) -> Self {
        if has_no_body {
            return Self::Length;
        }
        let encoding = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back();
        let last_coding = encoding.and_then(|value| value.to_str().ok()?.rsplit(',').next());
        match last_coding {
            Some(coding) if coding.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            Some(_) => Self::Connection,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            None => Self::Connection,
        }
    }

    /// Returns the name of the framing for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
