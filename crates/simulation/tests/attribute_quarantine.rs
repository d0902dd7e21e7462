//! Guards against a slow verdict on an attribute that requests share: soon after its fifth crash all
//! nodes must refuse it, under faults, and nothing else.
//!
//! `QUARANTINE_SEEDS` sets the number of seeds of each case; `--nocapture` prints the times.

use rstest::rstest;
use silversail_model::{ContentDigest, RequestAttribute, RequestFingerprint, TenantScope};
use silversail_peer::GroupId;
use silversail_quarantine::{BackendGroup, InterruptedRequest};
use silversail_simulation::world::{NodeDiscovery, World, WorldSize};
use stakker::call;

const SIZE: WorldSize = WorldSize {
    nodes: 9,
    voters: 3,
    zones: 3,
    is_hollow: true,
    discovery: NodeDiscovery::StaticSettings,
};
const CRASHES: u64 = 5;
const CRASH_INTERVAL_MS: u64 = 500;
/// Longest time from the fifth crash until all nodes refuse the attribute, in milliseconds.
const MAX_DELAY_MS: u64 = 3_000;
/// Duration for which a leader is frozen or a node is cut off, in milliseconds.
const FAULT_MS: u64 = 3_000;
const WAIT_TIMEOUT_MS: u64 = 20_000;
/// Interval of answers to sound requests, in milliseconds.
const ANSWER_INTERVAL_MS: u64 = 50;
const DEFAULT_SEEDS: u64 = 8;

const GUILTY: RequestAttribute = RequestAttribute::PromptPart(0xbad);
const POPULAR: RequestAttribute = RequestAttribute::PromptPart(0xa1);

fn group() -> BackendGroup {
    BackendGroup {
        service: "pool".into(),
        version: "v1".into(),
    }
}

fn tenants() -> TenantScope {
    TenantScope::Only(Some("t1".into()))
}

fn seeds() -> u64 {
    let set = std::env::var("QUARANTINE_SEEDS").ok();
    set.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

/// Fault that is injected around the fifth crash.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// Loses a tenth of all messages from the first crash on.
    MessageLoss,
    /// Crashes a voter that is a relay and not the leader.
    RelayCrash,
    /// Crashes the leader right after the fifth crash.
    LeaderCrash,
    /// Freezes the leader.
    LeaderFreeze,
    /// Cuts the node off that reports the fifth crash.
    ReporterCut,
    /// Starts a node anew right after the fifth crash.
    NodeRestart,
}

struct Cluster {
    world: World,
    seed: u64,
    crashes: u64,
}

impl Cluster {
    fn start(seed: u64) -> Self {
        let mut world = World::new(seed, SIZE);
        world.run_for(4_000);
        assert!(world.leader(GroupId::Control).is_some(), "seed {seed}");
        Self {
            world,
            seed,
            crashes: 0,
        }
    }

    /// A back end crashes under a request with the guilty attribute and a sound one beside it, which
    /// other nodes sent.
    fn crash(&mut self) {
        self.crashes += 1;
        let reporter = self.reporter();
        self.interrupt(reporter, &[POPULAR, GUILTY]);
        self.interrupt((reporter + 1) % SIZE.nodes, &[POPULAR]);
    }

    fn reporter(&self) -> usize {
        SIZE.voters + ((self.seed + self.crashes) % (SIZE.nodes - SIZE.voters) as u64) as usize
    }

    fn interrupt(&mut self, position: usize, attributes: &[RequestAttribute]) {
        let instant = self.world.instant();
        let Some(node) = &self.world.nodes[position].process else {
            return;
        };
        let now = node.clock.millis(instant);
        let body = format!("{} {position}", self.crashes);
        let request = InterruptedRequest {
            fingerprint: RequestFingerprint::of(None, &ContentDigest::of("/x", body.as_bytes())),
            tenant: Some("t1".into()),
            attributes: attributes.to_vec(),
        };
        let backend = format!("e{}", self.crashes);
        node.state
            .borrow_mut()
            .attribute_reporter
            .record_crash(&backend, &group(), now, [request]);
        call!([node.actors.session], report_crash());
        self.world.wake(position);
    }

    /// Answers at one node after the other show that the popular attribute is sound.
    fn run_with_answers(&mut self, duration_ms: u64) {
        let end = self.world.now() + duration_ms;
        while self.world.now() < end {
            let position = (self.world.now() / ANSWER_INTERVAL_MS) as usize % SIZE.nodes;
            self.answer(position);
            self.world
                .run_for(ANSWER_INTERVAL_MS.min(end - self.world.now()));
        }
    }

    fn answer(&mut self, position: usize) {
        let instant = self.world.instant();
        let slot = &self.world.nodes[position];
        let Some(node) = slot
            .process
            .as_ref()
            .filter(|_| slot.frozen_until.is_none())
        else {
            return;
        };
        let now = node.clock.millis(instant);
        let is_due = {
            let reporter = &mut node.state.borrow_mut().attribute_reporter;
            reporter.record_answer(&group(), [POPULAR], now);
            reporter.is_answer_report_due(now)
        };
        if is_due {
            call!([node.actors.session], report_answers());
            self.world.wake(position);
        }
    }

