//! The replicated state of the ledger.

use crate::command::{
    Begin, Claim, Finish, LedgerCommand, LedgerReply, Owner, RecordedOutcome, RequestKey,
};
use serde::{Deserialize, Serialize};
use silversail_consensus::{Index, StateMachine};
use silversail_model::Outcome;
use std::collections::{BTreeMap, VecDeque};

/// How many outlived records are dropped at most with one command.
const PRUNE_PER_COMMAND: usize = 8;

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
struct Begun {
    at_ms: u64,
    epoch: u64,
    key: RequestKey,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Replicated {
    records: BTreeMap<RequestKey, Record>,
    /// When each ownership began, oldest first.
    begun: VecDeque<Begun>,
    /// Largest time seen in a command.
    latest_ms: u64,
    next_epoch: u64,
}

/// The state machine of one ledger group.
#[derive(Debug)]
pub struct LedgerState {
    replicated: Replicated,
    retention_ms: u64,
}

impl LedgerState {
    /// An empty ledger that keeps records for `retention_ms` from their begin,
    /// which must be well above the longest deadline.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            replicated: Replicated::default(),
            retention_ms,
        }
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.replicated.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.replicated.records.is_empty()
    }

    /// Applies one command.
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
            return self.grant(begin);
        };
        if record.digest != begin.digest {
            return LedgerReply::Conflict;
        }
        if record.outcome.is_none() && record.owner == begin.owner {
            // A resend of the owner's own command.
            return LedgerReply::Granted {
                epoch: record.epoch,
            };
        }
        let may_take = match &record.outcome {
            // A refused key stays refused for copies that were sent before the
            // refusal was seen; only the token proves that it was seen.
            Some(outcome) => {
                outcome.code.outcome() == Outcome::NotRun && begin.retry_token == Some(record.epoch)
            }
            None => begin.take_over == Some(record.epoch) && record.claims.is_empty(),
        };
        if may_take {
            return self.grant(begin);
        }
        record_status(record)
    }

    fn grant(&mut self, begin: Begin) -> LedgerReply {
        self.replicated.next_epoch += 1;
        let epoch = self.replicated.next_epoch;
        let record = Record {
            digest: begin.digest,
            owner: begin.owner,
            epoch,
            claims: Vec::new(),
            outcome: None,
        };
        self.replicated.begun.push_back(Begun {
            at_ms: self.replicated.latest_ms,
            epoch,
            key: begin.key.clone(),
        });
        self.replicated.records.insert(begin.key, record);
        LedgerReply::Granted { epoch }
    }

    fn claim(&mut self, claim: Claim) -> LedgerReply {
        let Some(record) = self.owned(&claim.key, claim.epoch) else {
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
            return record_status(record);
        }
        if let Some(kept) = &record.outcome {
            if *kept != finish.outcome {
                return record_status(record);
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

    fn owned(&mut self, key: &RequestKey, epoch: u64) -> Option<&mut Record> {
        self.replicated
            .records
            .get_mut(key)
            .filter(|record| record.epoch == epoch && record.outcome.is_none())
    }

    fn prune(&mut self, now_ms: u64) {
        self.replicated.latest_ms = self.replicated.latest_ms.max(now_ms);
        let oldest_kept = self.replicated.latest_ms.saturating_sub(self.retention_ms);
        for _ in 0..PRUNE_PER_COMMAND {
            match self.replicated.begun.front() {
                Some(begun) if begun.at_ms < oldest_kept => {}
                _ => return,
            }
            if let Some(begun) = self.replicated.begun.pop_front() {
                self.drop_outlived(&begun);
            }
        }
    }

    fn drop_outlived(&mut self, begun: &Begun) {
        let is_latest = self
            .replicated
            .records
            .get(&begun.key)
            .is_some_and(|record| record.epoch == begun.epoch);
        if is_latest {
            self.replicated.records.remove(&begun.key);
        }
    }
}

fn record_status(record: &Record) -> LedgerReply {
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
