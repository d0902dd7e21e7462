//! An accepted configuration is applied by all nodes within seconds and never reverts: with killed
//! processes, incomplete writes, concurrent changes, partitioned leaders and lost disks.

mod common;

use common::binary;
use serde_json::{json, Value};
use silversail_testbed::cluster::wait_until;
use silversail_testbed::{Cluster, ClusterOptions, LinkFault};
use std::fs::OpenOptions;
use std::io::Write;
use std::time::Duration;

fn tenant(name: &str) -> Value {
    json!({ "tenants": [{ "name": name }] })
}

fn start_cluster(options: &ClusterOptions) -> Cluster {
    let cluster = Cluster::start(binary(), options).expect("processes start");
    assert!(cluster.wait_until_serving(), "the cluster did not form");
    cluster
}

fn change_configuration(cluster: &Cluster, position: usize, base: u64) {
    let change_id = format!("change-{base}");
    let (status, answer) = cluster
        .change(position, &change_id, base, tenant(&change_id))
        .expect("an answer");
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["revision"], base + 1);
}

#[test]
fn the_last_accepted_revision_survives_a_restart_of_all_processes_with_incomplete_writes() {
    let mut cluster = start_cluster(&ClusterOptions::new(5, 3));
    for base in 0..300 {
        let position = (base % 5) as usize;
        // Each change is based on the previous one, whichever process gets it.
        change_configuration(&cluster, position, base);
    }
    for position in 0..5 {
        cluster.kill(position);
    }
    // Append a write that was interrupted by a power loss.
    for voter in 0..3 {
        let log = cluster.nodes[voter].data_folder.join("control/log");
        let mut log = OpenOptions::new().append(true).open(log).expect("the log");
        log.write_all(&[200, 1, 0, 0, 9, 9, 9]).expect("written");
    }
    for position in 0..5 {
        cluster.spawn(position).expect("started");
    }
    let all_recovered = wait_until(Duration::from_secs(20), || {
        let revisions: Vec<_> = (0..5)
            .filter_map(|position| cluster.revision(position))
            .collect();
        assert!(
            revisions.iter().all(|revision| *revision == 300),
            "{revisions:?}"
        );
        revisions.len() == 5
    });
    assert!(
        all_recovered,
        "not all processes serve the last accepted revision"
    );
    assert!(cluster.log_text(0).contains("torn_tail"));
}

#[test]
fn of_concurrent_changes_on_the_same_revision_exactly_one_is_accepted() {
    let cluster = start_cluster(&ClusterOptions::new(3, 3));
    for round in 0..10 {
        let answers: Vec<(u16, Value)> = std::thread::scope(|scope| {
            let concurrent_changes: Vec<_> = (0..3)
                .map(|position| {
                    let cluster = &cluster;
                    scope.spawn(move || {
                        let change_id = format!("race-{round}-{position}");
                        cluster
                            .change(position, &change_id, round, tenant(&change_id))
                            .expect("an answer")
                    })
                })
                .collect();
            concurrent_changes
                .into_iter()
                .map(|one| one.join().expect("joined"))
                .collect()
        });
        let accepted = answers.iter().filter(|(status, _)| *status == 200).count();
        let conflicts: Vec<&Value> = answers
            .iter()
            .filter(|(status, _)| *status == 409)
            .map(|(_, body)| body)
            .collect();
        assert_eq!((accepted, conflicts.len()), (1, 2), "{answers:?}");
        assert!(conflicts
            .iter()
            .all(|body| body["current_revision"] == round + 1));
        assert!(conflicts.iter().all(|body| body["code"] == 4001));
    }
}

#[test]
fn a_repeated_change_gets_the_first_answer() {
    let cluster = start_cluster(&ClusterOptions::new(3, 3));
    let first = cluster
        .change(0, "once", 0, tenant("a"))
        .expect("an answer");
    change_configuration(&cluster, 1, 1);
    let again = cluster
        .change(2, "once", 0, tenant("a"))
        .expect("an answer");
    assert_eq!(first, again);
    let other = cluster
        .change(2, "once", 0, tenant("b"))
        .expect("an answer");
    assert_eq!(other.1["code"], 4004);
    assert!(cluster.wait_for_revision(2));
    assert_eq!(cluster.revision(0), Some(2));
}

#[test]
fn voters_return_the_history_of_changes() {
    let cluster = start_cluster(&ClusterOptions::new(4, 3));
    change_configuration(&cluster, 3, 0);
    change_configuration(&cluster, 0, 1);
    assert!(cluster.wait_for_revision(2));
    let history = |position: usize| -> (u16, Value) {
        let address = cluster.nodes[position].operators;
        let asked = ureq::get(&format!("http://{address}/v1/configuration/history")).call();
        let response = match asked {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response,
            Err(error) => panic!("no response: {error}"),
        };
        let status = response.status();
        let body = serde_json::from_reader(response.into_reader()).expect("JSON");
        (status, body)
    };
    let (status, body) = history(1);
    assert_eq!(status, 200);
    let ids: Vec<&str> = body["changes"]
        .as_array()
        .expect("changes")
        .iter()
        .filter_map(|change| change["change_id"].as_str())
        .collect();
    assert_eq!(ids, ["change-0", "change-1"]);
    let (status, body) = history(3);
    assert_eq!((status, &body["code"]), (404, &json!(4007)));
}

