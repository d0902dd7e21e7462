//! End of a caller's connection. A caller to which the end of its connection is the end of its
//! answer must not see an orderly close if the answer broke off.

use hyper::body::Body;
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;
use hyper::{body::Incoming, Response, Version};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Whether the answer in progress ends with its connection, as it has neither chunks nor a length.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Records the answer to a request of a version of HTTP.
    pub(crate) fn record<B: Body>(&self, version: Version, response: &Response<B>) {
        let has_length = response.body().size_hint().exact().is_some();
        let ends_with_connection = version <= Version::HTTP_10 && !has_length;
        self.0.store(ends_with_connection, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Serves a caller's connection. Once `is_stopping` becomes true, the answer in progress is
/// completed and the connection closed.
pub(crate) async fn run<S, B>(
    mut connection: Connection<TokioIo<TcpStream>, S>,
    mut is_stopping: watch::Receiver<bool>,
    ends_with_connection: EndsWithConnection,
) where
    S: HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stop_requested = async {
        if !*is_stopping.borrow_and_update() {
            let _ = is_stopping.changed().await;
        }
    };
    let ended = tokio::select! {
        result = std::pin::Pin::new(&mut connection) => Some(result),
        () = stop_requested => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            std::pin::Pin::new(&mut connection).await
        }
    };
    if result.is_err() && ends_with_connection.get() {
        let stream = connection.into_parts().io.into_inner();
        if let Err(error) = stream.set_zero_linger() {
            log::debug!(event = "caller_reset"; "{error}");
        }
    }
}
