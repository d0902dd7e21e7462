//! What processes tell each other of the nodes that they know, and how much that is.

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

/// A directory of the node `own` that has not heard of any other.
fn directory(own: usize) -> Directory {
    Directory::with_discovery(contact(own), vec![contact(0).peer_address], true, 0)
}

/// A directory that heard of `nodes` nodes at `now`.
fn knowing(nodes: usize, now: u64) -> Directory {
    let mut directory = directory(0);
    for number in 1..nodes {
        assert!(directory.record_contact(contact(number), 0, now));
    }
    directory
}

fn known(directory: &Directory) -> usize {
    directory.last_heard_ages(0).len()
}

/// One question and its answer.
fn ask(asker: &mut Directory, teller: &mut Directory, now: u64) -> Vec<ContactWithAge> {
    let name = teller.own().node.clone();
    let held = asker.contacts_version_of(&name);
    let (others, has) = teller.contacts_for(held, now);
    asker.record_contact(teller.own().clone(), 0, now);
    for other in &others {
        asker.record_contact(other.contact.clone(), other.last_heard_age_ms, now);
    }
    asker.set_contacts_version(name.clone(), has);
    if held == Some(has) {
        asker.record_contact_ages(&name, &teller.contact_ages(now as usize, now), now);
    }
    others
}

#[test]
fn a_node_that_asks_again_and_again_knows_all_after_a_few_answers() {
    let (mut asker, mut teller) = (directory(NODES), knowing(NODES, 0));
    let mut answers = 0;
    while known(&asker) < NODES {
        ask(&mut asker, &mut teller, answers * 100);
        answers += 1;
        assert!(answers <= 4, "{} known after {answers}", known(&asker));
    }
}

#[test]
fn the_replicating_nodes_are_told_with_the_first_answer() {
    let (mut asker, mut teller) = (directory(NODES), knowing(NODES, 0));
    ask(&mut asker, &mut teller, 100);
    assert_eq!(asker.replicating_nodes().len(), REPLICATING);
    assert!(!asker.has_all_contacts());
}

#[test]
fn an_asker_knows_that_it_was_told_all_when_an_answer_adds_nothing() {
    let (mut asker, mut teller) = (directory(NODES), knowing(20, 0));
    ask(&mut asker, &mut teller, 100);
    assert!(!asker.has_all_contacts());
    ask(&mut asker, &mut teller, 200);
    assert!(asker.has_all_contacts());
}

/// Before, each answer told of all contacts: 20 KB of 300.
#[test]
fn an_answer_is_small_whatever_the_asker_has() {
    let (mut asker, mut teller) = (directory(NODES), knowing(NODES, 0));
    for round in 0..20 {
        let others = ask(&mut asker, &mut teller, round * 100);
        let (_, has) = teller.contacts_for(asker.contacts_version_of(&contact(0).node), 0);
        let known = DiscoveryMessage::HelloReply {
            contact: contact(0),
            sent_to: String::new(),
            others,
            has,
            ages: teller.contact_ages(round as usize, round * 100),
        };
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            cluster: "c".into(),
            from: contact(0).node,
            incarnation: 1,
            message: PeerMessage::Discovery(known),
        };
        let bytes = encode(&envelope).len();
        assert!(bytes < 16_000, "{bytes} bytes in round {round}");
    }
}

#[test]
fn what_came_or_moved_since_is_told_and_nothing_else() {
    let (mut asker, mut teller) = (directory(NODES), knowing(20, 0));
    ask(&mut asker, &mut teller, 100);
    let moved = Contact {
        incarnation: 1_000,
        peer_address: "10.9.9.9:7740".into(),
        ..contact(12)
    };
    teller.record_contact(moved.clone(), 0, 150);
    teller.record_contact(contact(25), 0, 150);
    let others = ask(&mut asker, &mut teller, 200);
    let rest: Vec<NodeName> = others
        .into_iter()
        .filter(|one| !one.contact.replicates)
        .map(|one| one.contact.node)
        .collect();
    assert_eq!(rest, [moved.node, contact(25).node]);
}

#[test]
fn another_process_of_the_teller_tells_all_anew() {
    let (mut asker, mut teller) = (directory(NODES), knowing(20, 0));
    ask(&mut asker, &mut teller, 100);
    let former = ContactsVersion {
        incarnation: 77,
        changes: 10_000,
    };
    let (others, _) = teller.contacts_for(Some(former), 200);
    assert_eq!(others.len(), 19);
}

/// Forgets all that were not heard of for long; how many.
fn forget_silent(directory: &mut Directory, now: u64) -> usize {
    let silent = directory.stale_contacts(now);
    directory.forget(&silent);
    silent.len()
}

/// Of 1,000 contacts a node hears too few ages: those that the leader hears stay all the same.
#[test]
fn nodes_that_the_view_names_are_kept_and_others_are_forgotten() {
    const MANY: usize = 1_000;
    let (mut asker, mut teller) = (directory(MANY), knowing(MANY, 0));
    for round in 0..MANY as u64 / 100 {
        ask(&mut asker, &mut teller, round * 100);
    }
    assert_eq!(known(&asker), MANY);
    let silent = asker.stale_contacts(25_000);
    assert!(silent.len() > MANY / 2, "{}", silent.len());
    let lost = contact(200).node;
    let (gone, live): (Vec<NodeName>, Vec<NodeName>) =
        silent.into_iter().partition(|node| *node == lost);
    asker.refresh_contacts(&live, 25_000);
    asker.forget(&gone);
    let replicating = asker.replicating_nodes();
    let silent = asker.stale_contacts(44_000);
    assert!(
        silent.iter().all(|node| replicating.contains(node)),
        "{silent:?}"
    );
    assert_eq!(known(&asker), MANY - 1);
}

#[test]
fn nodes_that_others_hear_of_are_not_forgotten_and_silent_ones_are() {
    let (mut asker, mut teller) = (directory(NODES), knowing(NODES, 0));
    let silent = contact(200).node;
    for round in 0..30_u64 {
        let now = round * 2_000;
        for number in (1..NODES).filter(|number| *number != 200) {
            teller.record_message(&contact(number).node, now);
        }
        ask(&mut asker, &mut teller, now);
        ask(&mut asker, &mut teller, now + 777);
        forget_silent(&mut teller, now + 777);
        forget_silent(&mut asker, now + 777);
    }
    assert!(asker.last_heard_age(silent.as_str(), 60_000).is_none());
    assert_eq!(known(&asker), NODES - 1);
}

#[test]
fn a_node_that_was_forgotten_here_only_is_asked_for_again() {
    let (mut asker, mut teller) = (directory(NODES), knowing(20, 0));
    ask(&mut asker, &mut teller, 100);
    assert_eq!(forget_silent(&mut asker, 25_000), 20);
    for number in 1..20 {
        teller.record_message(&contact(number).node, 25_000);
    }
    for round in 0..3 {
        ask(&mut asker, &mut teller, 25_000 + round);
    }
    assert_eq!(known(&asker), 20);
}
