//! Scripted behavior of emulated back ends: load shedding with `Retry-After`, announced shutdowns and
//! advertised rate limits.

use serde::Deserialize;
use silversail_http::ResponseHead;
use std::time::Instant;

const JSON_CONTENT_TYPE: &str = "application/json";
const RETRY_AFTER_HEADER: &str = "retry-after";
const LEAVING_HEADER: &str = "silversail-leaving";
const LIMIT_HEADER: &str = "silversail-limit";

/// A period in which a back end rejects calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSheddingConfig {
    /// Start of the period, in milliseconds since the start of the back end.
    pub from_ms: u64,
    /// Duration of the period, in milliseconds.
    pub for_ms: u64,
    /// Share of the calls that are rejected, in percent.
    #[serde(default = "all")]
    pub percent: u64,
    /// Back-off in the `Retry-After` header, in milliseconds; without it the header is left out.
    #[serde(default)]
    pub rest_ms: Option<u64>,
}

/// A period in which a back end advertises a rate limit in all responses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdvertisedLimitConfig {
    /// Start of the period, in milliseconds since the start of the back end.
    pub from_ms: u64,
    /// Duration of the period, in milliseconds.
    pub for_ms: u64,
    /// Rate limit in requests per second, for all nodes together.
    pub per_second: f64,
}

fn all() -> u64 {
    100
}

/// Scripted behavior of a back end over time.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BehaviorConfig {
    /// Periods of load shedding.
    pub sheds: Vec<LoadSheddingConfig>,
    /// Time from which all responses announce a shutdown, in milliseconds since the start.
    pub leaves_after_ms: Option<u64>,
    /// Periods with an advertised rate limit.
    pub limits: Vec<AdvertisedLimitConfig>,
}

/// State of the scripted behavior of a running back end.
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
    /// Starts the script; its times count from now.
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

    /// Response head for a call that is rejected; none for one that is accepted. The rejected share
    /// is spread evenly over the calls.
    pub fn reject_call(&mut self) -> Option<ResponseHead> {
        let now = self.elapsed_ms();
        let is_active =
            |shed: &&LoadSheddingConfig| (shed.from_ms..shed.from_ms + shed.for_ms).contains(&now);
        let shed = self.config.sheds.iter().find(is_active)?;
        let number = self.calls;
        self.calls += 1;
        if (number + 1) * shed.percent / 100 == number * shed.percent / 100 {
            return None;
        }
        let mut head = ResponseHead::new(503, JSON_CONTENT_TYPE);
        if let Some(rest_ms) = shed.rest_ms {
            let seconds = rest_ms as f64 / 1_000.0;
            head.headers.push((RETRY_AFTER_HEADER, seconds.to_string()));
        }
        Some(self.with_announcements(head))
    }

    /// Adds the headers that all responses have at this time.
    pub fn with_announcements(&self, mut head: ResponseHead) -> ResponseHead {
        let leaves_after = self.config.leaves_after_ms;
        if leaves_after.is_some_and(|after| self.elapsed_ms() >= after) {
            head.headers.push((LEAVING_HEADER, "1".to_owned()));
        }
        let now = self.elapsed_ms();
        let is_active = |limit: &&AdvertisedLimitConfig| {
            (limit.from_ms..limit.from_ms + limit.for_ms).contains(&now)
        };
        if let Some(limit) = self.config.limits.iter().find(is_active) {
            head.headers
                .push((LIMIT_HEADER, limit.per_second.to_string()));
        }
        head
    }
}
