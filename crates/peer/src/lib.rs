//! Messages between silversail processes, and the transport that carries them.

pub mod backend_list;
mod backend_list_entries;
pub mod backend_list_update;
pub mod connection_monitor;
pub mod discovery;
pub mod errors;
mod kind;
pub mod message;
pub mod peer_versions;
pub mod streams;
pub mod transport;
pub mod version6;
pub mod work;

pub use backend_list::{BackendList, BackendListEntry, BackendListVersion, SharedBackendList};
pub use backend_list_entries::{BackendListEntries, EntryChange};
pub use backend_list_update::{BackendListHistory, BackendListUpdate, BackendListUpdateError};
pub use discovery::{Contact, ContactWithAge, ContactsVersion, DiscoveryMessage};
pub use errors::PeerError;
pub use message::{
    Envelope, FormationMessage, GroupId, GroupMessage, PeerMessage, ProposalResult,
    SessionHeartbeat, SessionMessage, SessionReply,
};
pub use streams::{BegunStream, SeenVersions, StreamKey, StreamMessage, StreamOrigin};
pub use transport::{decode, encode, NngTransport, SendResult, Transport};
pub use work::{
    PhaseWork, Piece, PieceFailure, PieceSource, ResultHandle, ShardWaitEstimates, WorkId,
    WorkMessage, PRIORITY_LEVELS,
};
