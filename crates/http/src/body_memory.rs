//! Limit of the memory for request bodies. Without it, callers that send slowly and back ends that
//! read slowly would make a process buffer any number of bodies.

use crate::server::RejectReason;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limit of the total size of buffered request bodies; clones share it.
#[derive(Clone)]
pub struct BodyMemoryLimit {
    available: Arc<Semaphore>,
}

/// Complete body. Its memory is returned to the limit when it is dropped.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

impl BodyMemoryLimit {
    /// Creates a limit of `max_bytes` in total.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            available: Arc::new(Semaphore::new(max_bytes.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Returns the number of bytes that may still be buffered.
    pub fn available_bytes(&self) -> usize {
        self.available.available_permits()
    }

    /// Reads a body of at most `max_bytes`. Memory is reserved as bytes arrive, so that a caller that
    /// announces a large body and sends little does not block others.
    ///
    /// # Errors
    ///
    /// If the body is too large or interrupted, or the memory is exhausted.
    pub(crate) async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<BufferedBody, RejectReason> {
        let mut bytes = BytesMut::new();
        let mut permit: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RejectReason::BodyInterrupted)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > max_bytes {
                return Err(RejectReason::BodyTooLarge);
            }
            let reserved = self.reserve(data.len())?;
            match &mut permit {
                Some(permit) => permit.merge(reserved),
                None => permit = Some(reserved),
            }
            bytes.extend_from_slice(&data);
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            permit,
        })
    }

    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, RejectReason> {
        let bytes = u32::try_from(bytes).map_err(|_| RejectReason::BodyTooLarge)?;
        let available = self.available.clone();
        available
            .try_acquire_many_owned(bytes)
            .map_err(|_| RejectReason::BodyMemoryExhausted)
    }
}
