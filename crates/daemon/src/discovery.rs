//! The actor that finds the other nodes, maintains their contacts, and reconnects
//! to replicating nodes that have stopped responding.

use crate::clock::Clock;
use crate::directory::SharedDirectory;
use crate::outbox::SharedOutbox;
use crate::session::SharedNodeState;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::{ContactWithAge, ContactsVersion, DiscoveryMessage, PeerMessage};
use stakker::{after, CX};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval of the actor after the start phase.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of ticks of the start phase, in which a process sends a hello at each tick: to all
/// contact addresses if it replicates the state, as the first formation needs replies of a
/// majority; otherwise to one address after the other until it has all contacts, so that
/// hundreds of starting processes don't overload the nodes at the contact addresses.
const START_PHASE_TICKS: u64 = 20;
/// Interval of the actor in the start phase.
const START_PHASE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between hellos to one contact address and one node of the region after the start phase.
const TICKS_PER_HELLO: u64 = 8;
/// Time without a message after which a replicating node is probed, in milliseconds. Without
/// probes a node gets messages only from its relay.
const PROBE_AFTER_MS: Millis = 1_000;
/// Time without a message after which the connection to it is replaced, in milliseconds.
const RECONNECT_AFTER_MS: Millis = 1_800;
/// Maximum age of the last quorum confirmation at which the view is trusted, in milliseconds.
const MAX_VIEW_AGE_MS: Millis = 5_000;
/// Minimum time between two reconnections to one node, in milliseconds.
const MIN_RECONNECT_INTERVAL_MS: Millis = 1_000;

/// Exchanges contacts with other nodes and monitors the connections to replicating nodes.
pub struct DiscoveryActor {
    directory: SharedDirectory,
    /// Holds the cluster view, which lists the nodes that the leader considers live.
    state: SharedNodeState,
    outbox: SharedOutbox,
    clock: Clock,
    ticks: u64,
    /// Randomly chosen position of the first contact address to send a hello to.
    first_address_position: usize,
    /// Seeded so that simulations are reproducible.
    random_generator: ChaCha8Rng,
    last_reconnect_at: BTreeMap<NodeName, Millis>,
}

