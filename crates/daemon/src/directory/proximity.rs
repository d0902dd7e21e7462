//! Which of the known nodes are near.

use super::Directory;
use silversail_model::topology::Distance;
use silversail_model::NodeName;
use silversail_peer::Contact;
use std::collections::BTreeMap;

/// A node that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The node.
    pub node: NodeName,
    /// How far it is.
    pub distance: Distance,
}

impl Directory {
    /// The nodes that may be this node's relay, with their distances, in the order in which
    /// they are tried: a replicating node is its own first relay; others begin in their
    /// zone, then in their region. Among those that are equally far the nodes begin with
    /// different ones, so that they are spread.
    pub fn relays(&self) -> Vec<Relay> {
        let rank = self.known.keys().position(|node| *node == self.own);
        let rank = rank.unwrap_or_default();
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
            let first = own.unwrap_or(rank % relays.len());
            relays.rotate_left(first);
        }
        by_distance.into_values().flatten().collect()
    }

    /// How far a node is from this one; none where it is not known.
    pub fn distance_to(&self, node: &NodeName) -> Option<Distance> {
        let known = self.known.get(node)?;
        let own_zone = &self.own().zone;
        Some(self.topology.distance(own_zone, &known.contact.zone))
    }

    /// The other nodes of this node's region; all others where there are none. Contact
    /// addresses lie in any region, so that what is known spreads between regions.
    pub fn nearby_nodes(&self) -> Vec<NodeName> {
        let others = self.known.values().map(|known| &known.contact);
        let others: Vec<&Contact> = others.filter(|one| one.node != self.own).collect();
        let own_zone = &self.own().zone;
        let is_far = |contact: &Contact| {
            self.topology.distance(own_zone, &contact.zone) == Distance::OtherRegion
        };
        let near = others.iter().filter(|contact| !is_far(contact));
        let near: Vec<&Contact> = near.copied().collect();
        let chosen = if near.is_empty() { others } else { near };
        chosen
            .into_iter()
            .map(|contact| contact.node.clone())
            .collect()
    }
}
