//! Messages between silversail processes and their transport.

pub mod errors;
pub mod message;
pub mod transport;

pub use errors::PeerError;
pub use message::{
    Envelope, FormationMessage, GroupId, GroupMessage, PeerMessage, ProposeResult,
    SessionHeartbeat, SessionMessage, SessionReply,
};
pub use transport::{decode, encode, NngTransport, SendResult, Transport};
