//! The nodes that this process knows: all of them from its settings, or found
//! by discovery through a few contact addresses.

mod proximity;

pub use proximity::Relay;
use silversail_consensus::Millis;
use silversail_model::{NodeName, Topology};
use silversail_peer::{Contact, ContactWithAge, ContactsVersion};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// Time without any message of a node, here or at other nodes, after which its contact is removed,
/// in milliseconds.
const CONTACT_LIFETIME_MS: Millis = 20_000;
/// Maximum number of new non-replicating contacts in one reply. Larger replies would saturate the
/// links of the contact addresses when hundreds of processes start at once.
const MAX_CONTACTS_PER_REPLY: usize = 100;
/// Maximum number of contact ages in one reply; enough that hundreds of contacts are refreshed
/// within their lifetime.
const MAX_AGES_PER_REPLY: usize = 150;
/// Minimum time from the start of the process to the first formation, in milliseconds.
const MIN_FORMATION_DELAY_MS: Millis = 1_000;
/// Time for which the set of replicating nodes must be unchanged before a first
/// formation, in milliseconds.
const FORMATION_STABLE_MS: Millis = 600;

struct KnownContact {
    contact: Contact,
    heard_at: Millis,
    /// Change number at which the contact was added or its address changed.
    change_number: u64,
}

/// Where the contacts of other processes come from.
enum ContactSource {
    /// The settings name all nodes.
    Settings,
    /// Found by discovery through contact addresses.
    Discovery {
        contact_addresses: Vec<String>,
        first_start: bool,
        started_at: Millis,
        answered_addresses: BTreeSet<String>,
        replicating_unchanged_since: Millis,
    },
}

/// The nodes that this process knows, itself included.
pub struct Directory {
    own: NodeName,
    topology: Arc<Topology>,
    source: ContactSource,
    known: BTreeMap<NodeName, KnownContact>,
    /// Number of contacts that were added or changed their address.
    changes: u64,
    /// Version up to which each other node's contacts were received.
    contacts_versions: BTreeMap<NodeName, ContactsVersion>,
    /// Whether some node's reply confirmed that all its contacts were received.
    has_all_contacts: bool,
}

/// A directory shared by the actors of one node.
pub type SharedDirectory = Rc<RefCell<Directory>>;

impl Directory {
    /// A directory in which `contacts` are all nodes of the cluster.
    pub fn with_fixed_nodes(own: NodeName, contacts: Vec<Contact>) -> Self {
        let known = contacts
            .into_iter()
            .map(|contact| {
                let known = KnownContact {
                    contact,
                    heard_at: Millis::MAX,
                    change_number: 0,
                };
                (known.contact.node.clone(), known)
            })
            .collect();
        Self {
            own,
            topology: Arc::default(),
            source: ContactSource::Settings,
            known,
            changes: 0,
            contacts_versions: BTreeMap::new(),
            has_all_contacts: false,
        }
    }

    /// A directory that knows only `own` and the contact addresses at which to find others.
    pub fn with_discovery(
        own: Contact,
        contact_addresses: Vec<String>,
        first_start: bool,
        now: Millis,
    ) -> Self {
        let name = own.node.clone();
        let known = KnownContact {
            contact: own,
            heard_at: Millis::MAX,
            change_number: 0,
        };
        Self {
            own: name.clone(),
            topology: Arc::default(),
            source: ContactSource::Discovery {
                contact_addresses,
                first_start,
                started_at: now,
                answered_addresses: BTreeSet::new(),
                replicating_unchanged_since: now,
            },
            known: [(name, known)].into(),
            changes: 0,
            contacts_versions: BTreeMap::new(),
            has_all_contacts: false,
        }
    }

    /// Sets the topology by which distances between nodes are computed.
    pub fn with_topology(mut self, topology: Arc<Topology>) -> Self {
        self.topology = topology;
        self
    }

    /// Regions of the nodes' zones.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Contact under which other nodes reach this one.
    pub fn own(&self) -> &Contact {
        &self.known[&self.own].contact
    }

    /// Names of the nodes that replicate the state, in ascending order.
    pub fn replicating_nodes(&self) -> Vec<NodeName> {
        let contacts = self.known.values().map(|known| &known.contact);
        contacts
            .filter(|contact| contact.replicates)
            .map(|contact| contact.node.clone())
            .collect()
    }

    /// Contact addresses for discovery; empty if the settings name all nodes.
    pub fn contact_addresses(&self) -> &[String] {
        match &self.source {
            ContactSource::Settings => &[],
            ContactSource::Discovery {
                contact_addresses, ..
            } => contact_addresses,
        }
    }

