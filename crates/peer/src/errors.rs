//! Errors of the peer transport.

/// Why the transport can't work or a message can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The listening address can't be used.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// The library's answer.
        source: nng::Error,
    },
    /// A socket can't be made or dialled.
    #[error("connect to {address}: {source}")]
    Connect {
        /// The address.
        address: String,
        /// The library's answer.
        source: nng::Error,
    },
    /// The bytes are no message of this version.
    #[error("message can't be decoded")]
    Malformed,
    /// The message is of another cluster.
    #[error("message of cluster '{0}'")]
    WrongCluster(String),
}
