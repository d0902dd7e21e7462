//! The node that issues the permits of a back end.

use crate::messages::{
    KnownLimit, LimitAnnouncement, LimitState, PermitGrant, PermitRequest, Serial,
};
use crate::pool::effective_per_second;
use crate::Millis;
use silversail_model::{NodeName, RequestRate};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// How long a node that issues for a back end for the first time gives nothing, in milliseconds:
/// another one may still issue by an older view, and its permits may still be used.
const TAKEOVER_PAUSE: Millis = 1_500;
/// What is given at once at most after a time in which nobody asked, in milliseconds of the rate.
const BURST: f64 = 50.0;
/// How long a request for permits counts that is not repeated, in milliseconds.
const WANTED_FOR: Millis = 2_500;
/// Once a limit is over, the rate rises this often, in milliseconds: what waited must not come at
/// once.
const RISES_EVERY: Millis = 500;
/// The first rises double the rate; then the back end counts as any other, unless requests still
/// wait.
const DOUBLINGS: i32 = 6;
/// Each further rise, until nobody waits.
const LATER_RISE: f64 = 1.25;
/// Rises at the most: more than any rate needs.
const MOST_RISES: Millis = 100;
/// How long an account is kept of which nobody asks, in milliseconds.
const KEPT_FOR: Millis = 60_000;
/// Distance to the serials of an issuer before, which are not all known.
const SERIALS_SKIPPED: Serial = 1 << 20;

/// The node that issues the permits of a back end: the first by rendezvous rank.
pub fn issuer_of<'a>(nodes: impl Iterator<Item = &'a str>, backend: &str) -> Option<&'a str> {
    let rank = |node: &str| {
        let mut hasher = DefaultHasher::new();
        ("permit_issuer", node, backend).hash(&mut hasher);
        hasher.finish()
    };
    nodes.max_by_key(|node| (rank(node), *node))
}

/// Permits that one node waits for.
#[derive(Debug)]
struct Waiting {
    node: NodeName,
    wanted: u32,
    asked_at: Millis,
    /// The node's own clock when it asked.
    echo: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Limited,
    /// An answer named no limit: the rate rises until the limit is over.
    Recovering {
        since: Millis,
        by: Serial,
    },
}

/// What is issued for one back end.
#[derive(Debug)]
struct Account {
    limit: KnownLimit,
    phase: Phase,
    next_serial: Serial,
    /// Permits that may be given now.
    available: f64,
    filled_at: Millis,
    /// In the order in which they get their next permit.
    waiting: VecDeque<Waiting>,
    asked_at: Millis,
    /// Whether all nodes are to be told of the limit.
    is_news: bool,
}

impl Account {
    fn new(request: &PermitRequest, now: Millis) -> Self {
        let known = request.highest.max(request.limit.serial);
        Self {
            limit: request.limit,
            phase: Phase::Limited,
            next_serial: known + SERIALS_SKIPPED,
            available: 0.0,
            filled_at: now + TAKEOVER_PAUSE,
            waiting: VecDeque::new(),
            asked_at: now,
            is_news: true,
        }
    }

    fn per_second(&self, now: Millis) -> f64 {
        let named = effective_per_second(self.limit.rate);
        match self.phase {
            Phase::Limited => named,
            Phase::Recovering { since, .. } => {
                let rises = now.saturating_sub(since) / RISES_EVERY;
                let rises = 1 + rises.min(MOST_RISES) as i32;
                let later = (rises - DOUBLINGS).max(0);
                named * 2_f64.powi(rises.min(DOUBLINGS)) * LATER_RISE.powi(later)
            }
        }
    }

    /// The permit that showed the limit to be over, once the rate has risen so far that nobody
    /// waits.
    fn over_by(&self, now: Millis) -> Option<Serial> {
        match self.phase {
            Phase::Limited => None,
            Phase::Recovering { since, by } => {
                let risen_for = RISES_EVERY * DOUBLINGS as Millis;
                let has_risen = now.saturating_sub(since) >= risen_for;
                (has_risen && self.waiting.is_empty()).then_some(by)
            }
        }
    }

