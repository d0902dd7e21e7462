//! Messages of builds that speak version 6, translated from and to those of this build.
//!
//! What version 6 cannot express is not sent to such a build: rollouts, the quarantine, rate-limit
//! permits, and whatever is restricted to regions, which that build would ignore.

mod group;
mod session;
mod work;

use crate::discovery::DiscoveryMessage;
use crate::errors::PeerError;
use crate::message::{Envelope, GroupId, GroupMessage, PeerMessage};
use serde::{Deserialize, Serialize};
use session::SessionMessage6;
use silversail_model::NodeName;
use work::WorkMessage6;

/// The version that this module translates.
pub const VERSION: u8 = 6;

#[derive(Serialize, Deserialize)]
struct Envelope6 {
    version: u8,
    cluster: String,
    from: NodeName,
    incarnation: u64,
    message: PeerMessage6,
}

#[derive(Serialize, Deserialize)]
enum PeerMessage6 {
    Group {
        group: GroupId,
        message: GroupMessage,
    },
    Session(SessionMessage6),
    Discovery(DiscoveryMessage),
    Work(WorkMessage6),
}

/// Encodes an envelope of this build for one that speaks version 6; `None` if that has no form of
/// the message.
pub fn encode(envelope: &Envelope) -> Option<Vec<u8>> {
    let message = match &envelope.message {
        PeerMessage::Group { group, message } => PeerMessage6::Group {
            group: *group,
            message: group::to_earlier(*group, message)?,
        },
        PeerMessage::Session(message) => {
            PeerMessage6::Session(SessionMessage6::from_current(message)?)
        }
        PeerMessage::Discovery(DiscoveryMessage::Probe | DiscoveryMessage::ProbeReply) => {
            return None
        }
        PeerMessage::Discovery(message) => PeerMessage6::Discovery(message.clone()),
        PeerMessage::Work(message) => PeerMessage6::Work(WorkMessage6::from_current(message)?),
        PeerMessage::Limits(_) | PeerMessage::Streams(_) | PeerMessage::Attributes(_) => {
            return None
        }
    };
    let envelope = Envelope6 {
        version: VERSION,
        cluster: envelope.cluster.clone(),
        from: envelope.from.clone(),
        incarnation: envelope.incarnation,
        message,
    };
    Some(postcard::to_stdvec(&envelope).expect("encoding into memory does not fail"))
}

/// Decodes an envelope of version 6.
///
/// # Errors
/// [`PeerError::Malformed`] if the bytes are not such an envelope.
pub fn decode(bytes: &[u8]) -> Result<Envelope, PeerError> {
    let (envelope, rest): (Envelope6, &[u8]) =
        postcard::take_from_bytes(bytes).map_err(|_| PeerError::Malformed)?;
    if envelope.version != VERSION || !rest.is_empty() {
        return Err(PeerError::Malformed);
    }
    let message = match envelope.message {
        PeerMessage6::Group { group, message } => PeerMessage::Group { group, message },
        PeerMessage6::Session(message) => {
            PeerMessage::Session(message.into_current().ok_or(PeerError::Malformed)?)
        }
        PeerMessage6::Discovery(message) => PeerMessage::Discovery(message),
        PeerMessage6::Work(message) => PeerMessage::Work(message.into_current()),
    };
    Ok(Envelope {
        version: envelope.version,
        cluster: envelope.cluster,
        from: envelope.from,
        incarnation: envelope.incarnation,
        message,
    })
}