#[test]
fn an_invalid_change_is_rejected_with_the_path_of_each_invalid_field() {
    let cluster = start_cluster(&ClusterOptions::new(3, 3));
    let document = json!({
        "backends": [{ "name": "b", "kind": "engine", "address": "nowhere", "models": ["none"] }],
        "pipelines": [{ "name": "p", "deadline_ms": 0, "stages": [
            { "name": "s", "kind": "service", "selector": {
                "requirements": [{ "key": "zone", "operator": "in" }] } },
        ] }],
    });
    let (status, answer) = cluster.change(0, "bad", 0, document).expect("an answer");
    assert_eq!((status, &answer["code"]), (422, &json!(4002)));
    let paths: Vec<&str> = answer["errors"]
        .as_array()
        .expect("errors")
        .iter()
        .filter_map(|error| error["path"].as_str())
        .collect();
    assert_eq!(
        paths,
        [
            "backends.b.address",
            "backends.b.models[0]",
            "pipelines.p.deadline_ms",
            "pipelines.p.stages[0].selector.requirements[0].values",
        ]
    );
    change_configuration(&cluster, 0, 0);
}

#[test]
fn a_partitioned_leader_neither_accepts_changes_nor_answers_reads() {
    let options = ClusterOptions {
        proxied: true,
        ..ClusterOptions::new(5, 3)
    };
    let cluster = start_cluster(&options);
    change_configuration(&cluster, 0, 0);
    assert!(cluster.wait_for_revision(1));
    let leader = cluster.leader("control").expect("a leader");
    cluster.set_all_links(leader, LinkFault::black_hole());
    let others: Vec<usize> = (0..5).filter(|position| *position != leader).collect();
    assert!(
        wait_until(Duration::from_secs(20), || {
            cluster.leader("control").is_some_and(|now| now != leader)
        }),
        "no other leader"
    );
    let accepted = wait_until(Duration::from_secs(20), || {
        let answer = cluster.change(others[0], "after-cut", 1, tenant("after-cut"));
        answer.is_some_and(|(status, _)| status == 200)
    });
    assert!(accepted, "the majority does not accept");
    assert!(
        wait_until(Duration::from_secs(10), || cluster
            .revision(leader)
            .is_none()),
        "the partitioned leader still serves"
    );
    let url = format!(
        "http://{}/v1/configuration",
        cluster.nodes[leader].operators
    );
    match ureq::get(&url).call() {
        Err(ureq::Error::Status(503, response)) => {
            let body: Value = serde_json::from_reader(response.into_reader()).expect("JSON");
            assert_eq!(body["code"], 2101);
        }
        other => panic!("the partitioned leader answered a read: {other:?}"),
    }
    let refused = cluster.change(leader, "cut-off", 1, tenant("cut-off"));
    assert!(refused.is_none_or(|(status, _)| status == 503));
    let url = format!("http://{}/v1/entry-points", cluster.nodes[leader].callers);
    assert!(matches!(
        ureq::get(&url).call(),
        Err(ureq::Error::Status(503, _))
    ));
    cluster.set_all_links(leader, LinkFault::default());
    assert!(cluster.wait_for_revision(2));
    // The change sent to the partitioned leader is based on an old revision, so it must have
    // been rejected as a conflict.
    assert!(wait_until(Duration::from_secs(10), || {
        (0..5).all(|position| cluster.revision(position) == Some(2))
    }));
}

#[test]
fn a_voter_with_an_emptied_disk_votes_only_after_it_has_the_log() {
    let mut cluster = start_cluster(&ClusterOptions::new(5, 5));
    for base in 0..20 {
        change_configuration(&cluster, 0, base);
    }
    let replica = |cluster: &Cluster, position: usize| -> Value {
        let status = cluster.status(position).unwrap_or_default();
        status["groups"]["control"]["replica"].clone()
    };
    let emptied_voter = 4;
    let former_replica = replica(&cluster, emptied_voter)["replica"].clone();
    cluster.kill(emptied_voter);
    cluster.wipe(emptied_voter).expect("emptied");
    cluster.spawn(emptied_voter).expect("started");
    let mut voted_without_log = false;
    let is_voter_again = wait_until(Duration::from_secs(30), || {
        let status = cluster.status(emptied_voter).unwrap_or_default();
        let group = &status["groups"]["control"];
        let voters = group["replica"]["voters"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let votes = group["replica"]["votes"] == true;
        voted_without_log |= votes && group["commit_index"].as_u64() < Some(20);
        votes && voters.len() == 5
    });
    assert!(
        is_voter_again,
        "the voter with an emptied disk did not become a voter again: {}",
        replica(&cluster, 0)
    );
    assert!(
        !voted_without_log,
        "it became a voter before it had the log"
    );
    assert_ne!(replica(&cluster, emptied_voter)["replica"], former_replica);
    // With two more voters lost, a majority needs the vote of the recovered one.
    cluster.kill(0);
    cluster.kill(1);
    let accepted = wait_until(Duration::from_secs(30), || {
        cluster
            .change(emptied_voter, "after-losses", 20, tenant("after-losses"))
            .is_some_and(|(status, _)| status == 200)
    });
    assert!(accepted, "three of five voters do not accept");
    assert!(cluster.wait_for_revision(21));
}

#[test]
fn a_corrupt_log_stops_the_process_with_a_numbered_error() {
    let mut cluster = start_cluster(&ClusterOptions::new(3, 3));
    for base in 0..5 {
        change_configuration(&cluster, 0, base);
    }
    cluster.kill(0);
    let path = cluster.nodes[0].data_folder.join("control/log");
    let mut bytes = std::fs::read(&path).expect("the log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    std::fs::write(&path, bytes).expect("written");
    cluster.spawn(0).expect("started");
    let status = cluster
        .wait_for_exit(0, Duration::from_secs(10))
        .expect("it stops");
    assert!(!status.success());
    assert!(
        cluster.log_text(0).contains("5002"),
        "{}",
        cluster.log_text(0)
    );
    // The other processes continue to accept changes.
    change_configuration(&cluster, 1, 5);
}
