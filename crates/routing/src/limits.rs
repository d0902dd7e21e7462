//! Per-tenant limits, enforced cluster-wide by shares: each node enforces its own
//! share, and the shares of all nodes add up to the limit.

use crate::Millis;
use silversail_model::{TenantLimits, TenantName};
use std::collections::HashMap;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitViolation {
    /// Limit of concurrent requests.
    Concurrency,
    /// Limit of requests per second.
    Rate {
        /// Time until the next request is allowed, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Returns this node's share of a limit: `nodes` usable nodes split it evenly, and
/// the remainder goes to the nodes of lowest rank.
///
/// ```
/// use silversail_routing::node_share;
/// let shares: u32 = (0..3).map(|rank| node_share(10, 3, rank)).sum();
/// assert_eq!(shares, 10);
/// ```
pub fn node_share(limit: u32, nodes: u32, rank: u32) -> u32 {
    let nodes = nodes.max(1);
    limit / nodes + u32::from(rank < limit % nodes)
}

#[derive(Default)]
struct TenantUsage {
    concurrent: u32,
    tokens: f64,
    refilled_at: Option<Millis>,
}

/// Enforces this node's share of the limits of each tenant.
#[derive(Default)]
pub struct TenantLimiter {
    usage_by_tenant: HashMap<TenantName, TenantUsage>,
    nodes: u32,
    rank: u32,
}

impl TenantLimiter {
    /// Sets the number of nodes that split the limits, and this node's rank among
    /// them.
    pub fn set_share(&mut self, nodes: u32, rank: u32) {
        self.nodes = nodes;
        self.rank = rank;
    }

    /// Counts a new request, or returns the limit that it would exceed.
    pub fn admit(
        &mut self,
        tenant: &TenantName,
        limits: &TenantLimits,
        now: Millis,
    ) -> Result<(), LimitViolation> {
        let (nodes, rank) = (self.nodes, self.rank);
        let usage = self.usage_by_tenant.entry(tenant.clone()).or_default();
        if let Some(limit) = limits.concurrent_requests {
            if usage.concurrent >= node_share(limit, nodes, rank) {
                return Err(LimitViolation::Concurrency);
            }
        }
        if let Some(limit) = limits.requests_per_second {
            usage.take_token(f64::from(limit) / f64::from(nodes.max(1)), now)?;
        }
        usage.concurrent += 1;
        Ok(())
    }

    /// Counts a request as finished.
    pub fn release(&mut self, tenant: &TenantName) {
        if let Some(usage) = self.usage_by_tenant.get_mut(tenant) {
            usage.concurrent = usage.concurrent.saturating_sub(1);
        }
    }
}

impl TenantUsage {
    /// Takes a token from a bucket that holds the tokens of one second, at least one.
    /// `rate` is in tokens per second.
    fn take_token(&mut self, rate: f64, now: Millis) -> Result<(), LimitViolation> {
        let burst_size = rate.max(1.0);
        match self.refilled_at {
            None => self.tokens = burst_size,
            Some(refilled_at) => {
                let elapsed_seconds = now.saturating_sub(refilled_at) as f64 / MILLIS_PER_SECOND;
                self.tokens = (self.tokens + elapsed_seconds * rate).min(burst_size);
            }
        }
        self.refilled_at = Some(now);
        if self.tokens < 1.0 {
            let seconds_to_token = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
            let retry_after_ms = (seconds_to_token * MILLIS_PER_SECOND).ceil() as u64;
            return Err(LimitViolation::Rate { retry_after_ms });
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
