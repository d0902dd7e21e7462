//! Compares policies by which nodes resume sending to engines after a back-off period: immediately,
//! spread over time, after a probe, or both. Simulates nodes with the real backend selection in front
//! of engines that reject requests because of a burst of load or regardless of their load.
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
/// Requests beyond its slots that an engine queues before it rejects others.
const QUEUE_LENGTH: u32 = 8;
/// Mean processing time of a request, in milliseconds.
const MEAN_SERVICE_MS: f64 = 300.0;
/// Back-off period that engines advertise with a rejection.
const BACKOFF: Duration = Duration::from_secs(3);
/// Start and end of the fault, in milliseconds.
const FAULT_PERIOD_MS: std::ops::Range<u64> = 4_000..10_000;
/// Duration of a simulation, in milliseconds.
const DURATION_MS: u64 = 20_000;
/// Response time within which an answer counts as in time, in milliseconds.
const OBJECTIVE_MS: u64 = 1_000;
/// Maximum number of attempts of a request.
const MAX_SENDS: usize = 3;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// The load exceeds the capacity of the engines.
    Burst,
    /// Five engines reject all requests regardless of their load.
    Shedding,
}

/// How nodes and engines handle back-off.
#[derive(Clone, Copy)]
struct Variant {
    resume_policy: ResumePolicy,
    /// Whether a back-off period that one node receives applies to all nodes.
    is_shared: bool,
    /// Whether engines advertise a back-off period with a rejection.
    advertises_backoff: bool,
}

#[derive(Default)]
struct Engine {
    /// End of each request in flight, in milliseconds.
    end_times: Vec<u64>,
}

#[derive(Default)]
struct Totals {
    requests: u32,
    in_time: u32,
    rejected: u32,
    /// Rejections within 10 s after the fault.
    rejected_after_fault: u32,
    sends: u32,
    response_times_ms: Vec<u64>,
}

struct Simulation {
    fault: Fault,
    advertises_backoff: bool,
    nodes: Vec<InstanceTable>,
    engines: Vec<Engine>,
    topology: Topology,
    random: ChaCha8Rng,
    totals: Totals,
    /// Node, engine and arrival of the requests in flight, by their end.
    requests_by_end: BTreeMap<u64, Vec<(usize, usize, u64)>>,
}

fn engine_id(engine: usize) -> String {
    format!("e{engine}")
}

