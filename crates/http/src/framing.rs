//! How an answer tells where it ends (RFC 9112, section 6.3).

use hyper::header::{HeaderMap, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::StatusCode;

const EVENT_STREAM: &str = "text/event-stream";

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has no body.
    NoBody,
    /// By chunks or a length.
    Delimited,
    /// By the end of its connection.
    Connection,
}

/// An answer with both a length and a transfer encoding, or with several lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer tells its length in more than one way")]
pub struct AmbiguousFraming;

impl Framing {
    /// Framing of an answer to a request whose method is not `HEAD`.
    ///
    /// # Errors
    ///
    /// If the answer tells its length in more than one way.
    pub fn of_answer(status: StatusCode, headers: &HeaderMap) -> Result<Self, AmbiguousFraming> {
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let length = lengths.next();
        let has_encoding = headers.contains_key(TRANSFER_ENCODING);
        if lengths.next().is_some() || (length.is_some() && has_encoding) {
            return Err(AmbiguousFraming);
        }
        let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        if has_no_body || status.is_informational() {
            return Ok(Framing::NoBody);
        }
        let is_delimited = length.is_some() || is_chunked(headers);
        Ok(match is_delimited {
            true => Framing::Delimited,
            false => Framing::Connection,
        })
    }
}

fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let text = last.and_then(|value| value.to_str().ok());
    let coding = text.and_then(|text| text.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Whether the body of an answer is a stream of events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    let media_type = text.and_then(|text| text.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}
