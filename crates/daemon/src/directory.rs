//! The nodes that this process knows: all of them from its settings, or learnt
//! by discovery from a few contact addresses.

mod proximity;

pub use proximity::Relay;
use silversail_consensus::Millis;
use silversail_model::{NodeName, Topology};
use silversail_peer::{Contact, ContactWithAge, ContactsVersion};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// A contact that nobody heard of for so long is forgotten, in milliseconds.
const FORGET_AFTER: Millis = 20_000;
/// Most nodes that do not replicate the state that one answer tells of. Answers that tell of all
/// of hundreds fill the links of the contact addresses when all processes start at once; one that
/// asks each 100 ms knows all soon enough.
const MOST_TOLD: usize = 100;
/// Most ages of contacts in one answer: with two answers in 2 s, each of hundreds of contacts is
/// heard of well before it counts as silent (`daemon/tests/directory.rs`).
const MOST_AGES: usize = 150;
/// A first formation waits for so long after the start, in milliseconds.
const FORM_NOT_BEFORE: Millis = 1_000;
/// The replicating nodes must be the same for so long before a first
/// formation, in milliseconds.
const FORM_SETTLED_FOR: Millis = 600;

struct Known {
    contact: Contact,
    heard_at: Millis,
    /// The change with which the contact came or moved.
    changed_by: u64,
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
    topology: Arc<Topology>,
    source: Source,
    known: BTreeMap<NodeName, Known>,
    /// Counts the contacts that came or moved.
    changes: u64,
    /// What is known of the contacts of other processes.
    held: BTreeMap<NodeName, ContactsVersion>,
    /// Whether an answer added nothing to what was known of its sender's contacts.
    has_all_contacts: bool,
}

/// A directory shared by the actors of one node.
pub type SharedDirectory = Rc<RefCell<Directory>>;

impl Directory {
    /// A directory of `contacts`, all that there are.
    pub fn with_fixed_nodes(own: NodeName, contacts: Vec<Contact>) -> Self {
        let known = contacts
            .into_iter()
            .map(|contact| {
                let known = Known {
                    contact,
                    heard_at: Millis::MAX,
                    changed_by: 0,
                };
                (known.contact.node.clone(), known)
            })
            .collect();
        Self {
            own,
            topology: Arc::default(),
            source: Source::Settings,
            known,
            changes: 0,
            held: BTreeMap::new(),
            has_all_contacts: false,
        }
    }

    /// A directory that knows `own` only, and addresses to ask.
    pub fn with_discovery(
        own: Contact,
        contact_addresses: Vec<String>,
        first_start: bool,
        now: Millis,
    ) -> Self {
        let name = own.node.clone();
        let known = Known {
            contact: own,
            heard_at: Millis::MAX,
            changed_by: 0,
        };
        Self {
            own: name.clone(),
            topology: Arc::default(),
            source: Source::Discovery {
                contact_addresses,
                first_start,
                started_at: now,
                answered: BTreeSet::new(),
                replicating_since: now,
            },
            known: [(name, known)].into(),
            changes: 0,
            held: BTreeMap::new(),
            has_all_contacts: false,
        }
    }

    /// The same directory with the places of the nodes' zones.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// Where the nodes' zones lie.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// This node's contact.
    pub fn own(&self) -> &Contact {
        &self.known[&self.own].contact
    }

    /// Names of the nodes that replicate the state, in order.
    pub fn replicating_nodes(&self) -> Vec<NodeName> {
        let contacts = self.known.values().map(|known| &known.contact);
        contacts
            .filter(|contact| contact.replicates)
            .map(|contact| contact.node.clone())
            .collect()
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
    pub fn record_contact(&mut self, contact: Contact, ago: Millis, now: Millis) -> bool {
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
            self.changes += 1;
            known.changed_by = self.changes;
            return moved;
        }
        self.note_change(contact.replicates, now);
        self.changes += 1;
        let known = Known {
            contact,
            heard_at,
            changed_by: self.changes,
        };
        self.known.insert(known.contact.node.clone(), known);
        true
    }

