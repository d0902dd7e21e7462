//! Retry budget, which bounds the load that retries add.

/// Maximum number of retries in a burst, also allowed without any traffic before.
const MAX_TOKENS: f64 = 10.0;

/// Limits retries to a ratio of first attempts, so that retries do not overload a
/// failing back end.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retry_ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that gains `retry_ratio` retries with each first attempt.
    pub fn new(retry_ratio: f64) -> Self {
        Self {
            retry_ratio,
            tokens: MAX_TOKENS,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.retry_ratio).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    pub fn try_take_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
