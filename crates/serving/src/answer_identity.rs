//! Whose answer an HTTP answer is: that to the request it was read for, or another's.
//!
//! A back end may send an answer again, where the answer to a later request on the same connection
//! is due. An [`UncheckedHead`] tells nothing about the request until [`UncheckedHead::identify`]
//! has decided whose it is.

use crate::ports::{AnswerHead, SelfReport};

/// Identifier that an answer names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EchoedId {
    /// That of the request.
    Own,
    /// Another one.
    Other,
    /// None.
    Absent,
}

impl EchoedId {
    /// Compares the identifier that an answer names with that of the request.
    pub fn compare(echoed: Option<&str>, request: &str) -> Self {
        match echoed {
            None => EchoedId::Absent,
            Some(echoed) if echoed == request => EchoedId::Own,
            Some(_) => EchoedId::Other,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EchoedId::Own => "own",
            EchoedId::Other => "other",
            EchoedId::Absent => "none",
        }
    }
}

/// What a connection carried before the request whose answer is checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Whether it carried any request before.
    pub has_carried: bool,
    /// Whether it carried a request with the same identifier before.
    pub has_carried_id: bool,
}

/// Head of an answer of which it is not known yet whose it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UncheckedHead {
    echoed: EchoedId,
    may_omit_id: bool,
    head: AnswerHead,
}

/// An answer that is not, or not certainly, that to the request it was read for. It says nothing
/// about the request, whose own answer may still come on the same connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer belongs to another request (status {status}, names: {})", .echoed.name())]
pub struct ForeignAnswer {
    /// Identifier that the answer names.
    pub echoed: EchoedId,
    /// HTTP status.
    pub status: u16,
    /// Whether the answer states that its request was not run.
    pub says_not_run: bool,
    /// State that the back end advertises, without what concerns the other request.
    pub report: SelfReport,
}

impl UncheckedHead {
    /// Creates the head of an answer. `may_omit_id` tells whether the protocol allows an answer of
    /// this kind to name no identifier.
    pub fn new(echoed: EchoedId, may_omit_id: bool, head: AnswerHead) -> Self {
        Self {
            echoed,
            may_omit_id,
            head,
        }
    }

    /// Decides whose answer it is.
    ///
    /// # Errors
    ///
    /// If it belongs to another request, or may.
    pub fn identify(self, connection: ConnectionUse) -> Result<AnswerHead, ForeignAnswer> {
        let is_own = match self.echoed {
            EchoedId::Own => !connection.has_carried_id,
            EchoedId::Other => false,
            // Connections are not reused after an answer without an identifier, so that a repeated
            // answer to an earlier request names that request.
            EchoedId::Absent => {
                let is_success = (200..300).contains(&self.head.status);
                self.may_omit_id || (!connection.has_carried && !is_success)
            }
        };
        if !is_own {
            return Err(ForeignAnswer {
                echoed: self.echoed,
                status: self.head.status,
                says_not_run: self.head.not_run,
                report: SelfReport {
                    load: None,
                    is_full: false,
                    ..self.head.report
                },
            });
        }
        Ok(AnswerHead {
            is_named: self.echoed == EchoedId::Own,
            ..self.head
        })
    }
}