    /// A message of `node` arrived.
    pub fn record_message(&mut self, node: &NodeName, now: Millis) {
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

    /// Contacts that nobody heard of for long.
    pub fn stale_contacts(&self, now: Millis) -> Vec<NodeName> {
        let is_silent = |known: &&Known| now.saturating_sub(known.heard_at) > FORGET_AFTER;
        let silent = self.known.values().filter(is_silent);
        silent.map(|known| known.contact.node.clone()).collect()
    }

    /// Takes in that silent contacts are live by what the leader hears. Where there are hundreds,
    /// answers tell too few ages to keep all of them, and what is forgotten is asked for again,
    /// with all else. Of nodes that replicate only what was heard here counts: it tells whether
    /// their connections work.
    pub fn refresh_contacts(&mut self, live: &[NodeName], now: Millis) {
        for node in live {
            let known = self.known.get_mut(node);
            if let Some(known) = known.filter(|known| !known.contact.replicates) {
                known.heard_at = now;
            }
        }
    }

    /// Forgets contacts.
    pub fn forget(&mut self, nodes: &[NodeName]) {
        for node in nodes {
            self.known.remove(node);
            self.held.remove(node);
        }
    }

    /// How long nothing was heard of each other node, in milliseconds.
    pub fn last_heard_ages(&self, now: Millis) -> Vec<(NodeName, Millis)> {
        let others = self.known.iter().filter(|(node, _)| **node != self.own);
        others
            .map(|(node, known)| (node.clone(), now.saturating_sub(known.heard_at)))
            .collect()
    }

    /// How long nothing was heard of `node`; none where it is not known.
    pub fn last_heard_age(&self, node: &str, now: Millis) -> Option<Millis> {
        let known = self.known.get(&NodeName::from(node))?;
        Some(now.saturating_sub(known.heard_at))
    }

    /// What a process is told that asks for the others with their ages and `has` some of
    /// them: the replicating nodes, as everything waits for those, and of the rest the
    /// first [`MOST_TOLD`] that it lacks. With it comes what it has then.
    pub fn contacts_for(
        &self,
        has: Option<ContactsVersion>,
        now: Millis,
    ) -> (Vec<ContactWithAge>, ContactsVersion) {
        let incarnation = self.own().incarnation;
        let has = has.filter(|has| has.incarnation == incarnation);
        let changes = has.map_or(0, |has| has.changes);
        let is_other = |known: &&Known| known.contact.node != self.own;
        let others = self.known.values().filter(is_other);
        let mut lacking: Vec<&Known> = others.filter(|known| known.changed_by > changes).collect();
        lacking.sort_unstable_by_key(|known| known.changed_by);
        let is_whole = lacking.len() <= MOST_TOLD;
        lacking.truncate(MOST_TOLD);
        let told_up_to = lacking.last().map_or(changes, |known| known.changed_by);
        let is_lacking =
            |known: &&Known| known.changed_by > changes && known.changed_by <= told_up_to;
        let replicating = self.known.values().filter(is_other);
        let replicating = replicating.filter(|known| known.contact.replicates);
        let repeated = replicating.filter(|known| !is_lacking(known));
        let told = lacking.iter().copied().chain(repeated);
        let told = told.map(|known| ContactWithAge {
            contact: known.contact.clone(),
            last_heard_age_ms: now.saturating_sub(known.heard_at),
        });
        let has = ContactsVersion {
            incarnation,
            changes: if is_whole { self.changes } else { told_up_to },
        };
        (told.collect(), has)
    }

    /// What is known of the contacts of `node`, to be told in a question to it.
    pub fn contacts_version_of(&self, node: &NodeName) -> Option<ContactsVersion> {
        self.held.get(node).copied()
    }

    /// What is known of the contacts of the node at a peer address.
    pub fn contacts_version_at(&self, peer_address: &str) -> Option<ContactsVersion> {
        let mut known = self.known.values();
        let at_address = known.find(|known| known.contact.peer_address == peer_address)?;
        self.contacts_version_of(&at_address.contact.node)
    }

    /// The contacts of `node` are known so far now.
    pub fn set_contacts_version(&mut self, node: NodeName, has: ContactsVersion) {
        let former = self.held.insert(node, has);
        self.has_all_contacts |= former == Some(has);
    }

    /// Whether some process has told all that it knew.
    pub fn has_all_contacts(&self) -> bool {
        self.has_all_contacts
    }

    /// How long ago some of the others were heard, from the `first` on.
    pub fn contact_ages(&self, first: usize, now: Millis) -> Vec<(NodeName, Millis)> {
        let others = self.known.values();
        let others = others.filter(|known| known.contact.node != self.own);
        let others: Vec<&Known> = others.collect();
        let first = first.checked_rem(others.len()).unwrap_or_default();
        let around = others[first..].iter().chain(&others[..first]);
        around
            .take(MOST_AGES)
            .map(|known| {
                (
                    known.contact.node.clone(),
                    now.saturating_sub(known.heard_at),
                )
            })
            .collect()
    }

    /// Takes in how long ago `teller` heard of others. Where one of them is not known here,
    /// the teller is asked for all its contacts next.
    pub fn record_contact_ages(
        &mut self,
        teller: &NodeName,
        ages: &[(NodeName, Millis)],
        now: Millis,
    ) {
        for (node, age) in ages.iter().filter(|(_, age)| *age <= FORGET_AFTER) {
            match self.known.get_mut(node) {
                Some(known) => known.heard_at = known.heard_at.max(now.saturating_sub(*age)),
                None => {
                    self.held.remove(teller);
                }
            }
        }
    }

    /// Whether this node may take part in forming a group that does not exist:
    /// always where the settings name the voters; else on the cluster's first
    /// start only, once a majority of the contact addresses has answered and
    /// the replicating nodes have been the same for a while. Two nodes that
    /// both heard a majority share an address that knows them both.
    pub fn may_form_group(&self, now: Millis) -> bool {
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
