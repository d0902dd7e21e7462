//! Response body whose parts come through a channel.

use crate::responder::ResponsePart;
use hyper::body::{Body, Bytes, Frame};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// Notifies the handler when dropped, unless the response has ended: the caller disconnected.
pub(crate) struct DisconnectGuard {
    pub(crate) on_disconnect: Option<Box<dyn FnOnce() + Send>>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.on_disconnect.take() {
            on_disconnect();
        }
    }
}

/// Body that a [`crate::Responder`] sends in chunks.
pub(crate) struct ChannelBody {
    pub(crate) parts: UnboundedReceiver<ResponsePart>,
    pub(crate) guard: DisconnectGuard,
    pub(crate) is_ended: bool,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.is_ended {
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
                    self.is_ended = true;
                    self.guard.on_disconnect = None;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    self.is_ended = true;
                    self.guard.on_disconnect = None;
                    Poll::Ready(Some(Err(io::Error::other(
                        "responder dropped before the end of the response",
                    ))))
                }
            };
        }
    }
}
