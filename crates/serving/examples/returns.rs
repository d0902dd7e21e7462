//! How nodes had better come back to engines that asked them for rest: all at once, spread, one
//! request first, or both. A model of nodes that choose by the product's own selection before
//! engines that turn requests away while they are full, amid a burst, or for a while whatever
//! their load.
//!
//! `cargo run --release -p silversail-serving --example returns [SEEDS]`

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_decisions::DecisionLog;
use silversail_model::topology::{RegionFilter, RoundTrips};
use silversail_model::Topology;
use silversail_peer::BackendListEntry;
use silversail_serving::cold::ColdBackendPolicy;
use silversail_serving::instances::{InstanceTable, ResumePolicy};
use silversail_serving::notices::{BackendNotices, ExchangeKind};
use silversail_serving::ports::{RelativeProcessingTime, ReportedLoad, SelfReport};
use silversail_serving::regions::{RegionAffinity, SharedPrefixCost};
use silversail_serving::rollouts::VersionChoice;
use silversail_serving::selection::{select, SelectionRequest};
use std::collections::BTreeMap;
use std::time::Duration;

const ENGINES: usize = 18;
const SLOTS: u32 = 16;
/// Requests beyond its slots that an engine takes before it turns others away.
const QUEUE: u32 = 8;
/// Mean time that an engine works on a request, in milliseconds.
const WORK_MS: f64 = 300.0;
const REST: Duration = Duration::from_secs(3);
/// Time of the trouble, in milliseconds.
const TROUBLE: std::ops::Range<u64> = 4_000..10_000;
const END: u64 = 20_000;
/// An answer within this time is in time, in milliseconds.
const OBJECTIVE: u64 = 1_000;
const MOST_SENDS: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    /// Twice the load that the engines carry.
    Burst,
    /// Five engines turn all away, whatever their load.
    Shedding,
}

/// How nodes take what engines ask for.
#[derive(Clone, Copy)]
struct Way {
    returns: ResumePolicy,
    /// Whether a rest that one node was asked for counts at all of them.
    told_to_all: bool,
    /// Whether engines that turn a request away ask for rest.
    asks: bool,
}

#[derive(Default)]
struct Engine {
    /// When each request under way ends.
    ends: Vec<u64>,
}

#[derive(Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    turned_away: u32,
    turned_away_after: u32,
    sends: u32,
    times: Vec<u64>,
}

struct Model {
    trouble: Trouble,
    asks: bool,
    nodes: Vec<InstanceTable>,
    engines: Vec<Engine>,
    topology: Topology,
    random: ChaCha8Rng,
    tally: Tally,
    /// Ends of requests by time: node, engine, arrival.
    ending: BTreeMap<u64, Vec<(usize, usize, u64)>>,
}

fn id_of(engine: usize) -> String {
    format!("e{engine}")
}

fn listed(engine: usize) -> BackendListEntry {
    BackendListEntry {
        id: id_of(engine),
        name: id_of(engine),
        service: "pool".into(),
        address: format!("e{engine}:80"),
        zone: "a".into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        cold: false,
        started_at_ms: None,
    }
}

