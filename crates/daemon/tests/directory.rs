//! Exchange of contacts between processes, and the size of the replies.

use silversail_daemon::directory::Directory;
use silversail_model::NodeName;
use silversail_peer::message::PROTOCOL_VERSION;
use silversail_peer::{encode, Contact, ContactWithAge, ContactsVersion, DiscoveryMessage};
use silversail_peer::{Envelope, PeerMessage};

const NODES: usize = 300;
const REPLICATING: usize = 6;

fn contact(number: usize) -> Contact {
    Contact {
        node: NodeName(format!("edge-hall-of-a-zone-{number}")),
        incarnation: 1 + number as u64,
        peer_address: format!("10.1.{}.{}:7740", number / 250, number % 250),
        zone: "hall-of-a-zone".into(),
        replicates: number < REPLICATING,
    }
}

/// A directory of the node `own` without other contacts.
fn directory(own: usize) -> Directory {
    Directory::with_discovery(contact(own), vec![contact(0).peer_address], true, 0)
}

/// A directory that received the contacts of `nodes` nodes at `now`.
fn directory_with_contacts(nodes: usize, now: u64) -> Directory {
    let mut directory = directory(0);
    for number in 1..nodes {
        assert!(directory.record_contact(contact(number), 0, now));
    }
    directory
}

fn contact_count(directory: &Directory) -> usize {
    directory.last_heard_ages(0).len()
}

/// One hello of `asker` and the reply of `responder`.
fn exchange_hello(
    asker: &mut Directory,
    responder: &mut Directory,
    now: u64,
) -> Vec<ContactWithAge> {
    let name = responder.own().node.clone();
    let known_version = asker.contacts_version_of(&name);
    let (others, has) = responder.contacts_for(known_version, now);
    asker.record_contact(responder.own().clone(), 0, now);
    for other in &others {
        asker.record_contact(other.contact.clone(), other.last_heard_age_ms, now);
    }
    asker.set_contacts_version(name.clone(), has);
    if known_version == Some(has) {
        asker.record_contact_ages(&name, &responder.contact_ages(now as usize, now), now);
    }
    others
}

#[test]
fn repeated_hellos_return_all_contacts_within_a_few_replies() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(NODES, 0));
    let mut replies = 0;
    while contact_count(&asker) < NODES {
        exchange_hello(&mut asker, &mut responder, replies * 100);
        replies += 1;
        assert!(
            replies <= 4,
            "{} known after {replies} replies",
            contact_count(&asker)
        );
    }
}

#[test]
fn the_first_reply_contains_all_replicating_nodes() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(NODES, 0));
    exchange_hello(&mut asker, &mut responder, 100);
    assert_eq!(asker.replicating_nodes().len(), REPLICATING);
    assert!(!asker.has_all_contacts());
}

#[test]
fn all_contacts_are_received_once_a_reply_adds_nothing() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(20, 0));
    exchange_hello(&mut asker, &mut responder, 100);
    assert!(!asker.has_all_contacts());
    exchange_hello(&mut asker, &mut responder, 200);
    assert!(asker.has_all_contacts());
}

/// Guards against replies that grow with the number of nodes.
#[test]
fn a_reply_has_a_bounded_size_whatever_contacts_the_asker_has() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(NODES, 0));
    for round in 0..20 {
        let others = exchange_hello(&mut asker, &mut responder, round * 100);
        let (_, has) = responder.contacts_for(asker.contacts_version_of(&contact(0).node), 0);
        let reply = DiscoveryMessage::HelloReply {
            contact: contact(0),
            sent_to: String::new(),
            others,
            has,
            ages: responder.contact_ages(round as usize, round * 100),
        };
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            cluster: "c".into(),
            from: contact(0).node,
            incarnation: 1,
            message: PeerMessage::Discovery(reply),
        };
        let bytes = encode(&envelope).len();
        assert!(bytes < 16_000, "{bytes} bytes in round {round}");
    }
}

#[test]
fn a_later_reply_contains_only_added_and_moved_contacts() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(20, 0));
    exchange_hello(&mut asker, &mut responder, 100);
    let moved = Contact {
        incarnation: 1_000,
        peer_address: "10.9.9.9:7740".into(),
        ..contact(12)
    };
    responder.record_contact(moved.clone(), 0, 150);
    responder.record_contact(contact(25), 0, 150);
    let others = exchange_hello(&mut asker, &mut responder, 200);
    let non_replicating: Vec<NodeName> = others
        .into_iter()
        .filter(|one| !one.contact.replicates)
        .map(|one| one.contact.node)
        .collect();
    assert_eq!(non_replicating, [moved.node, contact(25).node]);
}

#[test]
fn a_restarted_responder_sends_all_contacts_again() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(20, 0));
    exchange_hello(&mut asker, &mut responder, 100);
    let former = ContactsVersion {
        incarnation: 77,
        changes: 10_000,
    };
    let (others, _) = responder.contacts_for(Some(former), 200);
    assert_eq!(others.len(), 19);
}

/// Removes all stale contacts, and returns their number.
fn remove_stale_contacts(directory: &mut Directory, now: u64) -> usize {
    let stale = directory.stale_contacts(now);
    directory.forget(&stale);
    stale.len()
}

/// With 1,000 nodes the replies carry too few ages to refresh all contacts; those in the leader's
/// view must not be removed.
#[test]
fn stale_contacts_in_the_view_are_kept_and_others_are_removed() {
    const MANY: usize = 1_000;
    let (mut asker, mut responder) = (directory(MANY), directory_with_contacts(MANY, 0));
    for round in 0..MANY as u64 / 100 {
        exchange_hello(&mut asker, &mut responder, round * 100);
    }
    assert_eq!(contact_count(&asker), MANY);
    let stale = asker.stale_contacts(25_000);
    assert!(stale.len() > MANY / 2, "{}", stale.len());
    let lost_node = contact(200).node;
    let (removed, live): (Vec<NodeName>, Vec<NodeName>) =
        stale.into_iter().partition(|node| *node == lost_node);
    asker.refresh_contacts(&live, 25_000);
    asker.forget(&removed);
    let replicating = asker.replicating_nodes();
    let stale = asker.stale_contacts(44_000);
    assert!(
        stale.iter().all(|node| replicating.contains(node)),
        "{stale:?}"
    );
    assert_eq!(contact_count(&asker), MANY - 1);
}

#[test]
fn contacts_that_others_hear_of_are_kept_and_stale_ones_are_removed() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(NODES, 0));
    let stale = contact(200).node;
    for round in 0..30_u64 {
        let now = round * 2_000;
        for number in (1..NODES).filter(|number| *number != 200) {
            responder.record_message(&contact(number).node, now);
        }
        exchange_hello(&mut asker, &mut responder, now);
        exchange_hello(&mut asker, &mut responder, now + 777);
        remove_stale_contacts(&mut responder, now + 777);
        remove_stale_contacts(&mut asker, now + 777);
    }
    assert!(asker.last_heard_age(stale.as_str(), 60_000).is_none());
    assert_eq!(contact_count(&asker), NODES - 1);
}

#[test]
fn a_contact_that_was_removed_only_locally_is_requested_again() {
    let (mut asker, mut responder) = (directory(NODES), directory_with_contacts(20, 0));
    exchange_hello(&mut asker, &mut responder, 100);
    assert_eq!(remove_stale_contacts(&mut asker, 25_000), 20);
    for number in 1..20 {
        responder.record_message(&contact(number).node, 25_000);
    }
    for round in 0..3 {
        exchange_hello(&mut asker, &mut responder, 25_000 + round);
    }
    assert_eq!(contact_count(&asker), 20);
}
