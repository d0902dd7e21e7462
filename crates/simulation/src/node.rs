//! The process of one simulated node: the daemon's actors on a `Stakker` of their
//! own, so that each process can be frozen or crash alone.

use crate::backends::{SimulatedBackends, SimulatedCalls};
use crate::disk::{SharedDisk, SimulatedWriter};
use crate::network::{SharedNetwork, SimulatedTransport};
use silversail_consensus::{Millis, ReplicaId};
use silversail_daemon::actors::{ActorBuilder, ActorContext, NodeActors, OpenedReplica, Platform};
use silversail_daemon::calls::{OrderSender, StageCalls};
use silversail_daemon::clock::Clock;
use silversail_daemon::metrics::Metrics;
use silversail_daemon::outbox::Outbox;
use silversail_daemon::session::SharedNodeState;
use silversail_daemon::{NodeError, Settings};
use silversail_decisions::DecisionLog;
use silversail_peer::GroupId;
use silversail_serving::notices::BackendNotices;
use stakker::Stakker;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time of day at the start of virtual time, in milliseconds since the Unix epoch.
const START_TIME_OF_DAY_MS: u64 = 1_700_000_000_000;

/// Parts of a node that outlive a restart of its process.
#[derive(Clone)]
pub struct NodeParts {
    /// Settings with which the process starts.
    pub settings: Arc<Settings>,
    /// Disks by replication group; empty on nodes that do not vote.
    pub disks: BTreeMap<GroupId, SharedDisk>,
    /// Network to the other nodes.
    pub network: SharedNetwork,
    /// Simulated back ends that the node calls.
    pub backends: Rc<RefCell<SimulatedBackends>>,
    /// Whether the node only replicates control state and serves no requests.
    pub is_hollow: bool,
}

/// A running process of a simulated node.
pub struct NodeProcess {
    /// Runtime of the actors.
    pub stakker: Stakker,
    /// Actors of the daemon.
    pub actors: NodeActors,
    /// State that the actors share.
    pub state: SharedNodeState,
    /// Clock of the process.
    pub clock: Clock,
}

/// Disks and calls of a simulated node.
struct SimulatedPlatform<'a> {
    parts: &'a NodeParts,
    seed: u64,
}

impl Platform for SimulatedPlatform<'_> {
    fn open_replica(&mut self, group: GroupId) -> Result<OpenedReplica, NodeError> {
        let new_identity = ReplicaId(self.seed());
        let disk = self.parts.disks[&group].clone();
        let identity = *disk.borrow_mut().identity.get_or_insert(new_identity);
        let stored = disk.borrow().stored_state();
        Ok(OpenedReplica {
            identity,
            stored,
            writer: Box::new(SimulatedWriter(disk)),
        })
    }

    fn seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005) + 1;
        self.seed
    }

    fn calls(&self) -> Option<Box<dyn StageCalls>> {
        let calls = SimulatedCalls(self.parts.backends.clone());
        (!self.parts.is_hollow).then(|| Box::new(calls) as Box<dyn StageCalls>)
    }

    fn order_sender(&self) -> Option<Box<dyn OrderSender>> {
        None
    }
}

impl NodeProcess {
    /// Starts a process at `now`; `epoch` is the instant of time zero.
    pub fn start(parts: &NodeParts, epoch: Instant, now: Millis, seed: u64) -> Self {
        let start = epoch + Duration::from_millis(now);
        let metrics = Arc::new(Metrics::new());
        let settings = &parts.settings;
        let topology = settings.topology().expect("a valid topology");
        let topology = Arc::new(topology);
        let loopback = parts.network.clone();
        let node = settings.node.clone();
        let outbox = Outbox::new(
            settings.cluster.name.clone(),
            settings.node.clone(),
            now + 1,
            Box::new(SimulatedTransport(parts.network.clone())),
            Box::new(move |envelope| {
                loopback.borrow_mut().send(node.clone(), envelope);
            }),
            metrics.clone(),
        )
        .with_topology(topology.clone());
        let clock = Clock::at(start, START_TIME_OF_DAY_MS + now);
        let directory = settings.directory(topology.clone(), now + 1, clock.millis(start));
        let context = ActorContext {
            settings: settings.clone(),
            topology,
            outbox: Rc::new(RefCell::new(outbox)),
            state: SharedNodeState::default(),
            metrics,
            log: DecisionLog::disabled(),
            stage_notices: BackendNotices::new(DecisionLog::disabled()),
            clock,
            directory: Rc::new(RefCell::new(directory)),
        };
        let mut stakker = Stakker::new(start);
        let mut platform = SimulatedPlatform { parts, seed };
        let actors = ActorBuilder::new(&mut stakker, context.clone(), &mut platform)
            .build()
            .expect("simulated disks open");
        Self {
            stakker,
            actors,
            state: context.state,
            clock: context.clock,
        }
    }

    /// Ends the process at `now`. The runtime frees dropped actors only when it
    /// runs once more.
    pub fn stop(self, now: Instant) {
        let Self {
            mut stakker,
            actors,
            ..
        } = self;
        drop(actors);
        stakker.run(now, false);
    }
}
