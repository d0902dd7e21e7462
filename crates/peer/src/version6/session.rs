//! Sessions between nodes and relays: reports without rollouts and quarantine, lists of back ends
//! without names and versions.

use crate::backend_list::BackendListVersion;
use crate::backend_list_update::{BackendListUpdate, EarlierListUpdate};
use crate::message::{SessionHeartbeat, SessionMessage, SessionReply};
use serde::{Deserialize, Serialize};
use silversail_consensus::Millis;
use silversail_control::traffic_update::EarlierTrafficUpdate;
use silversail_control::{
    BatchOwners, ConfigurationUpdate, EvacuationRevision, MachineState, NodeReport,
    SharedEvacuations, TrafficUpdate, ViewUpdate, ViewVersion,
};
use silversail_model::shard::ShardScope;
use silversail_model::{NodeName, Revision, Shard, TrafficVersion};

#[derive(Serialize, Deserialize)]
pub(super) struct NodeReport6 {
    node: NodeName,
    incarnation: u64,
    zone: String,
    caller_address: String,
    processor_percent: u16,
    withdrawn: bool,
    serving: bool,
    revision: Option<Revision>,
    traffic: Option<TrafficVersion>,
    evacuations: Option<EvacuationRevision>,
    machines: Vec<MachineState>,
}

impl From<&NodeReport> for NodeReport6 {
    fn from(report: &NodeReport) -> Self {
        Self {
            node: report.node.clone(),
            incarnation: report.incarnation,
            zone: report.zone.clone(),
            caller_address: report.caller_address.clone(),
            processor_percent: report.processor_percent,
            withdrawn: report.withdrawn,
            serving: report.serving,
            revision: report.revision,
            traffic: report.traffic,
            evacuations: report.evacuations,
            machines: report.machines.clone(),
        }
    }
}

