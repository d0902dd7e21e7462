//! The response body that `hyper` polls.

use crate::responder::ResponsePart;
use hyper::body::{Body, Bytes, Frame};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// Tells the handler that the caller has gone, unless disarmed.
pub(crate) struct GoneGuard {
    pub(crate) on_gone: Option<Box<dyn FnOnce() + Send>>,
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if let Some(on_gone) = self.on_gone.take() {
            on_gone();
        }
    }
}

/// A body whose chunks come from a [`crate::Responder`].
pub(crate) struct PartsBody {
    pub(crate) parts: UnboundedReceiver<ResponsePart>,
    pub(crate) guard: GoneGuard,
    pub(crate) ended: bool,
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        loop {
            return match self.parts.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(ResponsePart::Head(_))) => continue,
                Poll::Ready(Some(ResponsePart::Chunk(bytes))) => {
                    Poll::Ready(Some(Ok(Frame::data(bytes.into()))))
                }
                Poll::Ready(Some(ResponsePart::End)) => {
                    self.ended = true;
                    self.guard.on_gone = None;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    self.ended = true;
                    self.guard.on_gone = None;
                    Poll::Ready(Some(Err(io::Error::other("response cut"))))
                }
            };
        }
    }
}