impl Model {
    fn new(trouble: Trouble, nodes: usize, way: Way, seed: u64) -> Self {
        let all = BackendNotices::new(DecisionLog::disabled());
        let list: Vec<BackendListEntry> = (0..ENGINES).map(listed).collect();
        let names: Vec<String> = (0..nodes).map(|node| format!("n{node}")).collect();
        let table = |own: &String| {
            let own_notices = || BackendNotices::new(DecisionLog::disabled());
            let notices = if way.told_to_all {
                all.clone()
            } else {
                own_notices()
            };
            let mut table = InstanceTable::with_notices(notices, DecisionLog::disabled());
            table.set_senders(own, names.clone());
            table.set_resume_policy(way.returns);
            table.replace_list(&list);
            table
        };
        Self {
            trouble,
            asks: way.asks,
            nodes: names.iter().map(table).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            topology: Topology::new("a", BTreeMap::new(), RoundTrips::default()).expect("valid"),
            random: ChaCha8Rng::seed_from_u64(seed),
            tally: Tally::default(),
            ending: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Tally {
        let capacity = ENGINES as f64 * f64::from(SLOTS) / WORK_MS;
        for now in 0..END {
            for (node, engine, arrived) in self.ending.remove(&now).unwrap_or_default() {
                self.end(node, engine, arrived, now);
            }
            let is_burst = self.trouble == Trouble::Burst && TROUBLE.contains(&now);
            let load = if is_burst { 1.6 } else { 0.7 };
            let mut due = capacity * load;
            while due > 0.0 {
                if self.random.gen::<f64>() < due.min(1.0) {
                    let node = self.random.gen_range(0..self.nodes.len());
                    self.ask(node, now);
                }
                due -= 1.0;
            }
        }
        self.tally
    }

    fn ask(&mut self, node: usize, now: u64) {
        self.tally.asked += 1;
        let mut tried = Vec::new();
        let regions = RegionFilter::any();
        while tried.len() < MOST_SENDS {
            let request = SelectionRequest {
                service: "pool",
                versions: VersionChoice::Any,
                topology: &self.topology,
                regions: &regions,
                region_affinity: RegionAffinity::Off,
                affinity: None,
                shared_prompt: SharedPrefixCost::default(),
                inputs: &[],
                tried: &tried,
                cold_use: ColdBackendPolicy::Unlimited,
                random_seed: 0,
            };
            let chosen = select(&self.nodes[node], &request, now);
            let Some(id) = chosen.map(|one| one.listed.id.clone()) else {
                return;
            };
            let engine: usize = id[1..].parse().expect("a number");
            self.tally.sends += 1;
            self.nodes[node].record_sent(&id, 1, now);
            if self.takes(engine, now) {
                let work = -WORK_MS * (1.0 - self.random.gen::<f64>()).ln();
                self.work(node, engine, work as u64 + 1, now);
                return;
            }
            self.turn_away(node, engine, now);
            tried.push(id);
        }
    }

    fn takes(&self, engine: usize, now: u64) -> bool {
        let sheds = self.trouble == Trouble::Shedding && engine < 5 && TROUBLE.contains(&now);
        !sheds && (self.engines[engine].ends.len() as u32) < SLOTS + QUEUE
    }

    /// A request begins once one of those before it has ended, where all slots are taken.
    fn work(&mut self, node: usize, engine: usize, work: u64, now: u64) {
        let ends = &mut self.engines[engine].ends;
        let waits = ends.len() >= SLOTS as usize;
        let mut sorted = ends.clone();
        sorted.sort_unstable();
        let begins = match waits {
            true => sorted[ends.len() - SLOTS as usize],
            false => now,
        };
        let end = begins.max(now) + work;
        ends.push(end);
        self.ending
            .entry(end)
            .or_default()
            .push((node, engine, now));
    }

    fn load_of(&self, engine: usize) -> ReportedLoad {
        let all = self.engines[engine].ends.len() as u32;
        ReportedLoad {
            running: all.min(SLOTS),
            waiting: all.saturating_sub(SLOTS),
            slots: SLOTS,
            processing_time: RelativeProcessingTime::NORMAL,
        }
    }

    fn turn_away(&mut self, node: usize, engine: usize, now: u64) {
        self.tally.turned_away += 1;
        if (TROUBLE.end..TROUBLE.end + 10_000).contains(&now) {
            self.tally.turned_away_after += 1;
        }
        let load = self.load_of(engine);
        let id = id_of(engine);
        let table = &mut self.nodes[node];
        let said = SelfReport {
            load: Some(load),
            backoff: self.asks.then_some(REST),
            ..SelfReport::default()
        };
        table
            .notices()
            .record_report(&id, ExchangeKind::Request, &said, now);
        table.record_ended(&id, 1);
        table.record_load(&id, load, now);
        table.record_full(&id, now);
    }

    fn end(&mut self, node: usize, engine: usize, arrived: u64, now: u64) {
        let ends = &mut self.engines[engine].ends;
        if let Some(position) = ends.iter().position(|end| *end == now) {
            ends.swap_remove(position);
        }
        let load = self.load_of(engine);
        let id = id_of(engine);
        let table = &mut self.nodes[node];
        let said = SelfReport::default();
        table
            .notices()
            .record_report(&id, ExchangeKind::Request, &said, now);
        table.record_ended(&id, 1);
        table.record_load(&id, load, now);
        table.record_answer(&id);
        let took = now - arrived;
        self.tally.times.push(took);
        if took <= OBJECTIVE {
            self.tally.in_time += 1;
        }
    }
}

const fn way(first_alone: bool, spread: f64, told_to_all: bool, asks: bool) -> Way {
    Way {
        returns: ResumePolicy {
            first_alone,
            spread,
        },
        told_to_all,
        asks,
    }
}

const WAYS: [Way; 9] = [
    way(false, 0.0, false, true),
    way(false, 0.5, false, true),
    way(false, 1.0, false, true),
    way(true, 0.0, false, true),
    way(true, 0.25, false, true),
    way(true, 0.5, false, true),
    way(true, 1.0, false, true),
    way(true, 1.0, true, true),
    way(true, 1.0, false, false),
];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds: u64 = seeds.unwrap_or(20);
    println!(
        "trouble, nodes, first alone, spread, told to all, asked: \
         in time, turned away, in the 10 s after, sends a request, p90 ms"
    );
    for (name, trouble) in [("burst", Trouble::Burst), ("shedding", Trouble::Shedding)] {
        for nodes in [10, 90] {
            for way in WAYS {
                print_way(name, trouble, nodes, way, seeds);
            }
        }
    }
}

fn print_way(name: &str, trouble: Trouble, nodes: usize, way: Way, seeds: u64) {
    let mut sum = Tally::default();
    for seed in 0..seeds {
        let one = Model::new(trouble, nodes, way, seed).run();
        sum.asked += one.asked;
        sum.in_time += one.in_time;
        sum.turned_away += one.turned_away;
        sum.turned_away_after += one.turned_away_after;
        sum.sends += one.sends;
        sum.times.extend(one.times);
    }
    sum.times.sort_unstable();
    let p90 = sum.times[sum.times.len() * 9 / 10];
    let asked = f64::from(sum.asked);
    let ResumePolicy {
        first_alone,
        spread,
    } = way.returns;
    let Way {
        told_to_all, asks, ..
    } = way;
    println!(
        "{name:8} {nodes:3} {first_alone:5} {spread:4} {told_to_all:5} {asks:5}: {:.4} {:8.1} {:8.1} {:.3} {p90}",
        f64::from(sum.in_time) / asked,
        f64::from(sum.turned_away) / seeds as f64,
        f64::from(sum.turned_away_after) / seeds as f64,
        f64::from(sum.sends) / asked,
    );
}
