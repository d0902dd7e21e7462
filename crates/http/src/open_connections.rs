//! Number of callers' connections that are open.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Number of open connections of a server; clones share it. Once the server is stopping, each of them
/// has an answer that its caller has not read completely, or a request that is being received.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(Arc<AtomicUsize>);

impl OpenConnections {
    /// The number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn add(&self) -> OpenConnection {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenConnection(self.clone())
    }
}

/// Counts one connection.
pub(crate) struct OpenConnection(OpenConnections);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let OpenConnections(count) = &self.0;
        count.fetch_sub(1, Ordering::AcqRel);
    }
}
