//! The actor that finds the other nodes, keeps their contacts, and renews
//! connections to those that have gone silent.

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

/// Interval of the actor.
const TICK: Duration = Duration::from_millis(250);
/// While this young, a process asks contact addresses at each tick: all of them if it
/// replicates the state, as a first group forms only once most have answered, else one
/// after the other until one has told all. If hundreds of processes ask all addresses at each
/// tick after a restart, leaders there are lost.
const EAGER_TICKS: u64 = 20;
/// Interval of the actor while this young.
const EAGER_TICK: Duration = Duration::from_millis(100);
/// Later it asks one contact address, and one known node of its region, each so many ticks.
const TICKS_PER_HELLO: u64 = 8;
/// Silence after which a replicating node is asked for a sign, in milliseconds. A node hears
/// of its relay only.
const ASK_AFTER: Millis = 1_000;
/// Silence after which its connection is given up for a new one.
const RECONNECT_AFTER: Millis = 1_800;
/// Age of the last confirmation by a quorum up to which the view is relied on, in milliseconds.
const VIEW_RELIED_ON: Millis = 5_000;
/// Least time between two new connections to one node, in milliseconds.
const RECONNECT_INTERVAL: Millis = 1_000;

/// Finds the other nodes.
pub struct DiscoveryActor {
    directory: SharedDirectory,
    /// For the view, which names the nodes that the leader hears.
    state: SharedNodeState,
    outbox: SharedOutbox,
    clock: Clock,
    ticks: u64,
    /// Which contact address is asked first, by lot.
    first_address: usize,
    /// Lots; seeded, so that simulations repeat.
    random: ChaCha8Rng,
    reconnected_at: BTreeMap<NodeName, Millis>,
}

impl DiscoveryActor {
    /// Starts asking. Lots are drawn by `seed`, which differs between nodes and starts.
    pub fn init(
        cx: CX![],
        directory: SharedDirectory,
        state: SharedNodeState,
        outbox: SharedOutbox,
        clock: Clock,
        seed: u64,
    ) -> Option<Self> {
        after!(Duration::ZERO, [cx], tick());
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Some(Self {
            directory,
            state,
            outbox,
            clock,
            ticks: 0,
            first_address: usize::from(random.gen::<u16>()),
            random,
            reconnected_at: BTreeMap::new(),
        })
    }

    fn tick(&mut self, cx: CX![]) {
        if !self.directory.borrow().is_discovering() {
            return;
        }
        let is_young = self.ticks < EAGER_TICKS;
        after!(if is_young { EAGER_TICK } else { TICK }, [cx], tick());
        let now = self.clock.millis(cx.now());
        if is_young {
            self.ask_eagerly();
        } else if self.ticks.is_multiple_of(TICKS_PER_HELLO) {
            self.ask_some();
        }
        self.ticks += 1;
        self.forget_silent(now);
        self.renew_connections(now);
    }

    /// Forgets contacts of which there was no sign for long, here or at the leader.
    fn forget_silent(&mut self, now: Millis) {
        let silent = self.directory.borrow().stale_contacts(now);
        if silent.is_empty() {
            return;
        }
        let (live, gone): (Vec<NodeName>, Vec<NodeName>) = {
            let state = self.state.borrow();
            let live = state.live_nodes(VIEW_RELIED_ON, now);
            silent.into_iter().partition(|node| live.contains(node))
        };
        let mut directory = self.directory.borrow_mut();
        directory.refresh_contacts(&live, now);
        directory.forget(&gone);
        for node in &gone {
            log::info!(event = "node_forgotten", node = node.as_str(); "no sign of the node for long");
        }
    }

    fn ask_eagerly(&mut self) {
        let (addresses, asks_all, knows_all) = {
            let directory = self.directory.borrow();
            let addresses = directory.contact_addresses().to_vec();
            let asks_all = directory.own().replicates;
            (addresses, asks_all, directory.has_all_contacts())
        };
        if asks_all {
            for address in addresses {
                self.ask_address(address);
            }
            return;
        }
        let turn = (self.first_address + self.ticks as usize).checked_rem(addresses.len());
        if let Some(turn) = turn.filter(|_| !knows_all) {
            self.ask_address(addresses[turn].clone());
        }
    }

