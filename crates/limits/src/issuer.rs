//! The permit issuer of a back end: one node that distributes the limit over all nodes.

use crate::messages::{
    KnownLimit, LimitAnnouncement, LimitState, PermitGrant, PermitRequest, Serial,
};
use crate::pool::effective_per_second;
use crate::Millis;
use silversail_model::{NodeName, RequestRate};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Time in which a new issuer grants no permits, in milliseconds: the previous issuer may still
/// act on an older view, and its permits may still be in use.
const TAKEOVER_DELAY: Millis = 1_500;
/// Token bucket capacity, in milliseconds of the rate. Bounds what is granted at once after a time
/// without requests.
const BURST_MS: f64 = 50.0;
/// How long a permit request stays valid unless it is repeated, in milliseconds.
const REQUEST_LIFETIME: Millis = 2_500;
/// Interval between increases of the rate while a limit is lifted, in milliseconds. The gradual
/// increase prevents a burst of the waiting requests.
const INCREASE_INTERVAL: Millis = 500;
/// Number of initial increases that double the rate; after them the limit is lifted unless
/// requests still wait.
const DOUBLING_INCREASES: i32 = 6;
/// Factor of each further increase, until no request waits.
const LATER_INCREASE_FACTOR: f64 = 1.25;
/// Maximum number of increases, which bounds the computed rate.
const MAX_INCREASES: Millis = 100;
/// How long an account is kept after its last request, in milliseconds.
const ACCOUNT_LIFETIME: Millis = 60_000;
/// Gap between the highest known serial and the first of a new issuer, which covers serials of
/// the previous issuer that are not known.
const TAKEOVER_SERIAL_GAP: Serial = 1 << 20;

/// The permit issuer of a back end: the node with the highest rendezvous hash. None without
/// nodes.
pub fn issuer_of<'a>(nodes: impl Iterator<Item = &'a str>, backend: &str) -> Option<&'a str> {
    let rank = |node: &str| {
        let mut hasher = DefaultHasher::new();
        ("permit_issuer", node, backend).hash(&mut hasher);
        hasher.finish()
    };
    nodes.max_by_key(|node| (rank(node), *node))
}

/// Outstanding permits of one node.
#[derive(Debug)]
struct WaitingNode {
    node: NodeName,
    wanted: u32,
    asked_at: Millis,
    /// The node's local time of the request, which the grant echoes.
    request_sent_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Limited,
    /// An answer carried no limit: the rate increases until the limit is lifted.
    Recovering {
        since: Millis,
        lifted_serial: Serial,
    },
}

/// State of the permits of one back end.
#[derive(Debug)]
struct Account {
    limit: KnownLimit,
    phase: Phase,
    next_serial: Serial,
    /// Tokens of the bucket: permits that can be granted now.
    available: f64,
    refilled_at: Millis,
    /// Nodes in round-robin order of their next permit.
    waiting: VecDeque<WaitingNode>,
    asked_at: Millis,
    /// Whether the limit must be announced to all nodes.
    needs_announcement: bool,
}

impl Account {
    fn new(request: &PermitRequest, now: Millis) -> Self {
        let known = request.highest_serial.max(request.limit.serial);
        Self {
            limit: request.limit,
            phase: Phase::Limited,
            next_serial: known + TAKEOVER_SERIAL_GAP,
            available: 0.0,
            refilled_at: now + TAKEOVER_DELAY,
            waiting: VecDeque::new(),
            asked_at: now,
            needs_announcement: true,
        }
    }

    fn per_second(&self, now: Millis) -> f64 {
        let limit_per_second = effective_per_second(self.limit.rate);
        match self.phase {
            Phase::Limited => limit_per_second,
            Phase::Recovering { since, .. } => {
                let increases = now.saturating_sub(since) / INCREASE_INTERVAL;
                let increases = 1 + increases.min(MAX_INCREASES) as i32;
                let later = (increases - DOUBLING_INCREASES).max(0);
                limit_per_second
                    * 2_f64.powi(increases.min(DOUBLING_INCREASES))
                    * LATER_INCREASE_FACTOR.powi(later)
            }
        }
    }

    /// Serial of the permit whose answer carried no limit, once the initial increases are complete
    /// and no node waits.
    fn limit_lifted_serial(&self, now: Millis) -> Option<Serial> {
        match self.phase {
            Phase::Limited => None,
            Phase::Recovering {
                since,
                lifted_serial,
            } => {
                let doubling_ms = INCREASE_INTERVAL * DOUBLING_INCREASES as Millis;
                let has_doubled = now.saturating_sub(since) >= doubling_ms;
                (has_doubled && self.waiting.is_empty()).then_some(lifted_serial)
            }
        }
    }

    fn refill(&mut self, now: Millis) {
        let per_second = self.per_second(now);
        let passed = now.saturating_sub(self.refilled_at) as f64;
        let capacity = (per_second * BURST_MS / 1_000.0).max(1.0);
        self.available = (self.available + per_second * passed / 1_000.0).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Merges the limit that a node reported.
    fn merge_report(&mut self, request: &PermitRequest, now: Millis) {
        let reported = request.limit;
        self.next_serial = self.next_serial.max(reported.serial + 1);
        if reported.replaces(&self.limit) {
            self.refill(now);
            self.limit = reported;
            let is_reimposed = match self.phase {
                Phase::Limited => true,
                Phase::Recovering { lifted_serial, .. } => reported.serial > lifted_serial,
            };
            if is_reimposed {
                self.needs_announcement |= self.phase != Phase::Limited;
                self.phase = Phase::Limited;
            }
        }
        if request.limit_lifted_serial > self.limit.serial && self.phase == Phase::Limited {
            self.refill(now);
            self.phase = Phase::Recovering {
                since: now,
                lifted_serial: request.limit_lifted_serial,
            };
        }
    }

    /// Sets the number of permits that a node waits for; its queue position is kept.
    fn set_wanted(&mut self, node: &NodeName, request: &PermitRequest, now: Millis) {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.node == *node);
        let waiting = WaitingNode {
            node: node.clone(),
            wanted: request.wanted,
            asked_at: now,
            request_sent_at: request.sent_at,
        };
        match position {
            Some(position) if request.wanted == 0 => {
                self.waiting.remove(position);
            }
            Some(position) => self.waiting[position] = waiting,
            None if request.wanted == 0 => {}
            None => self.waiting.push_back(waiting),
        }
    }

