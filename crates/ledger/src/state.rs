//! The replicated state of the ledger.

use crate::command::{
    Begin, Claim, Finish, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey,
};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};
use silversail_model::Outcome;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of expired records that one command removes, to bound its cost.
const MAX_PRUNED_PER_COMMAND: usize = 8;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ClaimedCall {
    stage: u16,
    attempt: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    digest: [u8; 32],
    owner: Owner,
    epoch: u64,
    claims: Vec<ClaimedCall>,
    outcome: Option<RecordedOutcome>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Ownership {
    granted_at_ms: u64,
    epoch: u64,
    key: RequestKey,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct ReplicatedState {
    records: BTreeMap<RequestKey, Record>,
    /// Ownerships in the order of their start times, oldest first.
    ownerships: VecDeque<Ownership>,
    /// Latest time in any command, in milliseconds since the Unix epoch.
    latest_ms: u64,
    next_epoch: u64,
}

/// State machine of a ledger group.
#[derive(Debug)]
pub struct LedgerState {
    replicated: ReplicatedState,
    retention_ms: u64,
}

impl LedgerState {
    /// Creates an empty ledger that retains each record for `retention_ms` milliseconds after its
    /// ownership was granted. This must be well above the longest request deadline.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            replicated: ReplicatedState::default(),
            retention_ms,
        }
    }

    /// Number of records, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.replicated.records.len()
    }

    /// Whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.replicated.records.is_empty()
    }

    /// Applies a decoded command and returns its reply.
    pub fn apply_command(&mut self, command: LedgerCommand) -> LedgerReply {
        match command {
            LedgerCommand::Begin(begin) => self.begin(begin),
            LedgerCommand::Claim(claim) => self.claim(claim),
            LedgerCommand::Finish(finish) => self.finish(finish),
            LedgerCommand::Fence { begin, outcome } => self.fence(begin, outcome),
        }
    }

    fn begin(&mut self, begin: Begin) -> LedgerReply {
        self.prune(begin.now_ms);
        let Some(record) = self.replicated.records.get(&begin.key) else {
            return self.grant_ownership(begin);
        };
        if record.digest != begin.digest {
            return LedgerReply::Conflict;
        }
        if record.outcome.is_none() && record.owner == begin.owner {
            // The owner sent its command again.
            return LedgerReply::Granted {
                epoch: record.epoch,
            };
        }
        let may_acquire = match &record.outcome {
            // Copies of a request that were sent before the caller received the rejection stay
            // rejected; the token proves that the caller received it.
            Some(outcome) => {
                outcome.code.outcome() == Outcome::NotRun && begin.retry_token == Some(record.epoch)
            }
            None => begin.take_over == Some(record.epoch) && record.claims.is_empty(),
        };
        if may_acquire {
            return self.grant_ownership(begin);
        }
        status_reply(record)
    }

    fn grant_ownership(&mut self, begin: Begin) -> LedgerReply {
        self.replicated.next_epoch += 1;
        let epoch = self.replicated.next_epoch;
        let record = Record {
            digest: begin.digest,
            owner: begin.owner,
            epoch,
            claims: Vec::new(),
            outcome: None,
        };
        self.replicated.ownerships.push_back(Ownership {
            granted_at_ms: self.replicated.latest_ms,
            epoch,
            key: begin.key.clone(),
        });
        self.replicated.records.insert(begin.key, record);
        LedgerReply::Granted { epoch }
    }

    fn claim(&mut self, claim: Claim) -> LedgerReply {
        let Some(record) = self.active_record(&claim.key, claim.epoch) else {
            return LedgerReply::Superseded;
        };
        let call = ClaimedCall {
            stage: claim.stage,
            attempt: claim.attempt,
        };
        if !record.claims.contains(&call) {
            record.claims.push(call);
        }
        LedgerReply::Claimed
    }

    fn finish(&mut self, finish: Finish) -> LedgerReply {
        let Some(record) = self.replicated.records.get_mut(&finish.key) else {
            return LedgerReply::Superseded;
        };
        if record.epoch != finish.epoch {
            return status_reply(record);
        }
        if let Some(recorded) = &record.outcome {
            if *recorded != finish.outcome {
                return status_reply(record);
            }
            return LedgerReply::Finished {
                epoch: finish.epoch,
            };
        }
        record.outcome = Some(finish.outcome);
        LedgerReply::Finished {
            epoch: finish.epoch,
        }
    }

    fn fence(&mut self, begin: Begin, outcome: RecordedOutcome) -> LedgerReply {
        let key = begin.key.clone();
        match self.begin(begin) {
            LedgerReply::Granted { epoch } => self.finish(Finish {
                key,
                epoch,
                outcome,
            }),
            other => other,
        }
    }

    fn active_record(&mut self, key: &RequestKey, epoch: u64) -> Option<&mut Record> {
        self.replicated
            .records
            .get_mut(key)
            .filter(|record| record.epoch == epoch && record.outcome.is_none())
    }

    fn prune(&mut self, now_ms: u64) {
        self.replicated.latest_ms = self.replicated.latest_ms.max(now_ms);
        let retention_start_ms = self.replicated.latest_ms.saturating_sub(self.retention_ms);
        for _ in 0..MAX_PRUNED_PER_COMMAND {
            match self.replicated.ownerships.front() {
                Some(ownership) if ownership.granted_at_ms < retention_start_ms => {}
                _ => return,
            }
            if let Some(ownership) = self.replicated.ownerships.pop_front() {
                self.remove_expired(&ownership);
            }
        }
    }

    fn remove_expired(&mut self, ownership: &Ownership) {
        let is_latest = self
            .replicated
            .records
            .get(&ownership.key)
            .is_some_and(|record| record.epoch == ownership.epoch);
        if is_latest {
            self.replicated.records.remove(&ownership.key);
        }
    }
}

fn status_reply(record: &Record) -> LedgerReply {
    match &record.outcome {
        Some(outcome) => LedgerReply::AlreadyFinished {
            outcome: outcome.clone(),
            epoch: record.epoch,
        },
        None => LedgerReply::InProgress {
            owner: record.owner.clone(),
            epoch: record.epoch,
            claimed: !record.claims.is_empty(),
        },
    }
}

impl StateMachine for LedgerState {
    fn apply(&mut self, _index: Index, command: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => LedgerReply::Malformed,
        };
        postcard::to_stdvec(&reply).expect("encoding into memory does not fail")
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.replicated).expect("encoding into memory does not fail")
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        match postcard::from_bytes(snapshot) {
            Ok(replicated) => {
                self.replicated = replicated;
                true
            }
            Err(_) => false,
        }
    }
}
