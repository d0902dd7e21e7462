//! Limits of the memory for bodies of requests and answers. Without them, callers and back ends that
//! send or read slowly would make a process buffer any number of bodies.

use crate::server::RejectReason;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limit of the total size of buffered bodies; clones share it.
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

    /// Reserves memory for a body; none if there is not enough.
    pub fn try_reserve(&self, bytes: usize) -> Option<ReservedMemory> {
        let permit = self.reserve(bytes).ok()?;
        Some(ReservedMemory { permit })
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

/// Memory that is reserved for a body until this is dropped.
pub struct ReservedMemory {
    permit: OwnedSemaphorePermit,
}

/// Part of a body whose memory is reserved.
struct ReservedBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReservedMemory {
    /// Returns `body`, whose memory stays reserved until the last reference to it is dropped. Memory
    /// beyond its length is returned at once.
    pub fn attach_to(mut self, body: Bytes) -> Bytes {
        let surplus = self.permit.num_permits().saturating_sub(body.len());
        drop(self.permit.split(surplus));
        Bytes::from_owner(ReservedBytes {
            bytes: body,
            _permit: self.permit,
        })
    }
}