    /// Milliseconds until the last outstanding permit of a node under round-robin; 0 if it waits
    /// for none.
    fn wait_ms(&self, node: &NodeName, now: Millis) -> Millis {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.node == *node);
        let Some(position) = position else {
            return 0;
        };
        let wanted = self.waiting[position].wanted;
        let before = self.waiting.iter().enumerate().map(|(other, waiting)| {
            let rounds = if other <= position {
                wanted
            } else {
                wanted - 1
            };
            u64::from(waiting.wanted.min(rounds))
        });
        let missing = (before.sum::<u64>() as f64 - self.available).max(0.0);
        let pause = self.refilled_at.saturating_sub(now);
        pause + (missing / self.per_second(now) * 1_000.0) as Millis
    }

    /// Grants the available permits to the waiting nodes in round-robin order.
    fn issue(&mut self, now: Millis) -> BTreeMap<NodeName, Issued> {
        self.refill(now);
        self.waiting
            .retain(|waiting| now.saturating_sub(waiting.asked_at) < REQUEST_LIFETIME);
        let mut granted: BTreeMap<NodeName, Issued> = BTreeMap::new();
        while self.available >= 1.0 {
            let Some(mut first) = self.waiting.pop_front() else {
                break;
            };
            self.available -= 1.0;
            let issued = granted.entry(first.node.clone()).or_default();
            issued.count += 1;
            issued.request_sent_at = first.request_sent_at;
            first.wanted -= 1;
            if first.wanted > 0 {
                self.waiting.push_back(first);
            }
        }
        granted
    }

    fn grant(&mut self, backend: &str, to: &NodeName, issued: Issued, now: Millis) -> PermitGrant {
        let first_serial = self.next_serial;
        self.next_serial += u64::from(issued.count);
        PermitGrant {
            backend: backend.to_owned(),
            state: LimitState::Limited(self.limit),
            first_serial,
            count: issued.count,
            wait_ms: self.wait_ms(to, now),
            request_sent_at: issued.request_sent_at,
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

/// Permits that are granted to one node in one message.
#[derive(Clone, Copy, Debug, Default)]
struct Issued {
    count: u32,
    request_sent_at: Millis,
}

/// A grant without permits that reports the limit as lifted.
fn lifted_grant(backend: &str, lifted_serial: Serial) -> PermitGrant {
    PermitGrant {
        backend: backend.to_owned(),
        state: LimitState::Lifted(lifted_serial),
        first_serial: 0,
        count: 0,
        wait_ms: 0,
        request_sent_at: 0,
    }
}

/// Issues the permits of all back ends whose issuer this node is.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    accounts: BTreeMap<String, Account>,
}

impl PermitIssuer {
    /// Handles a permit request of node `from`. Returns the grants to send, each with its receiver.
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
        account.merge_report(request, now);
        if let Some(lifted_serial) = account.limit_lifted_serial(now) {
            return vec![(from.clone(), lifted_grant(backend, lifted_serial))];
        }
        account.set_wanted(from, request, now);
        let issued = account.issue(now);
        let is_answered = issued.contains_key(from);
        let mut grants = account.grants(backend, issued, now);
        if request.wanted > 0 && !is_answered {
            let none = Issued {
                count: 0,
                request_sent_at: request.sent_at,
            };
            grants.push((from.clone(), account.grant(backend, from, none, now)));
        }
        grants
    }

    /// Grants the permits that became available since the last call, each with its receiver.
    pub fn issue_due(&mut self, now: Millis) -> Vec<(NodeName, PermitGrant)> {
        self.accounts
            .retain(|_, account| now.saturating_sub(account.asked_at) < ACCOUNT_LIFETIME);
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

    /// Returns the limits that must be announced to all nodes, each once.
    pub fn take_announcements(&mut self) -> Vec<LimitAnnouncement> {
        let accounts = self.accounts.iter_mut();
        let announcements = accounts.filter_map(|(backend, account)| {
            std::mem::take(&mut account.needs_announcement).then(|| LimitAnnouncement {
                backend: backend.clone(),
                limit: account.limit,
            })
        });
        announcements.collect()
    }

    /// Whether any node waits for permits.
    pub fn has_waiting(&self) -> bool {
        self.accounts
            .values()
            .any(|account| !account.waiting.is_empty())
    }

    /// Drops the accounts of back ends whose issuer this node no longer is.
    pub fn keep_only(&mut self, is_issuer_of: impl Fn(&str) -> bool) {
        self.accounts.retain(|backend, _| is_issuer_of(backend));
    }

    /// The limits by which permits are issued, each with the identifier of its back end.
    pub fn limits(&self) -> impl Iterator<Item = (&str, RequestRate)> {
        let accounts = self.accounts.iter();
        accounts.map(|(backend, account)| (backend.as_str(), account.limit.rate))
    }
}
