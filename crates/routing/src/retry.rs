//! How many retries a back end's traffic may add.

/// Retries that are always allowed, in a row, however little traffic there is.
const BURST: f64 = 10.0;

/// Lets retries be a share of first attempts, so that a failing back end is
/// not buried under them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first attempt.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            tokens: BURST,
        }
    }

    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(BURST);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_take_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
