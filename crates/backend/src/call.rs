//! A call of one stage at one back end, and what may come of it.

use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One attempt at one stage.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// IP address and port of the back end.
    pub address: String,
    /// Identifier of the attempt; the reply must echo it.
    pub attempt: String,
    /// Name of the stage.
    pub stage: String,
    /// The request's own input.
    pub input: Value,
    /// Outputs of the stages before, by stage name.
    pub previous: Value,
    /// Model of a generation stage.
    pub model: Option<String>,
    /// Most tokens of a generation stage.
    pub max_tokens: u32,
    /// The deadline in milliseconds since the Unix epoch: smaller is more
    /// urgent, also among calls of different nodes. Engines honour it.
    pub priority: i64,
    /// When to give up.
    pub deadline: Instant,
    /// Whether the call may be sent again.
    pub repeatable: bool,
    /// Set when the answer is not wanted any more.
    pub cancelled: Arc<AtomicBool>,
}

impl StageCall {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the answer is not wanted any more.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// What a stage gave.
#[derive(Clone, Debug, PartialEq)]
pub struct StageOutput {
    /// The output, opaque to silversail.
    pub value: Value,
    /// What the back end says the call consumed, in its milliseconds.
    pub cost_ms: f64,
    /// Tokens generated.
    pub tokens: u32,
}

/// Why a call gave no output.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CallFailure {
    /// Nothing reached the back end, or it said that it did not run the call.
    #[error("not run: {0}")]
    NotRun(String),
    /// The back end answered with an error.
    #[error("failed: {0}")]
    Failed(String),
    /// The answer is not in the protocol, or names another call.
    #[error("protocol: {0}")]
    Protocol(String),
    /// The call was sent and no whole answer came.
    #[error("lost: {0}")]
    AnswerLost(String),
    /// The deadline passed after the call was sent.
    #[error("deadline passed")]
    DeadlineExceeded,
    /// Nothing was sent, as the back end rests or leaves by its own word.
    #[error("withheld: the back end rests or leaves")]
    BackendUnavailable,
    /// The call was cancelled.
    #[error("cancelled")]
    Cancelled,
}

/// Receives the tokens of a stream, in order, each once.
pub trait TokenSink {
    /// Takes the text of the token at `sequence`.
    fn token(&mut self, sequence: u64, text: &str);
}
