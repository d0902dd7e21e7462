//! Selects the relay with which a node keeps its session: the nearest one that answers. After a
//! switch to a farther relay, nearer ones are probed and selected again once they answer with
//! current state.

use crate::directory::Relay;
use silversail_consensus::Millis;
use silversail_model::NodeName;

/// Time after a switch until a nearer relay is probed, in milliseconds: a restarted voter has
/// usually caught up by then.
const MIN_PROBE_INTERVAL: Millis = 2_000;
/// Upper limit of the probe interval, which doubles with each probe, in milliseconds.
const MAX_PROBE_INTERVAL: Millis = 16_000;
/// Time without a switch after which the probe interval is reset, in milliseconds.
const STABLE_AFTER: Millis = 30_000;

/// The current relay and the schedule for probing nearer ones.
#[derive(Debug, Default)]
pub struct RelaySelector {
    current: Option<NodeName>,
    /// Time of the next probe.
    next_probe_at: Millis,
    /// Interval before the next probe; `None` before the first switch.
    probe_interval: Option<Millis>,
    /// Time of the last switch.
    switched_at: Millis,
    /// The nearer relay that was probed last.
    probed: Option<NodeName>,
}

impl RelaySelector {
    /// The relay to send heartbeats to; initially the first of `relays`.
    pub fn current(&mut self, relays: &[Relay]) -> Option<NodeName> {
        if self.current.is_none() {
            self.current = relays.first().map(|relay| relay.node.clone());
        }
        self.current.clone()
    }

    /// Switches from the current relay to the next of `relays`.
    pub fn switch_to_next(&mut self, relays: &[Relay], now: Millis) {
        let next = self.position(relays).map_or(0, |position| position + 1);
        let next = relays.get(next % relays.len().max(1));
        self.current = next.map(|relay| relay.node.clone());
        self.probed = None;
        let was_stable = now.saturating_sub(self.switched_at) >= STABLE_AFTER;
        self.switched_at = now;
        if was_stable {
            self.probe_interval = None;
        }
        let probe_interval = self.probe_interval.get_or_insert(MIN_PROBE_INTERVAL);
        self.next_probe_at = now + *probe_interval;
    }

    /// A relay nearer than the current one that is due to be probed with a heartbeat.
    pub fn nearer_to_probe(&mut self, relays: &[Relay], now: Millis) -> Option<NodeName> {
        let current = self.position(relays)?;
        let (nearest, current) = (relays.first()?, &relays[current]);
        if nearest.distance >= current.distance || now < self.next_probe_at {
            return None;
        }
        let nearer = relays
            .iter()
            .filter(|relay| relay.distance < current.distance);
        let nearer: Vec<&Relay> = nearer.collect();
        // Nearer relays are probed in turn.
        let last = nearer
            .iter()
            .position(|relay| Some(&relay.node) == self.probed.as_ref());
        let next = last.map_or(0, |position| (position + 1) % nearer.len());
        self.probed = Some(nearer[next].node.clone());
        let probe_interval = self.probe_interval.unwrap_or(MIN_PROBE_INTERVAL);
        self.probe_interval = Some((probe_interval * 2).min(MAX_PROBE_INTERVAL));
        self.next_probe_at = now + probe_interval;
        self.probed.clone()
    }

    /// Records an answer with current state; a probed relay becomes the current one.
    pub fn record_current_reply(&mut self, from: &NodeName) {
        if self.probed.as_ref() == Some(from) {
            self.current = self.probed.take();
        }
    }

    /// Whether `node` is the selected relay.
    pub fn is_current(&self, node: &NodeName) -> bool {
        self.current.as_ref() == Some(node)
    }

    fn position(&self, relays: &[Relay]) -> Option<usize> {
        let current = self.current.as_ref()?;
        relays.iter().position(|relay| relay.node == *current)
    }
}
