//! Where streams began: records of this node and its peers, and lookups for requests that take a
//! stream up.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::{PeerMessage, StreamKey, StreamMessage};
use silversail_serving::dispatcher::RequestNumber;
use silversail_serving::origin_lookup::{LookupStep, OriginLookups, Question, Resolved};
use silversail_serving::ports::{CallAttributes, OriginSource};
use silversail_serving::stream_origins::{HolderCandidate, HolderRing, StreamOrigins};
use stakker::CX;
use std::collections::BTreeMap;

/// A request that waits for a lookup.
struct WaitingCall {
    call: CallAttributes,
    arrived_at: Millis,
}

/// Records and lookups of this node.
#[derive(Default)]
pub(super) struct StreamMemory {
    origins: StreamOrigins,
    holders: HolderRing,
    lookups: OriginLookups,
    waiting: BTreeMap<RequestNumber, WaitingCall>,
}

impl StreamMemory {
    pub(super) fn set_nodes(&mut self, nodes: Vec<HolderCandidate>) {
        self.holders = HolderRing::new(nodes);
    }

    pub(super) fn has_lookups(&self) -> bool {
        !self.lookups.is_empty()
    }

    pub(super) fn remove(&mut self, number: RequestNumber) {
        self.lookups.remove(number);
        self.waiting.remove(&number);
    }
}

impl GatewayActor {
    /// Finds out where the stream began that a request takes up. Returns the request if that is
    /// done; otherwise it waits for other nodes.
    pub(super) fn find_origin(
        &mut self,
        number: RequestNumber,
        mut call: CallAttributes,
        now: Millis,
    ) -> Option<CallAttributes> {
        let Some((key, service)) = self.dispatcher.resumed_stream(&call) else {
            return Some(call);
        };
        if let Some(origin) = self.streams.origins.get(&key, now) {
            if let Some(resumed) = &mut call.resumed {
                resumed.origin = Some((origin.clone(), OriginSource::Own));
            }
            return Some(call);
        }
        // The peer that serves the request finds out itself.
        if self.dispatcher.reachability.is_cut_off() {
            return Some(call);
        }
        let (holders, others) = self.nodes_to_ask(&key);
        let arrived_at = now;
        self.streams
            .waiting
            .insert(number, WaitingCall { call, arrived_at });
        let step = self
            .streams
            .lookups
            .begin(&key, &service, number, holders, others, now);
        self.follow(step, now);
        None
    }

    /// The holders of a record besides this node, and the other nodes that may hold it.
    fn nodes_to_ask(&self, key: &StreamKey) -> (Vec<NodeName>, Vec<NodeName>) {
        let holders = self.streams.holders.holders_of(&key.fingerprint);
        let nodes = self.streams.holders.nodes();
        let others = nodes.filter(|node| **node != self.node && !holders.contains(node));
        let others = others.cloned().collect();
        let is_other = |node: &NodeName| *node != self.node;
        (holders.into_iter().filter(is_other).collect(), others)
    }

    fn follow(&mut self, step: Option<LookupStep>, now: Millis) {
        match step {
            None => {}
            Some(LookupStep::Ask(question)) => self.ask(&question),
            Some(LookupStep::Ended(resolved)) => self.resolve(resolved, now),
        }
    }

    fn ask(&self, question: &Question) {
        for node in &question.nodes {
            let key = question.key.clone();
            let service = question.service.clone();
            self.send_stream_message(node, StreamMessage::Query { key, service });
        }
    }

    /// Continues the requests that waited for a lookup.
    fn resolve(&mut self, resolved: Resolved, now: Millis) {
        for number in resolved.requests {
            let Some(mut waiting) = self.streams.waiting.remove(&number) else {
                continue;
            };
            if let Some(resumed) = &mut waiting.call.resumed {
                let origin = resolved.origin.clone();
                resumed.origin = origin.map(|origin| (origin, OriginSource::Peer));
                resumed.sole_version = resolved.sole_version.clone();
            }
            self.admit(number, waiting.call, waiting.arrived_at, now);
        }
    }

    /// Continues the lookups whose nodes did not reply in time.
    pub(super) fn expire_lookups(&mut self, now: Millis) {
        for step in self.streams.lookups.expire(now) {
            self.follow(Some(step), now);
        }
    }

    /// Remembers where a stream began, here and at its holders.
    pub(super) fn record_begun_stream(&mut self, number: RequestNumber, now: Millis) {
        let Some(begun) = self.dispatcher.begun_stream(number) else {
            return;
        };
        for holder in self.streams.holders.holders_of(&begun.fingerprint) {
            if holder != self.node {
                self.send_stream_message(&holder, StreamMessage::Began(begun.clone()));
            }
        }
        self.streams.origins.insert(begun, now);
        self.count_records();
    }

    /// Handles a message about the beginning of a stream.
    pub fn handle_stream_message(&mut self, cx: CX![], from: NodeName, message: StreamMessage) {
        let now = self.now(cx);
        match message {
            StreamMessage::Began(begun) => {
                self.streams.origins.insert(begun, now);
                self.count_records();
            }
            StreamMessage::Query { key, service } => {
                let origin = self.streams.origins.get(&key, now).cloned();
                let versions = self.dispatcher.seen_versions(&service, now);
                let reply = StreamMessage::Reply {
                    key,
                    origin,
                    versions,
                };
                self.send_stream_message(&from, reply);
            }
            StreamMessage::Reply {
                key,
                origin,
                versions,
            } => {
                let lookups = &mut self.streams.lookups;
                let step = lookups.reply(&from, &key, origin, versions, now);
                self.follow(step, now);
            }
        }
    }

    fn count_records(&self) {
        let records = self.streams.origins.len();
        self.setup.metrics.stream_origins.set(records as i64);
    }

    fn send_stream_message(&self, to: &NodeName, message: StreamMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Streams(message));
    }
}
