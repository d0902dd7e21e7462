//! Emulated back ends that turn calls away for a while and ask for rest, say that they leave, or name
//! a limit.

use serde::Deserialize;
use silversail_http::ResponseHead;
use std::time::Instant;

const JSON: &str = "application/json";
const RETRY_AFTER: &str = "retry-after";
const LEAVING: &str = "silversail-leaving";
const LIMIT: &str = "silversail-limit";

/// A time in which a back end turns calls away.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSheddingConfig {
    /// When it begins, in milliseconds since the start.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Share of the calls that are turned away, in hundredths.
    #[serde(default = "all")]
    pub percent: u64,
    /// The rest that is asked for, in milliseconds; none where nothing is said.
    #[serde(default)]
    pub rest_ms: Option<u64>,
}

/// A time in which a back end names a limit in all answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvertisedLimitConfig {
    /// When it begins, in milliseconds since the start.
    pub from_ms: u64,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
    /// Requests a second from all nodes together.
    pub per_second: f64,
}

fn all() -> u64 {
    100
}

/// What a back end says of itself over time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BehaviorConfig {
    /// When it turns calls away.
    pub sheds: Vec<LoadSheddingConfig>,
    /// From when it says in all answers that it leaves, in milliseconds since the start.
    pub leaves_after_ms: Option<u64>,
    /// When it names a limit.
    pub limits: Vec<AdvertisedLimitConfig>,
}

/// The conduct of a back end that runs.
#[derive(Debug)]
pub struct BackendBehavior {
    config: BehaviorConfig,
    started: Instant,
    calls: u64,
}

impl Default for BackendBehavior {
    fn default() -> Self {
        Self::start(BehaviorConfig::default())
    }
}

impl BackendBehavior {
    /// Starts now.
    pub fn start(config: BehaviorConfig) -> Self {
        Self {
            config,
            started: Instant::now(),
            calls: 0,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The answer to a call that is turned away; none where it is taken. Of a share every n-th is.
    pub fn reject_call(&mut self) -> Option<ResponseHead> {
        let now = self.elapsed_ms();
        let is_on =
            |shed: &&LoadSheddingConfig| (shed.from_ms..shed.from_ms + shed.for_ms).contains(&now);
        let shed = self.config.sheds.iter().find(is_on)?;
        let number = self.calls;
        self.calls += 1;
        if (number + 1) * shed.percent / 100 == number * shed.percent / 100 {
            return None;
        }
        let mut head = ResponseHead::new(503, JSON);
        if let Some(rest) = shed.rest_ms {
            let seconds = rest as f64 / 1_000.0;
            head.headers.push((RETRY_AFTER, seconds.to_string()));
        }
        Some(self.marked(head))
    }

    /// A head with what is said in all answers now.
    pub fn marked(&self, mut head: ResponseHead) -> ResponseHead {
        let leaves_after = self.config.leaves_after_ms;
        if leaves_after.is_some_and(|after| self.elapsed_ms() >= after) {
            head.headers.push((LEAVING, "1".to_owned()));
        }
        let now = self.elapsed_ms();
        let is_on = |limit: &&AdvertisedLimitConfig| {
            (limit.from_ms..limit.from_ms + limit.for_ms).contains(&now)
        };
        if let Some(limit) = self.config.limits.iter().find(is_on) {
            head.headers.push((LIMIT, limit.per_second.to_string()));
        }
        head
    }
}
