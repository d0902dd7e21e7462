//! Sending side of a response.

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
    /// Creates a head without further headers.
    pub fn new(status: u16, content_type: &'static str) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
        }
    }
}

/// Part of a response, in the order in which it is sent.
#[derive(Clone, Debug)]
pub enum ResponsePart {
    /// Status and headers.
    Head(ResponseHead),
    /// Section of the body.
    Chunk(Vec<u8>),
    /// End of the body.
    End,
}

/// Receiving side of a response that is not sent over a connection.
pub struct ResponseReader {
    parts: UnboundedReceiver<ResponsePart>,
}

impl ResponseReader {
    /// Returns the next part if one has been sent.
    pub fn try_next(&mut self) -> Option<ResponsePart> {
        self.parts.try_recv().ok()
    }
}

/// Sender of the parts of one response. If it is dropped before [`Responder::finish`], the connection
/// is closed, so that the caller detects the incomplete response.
#[derive(Debug)]
pub struct Responder {
    pub(crate) parts: UnboundedSender<ResponsePart>,
}

impl Responder {
    /// Creates a responder without a connection, and the reader of its parts.
    pub fn detached() -> (Self, ResponseReader) {
        let (sender, parts) = unbounded_channel();
        (Self { parts: sender }, ResponseReader { parts })
    }

    /// Sends status and headers. Must be called once, before the body.
    pub fn head(&self, head: ResponseHead) {
        let _ = self.parts.send(ResponsePart::Head(head));
    }

    /// Sends a section of the body.
    pub fn chunk(&self, bytes: Vec<u8>) {
        let _ = self.parts.send(ResponsePart::Chunk(bytes));
    }

    /// Ends the body.
    pub fn finish(self) {
        let _ = self.parts.send(ResponsePart::End);
    }

    /// Sends a complete response.
    pub fn respond(self, head: ResponseHead, body: Vec<u8>) {
        self.head(head);
        self.chunk(body);
        self.finish();
    }

    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}
