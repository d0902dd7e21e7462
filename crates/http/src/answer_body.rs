//! Body of a back end's answer, which tells how it ended.

use crate::client::{Connection, ConnectionCloser};
use crate::event_stream::EventStreamScanner;
use crate::framing::{is_event_stream, AmbiguousFraming, Framing};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderMap;
use hyper::Response;
use silversail_model::AnswerEnd;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Instant;

/// Next part of a body.
pub enum BodyPart {
    /// A frame of the body.
    Frame(Frame<Bytes>),
    /// The body ended.
    End(AnswerEnd),
}

/// Reason why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// The answer is not complete.
    #[error("the answer is not complete: {}", .0.name())]
    Incomplete(AnswerEnd),
    /// The body exceeds the maximum size.
    #[error("the answer is too long")]
    TooLong,
}

type PeerCheck = Pin<Box<dyn Future<Output = bool> + Send + Sync>>;

/// Body of a back end's answer, with its connection. It returns the connection to its pool when the
/// answer is complete, and closes it otherwise.
pub struct AnswerBody {
    inner: Incoming,
    connection: Option<Connection>,
    /// Set if the connection is closed at a deadline.
    closer: Option<ConnectionCloser>,
    framing: Framing,
    /// For streams of events.
    scanner: Option<EventStreamScanner>,
    /// Resolves to whether the back end's process is gone.
    peer_check: Option<PeerCheck>,
}

impl AnswerBody {
    /// Separates the body of an answer that was received over `connection` from its head.
    ///
    /// # Errors
    ///
    /// If the answer tells its length in more than one way.
    pub fn new(
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<(hyper::http::response::Parts, Self), AmbiguousFraming> {
        let framing = Framing::of_answer(response.status(), response.headers())?;
        let scanner = new_scanner(response.headers(), framing);
        let (parts, inner) = response.into_parts();
        let body = Self {
            inner,
            connection: Some(connection),
            closer: None,
            framing,
            scanner,
            peer_check: None,
        };
        Ok((parts, body))
    }

    /// Closes the connection at `deadline` unless the answer has ended before.
    pub fn close_connection_at(&mut self, deadline: Instant) {
        let connection = self.connection.as_ref();
        self.closer = connection.map(|connection| connection.closer(deadline));
    }

    /// Size of the body if its end does not depend on its content.
    pub fn size_hint(&self) -> SizeHint {
        match self.scanner {
            Some(_) => SizeHint::default(),
            None => self.inner.size_hint(),
        }
    }

    /// Returns the next part. Must not be called after the end.
    pub fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<BodyPart> {
        if self.peer_check.is_none() {
            match ready!(Pin::new(&mut self.inner).poll_frame(context)) {
                Some(Ok(frame)) => {
                    if let (Some(scanner), Some(data)) = (&mut self.scanner, frame.data_ref()) {
                        scanner.read(data);
                    }
                    return Poll::Ready(BodyPart::Frame(frame));
                }
                Some(Err(_)) => return self.finish(AnswerEnd::ConnectionLost),
                None => {
                    if let Some(end) = self.end_by_content() {
                        return self.finish(end);
                    }
                    let is_stream = self.scanner.is_some();
                    let connection = self.connection.as_ref();
                    self.peer_check = connection.map(|connection| connection.peer_check(is_stream));
                }
            }
        }
        let is_gone = match &mut self.peer_check {
            Some(check) => ready!(check.as_mut().poll(context)),
            None => false,
        };
        self.finish(match is_gone {
            true => AnswerEnd::BackendGone,
            false => AnswerEnd::WholeByClose,
        })
    }

    /// Collects the body, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// If the answer is not complete, or too long.
    pub async fn collect(mut self, max_bytes: usize) -> Result<Bytes, CollectError> {
        let expected = self.inner.size_hint().exact().unwrap_or(0);
        let mut collected = BytesMut::with_capacity(max_bytes.min(expected as usize));
        loop {
            match poll_fn(|context| self.poll_part(context)).await {
                BodyPart::Frame(frame) => {
                    let data = frame.into_data().unwrap_or_default();
                    if collected.len() + data.len() > max_bytes {
                        return Err(CollectError::TooLong);
                    }
                    collected.extend_from_slice(&data);
                }
                BodyPart::End(end) if end.is_whole() => return Ok(collected.freeze()),
                BodyPart::End(end) => return Err(CollectError::Incomplete(end)),
            }
        }
    }

    /// How the answer ended after its last byte; none if the back end has to be asked.
    fn end_by_content(&self) -> Option<AnswerEnd> {
        let is_delimited = self.framing != Framing::Connection;
        match &self.scanner {
            Some(scanner) if !scanner.is_between_events() => Some(AnswerEnd::InsideEvent),
            Some(scanner) if !is_delimited && !scanner.has_event() => {
                Some(AnswerEnd::WithoutEvents)
            }
            _ if is_delimited => Some(AnswerEnd::Whole),
            _ => None,
        }
    }

    fn finish(&mut self, end: AnswerEnd) -> Poll<BodyPart> {
        // The connection may carry another request from here on.
        self.closer = None;
        match self.connection.take() {
            Some(connection) if end == AnswerEnd::Whole => connection.return_to_pool(),
            connection => drop(connection),
        }
        Poll::Ready(BodyPart::End(end))
    }
}

fn new_scanner(headers: &HeaderMap, framing: Framing) -> Option<EventStreamScanner> {
    let is_scanned = framing != Framing::NoBody && is_event_stream(headers);
    is_scanned.then(EventStreamScanner::default)
}