impl DiscoveryActor {
    /// Starts discovery. `seed` has to differ between nodes and between starts.
    pub fn init(
        cx: CX![],
        directory: SharedDirectory,
        state: SharedNodeState,
        outbox: SharedOutbox,
        clock: Clock,
        seed: u64,
    ) -> Option<Self> {
        after!(Duration::ZERO, [cx], tick());
        let mut random_generator = ChaCha8Rng::seed_from_u64(seed);
        Some(Self {
            directory,
            state,
            outbox,
            clock,
            ticks: 0,
            first_address_position: usize::from(random_generator.gen::<u16>()),
            random_generator,
            last_reconnect_at: BTreeMap::new(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        if !self.directory.borrow().is_discovering() {
            return;
        }
        let is_starting = self.ticks < START_PHASE_TICKS;
        after!(
            if is_starting {
                START_PHASE_TICK_INTERVAL
            } else {
                TICK_INTERVAL
            },
            [cx],
            tick()
        );
        let now = self.clock.millis(cx.now());
        if is_starting {
            self.send_start_phase_hellos();
        } else if self.ticks.is_multiple_of(TICKS_PER_HELLO) {
            self.send_periodic_hellos();
        }
        self.ticks += 1;
        self.remove_stale_contacts(now);
        self.reconnect_unresponsive(now);
    }

    /// Removes contacts that were not heard of recently, neither here nor at the leader.
    fn remove_stale_contacts(&mut self, now: Millis) {
        let stale = self.directory.borrow().stale_contacts(now);
        if stale.is_empty() {
            return;
        }
        let (live, removed): (Vec<NodeName>, Vec<NodeName>) = {
            let state = self.state.borrow();
            let live = state.live_nodes(MAX_VIEW_AGE_MS, now);
            stale.into_iter().partition(|node| live.contains(node))
        };
        let mut directory = self.directory.borrow_mut();
        directory.refresh_contacts(&live, now);
        directory.forget(&removed);
        for node in &removed {
            log::info!(event = "node_forgotten", node = node.as_str(); "removed a node that was not heard of within the contact lifetime");
        }
    }

    fn send_start_phase_hellos(&mut self) {
        let (addresses, sends_to_all, has_all) = {
            let directory = self.directory.borrow();
            let addresses = directory.contact_addresses().to_vec();
            let sends_to_all = directory.own().replicates;
            (addresses, sends_to_all, directory.has_all_contacts())
        };
        if sends_to_all {
            for address in addresses {
                self.send_hello_to_address(address);
            }
            return;
        }
        let index =
            (self.first_address_position + self.ticks as usize).checked_rem(addresses.len());
        if let Some(index) = index.filter(|_| !has_all) {
            self.send_hello_to_address(addresses[index].clone());
        }
    }

    fn send_periodic_hellos(&mut self) {
        let (address, node) = {
            let directory = self.directory.borrow();
            let addresses = directory.contact_addresses();
            let address = addresses.choose(&mut self.random_generator).cloned();
            let node = directory
                .nearby_nodes()
                .choose(&mut self.random_generator)
                .cloned();
            (address, node)
        };
        if let Some(address) = address {
            self.send_hello_to_address(address);
        }
        if let Some(node) = node {
            self.send_hello_to_node(&node);
        }
    }

    fn hello_message(&self, sent_to: String, has: Option<ContactsVersion>) -> PeerMessage {
        let contact = self.directory.borrow().own().clone();
        PeerMessage::Discovery(DiscoveryMessage::Hello {
            contact,
            sent_to,
            has,
        })
    }

    fn send_hello_to_address(&mut self, address: String) {
        if address == self.directory.borrow().own().peer_address {
            self.directory.borrow_mut().address_answered(address);
            return;
        }
        let has = self.directory.borrow().contacts_version_at(&address);
        let hello_message = self.hello_message(address.clone(), has);
        self.outbox
            .borrow_mut()
            .send_to_address(&address, hello_message);
    }

    fn send(&self, to: &NodeName, message: DiscoveryMessage) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Discovery(message));
    }

    fn send_hello_to_node(&mut self, node: &NodeName) {
        let has = self.directory.borrow().contacts_version_of(node);
        let hello_message = self.hello_message(String::new(), has);
        self.outbox.borrow_mut().send(node, hello_message);
    }

    /// Probes replicating nodes without recent messages, and replaces connections that may
    /// hang because the machine was partitioned or lost power.
    fn reconnect_unresponsive(&mut self, now: Millis) {
        let replicating = self.directory.borrow().replicating_nodes();
        let last_heard_ages = self.directory.borrow().last_heard_ages(now);
        for (node, age) in last_heard_ages {
            if !replicating.contains(&node) || age < PROBE_AFTER_MS {
                continue;
            }
            let last_reconnect = self
                .last_reconnect_at
                .get(&node)
                .copied()
                .unwrap_or_default();
            if age >= RECONNECT_AFTER_MS
                && now.saturating_sub(last_reconnect) >= MIN_RECONNECT_INTERVAL_MS
            {
                self.last_reconnect_at.insert(node.clone(), now);
                self.outbox.borrow_mut().reconnect(&node);
                log::info!(event = "peer_silent", node = node.as_str(), silence_ms = age; "reconnecting to a node that does not respond");
            }
            if age >= RECONNECT_AFTER_MS {
                // The node may have removed this node's contact.
                self.send_hello_to_node(&node);
            } else {
                self.send(&node, DiscoveryMessage::Probe);
            }
        }
    }

    /// Handles a discovery message of another node.
    pub fn handle_message(&mut self, cx: CX![], from: NodeName, message: DiscoveryMessage) {
        let now = self.clock.millis(cx.now());
        match message {
            DiscoveryMessage::Hello {
                contact,
                sent_to,
                has,
            } => {
                self.record_contact(
                    ContactWithAge {
                        contact,
                        last_heard_age_ms: 0,
                    },
                    now,
                );
                let directory = self.directory.borrow();
                let (others, next) = directory.contacts_for(has, now);
                let ages = match has == Some(next) {
                    true => directory.contact_ages(self.random_generator.gen(), now),
                    false => Vec::new(),
                };
                let reply = DiscoveryMessage::HelloReply {
                    contact: directory.own().clone(),
                    sent_to,
                    others,
                    has: next,
                    ages,
                };
                self.outbox
                    .borrow_mut()
                    .send(&from, PeerMessage::Discovery(reply));
            }
            DiscoveryMessage::HelloReply {
                contact,
                sent_to,
                others,
                has,
                ages,
            } => {
                self.directory.borrow_mut().address_answered(sent_to);
                self.directory
                    .borrow_mut()
                    .set_contacts_version(from.clone(), has);
                self.record_contact(
                    ContactWithAge {
                        contact,
                        last_heard_age_ms: 0,
                    },
                    now,
                );
                for other in others {
                    self.record_contact(other, now);
                }
                self.directory
                    .borrow_mut()
                    .record_contact_ages(&from, &ages, now);
            }
            DiscoveryMessage::Probe => self.send(&from, DiscoveryMessage::ProbeReply),
            // Every message counts as heard from its sender, on arrival.
            DiscoveryMessage::ProbeReply => {}
        }
    }

    fn record_contact(&mut self, contact_with_age: ContactWithAge, now: Millis) {
        let ContactWithAge {
            contact,
            last_heard_age_ms,
        } = contact_with_age;
        let added = contact.clone();
        if self
            .directory
            .borrow_mut()
            .record_contact(contact, last_heard_age_ms, now)
        {
            log::debug!(event = "node_found", node = added.node.as_str(), address = added.peer_address.as_str(); "found a node or its new address");
            self.outbox.borrow_mut().set_contact(&added);
        }
    }
}
