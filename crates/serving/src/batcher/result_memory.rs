//! Accounting of the memory that results use at their back ends.

use super::OrderKey;
use crate::instances::InstanceId;
use crate::Millis;
use silversail_peer::ResultHandle;
use std::collections::BTreeMap;

/// A result that its maker may free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedResult {
    /// Back end that made the result and stores it.
    pub maker: InstanceId,
    /// Handle of the result.
    pub handle: ResultHandle,
}

struct StoredResult {
    key: OrderKey,
    backend: String,
    bytes: u64,
    until: Millis,
    /// Whether the back end must free it.
    is_released: bool,
}

/// Tracks the bytes used at each back end by stored results and by calls in flight.
#[derive(Default)]
pub(super) struct ResultMemory {
    used_bytes: BTreeMap<String, u64>,
    results: BTreeMap<ResultHandle, StoredResult>,
    releases: Vec<ReleasedResult>,
    assumed: BTreeMap<String, (u64, Millis)>,
}

impl ResultMemory {
    /// Bytes used at a back end, including bytes assumed for other owners.
    pub(super) fn used_bytes(&self, backend: &str) -> u64 {
        let known = self.used_bytes.get(backend).copied().unwrap_or_default();
        let assumed = self.assumed.get(backend).map_or(0, |(bytes, _)| *bytes);
        known + assumed
    }

    /// Assumes until `until` that results of other batching nodes bring the bytes used at a back
    /// end to `bytes`.
    pub(super) fn assume_used(&mut self, backend: &str, bytes: u64, until: Millis) {
        let known = self.used_bytes.get(backend).copied().unwrap_or_default();
        let assumed = bytes.saturating_sub(known);
        self.assumed.insert(backend.to_owned(), (assumed, until));
    }

    /// Reserves the bytes that the results of a call will use.
    pub(super) fn reserve(&mut self, backend: &str, bytes: u64) {
        *self.used_bytes.entry(backend.to_owned()).or_default() += bytes;
    }

    /// Frees a reservation.
    pub(super) fn unreserve(&mut self, backend: &str, bytes: u64) {
        if let Some(used_bytes) = self.used_bytes.get_mut(backend) {
            *used_bytes = used_bytes.saturating_sub(bytes);
        }
    }

    /// Stores a result until it expires at `until` or is freed.
    pub(super) fn add_result(
        &mut self,
        key: &OrderKey,
        backend: &str,
        handle: &ResultHandle,
        bytes: u64,
        until: Millis,
    ) {
        self.reserve(backend, bytes);
        let result = StoredResult {
            key: key.clone(),
            backend: backend.to_owned(),
            bytes,
            until,
            is_released: false,
        };
        let replaced = self.results.insert(handle.clone(), result);
        if let Some(replaced) = replaced {
            self.unreserve(&replaced.backend, replaced.bytes);
        }
    }

    /// Marks results as no longer needed. Their bytes stay counted until the back end confirms
    /// that it has freed them. Unknown ones were made by calls of another node, which knows their
    /// makers, or have expired.
    pub(super) fn release(&mut self, handles: &[ResultHandle]) {
        for handle in handles {
            let Some(result) = self.results.get_mut(handle) else {
                continue;
            };
            if std::mem::replace(&mut result.is_released, true) {
                continue;
            }
            self.releases.push(ReleasedResult {
                maker: result.backend.clone(),
                handle: handle.clone(),
            });
        }
    }

    /// Removes results that back ends have freed.
    pub(super) fn freed(&mut self, handles: &[ResultHandle]) {
        for handle in handles {
            if let Some(result) = self.results.remove(handle) {
                self.unreserve(&result.backend, result.bytes);
            }
        }
    }

    /// Number of unreleased results at the back ends that match.
    pub(super) fn unreleased_count(&self, matches: impl Fn(&str) -> bool) -> usize {
        let unreleased = self.results.values().filter(|result| !result.is_released);
        unreleased.filter(|result| matches(&result.backend)).count()
    }

    /// Releases the results of the orders that match, as no other node will.
    pub(super) fn release_orders(&mut self, matches: impl Fn(&OrderKey) -> bool) {
        let of_orders = self
            .results
            .iter()
            .filter(|(_, result)| matches(&result.key));
        let handles: Vec<ResultHandle> = of_orders.map(|(handle, _)| handle.clone()).collect();
        self.release(&handles);
    }

    /// Takes the results that back ends must free.
    pub(super) fn take_releases(&mut self) -> Vec<ReleasedResult> {
        std::mem::take(&mut self.releases)
    }

    /// Removes results that have expired at their back ends.
    pub(super) fn expire(&mut self, now: Millis) {
        self.assumed.retain(|_, (_, until)| *until > now);
        let expired = self
            .results
            .iter()
            .filter(|(_, result)| result.until <= now);
        let expired: Vec<ResultHandle> = expired.map(|(handle, _)| handle.clone()).collect();
        for handle in expired {
            if let Some(result) = self.results.remove(&handle) {
                self.unreserve(&result.backend, result.bytes);
            }
        }
    }
}
