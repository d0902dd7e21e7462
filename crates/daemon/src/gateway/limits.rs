//! Permits for back ends with a cluster-wide rate limit: requests for permits, and their issuance
//! by this node.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_limits::{issuer_of, LimitMessage, PermitGrant};
use silversail_model::NodeName;
use silversail_peer::PeerMessage;
use stakker::CX;

impl GatewayActor {
    /// Handles a message about rate limits from another node.
    pub fn handle_limit_message(&mut self, cx: CX![], from: NodeName, message: LimitMessage) {
        let now = self.now(cx);
        match message {
            LimitMessage::Request(request) if self.is_issuer_for(&request.backend) => {
                let grants = self.permit_issuer.handle_request(&from, &request, now);
                self.send_grants(grants, now);
                self.announce_limits();
            }
            // The sender applies another view; it repeats its request.
            LimitMessage::Request(_) => {}
            LimitMessage::Grant(grant) => self.apply_grant(&from, &grant, now),
            LimitMessage::Announced(announced) => {
                let notices = &self.setup.notices;
                notices.apply_announcement(from.as_str(), &announced);
            }
            // Handled by the relay of this node.
            LimitMessage::Announce(_) => {}
        }
        self.start_batch_calls(now);
        self.request_permits(now);
    }

    fn issuer_for(&self, backend: &str) -> Option<NodeName> {
        let nodes = self.usable_nodes.iter().map(String::as_str);
        issuer_of(nodes, backend).map(|name| NodeName(name.to_owned()))
    }

    fn is_issuer_for(&self, backend: &str) -> bool {
        self.issuer_for(backend).as_ref() == Some(&self.node)
    }

    /// Requests permits for waiting requests and batches, and forwards rate limits that back ends
    /// reported.
    pub(super) fn request_permits(&mut self, now: Millis) {
        if !self.setup.notices.has_limits() {
            return;
        }
        let mut wanted = self.dispatcher.permits_wanted();
        let instances = &self.dispatcher.instances;
        for backend in self.batcher.permits_wanted(instances, now) {
            *wanted.entry(backend).or_default() += 1;
        }
        for request in self.setup.notices.permit_requests(&wanted, now) {
            let Some(issuer) = self.issuer_for(&request.backend) else {
                continue;
            };
            if issuer == self.node {
                let grants = self.permit_issuer.handle_request(&issuer, &request, now);
                self.send_grants(grants, now);
                self.announce_limits();
            } else {
                self.send_limit_message(&issuer, LimitMessage::Request(request));
            }
        }
    }

    /// Informs the relays of back ends for which this node has started to issue permits.
    fn announce_limits(&mut self) {
        let announcements = self.permit_issuer.take_announcements();
        if announcements.is_empty() {
            return;
        }
        let relays = self.setup.directory.borrow().replicating_nodes();
        for announcement in announcements {
            for relay in &relays {
                let message = LimitMessage::Announce(announcement.clone());
                self.send_limit_message(relay, message);
            }
        }
    }

    /// Issues the permits that are due.
    pub(super) fn issue_permits(&mut self, now: Millis) {
        let grants = self.permit_issuer.issue_due(now);
        self.send_grants(grants, now);
    }

    fn send_grants(&mut self, grants: Vec<(NodeName, PermitGrant)>, now: Millis) {
        for (to, grant) in grants {
            let counter = &self.setup.metrics.permits_issued;
            counter.inc_by(u64::from(grant.count));
            if to == self.node {
                self.apply_grant(&to, &grant, now);
            } else {
                self.send_limit_message(&to, LimitMessage::Grant(grant));
            }
        }
    }

    /// Applies granted permits: sends waiting requests, and rejects those that would get no
    /// permit before their deadline.
    fn apply_grant(&mut self, from: &NodeName, grant: &PermitGrant, now: Millis) {
        self.setup.notices.apply_grant(from.as_str(), grant, now);
        let sends = self.dispatcher.send_waiting(now);
        self.apply_actions(sends, now);
        let refusals = self.dispatcher.reject_without_permit(&grant.backend, now);
        self.apply_actions(refusals, now);
    }

    /// Keeps only those back ends for which this node is the issuer in the new view.
    pub(super) fn update_issued_backends(&mut self) {
        let nodes = &self.usable_nodes;
        let own = self.node.as_str();
        let is_issuer =
            |backend: &str| issuer_of(nodes.iter().map(String::as_str), backend) == Some(own);
        self.permit_issuer.keep_only(is_issuer);
    }

    fn send_limit_message(&mut self, to: &NodeName, message: LimitMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Limits(message));
    }
}
