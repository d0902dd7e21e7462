//! The ledger's promises: one owner, claims fenced by epochs, refusals kept.

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

fn kept(code: ResultCode) -> RecordedOutcome {
    RecordedOutcome {
        code,
        body: vec![7],
    }
}

fn ledger() -> LedgerState {
    LedgerState::new(RETENTION_MS)
}

fn granted(ledger: &mut LedgerState, begin: Begin) -> u64 {
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
        outcome: kept(code),
    };
    ledger.apply_command(LedgerCommand::Finish(finish))
}

#[test]
fn a_resend_of_the_owners_own_begin_gives_the_same_epoch() {
    let mut ledger = ledger();
    let epoch = granted(&mut ledger, begin(1));
    assert_eq!(granted(&mut ledger, begin(1)), epoch);
}

#[test]
fn a_second_owner_waits_and_can_take_over_only_what_is_not_claimed() {
    let mut ledger = ledger();
    let first = granted(&mut ledger, begin(1));
    let reply = ledger.apply_command(LedgerCommand::Begin(begin(2)));
    assert!(matches!(
        reply,
        LedgerReply::InProgress { claimed: false, .. }
    ));
    let take_over = Begin {
        take_over: Some(first),
        ..begin(2)
    };
    let second = granted(&mut ledger, take_over);
    assert_eq!(claim(&mut ledger, first), LedgerReply::Superseded);
    assert_eq!(claim(&mut ledger, second), LedgerReply::Claimed);
    let late = Begin {
        take_over: Some(second),
        ..begin(3)
    };
    let reply = ledger.apply_command(LedgerCommand::Begin(late));
    assert!(matches!(
        reply,
        LedgerReply::InProgress { claimed: true, .. }
    ));
}

#[test]
fn a_fenced_key_can_not_be_begun_or_claimed_by_an_older_copy() {
    let mut ledger = ledger();
    let refusal = kept(ResultCode::DeadlineUnreachable);
    let fence = LedgerCommand::Fence {
        begin: begin(1),
        outcome: refusal.clone(),
    };
    let LedgerReply::Finished { epoch } = ledger.apply_command(fence) else {
        panic!("not fenced");
    };
    let older = ledger.apply_command(LedgerCommand::Begin(begin(2)));
    assert_eq!(
        older,
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
    assert!(granted(&mut ledger, retry) > epoch);
}

#[test]
fn a_token_reopens_refusals_only() {
    let mut ledger = ledger();
    let epoch = granted(&mut ledger, begin(1));
    finish(&mut ledger, epoch, ResultCode::AnswerLost);
    let retry = Begin {
        retry_token: Some(epoch),
        ..begin(2)
    };
    let reply = ledger.apply_command(LedgerCommand::Begin(retry));
    assert!(matches!(reply, LedgerReply::AlreadyFinished { .. }));
}

#[test]
fn the_first_outcome_stands() {
    let mut ledger = ledger();
    let epoch = granted(&mut ledger, begin(1));
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
            outcome: kept(ResultCode::Completed),
            epoch
        }
    );
}

#[test]
fn another_body_under_the_same_key_is_a_conflict() {
    let mut ledger = ledger();
    granted(&mut ledger, begin(1));
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
fn records_outlive_their_retention_by_nothing_and_snapshots_keep_them() {
    let mut ledger = ledger();
    let epoch = granted(&mut ledger, begin(1));
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
    granted(&mut restored, later);
    assert_eq!(restored.len(), 1);
}
