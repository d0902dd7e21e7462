//! Bodies of requests that a process holds, bounded by their sum: callers send them as slowly as
//! they like, and back ends read them as slowly as they like.

use crate::server::RejectReason;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Room for the bodies of all requests under way; clones share it.
#[derive(Clone)]
pub struct BodyMemoryLimit {
    room: Arc<Semaphore>,
}

/// A whole body. Its room is free again once it is dropped.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    pub(crate) room: Option<OwnedSemaphorePermit>,
}

impl BodyMemoryLimit {
    /// Room for `most` bytes.
    pub fn new(most: usize) -> Self {
        Self {
            room: Arc::new(Semaphore::new(most.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Bytes that may still be taken in.
    pub fn available_bytes(&self) -> usize {
        self.room.available_permits()
    }

    /// Takes in a body of `longest` bytes at most. Room is taken as bytes come, so that a caller
    /// who announces much and sends little keeps nobody out.
    pub(crate) async fn read_body(
        &self,
        mut body: Incoming,
        longest: usize,
    ) -> Result<BufferedBody, RejectReason> {
        let mut bytes = BytesMut::new();
        let mut room: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RejectReason::BodyInterrupted)?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if bytes.len() + part.len() > longest {
                return Err(RejectReason::BodyTooLarge);
            }
            let taken = self.take_room(part.len())?;
            match &mut room {
                Some(room) => room.merge(taken),
                None => room = Some(taken),
            }
            bytes.extend_from_slice(&part);
        }
        Ok(BufferedBody {
            bytes: bytes.freeze(),
            room,
        })
    }

    fn take_room(&self, bytes: usize) -> Result<OwnedSemaphorePermit, RejectReason> {
        let bytes = u32::try_from(bytes).map_err(|_| RejectReason::BodyTooLarge)?;
        let room = self.room.clone();
        room.try_acquire_many_owned(bytes)
            .map_err(|_| RejectReason::BodyMemoryExhausted)
    }
}
