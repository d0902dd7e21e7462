//! Permits for back ends that have a limit for all nodes together: those that this node asks for,
//! and those that it issues.

use crate::gateway::actor::GatewayActor;
use silversail_consensus::Millis;
use silversail_limits::{issuer_of, LimitMessage, PermitGrant};
use silversail_model::NodeName;
use silversail_peer::PeerMessage;
use stakker::CX;

impl GatewayActor {
    /// A message of another node on limits.
    pub fn limits(&mut self, cx: CX![], from: NodeName, message: LimitMessage) {
        let now = self.now(cx);
        match message {
            LimitMessage::Request(request) if self.issues_for(&request.backend) => {
                let grants = self.permit_issuer.handle_request(&from, &request, now);
                self.send_grants(grants, now);
                self.announce_limits();
            }
            // Who asked has another view; it asks again.
            LimitMessage::Request(_) => {}
            LimitMessage::Grant(grant) => self.take_grant(&from, &grant, now),
            LimitMessage::Announced(announced) => {
                let notices = &self.setup.notices;
                notices.apply_announcement(from.as_str(), &announced);
            }
            // For this node's relay.
            LimitMessage::Announce(_) => {}
        }
        self.start_batches(now);
        self.ask_for_permits(now);
    }

    fn issuer_for(&self, backend: &str) -> Option<NodeName> {
        let nodes = self.usable_nodes.iter().map(String::as_str);
        issuer_of(nodes, backend).map(|name| NodeName(name.to_owned()))
    }

    fn issues_for(&self, backend: &str) -> bool {
        self.issuer_for(backend).as_ref() == Some(&self.node)
    }

    /// Asks for the permits that requests and batches of this node wait for, and tells what was
    /// heard of limits.
    pub(super) fn ask_for_permits(&mut self, now: Millis) {
        if !self.setup.notices.has_limits() {
            return;
        }
        let mut waiting = self.dispatcher.permits_wanted();
        let instances = &self.dispatcher.instances;
        for maker in self.batcher.permits_wanted(instances, now) {
            *waiting.entry(maker).or_default() += 1;
        }
        for request in self.setup.notices.permit_requests(&waiting, now) {
            let Some(issuer) = self.issuer_for(&request.backend) else {
                continue;
            };
            if issuer == self.node {
                let grants = self.permit_issuer.handle_request(&issuer, &request, now);
                self.send_grants(grants, now);
                self.announce_limits();
            } else {
                self.send_limits(&issuer, LimitMessage::Request(request));
            }
        }
    }

    /// Tells the relays of limits that this node began to issue for.
    fn announce_limits(&mut self) {
        let announcements = self.permit_issuer.take_announcements();
        if announcements.is_empty() {
            return;
        }
        let relays = self.setup.directory.borrow().replicating();
        for announcement in announcements {
            for relay in &relays {
                let message = LimitMessage::Announce(announcement.clone());
                self.send_limits(relay, message);
            }
        }
    }

    /// Gives the permits that are due now.
    pub(super) fn issue_permits(&mut self, now: Millis) {
        let grants = self.permit_issuer.issue_due(now);
        self.send_grants(grants, now);
    }

    fn send_grants(&mut self, grants: Vec<(NodeName, PermitGrant)>, now: Millis) {
        for (to, grant) in grants {
            let issued = &self.setup.metrics.permits_issued;
            issued.inc_by(u64::from(grant.count));
            if to == self.node {
                self.take_grant(&to, &grant, now);
            } else {
                self.send_limits(&to, LimitMessage::Grant(grant));
            }
        }
    }

    /// Requests that waited for permits go, or are refused where they would get none in time.
    fn take_grant(&mut self, from: &NodeName, grant: &PermitGrant, now: Millis) {
        self.setup.notices.apply_grant(from.as_str(), grant, now);
        let sent = self.dispatcher.send_waiting(now);
        self.carry_out(sent, now);
        let refused = self.dispatcher.reject_without_permit(&grant.backend, now);
        self.carry_out(refused, now);
    }

    /// Another view names other issuers.
    pub(super) fn follow_issuers(&mut self) {
        let nodes = &self.usable_nodes;
        let own = self.node.as_str();
        let is_issuer =
            |backend: &str| issuer_of(nodes.iter().map(String::as_str), backend) == Some(own);
        self.permit_issuer.keep_only(is_issuer);
    }

    fn send_limits(&mut self, to: &NodeName, message: LimitMessage) {
        let mut outbox = self.setup.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Limits(message));
    }
}
