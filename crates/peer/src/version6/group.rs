//! Messages of replication groups. Their structure is the same; the commands and snapshots of the
//! control group that they carry differ.

use crate::message::{FormationMessage, GroupId, GroupMessage};
use silversail_consensus::{Entry, Message, MessageBody, Payload, Snapshot};
use silversail_control::earlier_builds::{convert_command, convert_snapshot};

/// Converts what a message carries; `None` if version 6 has no form of it. What an earlier build
/// sends needs no conversion, as the state machine applies both forms.
pub(super) fn to_earlier(group: GroupId, message: &GroupMessage) -> Option<GroupMessage> {
    if group != GroupId::Control {
        return Some(message.clone());
    }
    Some(match message {
        GroupMessage::Consensus {
            cluster_id,
            message,
        } => GroupMessage::Consensus {
            cluster_id: *cluster_id,
            message: Message {
                body: body_to_earlier(&message.body)?,
                ..message.clone()
            },
        },
        GroupMessage::Formation(message) => GroupMessage::Formation(formation_to_earlier(message)?),
        GroupMessage::Propose { proposal, command } => GroupMessage::Propose {
            proposal: *proposal,
            command: convert_command(command)?,
        },
        GroupMessage::ProposeReply { .. } => message.clone(),
    })
}

fn body_to_earlier(body: &MessageBody) -> Option<MessageBody> {
    Some(match body {
        MessageBody::Append {
            previous_index,
            previous_term,
            entries,
            commit_index,
            freshness,
        } => MessageBody::Append {
            previous_index: *previous_index,
            previous_term: *previous_term,
            entries: entries
                .iter()
                .map(entry_to_earlier)
                .collect::<Option<_>>()?,
            commit_index: *commit_index,
            freshness: *freshness,
        },
        MessageBody::InstallSnapshot { snapshot, round } => MessageBody::InstallSnapshot {
            snapshot: snapshot_to_earlier(snapshot)?,
            round: *round,
        },
        other => other.clone(),
    })
}

fn entry_to_earlier(entry: &Entry) -> Option<Entry> {
    let payload = match &entry.payload {
        Payload::Command(command) => Payload::Command(convert_command(command)?),
        other => other.clone(),
    };
    Some(Entry {
        payload,
        ..entry.clone()
    })
}

fn snapshot_to_earlier(snapshot: &Snapshot) -> Option<Snapshot> {
    if snapshot.data.is_empty() {
        return Some(snapshot.clone());
    }
    Some(Snapshot {
        meta: snapshot.meta.clone(),
        data: convert_snapshot(&snapshot.data)?,
    })
}

fn formation_to_earlier(message: &FormationMessage) -> Option<FormationMessage> {
    Some(match message {
        FormationMessage::Form(snapshot) => FormationMessage::Form(snapshot_to_earlier(snapshot)?),
        FormationMessage::ProbeReply { replica, formed } => FormationMessage::ProbeReply {
            replica: *replica,
            formed: match formed {
                Some(snapshot) => Some(snapshot_to_earlier(snapshot)?),
                None => None,
            },
        },
        other => other.clone(),
    })
}