impl From<NodeReport6> for NodeReport {
    fn from(report: NodeReport6) -> Self {
        Self {
            node: report.node,
            incarnation: report.incarnation,
            zone: report.zone,
            caller_address: report.caller_address,
            processor_percent: report.processor_percent,
            withdrawn: report.withdrawn,
            serving: report.serving,
            revision: report.revision,
            traffic: report.traffic,
            evacuations: report.evacuations,
            rollouts: None,
            evidence: Vec::new(),
            quarantine: None,
            crashes: Vec::new(),
            completed_requests: Vec::new(),
            machines: report.machines,
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(super) struct Heartbeat6 {
    sent_at: Millis,
    report: NodeReport6,
    view: ViewVersion,
    backend_list: Option<BackendListVersion>,
}

#[derive(Serialize, Deserialize)]
pub(super) struct Reply6 {
    incarnation: u64,
    echo: Millis,
    age: Option<Millis>,
    revision: Revision,
    update: Option<ConfigurationUpdate>,
    traffic_version: Option<TrafficVersion>,
    traffic: Option<EarlierTrafficUpdate>,
    evacuations_revision: EvacuationRevision,
    evacuations: Option<SharedEvacuations>,
    view: Option<Box<ViewUpdate>>,
    backend_list_age: Option<(BackendListVersion, Millis)>,
    backend_list: Option<EarlierListUpdate>,
}

impl Reply6 {
    fn from_current(reply: &SessionReply) -> Option<Self> {
        let traffic = match &reply.traffic {
            Some(update) => Some(update.to_earlier()?),
            None => None,
        };
        let backend_list = match &reply.backend_list {
            Some(update) => Some(update.to_earlier()?),
            None => None,
        };
        let view = reply.view.as_ref();
        Some(Self {
            incarnation: reply.incarnation,
            echo: reply.echo,
            age: reply.age,
            revision: reply.revision,
            update: reply.update.clone(),
            traffic_version: reply.traffic_version,
            traffic,
            evacuations_revision: reply.evacuations_revision,
            evacuations: reply.evacuations.clone(),
            view: view.map(|view| Box::new(view_to_earlier(view))),
            backend_list_age: reply.backend_list_age,
            backend_list,
        })
    }

    /// The earlier build has no rollouts and no quarantine: an empty state of each is confirmed.
    fn into_current(self) -> Option<SessionReply> {
        let traffic = match self.traffic {
            Some(update) => Some(TrafficUpdate::from_earlier(update)?),
            None => None,
        };
        let backend_list = match self.backend_list {
            Some(update) => Some(BackendListUpdate::from_earlier(update)?),
            None => None,
        };
        Some(SessionReply {
            incarnation: self.incarnation,
            echo: self.echo,
            age: self.age,
            revision: self.revision,
            update: self.update,
            traffic_version: self.traffic_version,
            traffic,
            evacuations_revision: self.evacuations_revision,
            evacuations: self.evacuations,
            rollouts_revision: 0,
            rollouts: Some(Default::default()),
            quarantine_revision: 0,
            quarantine: Some(Default::default()),
            view: self.view,
            backend_list_age: self.backend_list_age,
            backend_list,
        })
    }
}

#[derive(Serialize, Deserialize)]
pub(super) enum SessionMessage6 {
    Heartbeat(Heartbeat6),
    Reply(Box<Reply6>),
    PushConfiguration(ConfigurationUpdate),
    PushTraffic(EarlierTrafficUpdate),
    PushEvacuations(SharedEvacuations),
    BackendList(EarlierListUpdate),
    BackendListConfirmed(BackendListVersion),
    Reports {
        reports: Vec<NodeReport6>,
        view: ViewVersion,
        backend_list: Option<BackendListVersion>,
    },
    View(ViewUpdate),
    PushView(ViewUpdate),
}

impl SessionMessage6 {
    pub(super) fn from_current(message: &SessionMessage) -> Option<Self> {
        Some(match message {
            SessionMessage::Heartbeat(heartbeat) => Self::Heartbeat(Heartbeat6 {
                sent_at: heartbeat.sent_at,
                report: (&heartbeat.report).into(),
                view: heartbeat.view,
                backend_list: heartbeat.backend_list,
            }),
            SessionMessage::Reply(reply) => Self::Reply(Box::new(Reply6::from_current(reply)?)),
            SessionMessage::PushConfiguration(update) => Self::PushConfiguration(update.clone()),
            SessionMessage::PushTraffic(update) => Self::PushTraffic(update.to_earlier()?),
            SessionMessage::PushEvacuations(evacuations) => {
                Self::PushEvacuations(evacuations.clone())
            }
            SessionMessage::PushRollouts(_) | SessionMessage::PushQuarantine(_) => return None,
            SessionMessage::BackendList(update) => Self::BackendList(update.to_earlier()?),
            SessionMessage::BackendListConfirmed(version) => Self::BackendListConfirmed(*version),
            SessionMessage::Reports {
                reports,
                view,
                backend_list,
            } => Self::Reports {
                reports: reports.iter().map(NodeReport6::from).collect(),
                view: *view,
                backend_list: *backend_list,
            },
            SessionMessage::View(update) => Self::View(view_to_earlier(update)),
            SessionMessage::PushView(update) => Self::PushView(view_to_earlier(update)),
        })
    }

    pub(super) fn into_current(self) -> Option<SessionMessage> {
        Some(match self {
            Self::Heartbeat(heartbeat) => SessionMessage::Heartbeat(SessionHeartbeat {
                sent_at: heartbeat.sent_at,
                report: heartbeat.report.into(),
                view: heartbeat.view,
                backend_list: heartbeat.backend_list,
            }),
            Self::Reply(reply) => SessionMessage::Reply(Box::new(reply.into_current()?)),
            Self::PushConfiguration(update) => SessionMessage::PushConfiguration(update),
            Self::PushTraffic(update) => {
                SessionMessage::PushTraffic(TrafficUpdate::from_earlier(update)?)
            }
            Self::PushEvacuations(evacuations) => SessionMessage::PushEvacuations(evacuations),
            Self::BackendList(update) => {
                SessionMessage::BackendList(BackendListUpdate::from_earlier(update)?)
            }
            Self::BackendListConfirmed(version) => SessionMessage::BackendListConfirmed(version),
            Self::Reports {
                reports,
                view,
                backend_list,
            } => SessionMessage::Reports {
                reports: reports.into_iter().map(NodeReport::from).collect(),
                view,
                backend_list,
            },
            Self::View(update) => SessionMessage::View(update),
            Self::PushView(update) => SessionMessage::PushView(update),
        })
    }
}

/// A view with one shard for each zone in place of those of regions, which version 6 lacks. The
/// owner of a region batches for each of its zones.
fn view_to_earlier(update: &ViewUpdate) -> ViewUpdate {
    let owners = update.batch_owners.as_ref();
    ViewUpdate {
        batch_owners: owners.map(|owners| owners.iter().flat_map(zone_shards).collect()),
        ..update.clone()
    }
}

fn zone_shards((shard, owner): (&Shard, &NodeName)) -> BatchOwners {
    match &shard.scope {
        ShardScope::Region { zones, .. } => zones
            .iter()
            .map(|zone| (Shard::in_zone(&shard.service, zone), owner.clone()))
            .collect(),
        ShardScope::All | ShardScope::Zone(_) => [(shard.clone(), owner.clone())].into(),
    }
}