    fn refused_at(&self, position: usize) -> Vec<RequestFingerprint> {
        let node = self.world.nodes[position].process.as_ref();
        let list = node.and_then(|node| node.state.borrow().quarantine.clone());
        list.map_or_else(Vec::new, |list| list.refused.iter().copied().collect())
    }

    fn runs(&self, position: usize) -> bool {
        let slot = &self.world.nodes[position];
        slot.process.is_some() && slot.frozen_until.is_none()
    }

    /// Waits until all running nodes refuse the guilty attribute; returns the time that it took.
    fn time_until_refused(&mut self) -> u64 {
        let guilty = RequestFingerprint::of_attribute("pool", &tenants(), &GUILTY);
        let began = self.world.now();
        while self.world.now() - began < WAIT_TIMEOUT_MS {
            let mut running = (0..SIZE.nodes).filter(|node| self.runs(*node));
            if running.all(|node| self.refused_at(node).contains(&guilty)) {
                return self.world.now() - began;
            }
            self.run_with_answers(10);
        }
        panic!("not refused on all nodes, seed {}", self.seed);
    }

    fn leader(&self) -> usize {
        self.world.leader(GroupId::Control).expect("a leader")
    }

    fn inject(&mut self, fault: InjectedFault) {
        let leader = self.leader();
        let reporter = self.reporter();
        match fault {
            InjectedFault::None => {}
            InjectedFault::MessageLoss => {
                self.world.network.borrow_mut().faults.loss_rate = 0.1;
            }
            InjectedFault::RelayCrash => {
                let mut voters = 0..SIZE.voters;
                let relay = voters.find(|voter| *voter != leader).expect("three");
                self.world.crash(relay);
            }
            InjectedFault::LeaderCrash => self.world.crash(leader),
            InjectedFault::LeaderFreeze => self.world.freeze(leader, FAULT_MS),
            InjectedFault::ReporterCut => self.set_isolated(reporter, true),
            InjectedFault::NodeRestart => {
                let other = SIZE.voters + (reporter + 1 - SIZE.voters) % (SIZE.nodes - SIZE.voters);
                self.world.crash(other);
                self.world.start(other);
            }
        }
    }

    fn set_isolated(&mut self, position: usize, is_isolated: bool) {
        let name = self.world.nodes[position].name.clone();
        let isolated_nodes = &mut self.world.network.borrow_mut().faults.isolated_nodes;
        match is_isolated {
            true => isolated_nodes.insert(name),
            false => isolated_nodes.remove(&name),
        };
    }
}

/// Time from the fifth crash, or the end of the fault if that is later, until all nodes refuse the
/// attribute.
fn time_to_verdict(seed: u64, fault: InjectedFault) -> u64 {
    let mut cluster = Cluster::start(seed);
    cluster.run_with_answers(1_000);
    if fault == InjectedFault::MessageLoss {
        cluster.inject(fault);
    }
    for _ in 1..CRASHES {
        cluster.crash();
        cluster.run_with_answers(CRASH_INTERVAL_MS + seed % 200);
    }
    cluster.crash();
    let mut since = cluster.world.now();
    if fault != InjectedFault::MessageLoss {
        cluster.inject(fault);
    }
    if fault == InjectedFault::ReporterCut {
        cluster.run_with_answers(FAULT_MS);
        cluster.set_isolated(cluster.reporter(), false);
        since = cluster.world.now();
    }
    cluster.time_until_refused();
    let time = cluster.world.now() - since;
    // Nothing else is refused, then or later.
    cluster.run_with_answers(3_000);
    for position in (0..SIZE.nodes).filter(|node| cluster.runs(*node)) {
        let refused = cluster.refused_at(position);
        assert_eq!(refused.len(), 1, "{fault:?}, seed {seed}, node {position}");
    }
    time
}

/// The bound is extended by the freeze of a leader, and doubled where an election comes first.
#[rstest]
#[case(InjectedFault::None, MAX_DELAY_MS)]
#[case(InjectedFault::MessageLoss, MAX_DELAY_MS)]
#[case(InjectedFault::RelayCrash, MAX_DELAY_MS)]
#[case(InjectedFault::LeaderCrash, 2 * MAX_DELAY_MS)]
#[case(InjectedFault::LeaderFreeze, FAULT_MS + MAX_DELAY_MS)]
#[case(InjectedFault::ReporterCut, MAX_DELAY_MS)]
#[case(InjectedFault::NodeRestart, MAX_DELAY_MS)]
fn all_nodes_refuse_an_attribute_soon_after_its_fifth_crash_and_nothing_else(
    #[case] fault: InjectedFault,
    #[case] bound: u64,
) {
    let mut times: Vec<u64> = (1..=seeds())
        .map(|seed| {
            let time = time_to_verdict(seed, fault);
            assert!(time <= bound, "{fault:?}, seed {seed}: {time} ms");
            time
        })
        .collect();
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "{fault:?}: median {median} ms, longest {longest} ms of {}",
        times.len()
    );
}