    /// Replaces the contact addresses after a change of the settings. Returns whether
    /// they differ.
    pub fn set_contact_addresses(&mut self, addresses: Vec<String>) -> bool {
        match &mut self.source {
            ContactSource::Discovery {
                contact_addresses, ..
            } if *contact_addresses != addresses => {
                *contact_addresses = addresses;
                true
            }
            _ => false,
        }
    }

    /// Whether nodes are found by discovery.
    pub fn is_discovering(&self) -> bool {
        matches!(self.source, ContactSource::Discovery { .. })
    }

    /// Records that the process at a contact address replied.
    pub fn address_answered(&mut self, address: String) {
        if let ContactSource::Discovery {
            answered_addresses, ..
        } = &mut self.source
        {
            answered_addresses.insert(address);
        }
    }

    /// Records a contact whose node was last heard `age` milliseconds before `now`. Returns
    /// whether the node was unknown or its address changed.
    pub fn record_contact(&mut self, contact: Contact, age: Millis, now: Millis) -> bool {
        if contact.node == self.own || age > CONTACT_LIFETIME_MS || !self.is_discovering() {
            return false;
        }
        let heard_at = now.saturating_sub(age);
        let existing = self.known.get_mut(&contact.node);
        if let Some(known) = existing {
            known.heard_at = known.heard_at.max(heard_at);
            if known.contact.incarnation >= contact.incarnation {
                return false;
            }
            let moved = known.contact.peer_address != contact.peer_address;
            known.contact = contact;
            self.changes += 1;
            known.change_number = self.changes;
            return moved;
        }
        self.record_membership_change(contact.replicates, now);
        self.changes += 1;
        let known = KnownContact {
            contact,
            heard_at,
            change_number: self.changes,
        };
        self.known.insert(known.contact.node.clone(), known);
        true
    }

    /// Records that a message of `node` arrived.
    pub fn record_message(&mut self, node: &NodeName, now: Millis) {
        if let Some(known) = self.known.get_mut(node) {
            known.heard_at = known.heard_at.max(now);
        }
    }

    fn record_membership_change(&mut self, replicates: bool, now: Millis) {
        if let ContactSource::Discovery {
            replicating_unchanged_since,
            ..
        } = &mut self.source
        {
            if replicates {
                *replicating_unchanged_since = now;
            }
        }
    }

    /// Nodes that were not heard of within the contact lifetime.
    pub fn stale_contacts(&self, now: Millis) -> Vec<NodeName> {
        let is_stale =
            |known: &&KnownContact| now.saturating_sub(known.heard_at) > CONTACT_LIFETIME_MS;
        let stale = self.known.values().filter(is_stale);
        stale.map(|known| known.contact.node.clone()).collect()
    }

    /// Refreshes stale contacts that are live according to the leader's view. With hundreds of
    /// nodes, replies carry too few ages to refresh all contacts. Replicating nodes are
    /// excluded: their age must tell whether the connection to them works.
    pub fn refresh_contacts(&mut self, live: &[NodeName], now: Millis) {
        for node in live {
            let known = self.known.get_mut(node);
            if let Some(known) = known.filter(|known| !known.contact.replicates) {
                known.heard_at = now;
            }
        }
    }

    /// Removes contacts.
    pub fn forget(&mut self, nodes: &[NodeName]) {
        for node in nodes {
            self.known.remove(node);
            self.contacts_versions.remove(node);
        }
    }

    /// Time since each other node was last heard of, in milliseconds.
    pub fn last_heard_ages(&self, now: Millis) -> Vec<(NodeName, Millis)> {
        let others = self.known.iter().filter(|(node, _)| **node != self.own);
        others
            .map(|(node, known)| (node.clone(), now.saturating_sub(known.heard_at)))
            .collect()
    }

    /// Time since `node` was last heard of, in milliseconds; none if it is unknown.
    pub fn last_heard_age(&self, node: &str, now: Millis) -> Option<Millis> {
        let known = self.known.get(&NodeName::from(node))?;
        Some(now.saturating_sub(known.heard_at))
    }

