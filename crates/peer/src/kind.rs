//! Message kinds, used as labels of the message metrics.

use crate::discovery::DiscoveryMessage;
use crate::message::{GroupMessage, PeerMessage, SessionMessage};
use crate::streams::StreamMessage;
use crate::work::WorkMessage;
use silversail_limits::LimitMessage;
use silversail_quarantine::AttributeMessage;

impl PeerMessage {
    /// Label of the message's kind in metrics; several message types share one kind.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Group { message, .. } => message.kind(),
            PeerMessage::Session(message) => message.kind(),
            PeerMessage::Discovery(message) => message.kind(),
            PeerMessage::Work(message) => message.kind(),
            PeerMessage::Limits(LimitMessage::Request(_)) => "permit_request",
            PeerMessage::Limits(LimitMessage::Grant(_)) => "permit_grant",
            PeerMessage::Limits(LimitMessage::Announce(_) | LimitMessage::Announced(_)) => "limit",
            PeerMessage::Streams(StreamMessage::Began(_)) => "stream_began",
            PeerMessage::Streams(_) => "stream_origin",
            PeerMessage::Attributes(AttributeMessage::Report(_)) => "attribute_report",
            PeerMessage::Attributes(AttributeMessage::Watch(_)) => "watched_attributes",
        }
    }
}

impl GroupMessage {
    fn kind(&self) -> &'static str {
        match self {
            GroupMessage::Consensus { .. } => "consensus",
            GroupMessage::Formation(_) => "formation",
            GroupMessage::Propose { .. } | GroupMessage::ProposeReply { .. } => "proposal",
        }
    }
}

impl DiscoveryMessage {
    fn kind(&self) -> &'static str {
        match self {
            DiscoveryMessage::Hello { .. } | DiscoveryMessage::HelloReply { .. } => "discovery",
            DiscoveryMessage::Probe | DiscoveryMessage::ProbeReply => "probe",
        }
    }
}

impl SessionMessage {
    fn kind(&self) -> &'static str {
        match self {
            SessionMessage::Heartbeat(_) => "heartbeat",
            SessionMessage::Reply(_) => "heartbeat_reply",
            SessionMessage::PushConfiguration(_)
            | SessionMessage::PushTraffic(_)
            | SessionMessage::PushEvacuations(_)
            | SessionMessage::PushRollouts(_) => "configuration",
            SessionMessage::PushQuarantine(_) => "quarantine",
            SessionMessage::BackendList(_) | SessionMessage::BackendListConfirmed(_) => {
                "backend_list"
            }
            SessionMessage::Reports { .. } => "reports",
            SessionMessage::View(_) => "view",
            SessionMessage::PushView(_) => "pushed_view",
        }
    }
}

impl WorkMessage {
    fn kind(&self) -> &'static str {
        match self {
            WorkMessage::Submit { .. } => "work_submit",
            WorkMessage::Announce { .. } => "work_announce",
            WorkMessage::Accepted { .. } => "work_accepted",
            WorkMessage::Done { .. } => "work_done",
            WorkMessage::WaitEstimates(_) => "work_waits",
            WorkMessage::InputsRead { .. } => "work_inputs_read",
            WorkMessage::Cancel { .. } => "work_cancel",
            WorkMessage::Release { .. } => "work_release",
        }
    }
}
