//! Where streams began: service, software version and tenant, by the caller's attempt and by the
//! fingerprint of the request. What two versions write does not fit together, so that a stream that
//! a caller takes up goes on at the version that began it.
//!
//! The node that serves a stream sends a record to some holders, chosen by a hash of the fingerprint
//! that is the same on all nodes. Records are in memory only and last as long as the caller's tries
//! can.

use crate::Millis;
use sha2::{Digest, Sha256};
use silversail_model::{NodeName, RequestFingerprint};
use silversail_peer::{BegunStream, StreamKey, StreamOrigin};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Number of nodes that hold a record besides the one that served the stream, in different zones as
/// far as possible.
pub const HOLDERS: usize = 3;
/// Maximum number of nodes among which the holders are chosen. Bounds the connections of a node.
const MAX_HOLDER_CANDIDATES: usize = 48;
/// Maximum number of records of one tenant.
const MAX_RECORDS_PER_TENANT: usize = 8_192;
/// Maximum number of records.
const MAX_RECORDS: usize = 32_768;
/// Maximum lifetime of a record in milliseconds; callers do not wait longer for one request.
const MAX_LIFETIME: Millis = 120_000;
/// Maximum length of an attempt's identifier that is recorded, in bytes.
pub const MAX_ATTEMPT_BYTES: usize = 128;

/// A node that may hold records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Name of the node.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: String,
}

/// The nodes that may hold records; the same on all nodes with the same view.
#[derive(Clone, Debug, Default)]
pub struct HolderRing {
    candidates: Vec<HolderCandidate>,
}

impl HolderRing {
    /// Chooses the candidates among the usable nodes.
    pub fn new(mut nodes: Vec<HolderCandidate>) -> Self {
        nodes.sort_by_cached_key(|candidate| rank(None, &candidate.node));
        nodes.truncate(MAX_HOLDER_CANDIDATES);
        Self { candidates: nodes }
    }

    /// Nodes that hold the records of a request: the highest ranked one of each zone first.
    pub fn holders_of(&self, fingerprint: &RequestFingerprint) -> Vec<NodeName> {
        let mut ranked: Vec<&HolderCandidate> = self.candidates.iter().collect();
        ranked.sort_by_cached_key(|candidate| rank(Some(fingerprint), &candidate.node));
        let mut zones = BTreeSet::new();
        let (firsts, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|candidate| zones.insert(candidate.zone.as_str()));
        let in_order = firsts.into_iter().chain(others);
        in_order
            .take(HOLDERS)
            .map(|candidate| candidate.node.clone())
            .collect()
    }

    /// All candidates.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeName> {
        self.candidates.iter().map(|candidate| &candidate.node)
    }
}

/// Rank of a node for a request. The hash is the same in all builds.
fn rank(fingerprint: Option<&RequestFingerprint>, node: &NodeName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(fingerprint.map_or_else(String::new, RequestFingerprint::to_string));
    hasher.update([0]);
    hasher.update(node.as_str().as_bytes());
    hasher.finalize().into()
}

struct Record {
    origin: StreamOrigin,
    fingerprint: RequestFingerprint,
    expires_at: Millis,
}

/// Records of this node. Times are in milliseconds of the local clock.
#[derive(Default)]
pub struct StreamOrigins {
    by_attempt: HashMap<String, Record>,
    /// Attempts by the fingerprint of their request.
    by_fingerprint: HashMap<RequestFingerprint, BTreeSet<String>>,
    by_expiry: BTreeSet<(Millis, String)>,
    per_tenant: BTreeMap<Option<String>, usize>,
}

impl StreamOrigins {
    /// Adds a record. A stream has one beginning: a record that exists is kept.
    pub fn insert(&mut self, begun: BegunStream, now: Millis) {
        self.remove_expired(now);
        let of_tenant = self.per_tenant.get(&begun.origin.tenant);
        let is_full = self.by_attempt.len() >= MAX_RECORDS
            || of_tenant.is_some_and(|records| *records >= MAX_RECORDS_PER_TENANT);
        let is_unusable = begun.attempt.len() > MAX_ATTEMPT_BYTES;
        if is_full || is_unusable || self.by_attempt.contains_key(&begun.attempt) {
            return;
        }
        let expires_at = now + begun.lifetime_ms.min(MAX_LIFETIME);
        *self
            .per_tenant
            .entry(begun.origin.tenant.clone())
            .or_default() += 1;
        self.by_expiry.insert((expires_at, begun.attempt.clone()));
        let attempts = self.by_fingerprint.entry(begun.fingerprint).or_default();
        attempts.insert(begun.attempt.clone());
        let record = Record {
            origin: begun.origin,
            fingerprint: begun.fingerprint,
            expires_at,
        };
        self.by_attempt.insert(begun.attempt, record);
    }

    /// Where a stream began, if this node knows. For a caller that does not name the attempt, all
    /// streams of its request must have begun at the same version.
    pub fn get(&self, key: &StreamKey, now: Millis) -> Option<&StreamOrigin> {
        if let Some(attempt) = &key.attempt {
            return self.of_attempt(attempt, now);
        }
        let attempts = self.by_fingerprint.get(&key.fingerprint)?;
        let mut origins = attempts
            .iter()
            .filter_map(|attempt| self.of_attempt(attempt, now));
        let first = origins.next()?;
        origins.all(|other| other == first).then_some(first)
    }

    fn of_attempt(&self, attempt: &str, now: Millis) -> Option<&StreamOrigin> {
        let record = self.by_attempt.get(attempt)?;
        (now < record.expires_at).then_some(&record.origin)
    }

    /// Number of records, including those that expired since the last one was added.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((expires_at, _)) = self.by_expiry.first() {
            if *expires_at > now {
                return;
            }
            let Some((_, attempt)) = self.by_expiry.pop_first() else {
                return;
            };
            if let Some(record) = self.by_attempt.remove(&attempt) {
                self.forget_for_tenant(&record.origin.tenant);
                self.forget_fingerprint(&record.fingerprint, &attempt);
            }
        }
    }

    fn forget_fingerprint(&mut self, fingerprint: &RequestFingerprint, attempt: &str) {
        let Some(attempts) = self.by_fingerprint.get_mut(fingerprint) else {
            return;
        };
        attempts.remove(attempt);
        if attempts.is_empty() {
            self.by_fingerprint.remove(fingerprint);
        }
    }

    fn forget_for_tenant(&mut self, tenant: &Option<String>) {
        let Some(records) = self.per_tenant.get_mut(tenant) else {
            return;
        };
        *records -= 1;
        if *records == 0 {
            self.per_tenant.remove(tenant);
        }
    }
}
