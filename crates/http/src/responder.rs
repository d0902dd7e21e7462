//! The sending side of a response.

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Status and headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

impl ResponseHead {
    /// A head without further headers.
    pub fn new(status: u16, content_type: &'static str) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
        }
    }
}

/// A part of a response.
#[derive(Clone, Debug)]
pub enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// Bytes of the body.
    Chunk(Vec<u8>),
    /// The end of the body.
    End,
}

/// The receiving side of a response that no connection carries.
pub struct ResponseReader {
    parts: UnboundedReceiver<ResponsePart>,
}

impl ResponseReader {
    /// The next part that was sent, if any.
    pub fn try_next(&mut self) -> Option<ResponsePart> {
        self.parts.try_recv().ok()
    }
}

/// Sends the parts of one response. Dropped before [`Responder::finish`], it
/// cuts the connection, so that the caller never takes the cut for an end.
#[derive(Debug)]
pub struct Responder {
    pub(crate) parts: UnboundedSender<ResponsePart>,
}

impl Responder {
    /// A responder without a connection, and where its parts arrive.
    pub fn detached() -> (Self, ResponseReader) {
        let (sender, parts) = unbounded_channel();
        (Self { parts: sender }, ResponseReader { parts })
    }

    /// Sends status and headers; to be called once, first.
    pub fn head(&self, head: ResponseHead) {
        let _ = self.parts.send(ResponsePart::Head(head));
    }

    /// Sends a part of the body.
    pub fn chunk(&self, bytes: Vec<u8>) {
        let _ = self.parts.send(ResponsePart::Chunk(bytes));
    }

    /// Ends the body.
    pub fn finish(self) {
        let _ = self.parts.send(ResponsePart::End);
    }

    /// Sends a whole response.
    pub fn respond(self, head: ResponseHead, body: Vec<u8>) {
        self.head(head);
        self.chunk(body);
        self.finish();
    }

    /// Whether the caller has gone.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}
