//! Distances between nodes: the order of relays, and nodes of the own region.

use super::Directory;
use silversail_model::topology::Distance;
use silversail_model::NodeName;
use silversail_peer::Contact;
use std::collections::BTreeMap;

/// A candidate for this node's relay, through which it reaches the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Name of the relay's node.
    pub node: NodeName,
    /// Distance from this node.
    pub distance: Distance,
}

impl Directory {
    /// Candidates for this node's relay in the order in which they are tried: a replicating node
    /// is its own first choice; otherwise nodes of the same zone come first, then those of the
    /// region. Nodes start at different positions among equally distant relays, which spreads
    /// the load.
    pub fn relays(&self) -> Vec<Relay> {
        let position = self.known.keys().position(|node| *node == self.own);
        let position = position.unwrap_or_default();
        let own_zone = &self.own().zone;
        let contacts = self.known.values().map(|known| &known.contact);
        let replicating = contacts.filter(|contact| contact.replicates);
        let mut by_distance: BTreeMap<Distance, Vec<Relay>> = BTreeMap::new();
        for contact in replicating {
            let distance = self.topology.distance(own_zone, &contact.zone);
            let relay = Relay {
                node: contact.node.clone(),
                distance,
            };
            by_distance.entry(distance).or_default().push(relay);
        }
        for relays in by_distance.values_mut() {
            let own = relays.iter().position(|relay| relay.node == self.own);
            let first_position = own.unwrap_or(position % relays.len());
            relays.rotate_left(first_position);
        }
        by_distance.into_values().flatten().collect()
    }

    /// Distance of a node from this one; none if it is unknown.
    pub fn distance_to(&self, node: &NodeName) -> Option<Distance> {
        let known = self.known.get(node)?;
        let own_zone = &self.own().zone;
        Some(self.topology.distance(own_zone, &known.contact.zone))
    }

    /// The other nodes of this node's region, or all others if there are none. Contacts spread
    /// between regions through the contact addresses.
    pub fn nearby_nodes(&self) -> Vec<NodeName> {
        let others = self.known.values().map(|known| &known.contact);
        let others: Vec<&Contact> = others.filter(|contact| contact.node != self.own).collect();
        let own_zone = &self.own().zone;
        let is_other_region = |contact: &Contact| {
            self.topology.distance(own_zone, &contact.zone) == Distance::OtherRegion
        };
        let near = others.iter().filter(|contact| !is_other_region(contact));
        let near: Vec<&Contact> = near.copied().collect();
        let chosen = if near.is_empty() { others } else { near };
        chosen
            .into_iter()
            .map(|contact| contact.node.clone())
            .collect()
    }
}
