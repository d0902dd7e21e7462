//! A client forges `Tenant` and names it among the headers of its own connection.

use crate::engine::{Engines, Service};
use crate::fleet::{configuration, free_network, Fleet};
use crate::http::{encode, read};
use crate::record::Record;
use crate::{CaseError, Verdict};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

const REQUESTS: usize = 30;
/// Key and its tenant by the configuration.
const KEY: &str = "9dnn2ctnfzs989anu6ws";
const TENANT: &str = "bozi300";
/// What the client claims to be.
const CLAIMED: &str = "kolu12";

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, CaseError> {
    let service = Service {
        name: "gate",
        answer_bytes: 800,
        work: Duration::from_millis(15),
    };
    let network = free_network(3)?;
    let engines = Engines::start(
        &format!("{network}.200"),
        service,
        &["z0", "z1", "z2"],
        record,
    )?;
    let mut fleet = Fleet::prepare(&network, 3, engines.list, record)?;
    fleet.start_all()?;
    let document = configuration(service.name, "unsafe", 6000);
    match fleet.publish(&document, Duration::from_secs(30)) {
        Some(200) => {}
        other => return Err(format!("the configuration was not taken: {other:?}")),
    }
    fleet.wait_until_ready(Duration::from_secs(20))?;
    std::thread::sleep(Duration::from_secs(4));
    let connection = match has_trouble {
        true => "keep-alive, Tenant",
        false => "keep-alive",
    };
    let authorization = format!("Token {KEY}");
    let mut answered = 0;
    for number in 0..REQUESTS {
        let node = &fleet.nodes[number % fleet.nodes.len()];
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "a.example"),
            ("Attempt-Id", id.as_str()),
            ("Deadline-Ms", "4000"),
            ("Authorization", authorization.as_str()),
            ("Tenant", CLAIMED),
            ("Connection", connection),
        ];
        let request = encode("POST /serve/2f HTTP/1.1", &headers, b"open");
        let answer = TcpStream::connect(node.frontend()).and_then(|mut stream| {
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(&request)?;
            read(&mut BufReader::new(stream))
        });
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        answered += usize::from(status == 200);
        record.line(&format!(
            "client sends {id} to {} with the key of {TENANT}, Tenant: {CLAIMED}, Connection: \
             {connection}; answer {status}",
            node.name
        ));
    }
    let runs = engines.runs();
    if answered == 0 || runs.is_empty() {
        return Err("no request was served".to_owned());
    }
    let foreign = runs
        .iter()
        .filter(|run| run.tenant.as_deref() != Some(TENANT))
        .count();
    record.line(&format!(
        "{answered} of {REQUESTS} requests served; {} runs, {foreign} of them without the Tenant {TENANT}",
        runs.len()
    ));
    Ok(match foreign {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