    /// The contacts to send to a process whose version of this node's contacts is `has`: all
    /// replicating nodes, and of the others the first [`MAX_CONTACTS_PER_REPLY`] that it
    /// lacks. Also returns the version that the process has afterwards.
    pub fn contacts_for(
        &self,
        has: Option<ContactsVersion>,
        now: Millis,
    ) -> (Vec<ContactWithAge>, ContactsVersion) {
        let incarnation = self.own().incarnation;
        let has = has.filter(|has| has.incarnation == incarnation);
        let changes = has.map_or(0, |has| has.changes);
        let is_other = |known: &&KnownContact| known.contact.node != self.own;
        let others = self.known.values().filter(is_other);
        let mut lacking: Vec<&KnownContact> = others
            .filter(|known| known.change_number > changes)
            .collect();
        lacking.sort_unstable_by_key(|known| known.change_number);
        let is_complete = lacking.len() <= MAX_CONTACTS_PER_REPLY;
        lacking.truncate(MAX_CONTACTS_PER_REPLY);
        let sent_up_to = lacking.last().map_or(changes, |known| known.change_number);
        let is_lacking = |known: &&KnownContact| {
            known.change_number > changes && known.change_number <= sent_up_to
        };
        let replicating = self.known.values().filter(is_other);
        let replicating = replicating.filter(|known| known.contact.replicates);
        let repeated = replicating.filter(|known| !is_lacking(known));
        let sent = lacking.iter().copied().chain(repeated);
        let sent = sent.map(|known| ContactWithAge {
            contact: known.contact.clone(),
            last_heard_age_ms: now.saturating_sub(known.heard_at),
        });
        let has = ContactsVersion {
            incarnation,
            changes: if is_complete {
                self.changes
            } else {
                sent_up_to
            },
        };
        (sent.collect(), has)
    }

    /// Version up to which the contacts of `node` were received, to be sent in a hello to it.
    pub fn contacts_version_of(&self, node: &NodeName) -> Option<ContactsVersion> {
        self.contacts_versions.get(node).copied()
    }

    /// Version up to which the contacts of the node at a peer address were received.
    pub fn contacts_version_at(&self, peer_address: &str) -> Option<ContactsVersion> {
        let mut known = self.known.values();
        let at_address = known.find(|known| known.contact.peer_address == peer_address)?;
        self.contacts_version_of(&at_address.contact.node)
    }

    /// Records the version up to which the contacts of `node` were received.
    pub fn set_contacts_version(&mut self, node: NodeName, has: ContactsVersion) {
        let existing = self.contacts_versions.insert(node, has);
        self.has_all_contacts |= existing == Some(has);
    }

    /// Whether all contacts of at least one other node were received.
    pub fn has_all_contacts(&self) -> bool {
        self.has_all_contacts
    }

    /// Time since other nodes were last heard of, for up to a reply's maximum of nodes in
    /// circular order from position `first`, in milliseconds.
    pub fn contact_ages(&self, first: usize, now: Millis) -> Vec<(NodeName, Millis)> {
        let others = self.known.values();
        let others = others.filter(|known| known.contact.node != self.own);
        let others: Vec<&KnownContact> = others.collect();
        let first = first.checked_rem(others.len()).unwrap_or_default();
        let circular = others[first..].iter().chain(&others[..first]);
        circular
            .take(MAX_AGES_PER_REPLY)
            .map(|known| {
                (
                    known.contact.node.clone(),
                    now.saturating_sub(known.heard_at),
                )
            })
            .collect()
    }

    /// Records how long ago `sender` heard of other nodes. If one of them is unknown here,
    /// the next hello asks the sender for all its contacts.
    pub fn record_contact_ages(
        &mut self,
        sender: &NodeName,
        ages: &[(NodeName, Millis)],
        now: Millis,
    ) {
        for (node, age) in ages.iter().filter(|(_, age)| *age <= CONTACT_LIFETIME_MS) {
            match self.known.get_mut(node) {
                Some(known) => known.heard_at = known.heard_at.max(now.saturating_sub(*age)),
                None => {
                    self.contacts_versions.remove(sender);
                }
            }
        }
    }

    /// Whether this node may form a group that does not exist yet: always if the settings
    /// name the voters; otherwise only on the cluster's first start, once a majority of the
    /// contact addresses has replied and the replicating nodes have been unchanged for a
    /// while. Any two nodes that both reached a majority share an address that knows both.
    pub fn may_form_group(&self, now: Millis) -> bool {
        match &self.source {
            ContactSource::Settings => true,
            ContactSource::Discovery {
                contact_addresses,
                first_start,
                started_at,
                answered_addresses,
                replicating_unchanged_since,
            } => {
                let answered_count = contact_addresses
                    .iter()
                    .filter(|address| answered_addresses.contains(*address))
                    .count();
                *first_start
                    && 2 * answered_count > contact_addresses.len()
                    && now.saturating_sub(*started_at) >= MIN_FORMATION_DELAY_MS
                    && now.saturating_sub(*replicating_unchanged_since) >= FORMATION_STABLE_MS
            }
        }
    }
}
