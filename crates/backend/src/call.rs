//! Calls of a stage at a back end, and their results.

use serde_json::Value;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One attempt to run a stage at a back end.
#[derive(Clone, Debug)]
pub struct StageCall {
    /// IP address and port of the back end.
    pub address: String,
    /// Identifier of the attempt; the answer must echo it.
    pub attempt: String,
    /// Name of the stage.
    pub stage: String,
    /// Input of the pipeline request.
    pub input: Value,
    /// Outputs of the preceding stages, by stage name.
    pub previous: Value,
    /// Model to use, for generation stages.
    pub model: Option<String>,
    /// Maximum number of tokens to generate, for generation stages.
    pub max_tokens: u32,
    /// Scheduling priority at the engine: the deadline in milliseconds since the Unix epoch, so that
    /// smaller values are more urgent among the calls of all nodes.
    pub priority: i64,
    /// Time at which the call is abandoned.
    pub deadline: Instant,
    /// Whether the call may be retried.
    pub repeatable: bool,
    /// Set to cancel the call.
    pub cancelled: Arc<AtomicBool>,
}

impl StageCall {
    /// Returns the time until the deadline; zero after it.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the call has been cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
    }
}

/// Output of a successful call.
#[derive(Clone, Debug, PartialEq)]
pub struct StageOutput {
    /// Output value, which is passed on without interpretation.
    pub value: Value,
    /// Processing cost that the back end reports, in milliseconds.
    pub cost_ms: f64,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// Reason why a call produced no output.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CallFailure {
    /// The call did not reach the back end, or the back end rejected it without running it.
    #[error("not run: {0}")]
    NotRun(String),
    /// The back end answered with an error.
    #[error("failed: {0}")]
    Failed(String),
    /// The answer violates the protocol or belongs to another call.
    #[error("protocol: {0}")]
    Protocol(String),
    /// The call was sent, but no complete answer arrived.
    #[error("lost: {0}")]
    AnswerLost(String),
    /// The deadline passed after the call was sent.
    #[error("deadline passed")]
    DeadlineExceeded,
    /// Nothing was sent, as the back end requested back-off or is draining.
    #[error("not sent: the back end requested back-off or is draining")]
    BackendUnavailable,
    /// The call was cancelled.
    #[error("cancelled")]
    Cancelled,
}

/// Receiver of the tokens of a stream, each exactly once and in order.
pub trait TokenSink {
    /// Accepts the text of the token at position `sequence`, starting at 0.
    fn token(&mut self, sequence: u64, text: &str);
}
