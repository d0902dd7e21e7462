//! The nodes that this process knows: all of them from its settings, or learnt
//! by discovery from a few contact addresses.

use silversail_consensus::Millis;
use silversail_model::NodeName;
use silversail_peer::{Contact, HeardContact};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A contact that nobody heard of for so long is forgotten, in milliseconds.
const FORGET_AFTER: Millis = 20_000;
/// A first formation waits for so long after the start, in milliseconds.
const FORM_NOT_BEFORE: Millis = 1_000;
/// The replicating nodes must be the same for so long before a first
/// formation, in milliseconds.
const FORM_SETTLED_FOR: Millis = 600;

struct Known {
    contact: Contact,
    heard_at: Millis,
}

/// How a process comes to know the others.
enum Source {
    /// The settings name them all.
    Settings,
    /// Contact addresses, and whether this is the first start of the cluster.
    Discovery {
        contact_addresses: Vec<String>,
        first_start: bool,
        started_at: Millis,
        answered: BTreeSet<String>,
        replicating_since: Millis,
    },
}

/// The nodes that this process knows, itself included.
pub struct Directory {
    own: NodeName,
    source: Source,
    known: BTreeMap<NodeName, Known>,
}

/// A directory shared by the actors of one node.
pub type SharedDirectory = Rc<RefCell<Directory>>;

impl Directory {
    /// A directory of `contacts`, all that there are.
    pub fn fixed(own: NodeName, contacts: Vec<Contact>) -> Self {
        let known = contacts
            .into_iter()
            .map(|contact| {
                let known = Known {
                    contact,
                    heard_at: Millis::MAX,
                };
                (known.contact.node.clone(), known)
            })
            .collect();
        Self {
            own,
            source: Source::Settings,
            known,
        }
    }

    /// A directory that knows `own` only, and addresses to ask.
    pub fn discovering(
        own: Contact,
        contact_addresses: Vec<String>,
        first_start: bool,
        now: Millis,
    ) -> Self {
        let name = own.node.clone();
        let known = Known {
            contact: own,
            heard_at: Millis::MAX,
        };
        Self {
            own: name.clone(),
            source: Source::Discovery {
                contact_addresses,
                first_start,
                started_at: now,
                answered: BTreeSet::new(),
                replicating_since: now,
            },
            known: [(name, known)].into(),
        }
    }

    /// This node's contact.
    pub fn own(&self) -> &Contact {
        &self.known[&self.own].contact
    }

    /// Names of the nodes that replicate the state, in order.
    pub fn replicating(&self) -> Vec<NodeName> {
        let contacts = self.known.values().map(|known| &known.contact);
        contacts
            .filter(|contact| contact.replicates)
            .map(|contact| contact.node.clone())
            .collect()
    }

    /// Position among [`Self::replicating`] of the relay to try first. This
    /// spreads the nodes: a replicating node is its own relay, others start
    /// with one in their zone if there is one.
    pub fn first_relay(&self) -> usize {
        let relays = self.replicating();
        if let Some(own) = relays.iter().position(|relay| *relay == self.own) {
            return own;
        }
        let rank = self.known.keys().position(|node| *node == self.own);
        let rank = rank.unwrap_or_default();
        let own_zone = &self.own().zone;
        let near: Vec<usize> = (0..relays.len())
            .filter(|position| self.known[&relays[*position]].contact.zone == *own_zone)
            .collect();
        match (relays.is_empty(), near.is_empty()) {
            (true, _) => 0,
            (false, true) => rank % relays.len(),
            (false, false) => near[rank % near.len()],
        }
    }

    /// Contact addresses to ask; none where the settings name all nodes.
    pub fn contact_addresses(&self) -> &[String] {
        match &self.source {
            Source::Settings => &[],
            Source::Discovery {
                contact_addresses, ..
            } => contact_addresses,
        }
    }

    /// Takes other contact addresses, after the settings changed. True when
    /// they differ.
    pub fn set_contact_addresses(&mut self, addresses: Vec<String>) -> bool {
        match &mut self.source {
            Source::Discovery {
                contact_addresses, ..
            } if *contact_addresses != addresses => {
                *contact_addresses = addresses;
                true
            }
            _ => false,
        }
    }