fn list_entry(engine: usize) -> BackendListEntry {
    BackendListEntry {
        id: engine_id(engine),
        name: engine_id(engine),
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

impl Simulation {
    fn new(fault: Fault, nodes: usize, variant: Variant, seed: u64) -> Self {
        let shared_notices = BackendNotices::new(DecisionLog::disabled());
        let list: Vec<BackendListEntry> = (0..ENGINES).map(list_entry).collect();
        let names: Vec<String> = (0..nodes).map(|node| format!("n{node}")).collect();
        let create_table = |node: &String| {
            let own_notices = || BackendNotices::new(DecisionLog::disabled());
            let notices = if variant.is_shared {
                shared_notices.clone()
            } else {
                own_notices()
            };
            let mut table = InstanceTable::with_notices(notices, DecisionLog::disabled());
            table.set_senders(node, names.clone());
            table.set_resume_policy(variant.resume_policy);
            table.replace_list(&list);
            table
        };
        Self {
            fault,
            advertises_backoff: variant.advertises_backoff,
            nodes: names.iter().map(create_table).collect(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            topology: Topology::new("a", BTreeMap::new(), RoundTrips::default()).expect("valid"),
            random: ChaCha8Rng::seed_from_u64(seed),
            totals: Totals::default(),
            requests_by_end: BTreeMap::new(),
        }
    }

    fn run(mut self) -> Totals {
        let capacity = ENGINES as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS;
        for now in 0..DURATION_MS {
            for (node, engine, arrived_at) in self.requests_by_end.remove(&now).unwrap_or_default()
            {
                self.finish_request(node, engine, arrived_at, now);
            }
            let is_burst = self.fault == Fault::Burst && FAULT_PERIOD_MS.contains(&now);
            let load = if is_burst { 1.6 } else { 0.7 };
            let mut expected_arrivals = capacity * load;
            while expected_arrivals > 0.0 {
                if self.random.gen::<f64>() < expected_arrivals.min(1.0) {
                    let node = self.random.gen_range(0..self.nodes.len());
                    self.send_request(node, now);
                }
                expected_arrivals -= 1.0;
            }
        }
        self.totals
    }

    fn send_request(&mut self, node: usize, now: u64) {
        self.totals.requests += 1;
        let mut tried = Vec::new();
        let regions = RegionFilter::any();
        while tried.len() < MAX_SENDS {
            let request = SelectionRequest {
                service: "pool",
                versions: VersionChoice::Any,
                version: None,
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
            let selected = select(&self.nodes[node], &request, now);
            let Some(id) = selected.map(|backend| backend.listed.id.clone()) else {
                return;
            };
            let engine: usize = id[1..].parse().expect("a number");
            self.totals.sends += 1;
            self.nodes[node].record_sent(&id, 1, now);
            if self.accepts(engine, now) {
                let service_ms = -MEAN_SERVICE_MS * (1.0 - self.random.gen::<f64>()).ln();
                self.start_request(node, engine, service_ms as u64 + 1, now);
                return;
            }
            self.reject_request(node, engine, now);
            tried.push(id);
        }
    }

    fn accepts(&self, engine: usize, now: u64) -> bool {
        let is_shedding =
            self.fault == Fault::Shedding && engine < 5 && FAULT_PERIOD_MS.contains(&now);
        !is_shedding && (self.engines[engine].end_times.len() as u32) < SLOTS + QUEUE_LENGTH
    }

    /// Starts a request, after an earlier one has ended if all slots are occupied.
    fn start_request(&mut self, node: usize, engine: usize, service_ms: u64, now: u64) {
        let end_times = &mut self.engines[engine].end_times;
        let is_queued = end_times.len() >= SLOTS as usize;
        let mut sorted = end_times.clone();
        sorted.sort_unstable();
        let begins_at = match is_queued {
            true => sorted[end_times.len() - SLOTS as usize],
            false => now,
        };
        let end = begins_at.max(now) + service_ms;
        end_times.push(end);
        self.requests_by_end
            .entry(end)
            .or_default()
            .push((node, engine, now));
    }

    fn reported_load(&self, engine: usize) -> ReportedLoad {
        let requests = self.engines[engine].end_times.len() as u32;
        ReportedLoad {
            running: requests.min(SLOTS),
            waiting: requests.saturating_sub(SLOTS),
            slots: SLOTS,
            processing_time: RelativeProcessingTime::NORMAL,
        }
    }

    fn reject_request(&mut self, node: usize, engine: usize, now: u64) {
        self.totals.rejected += 1;
        if (FAULT_PERIOD_MS.end..FAULT_PERIOD_MS.end + 10_000).contains(&now) {
            self.totals.rejected_after_fault += 1;
        }
        let load = self.reported_load(engine);
        let id = engine_id(engine);
        let table = &mut self.nodes[node];
        let report = SelfReport {
            load: Some(load),
            backoff: self.advertises_backoff.then_some(BACKOFF),
            ..SelfReport::default()
        };
        table
            .notices()
            .record_report(&id, ExchangeKind::Request, &report, now);
        table.record_ended(&id, 1);
        table.record_load(&id, load, now);
        table.record_full(&id, now);
    }

    fn finish_request(&mut self, node: usize, engine: usize, arrived_at: u64, now: u64) {
        let end_times = &mut self.engines[engine].end_times;
        if let Some(position) = end_times.iter().position(|end| *end == now) {
            end_times.swap_remove(position);
        }
        let load = self.reported_load(engine);
        let id = engine_id(engine);
        let table = &mut self.nodes[node];
        let report = SelfReport::default();
        table
            .notices()
            .record_report(&id, ExchangeKind::Request, &report, now);
        table.record_ended(&id, 1);
        table.record_load(&id, load, now);
        table.record_answer(&id);
        let response_ms = now - arrived_at;
        self.totals.response_times_ms.push(response_ms);
        if response_ms <= OBJECTIVE_MS {
            self.totals.in_time += 1;
        }
    }
}

const fn variant(
    first_alone: bool,
    spread: f64,
    is_shared: bool,
    advertises_backoff: bool,
) -> Variant {
    Variant {
        resume_policy: ResumePolicy {
            first_alone,
            spread,
        },
        is_shared,
        advertises_backoff,
    }
}

const VARIANTS: [Variant; 9] = [
    variant(false, 0.0, false, true),
    variant(false, 0.5, false, true),
    variant(false, 1.0, false, true),
    variant(true, 0.0, false, true),
    variant(true, 0.25, false, true),
    variant(true, 0.5, false, true),
    variant(true, 1.0, false, true),
    variant(true, 1.0, true, true),
    variant(true, 1.0, false, false),
];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seeds: u64 = seeds.unwrap_or(20);
    println!(
        "fault, nodes, probe first, spread, shared, back-off advertised: \
         in time, rejected, rejected in the 10 s after, sends per request, p90 ms"
    );
    for (name, fault) in [("burst", Fault::Burst), ("shedding", Fault::Shedding)] {
        for nodes in [10, 90] {
            for variant in VARIANTS {
                print_variant(name, fault, nodes, variant, seeds);
            }
        }
    }
}

fn print_variant(name: &str, fault: Fault, nodes: usize, variant: Variant, seeds: u64) {
    let mut total = Totals::default();
    for seed in 0..seeds {
        let run = Simulation::new(fault, nodes, variant, seed).run();
        total.requests += run.requests;
        total.in_time += run.in_time;
        total.rejected += run.rejected;
        total.rejected_after_fault += run.rejected_after_fault;
        total.sends += run.sends;
        total.response_times_ms.extend(run.response_times_ms);
    }
    total.response_times_ms.sort_unstable();
    let p90 = total.response_times_ms[total.response_times_ms.len() * 9 / 10];
    let requests = f64::from(total.requests);
    let ResumePolicy {
        first_alone,
        spread,
    } = variant.resume_policy;
    let Variant {
        is_shared,
        advertises_backoff,
        ..
    } = variant;
    println!(
        "{name:8} {nodes:3} {first_alone:5} {spread:4} {is_shared:5} {advertises_backoff:5}: {:.4} {:8.1} {:8.1} {:.3} {p90}",
        f64::from(total.in_time) / requests,
        f64::from(total.rejected) / seeds as f64,
        f64::from(total.rejected_after_fault) / seeds as f64,
        f64::from(total.sends) / requests,
    );
}