    fn ask_some(&mut self) {
        let (address, node) = {
            let directory = self.directory.borrow();
            let addresses = directory.contact_addresses();
            let address = addresses.choose(&mut self.random).cloned();
            let node = directory.nearby_nodes().choose(&mut self.random).cloned();
            (address, node)
        };
        if let Some(address) = address {
            self.ask_address(address);
        }
        if let Some(node) = node {
            self.ask_node(&node);
        }
    }

    fn hello(&self, sent_to: String, has: Option<ContactsVersion>) -> PeerMessage {
        let contact = self.directory.borrow().own().clone();
        PeerMessage::Discovery(DiscoveryMessage::Hello {
            contact,
            sent_to,
            has,
        })
    }

    fn ask_address(&mut self, address: String) {
        if address == self.directory.borrow().own().peer_address {
            self.directory.borrow_mut().address_answered(address);
            return;
        }
        let has = self.directory.borrow().contacts_version_at(&address);
        let hello = self.hello(address.clone(), has);
        self.outbox.borrow_mut().send_to_address(&address, hello);
    }

    fn send(&self, to: &NodeName, message: DiscoveryMessage) {
        let mut outbox = self.outbox.borrow_mut();
        outbox.send(to, PeerMessage::Discovery(message));
    }

    fn ask_node(&mut self, node: &NodeName) {
        let has = self.directory.borrow().contacts_version_of(node);
        let hello = self.hello(String::new(), has);
        self.outbox.borrow_mut().send(node, hello);
    }

    /// A connection to a machine that was cut off or lost power may hang; the
    /// replicating nodes, which everything waits for, are dialled anew.
    fn renew_connections(&mut self, now: Millis) {
        let replicating = self.directory.borrow().replicating_nodes();
        let silences = self.directory.borrow().last_heard_ages(now);
        for (node, silence) in silences {
            if !replicating.contains(&node) || silence < ASK_AFTER {
                continue;
            }
            let last = self.reconnected_at.get(&node).copied().unwrap_or_default();
            if silence >= RECONNECT_AFTER && now.saturating_sub(last) >= RECONNECT_INTERVAL {
                self.reconnected_at.insert(node.clone(), now);
                self.outbox.borrow_mut().reconnect(&node);
                log::info!(event = "peer_silent", node = node.as_str(), silence_ms = silence; "connection renewed");
            }
            if silence >= RECONNECT_AFTER {
                // It may not know this node's contact any more.
                self.ask_node(&node);
            } else {
                self.send(&node, DiscoveryMessage::Probe);
            }
        }
    }

    /// A message of another node.
    pub fn message(&mut self, cx: CX![], from: NodeName, message: DiscoveryMessage) {
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
                    true => directory.contact_ages(self.random.gen(), now),
                    false => Vec::new(),
                };
                let known = DiscoveryMessage::HelloReply {
                    contact: directory.own().clone(),
                    sent_to,
                    others,
                    has: next,
                    ages,
                };
                self.outbox
                    .borrow_mut()
                    .send(&from, PeerMessage::Discovery(known));
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
            // Any message is a sign of life, and noted as such.
            DiscoveryMessage::ProbeReply => {}
        }
    }

    fn record_contact(&mut self, heard: ContactWithAge, now: Millis) {
        let ContactWithAge {
            contact,
            last_heard_age_ms,
        } = heard;
        let told = contact.clone();
        if self
            .directory
            .borrow_mut()
            .record_contact(contact, last_heard_age_ms, now)
        {
            log::debug!(event = "node_found", node = told.node.as_str(), address = told.peer_address.as_str(); "a node was found");
            self.outbox.borrow_mut().set_contact(&told);
        }
    }
}
