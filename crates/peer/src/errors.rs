//! Errors of the peer transport.

/// Error of the transport or of a received message.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The listener can't be started.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// Listening address, as `IP:PORT`.
        address: String,
        /// Error of the socket library.
        source: nng::Error,
    },
    /// A socket can't be created or connected.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// Address of the peer, as `IP:PORT`.
        address: String,
        /// Error of the socket library.
        source: nng::Error,
    },
    /// The bytes are not a message of a protocol version that this build can read.
    #[error("peer message can't be decoded")]
    Malformed,
    /// The message is of a protocol version that this build can't read.
    #[error("peer message is of protocol version {0}, which this build can't read")]
    UnknownVersion(u8),
    /// The sender belongs to the named cluster instead of this one.
    #[error("peer message belongs to another cluster, '{0}'")]
    WrongCluster(String),
}
