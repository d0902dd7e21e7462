//! Lookups of where streams began, at other nodes: the holders first, then all that may hold
//! records, as nodes with another view choose other holders.

use crate::dispatcher::RequestNumber;
use crate::ports::SoleVersionEvidence;
use crate::Millis;
use silversail_model::NodeName;
use silversail_peer::{SeenVersions, StreamKey, StreamOrigin};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum wait for the holders, in milliseconds. A reply from another region takes 40.
pub const HOLDERS_TIMEOUT: Millis = 80;
/// Maximum wait for all other nodes, in milliseconds.
pub const ALL_TIMEOUT: Millis = 120;
/// Maximum number of streams that are looked up at the same time.
const MAX_LOOKUPS: usize = 1_024;

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The requests that wait for it.
    pub requests: Vec<RequestNumber>,
    /// Where the stream began; none if no reachable node knows.
    pub origin: Option<StreamOrigin>,
    /// What the nodes say of the versions of the service.
    pub sole_version: SoleVersionEvidence,
}

/// Nodes to ask where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The stream.
    pub key: StreamKey,
    /// Service at which it would go on.
    pub service: String,
    /// The nodes.
    pub nodes: Vec<NodeName>,
}

/// Next step of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupStep {
    /// Other nodes have to be asked.
    Ask(Question),
    /// The lookup ended.
    Ended(Resolved),
}

struct Lookup {
    service: String,
    sole_version: SoleVersionEvidence,
    /// Whether a node has seen several versions.
    is_disputed: bool,
    requests: Vec<RequestNumber>,
    unanswered: BTreeSet<NodeName>,
    /// Nodes to ask after the holders.
    others: Vec<NodeName>,
    ends_at: Millis,
}

impl Lookup {
    fn record_versions(&mut self, versions: SeenVersions) {
        match (versions, &self.sole_version) {
            (SeenVersions::Unsettled, _) => {}
            (SeenVersions::Sole(version), SoleVersionEvidence::Confirmed(known)) => {
                self.is_disputed |= version != *known;
            }
            (SeenVersions::Sole(version), _) => {
                self.sole_version = SoleVersionEvidence::Confirmed(version);
            }
            (SeenVersions::Several, _) => self.is_disputed = true,
        }
    }
}

/// Open lookups.
#[derive(Default)]
pub struct OriginLookups {
    by_key: BTreeMap<StreamKey, Lookup>,
}

impl OriginLookups {
    /// Whether no lookup is open.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Begins a lookup for a request, or joins an open one. `holders` are asked first, then
    /// `others`. Without a step the lookup goes on.
    pub fn begin(
        &mut self,
        key: &StreamKey,
        service: &str,
        number: RequestNumber,
        holders: Vec<NodeName>,
        others: Vec<NodeName>,
        now: Millis,
    ) -> Option<LookupStep> {
        if let Some(open) = self.by_key.get_mut(key) {
            open.requests.push(number);
            return None;
        }
        if self.by_key.len() >= MAX_LOOKUPS || (holders.is_empty() && others.is_empty()) {
            let is_alone = holders.is_empty() && others.is_empty();
            return Some(LookupStep::Ended(Resolved {
                requests: vec![number],
                origin: None,
                sole_version: match is_alone {
                    true => SoleVersionEvidence::NoPeers,
                    false => SoleVersionEvidence::Unconfirmed,
                },
            }));
        }
        let lookup = Lookup {
            service: service.to_owned(),
            sole_version: SoleVersionEvidence::default(),
            is_disputed: false,
            requests: vec![number],
            unanswered: holders.iter().cloned().collect(),
            others,
            ends_at: now + HOLDERS_TIMEOUT,
        };
        self.by_key.insert(key.clone(), lookup);
        match holders.is_empty() {
            true => self.advance(key, now),
            false => Some(ask(key, service, holders)),
        }
    }

    /// Records a reply.
    pub fn reply(
        &mut self,
        from: &NodeName,
        key: &StreamKey,
        origin: Option<StreamOrigin>,
        versions: SeenVersions,
        now: Millis,
    ) -> Option<LookupStep> {
        if origin.is_some() {
            return self.end(key, origin);
        }
        let lookup = self.by_key.get_mut(key)?;
        lookup.unanswered.remove(from);
        lookup.record_versions(versions);
        match lookup.unanswered.is_empty() {
            true => self.advance(key, now),
            false => None,
        }
    }

    /// Continues the lookups whose nodes did not reply in time.
    pub fn expire(&mut self, now: Millis) -> Vec<LookupStep> {
        let overdue = self
            .by_key
            .iter()
            .filter(|(_, lookup)| lookup.ends_at <= now);
        let overdue: Vec<StreamKey> = overdue.map(|(key, _)| key.clone()).collect();
        overdue
            .iter()
            .filter_map(|key| self.advance(key, now))
            .collect()
    }

    /// Removes a request whose caller disconnected.
    pub fn remove(&mut self, number: RequestNumber) {
        for lookup in self.by_key.values_mut() {
            lookup.requests.retain(|waiting| *waiting != number);
        }
        self.by_key.retain(|_, lookup| !lookup.requests.is_empty());
    }

    /// Asks the nodes that are left, or ends the lookup without a result.
    fn advance(&mut self, key: &StreamKey, now: Millis) -> Option<LookupStep> {
        let lookup = self.by_key.get_mut(key)?;
        let others = std::mem::take(&mut lookup.others);
        if others.is_empty() {
            return self.end(key, None);
        }
        lookup.unanswered = others.iter().cloned().collect();
        lookup.ends_at = now + ALL_TIMEOUT;
        let service = lookup.service.clone();
        Some(ask(key, &service, others))
    }

    fn end(&mut self, key: &StreamKey, origin: Option<StreamOrigin>) -> Option<LookupStep> {
        let lookup = self.by_key.remove(key)?;
        Some(LookupStep::Ended(Resolved {
            requests: lookup.requests,
            origin,
            sole_version: match lookup.is_disputed {
                true => SoleVersionEvidence::Unconfirmed,
                false => lookup.sole_version,
            },
        }))
    }
}

fn ask(key: &StreamKey, service: &str, nodes: Vec<NodeName>) -> LookupStep {
    LookupStep::Ask(Question {
        key: key.clone(),
        service: service.to_owned(),
        nodes,
    })
}