    /// Whether this node has to look for others.
    pub fn is_discovering(&self) -> bool {
        matches!(self.source, Source::Discovery { .. })
    }

    /// A contact address answered.
    pub fn address_answered(&mut self, address: String) {
        if let Source::Discovery { answered, .. } = &mut self.source {
            answered.insert(address);
        }
    }

    /// Takes in a contact heard `ago` milliseconds before `now`. True when the
    /// node was unknown or is reached elsewhere.
    pub fn hear(&mut self, contact: Contact, ago: Millis, now: Millis) -> bool {
        if contact.node == self.own || ago > FORGET_AFTER || !self.is_discovering() {
            return false;
        }
        let heard_at = now.saturating_sub(ago);
        let former = self.known.get_mut(&contact.node);
        if let Some(known) = former {
            known.heard_at = known.heard_at.max(heard_at);
            if known.contact.incarnation >= contact.incarnation {
                return false;
            }
            let moved = known.contact.peer_address != contact.peer_address;
            known.contact = contact;
            return moved;
        }
        self.note_change(contact.replicates, now);
        let known = Known { contact, heard_at };
        self.known.insert(known.contact.node.clone(), known);
        true
    }

    /// A message of `node` arrived.
    pub fn heard(&mut self, node: &NodeName, now: Millis) {
        if let Some(known) = self.known.get_mut(node) {
            known.heard_at = known.heard_at.max(now);
        }
    }

    fn note_change(&mut self, replicates: bool, now: Millis) {
        if let Source::Discovery {
            replicating_since, ..
        } = &mut self.source
        {
            if replicates {
                *replicating_since = now;
            }
        }
    }

    /// Forgets contacts that nobody heard of for long, and tells which.
    pub fn forget_silent(&mut self, now: Millis) -> Vec<NodeName> {
        let is_silent = |known: &Known| now.saturating_sub(known.heard_at) > FORGET_AFTER;
        let silent: Vec<NodeName> = self
            .known
            .values()
            .filter(|known| is_silent(known))
            .map(|known| known.contact.node.clone())
            .collect();
        for node in &silent {
            self.known.remove(node);
        }
        silent
    }

    /// How long nothing was heard of each other node, in milliseconds.
    pub fn silences(&self, now: Millis) -> Vec<(NodeName, Millis)> {
        let others = self.known.iter().filter(|(node, _)| **node != self.own);
        others
            .map(|(node, known)| (node.clone(), now.saturating_sub(known.heard_at)))
            .collect()
    }

    /// How long nothing was heard of `node`; none where it is not known.
    pub fn silence_of(&self, node: &str, now: Millis) -> Option<Millis> {
        let known = self.known.get(&NodeName::from(node))?;
        Some(now.saturating_sub(known.heard_at))
    }

    /// All others with how long ago they were heard.
    pub fn others(&self, now: Millis) -> Vec<HeardContact> {
        let others = self
            .known
            .values()
            .filter(|one| one.contact.node != self.own);
        others
            .map(|known| HeardContact {
                contact: known.contact.clone(),
                heard_ago_ms: now.saturating_sub(known.heard_at),
            })
            .collect()
    }

    /// Whether this node may take part in forming a group that does not exist:
    /// always where the settings name the voters; else on the cluster's first
    /// start only, once a majority of the contact addresses has answered and
    /// the replicating nodes have been the same for a while. Two nodes that
    /// both heard a majority share an address that knows them both.
    pub fn may_form(&self, now: Millis) -> bool {
        match &self.source {
            Source::Settings => true,
            Source::Discovery {
                contact_addresses,
                first_start,
                started_at,
                answered,
                replicating_since,
            } => {
                let heard = contact_addresses
                    .iter()
                    .filter(|address| answered.contains(*address))
                    .count();
                *first_start
                    && 2 * heard > contact_addresses.len()
                    && now.saturating_sub(*started_at) >= FORM_NOT_BEFORE
                    && now.saturating_sub(*replicating_since) >= FORM_SETTLED_FOR
            }
        }
    }
}