    fn fill(&mut self, now: Millis) {
        let per_second = self.per_second(now);
        let passed = now.saturating_sub(self.filled_at) as f64;
        let most = (per_second * BURST / 1_000.0).max(1.0);
        self.available = (self.available + per_second * passed / 1_000.0).min(most);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes what a node knows of the limit.
    fn hear(&mut self, request: &PermitRequest, now: Millis) {
        let told = request.limit;
        self.next_serial = self.next_serial.max(told.serial + 1);
        if told.replaces(&self.limit) {
            self.fill(now);
            self.limit = told;
            let is_named_again = match self.phase {
                Phase::Limited => true,
                Phase::Recovering { by, .. } => told.serial > by,
            };
            if is_named_again {
                self.is_news |= self.phase != Phase::Limited;
                self.phase = Phase::Limited;
            }
        }
        if request.lifted_by > self.limit.serial && self.phase == Phase::Limited {
            self.fill(now);
            self.phase = Phase::Recovering {
                since: now,
                by: request.lifted_by,
            };
        }
    }

    /// Takes how many permits a node waits for, in the place that it has in the queue.
    fn set_wanted(&mut self, node: &NodeName, request: &PermitRequest, now: Millis) {
        let known = self.waiting.iter().position(|one| one.node == *node);
        let waiting = Waiting {
            node: node.clone(),
            wanted: request.wanted,
            asked_at: now,
            echo: request.sent_at,
        };
        match known {
            Some(place) if request.wanted == 0 => {
                self.waiting.remove(place);
            }
            Some(place) => self.waiting[place] = waiting,
            None if request.wanted == 0 => {}
            None => self.waiting.push_back(waiting),
        }
    }

    /// Milliseconds until the last permit that a node waits for, as one node after the other gets
    /// one; 0 where it waits for none.
    fn wait_ms(&self, node: &NodeName, now: Millis) -> Millis {
        let place = self.waiting.iter().position(|one| one.node == *node);
        let Some(place) = place else {
            return 0;
        };
        let own = self.waiting[place].wanted;
        let before = self.waiting.iter().enumerate().map(|(other, one)| {
            let rounds = if other <= place { own } else { own - 1 };
            u64::from(one.wanted.min(rounds))
        });
        let missing = (before.sum::<u64>() as f64 - self.available).max(0.0);
        let pause = self.filled_at.saturating_sub(now);
        pause + (missing / self.per_second(now) * 1_000.0) as Millis
    }

    /// Gives what may be given now, to one node after the other.
    fn issue(&mut self, now: Millis) -> BTreeMap<NodeName, Issued> {
        self.fill(now);
        self.waiting
            .retain(|one| now.saturating_sub(one.asked_at) < WANTED_FOR);
        let mut given: BTreeMap<NodeName, Issued> = BTreeMap::new();
        while self.available >= 1.0 {
            let Some(mut first) = self.waiting.pop_front() else {
                break;
            };
            self.available -= 1.0;
            let issued = given.entry(first.node.clone()).or_default();
            issued.count += 1;
            issued.echo = first.echo;
            first.wanted -= 1;
            if first.wanted > 0 {
                self.waiting.push_back(first);
            }
        }
        given
    }

    fn grant(&mut self, backend: &str, to: &NodeName, issued: Issued, now: Millis) -> PermitGrant {
        let first = self.next_serial;
        self.next_serial += u64::from(issued.count);
        PermitGrant {
            backend: backend.to_owned(),
            state: LimitState::Limited(self.limit),
            first,
            count: issued.count,
            wait_ms: self.wait_ms(to, now),
            echo: issued.echo,
        }
    }

    fn grants(
        &mut self,
        backend: &str,
        issued: BTreeMap<NodeName, Issued>,
        now: Millis,
    ) -> Vec<(NodeName, PermitGrant)> {
        let issued = issued.into_iter();
        issued
            .map(|(node, issued)| {
                let grant = self.grant(backend, &node, issued, now);
                (node, grant)
            })
            .collect()
    }
}

/// Permits that one node gets at once.
#[derive(Clone, Copy, Debug, Default)]
struct Issued {
    count: u32,
    echo: Millis,
}

/// Tells a node that a limit is over.
fn lifted(backend: &str, by: Serial) -> PermitGrant {
    PermitGrant {
        backend: backend.to_owned(),
        state: LimitState::Lifted(by),
        first: 0,
        count: 0,
        wait_ms: 0,
        echo: 0,
    }
}

/// Issues the permits of the back ends that this node is the issuer of.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    accounts: BTreeMap<String, Account>,
}

impl PermitIssuer {
    /// A node asks for permits or tells what it knows. Returns what is to be sent, to whom.
    pub fn handle_request(
        &mut self,
        from: &NodeName,
        request: &PermitRequest,
        now: Millis,
    ) -> Vec<(NodeName, PermitGrant)> {
        let backend = &request.backend;
        let account = self
            .accounts
            .entry(backend.clone())
            .or_insert_with(|| Account::new(request, now));
        account.asked_at = now;
        account.hear(request, now);
        if let Some(by) = account.over_by(now) {
            return vec![(from.clone(), lifted(backend, by))];
        }
        account.set_wanted(from, request, now);
        let issued = account.issue(now);
        let is_answered = issued.contains_key(from);
        let mut grants = account.grants(backend, issued, now);
        if request.wanted > 0 && !is_answered {
            let none = Issued {
                count: 0,
                echo: request.sent_at,
            };
            grants.push((from.clone(), account.grant(backend, from, none, now)));
        }
        grants
    }

    /// What is to be given now, to whom.
    pub fn issue_due(&mut self, now: Millis) -> Vec<(NodeName, PermitGrant)> {
        self.accounts
            .retain(|_, account| now.saturating_sub(account.asked_at) < KEPT_FOR);
        let mut grants = Vec::new();
        for (backend, account) in &mut self.accounts {
            if account.waiting.is_empty() {
                continue;
            }
            let issued = account.issue(now);
            grants.extend(account.grants(backend, issued, now));
        }
        grants
    }

    /// The limits that all nodes are to be told of, each once.
    pub fn take_announcements(&mut self) -> Vec<LimitAnnouncement> {
        let accounts = self.accounts.iter_mut();
        let news = accounts.filter_map(|(backend, account)| {
            std::mem::take(&mut account.is_news).then(|| LimitAnnouncement {
                backend: backend.clone(),
                limit: account.limit,
            })
        });
        news.collect()
    }

    /// Whether nodes wait for permits.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|one| !one.waiting.is_empty())
    }

    /// Gives up the back ends of which this node is no issuer any more.
    pub fn keep_only(&mut self, is_issuer_of: impl Fn(&str) -> bool) {
        self.accounts.retain(|backend, _| is_issuer_of(backend));
    }

    /// The limits that it issues permits by, by back end.
    pub fn limits(&self) -> impl Iterator<Item = (&str, RequestRate)> {
        let accounts = self.accounts.iter();
        accounts.map(|(backend, account)| (backend.as_str(), account.limit.rate))
    }
}
