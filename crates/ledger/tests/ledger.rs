//! Guarantees of the ledger: a single owner per key, claims fenced by epochs, recorded outcomes.

use silversail_consensus::StateMachine;
use silversail_ledger::{
    Begin, Claim, Finish, LedgerCommand, LedgerReply, LedgerState, Owner, RecordedOutcome,
    RequestKey,
};
use silversail_model::ResultCode;

const RETENTION_MS: u64 = 10_000;

fn key() -> RequestKey {
    RequestKey {
        tenant: "t".into(),
        key: "k".into(),
    }
}

fn begin(request: u64) -> Begin {
    Begin {
        key: key(),
        digest: [1; 32],
        owner: Owner {
            node: "n1".into(),
            incarnation: 1,
            request,
        },
        take_over: None,
        retry_token: None,
        now_ms: 1_000,
    }
}

fn recorded(code: ResultCode) -> RecordedOutcome {
    RecordedOutcome {
        code,
        body: vec![7],
    }
}

fn empty_ledger() -> LedgerState {
    LedgerState::new(RETENTION_MS)
}

fn acquire(ledger: &mut LedgerState, begin: Begin) -> u64 {
    match ledger.apply_command(LedgerCommand::Begin(begin)) {
        LedgerReply::Granted { epoch } => epoch,
        other => panic!("{other:?}"),
    }
}

fn claim(ledger: &mut LedgerState, epoch: u64) -> LedgerReply {
    let claim = Claim {
        key: key(),
        epoch,
        stage: 0,
        attempt: 1,
    };
    ledger.apply_command(LedgerCommand::Claim(claim))
}

fn finish(ledger: &mut LedgerState, epoch: u64, code: ResultCode) -> LedgerReply {
    let finish = Finish {
        key: key(),
        epoch,
        outcome: recorded(code),
    };
    ledger.apply_command(LedgerCommand::Finish(finish))
}

#[test]
fn a_repeated_begin_of_the_owner_returns_the_same_epoch() {
    let mut ledger = empty_ledger();
    let epoch = acquire(&mut ledger, begin(1));
    assert_eq!(acquire(&mut ledger, begin(1)), epoch);
}

#[test]
fn another_process_can_take_over_a_key_only_without_claimed_calls() {
    let mut ledger = empty_ledger();
    let first = acquire(&mut ledger, begin(1));
    let reply = ledger.apply_command(LedgerCommand::Begin(begin(2)));
    assert!(matches!(
        reply,
        LedgerReply::InProgress { claimed: false, .. }
    ));
    let take_over = Begin {
        take_over: Some(first),
        ..begin(2)
    };
    let second = acquire(&mut ledger, take_over);
    assert_eq!(claim(&mut ledger, first), LedgerReply::Superseded);
    assert_eq!(claim(&mut ledger, second), LedgerReply::Claimed);
    let late_takeover = Begin {
        take_over: Some(second),
        ..begin(3)
    };
    let reply = ledger.apply_command(LedgerCommand::Begin(late_takeover));
    assert!(matches!(
        reply,
        LedgerReply::InProgress { claimed: true, .. }
    ));
}

#[test]
fn a_fenced_key_can_be_acquired_only_with_its_retry_token() {
    let mut ledger = empty_ledger();
    let refusal = recorded(ResultCode::DeadlineUnreachable);
    let fence = LedgerCommand::Fence {
        begin: begin(1),
        outcome: refusal.clone(),
    };
    let LedgerReply::Finished { epoch } = ledger.apply_command(fence) else {
        panic!("the key is not fenced");
    };
    let delayed_copy = ledger.apply_command(LedgerCommand::Begin(begin(2)));
    assert_eq!(
        delayed_copy,
        LedgerReply::AlreadyFinished {
            outcome: refusal,
            epoch
        }
    );
    assert_eq!(claim(&mut ledger, epoch), LedgerReply::Superseded);
    let retry = Begin {
        retry_token: Some(epoch),
        ..begin(3)
    };
    assert!(acquire(&mut ledger, retry) > epoch);
}

#[test]
fn a_retry_token_is_accepted_only_after_a_rejection() {
    let mut ledger = empty_ledger();
    let epoch = acquire(&mut ledger, begin(1));
    finish(&mut ledger, epoch, ResultCode::AnswerLost);
    let retry = Begin {
        retry_token: Some(epoch),
        ..begin(2)
    };
    let reply = ledger.apply_command(LedgerCommand::Begin(retry));
    assert!(matches!(reply, LedgerReply::AlreadyFinished { .. }));
}

#[test]
fn the_first_recorded_outcome_is_not_replaced() {
    let mut ledger = empty_ledger();
    let epoch = acquire(&mut ledger, begin(1));
    assert_eq!(
        finish(&mut ledger, epoch, ResultCode::Completed),
        LedgerReply::Finished { epoch }
    );
    assert_eq!(
        finish(&mut ledger, epoch, ResultCode::Completed),
        LedgerReply::Finished { epoch }
    );
    let other = finish(&mut ledger, epoch, ResultCode::AnswerLost);
    assert_eq!(
        other,
        LedgerReply::AlreadyFinished {
            outcome: recorded(ResultCode::Completed),
            epoch
        }
    );
}

#[test]
fn a_request_with_the_same_key_and_another_digest_is_a_conflict() {
    let mut ledger = empty_ledger();
    acquire(&mut ledger, begin(1));
    let other = Begin {
        digest: [2; 32],
        ..begin(2)
    };
    assert_eq!(
        ledger.apply_command(LedgerCommand::Begin(other)),
        LedgerReply::Conflict
    );
}

#[test]
fn snapshots_include_records_and_expired_records_are_removed() {
    let mut ledger = empty_ledger();
    let epoch = acquire(&mut ledger, begin(1));
    finish(&mut ledger, epoch, ResultCode::Completed);
    let mut restored = LedgerState::new(RETENTION_MS);
    assert!(restored.restore(&ledger.snapshot()));
    assert!(matches!(
        restored.apply_command(LedgerCommand::Begin(begin(2))),
        LedgerReply::AlreadyFinished { .. }
    ));
    let later = Begin {
        key: RequestKey {
            tenant: "t".into(),
            key: "later".into(),
        },
        now_ms: 1_000 + RETENTION_MS + 1,
        ..begin(3)
    };
    acquire(&mut restored, later);
    assert_eq!(restored.len(), 1);
}
