//! How long a service takes now.

use super::makers::call_ms;
use super::order::Order;
use super::Batcher;
use crate::instances::InstanceTable;
use crate::Millis;
use silversail_peer::{PieceFailure, ServiceWaits};

/// Least share of a full call that is expected of a service.
const LEAST_FULLNESS: f64 = 0.2;
/// Pieces of a phase for which waits are told.
const TYPICAL_PIECES: usize = 4;

impl Batcher {
    /// How long `pieces` more pieces of a service can be expected to take for a
    /// request of `rank`, in milliseconds: what is at least as urgent goes first.
    pub fn expected_ms(
        &self,
        service: &str,
        pieces: usize,
        rank: u8,
        table: &InstanceTable,
        now: Millis,
    ) -> Result<u64, PieceFailure> {
        let spec = self.specs.get(service).ok_or(PieceFailure::NoBackend)?;
        if table.of_service(service).all(|one| one.listed.draining) {
            return Err(PieceFailure::NoBackend);
        }
        let makers = self.makers.working(service, table, now).max(1);
        let before = self
            .waiting_of(service)
            .filter(|order| order.work.priority <= rank);
        let waiting: usize = before.map(Order::waiting_pieces).sum();
        let full_call = call_ms(spec, spec.pieces);
        let own_call = call_ms(spec, pieces);
        let busy = self.calls.values().filter(|one| one.service == service);
        let until_free = match busy.count() >= makers {
            true => full_call / (makers + 1) as f64,
            false => 0.0,
        };
        let pieces_of_call = spec.pieces as f64 * self.fullness_of(service);
        let call_ms = spec.call_ms + spec.piece_ms * pieces_of_call;
        let rate = makers as f64 * pieces_of_call / call_ms;
        Ok((until_free + waiting as f64 / rate + own_call) as u64)
    }

    pub(super) fn fullness_of(&self, service: &str) -> f64 {
        self.fullness.get(service).copied().unwrap_or(1.0)
    }

    /// How full calls get while more waits than they take: room at the makers may
    /// limit them.
    pub(super) fn note_fullness(&mut self, service: &str, taken: usize, is_limited: bool) {
        let most = self.specs[service].pieces.max(1);
        let seen = match is_limited {
            true => (taken as f64 / most as f64).clamp(LEAST_FULLNESS, 1.0),
            false => 1.0,
        };
        let weight = if is_limited { 0.2 } else { 0.05 };
        let known = self.fullness_of(service);
        let next = known + weight * (seen - known);
        self.fullness.insert(service.to_owned(), next);
    }

    /// How long a phase of a service takes now, by rank.
    pub fn waits(&self, service: &str, table: &InstanceTable, now: Millis) -> ServiceWaits {
        let wait = |rank: usize| {
            let expected = self.expected_ms(service, TYPICAL_PIECES, rank as u8, table, now);
            expected.map_or(u32::MAX, |ms| ms.min(u64::from(u32::MAX)) as u32)
        };
        ServiceWaits {
            service: service.to_owned(),
            by_rank: std::array::from_fn(wait),
        }
    }
}
