//! Limits of tenants, held over the whole cluster by shares: each node counts
//! against its own share, and the shares of all nodes add up to the limit.

use crate::Millis;
use silversail_model::{TenantLimits, TenantName};
use std::collections::HashMap;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The limit that a request would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitViolation {
    /// Concurrent requests.
    Concurrency,
    /// Requests a second.
    Rate {
        /// When the next request fits, in milliseconds.
        retry_after_ms: u64,
    },
}

/// This node's part of a limit: `nodes` usable nodes split it evenly, and the
/// remainder goes to those of lowest rank.
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
struct TenantUse {
    concurrent: u32,
    tokens: f64,
    refilled_at: Option<Millis>,
}

/// Counts each tenant's requests on this node.
#[derive(Default)]
pub struct TenantLimiter {
    uses: HashMap<TenantName, TenantUse>,
    nodes: u32,
    rank: u32,
}

impl TenantLimiter {
    /// Sets among how many nodes the limits are split and which part is this
    /// node's.
    pub fn set_share(&mut self, nodes: u32, rank: u32) {
        self.nodes = nodes;
        self.rank = rank;
    }

    /// Counts a request in, or says which limit it would exceed.
    pub fn admit(
        &mut self,
        tenant: &TenantName,
        limits: &TenantLimits,
        now: Millis,
    ) -> Result<(), LimitViolation> {
        let (nodes, rank) = (self.nodes, self.rank);
        let tenant_use = self.uses.entry(tenant.clone()).or_default();
        if let Some(limit) = limits.concurrent_requests {
            if tenant_use.concurrent >= node_share(limit, nodes, rank) {
                return Err(LimitViolation::Concurrency);
            }
        }
        if let Some(limit) = limits.requests_per_second {
            tenant_use.take_token(f64::from(limit) / f64::from(nodes.max(1)), now)?;
        }
        tenant_use.concurrent += 1;
        Ok(())
    }

    /// Counts a request out.
    pub fn release(&mut self, tenant: &TenantName) {
        if let Some(tenant_use) = self.uses.get_mut(tenant) {
            tenant_use.concurrent = tenant_use.concurrent.saturating_sub(1);
        }
    }
}

impl TenantUse {
    /// A token bucket that holds one second's worth, at least one token.
    fn take_token(&mut self, rate: f64, now: Millis) -> Result<(), LimitViolation> {
        let size = rate.max(1.0);
        match self.refilled_at {
            None => self.tokens = size,
            Some(at) => {
                let passed = now.saturating_sub(at) as f64 / MILLIS_PER_SECOND;
                self.tokens = (self.tokens + passed * rate).min(size);
            }
        }
        self.refilled_at = Some(now);
        if self.tokens < 1.0 {
            let missing = (1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE);
            let retry_after_ms = (missing * MILLIS_PER_SECOND).ceil() as u64;
            return Err(LimitViolation::Rate { retry_after_ms });
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
