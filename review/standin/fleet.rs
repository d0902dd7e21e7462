//! Three processes of the system with a data folder each, as the deploy file starts them, and the
//! operator's calls.

use crate::http::call;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/silversaild";
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// One process and its addresses.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub control: SocketAddr,
    pub entry_points: SocketAddr,
    operators: SocketAddr,
    pipelines: SocketAddr,
    peer: SocketAddr,
    child: Option<Child>,
}

/// The processes; they are killed when it is dropped.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    list: SocketAddr,
}

impl Fleet {
    /// Starts `count` processes in zones of their own. `list` is the platform's list of engines.
    pub fn start(count: usize, folder: &Path, list: SocketAddr) -> io::Result<Self> {
        let mut ports = FreePorts::new();
        let mut nodes = Vec::new();
        for number in 0..count {
            nodes.push(Node {
                name: format!("edge-z{number}-1"),
                zone: format!("z{number}"),
                callers: ports.next()?,
                readiness: ports.next()?,
                control: ports.next()?,
                entry_points: ports.next()?,
                operators: ports.next()?,
                pipelines: ports.next()?,
                peer: ports.next()?,
                child: None,
            });
        }
        drop(ports);
        let mut fleet = Self {
            nodes,
            folder: folder.to_owned(),
            list,
        };
        for number in 0..count {
            fleet.spawn(number, true)?;
        }
        Ok(fleet)
    }

    /// Starts a process.
    pub fn spawn(&mut self, number: usize, first_start: bool) -> io::Result<()> {
        let settings = self.folder.join(format!("node-{number}.yaml"));
        fs::write(&settings, self.settings(number, first_start))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("node-{number}.log")))?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut started = fs::read_to_string(self.folder.join("pids")).unwrap_or_default();
        started.push_str(&format!("{}\n", child.id()));
        fs::write(self.folder.join("pids"), started)?;
        self.nodes[number].child = Some(child);
        Ok(())
    }

    /// Settings by the template of the deploy file, as JSON, which is YAML too.
    fn settings(&self, number: usize, first_start: bool) -> String {
        let node = &self.nodes[number];
        let contacts: Vec<String> = self
            .nodes
            .iter()
            .take(3)
            .map(|node| format!("\"{}\"", node.peer))
            .collect();
        let zones: Vec<String> = self
            .nodes
            .iter()
            .map(|node| format!("\"{}\": \"r\"", node.zone))
            .collect();
        let data = self.folder.join(&node.name);
        format!(
            r#"{{
  "node": "{name}",
  "cluster": {{"name": "silversail", "ledger_groups": 0}},
  "discovery": {{
    "own": {{"name": "{name}", "zone": "{zone}", "peer": "{peer}", "callers": "{callers}"}},
    "contacts": [{contacts}], "first_start": {first_start}
  }},
  "listen": {{"callers": "{pipelines}"}},
  "operators": "{operators}",
  "data_folder": "{data}",
  "topology": {{"zones": {{{zones}}}}},
  "gateway": {{
    "callers": "{callers}", "readiness": "{readiness}", "control": "{control}",
    "entry_points": "{entry_points}", "backend_list": "{list}", "backend_list_rate": 40.0,
    "leaving_bound_ms": 3000, "processor_share": 0.45, "stop_grace_ms": 8000,
    "retry_ratio": 0.2, "retry_window_ms": 10000, "retry_allowance": 58
  }},
  "log": {{"level": "info", "decisions": true}}
}}"#,
            name = node.name,
            zone = node.zone,
            peer = node.peer,
            callers = node.callers,
            contacts = contacts.join(", "),
            pipelines = node.pipelines,
            operators = node.operators,
            data = data.display(),
            zones = zones.join(", "),
            readiness = node.readiness,
            control = node.control,
            entry_points = node.entry_points,
            list = self.list,
        )
    }

    /// Kills a process.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.nodes[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a configuration until it is acknowledged, to one node after the other.
    pub fn publish(&self, document: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(25);
        let mut number = 0;
        while Instant::now() < end {
            let status = self.put_configuration(number % self.nodes.len(), document);
            if status == 200 {
                return true;
            }
            number += 1;
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a configuration once; returns the status, 0 for no answer.
    pub fn put_configuration(&self, number: usize, document: &str) -> u16 {
        let control = self.nodes[number].control;
        let headers = [("host", "control"), ("content-type", "application/json")];
        let body = document.as_bytes();
        let answer = call(control, "PUT", "/config", &headers, body, CALL_TIMEOUT);
        answer.map_or(0, |answer| answer.head.status())
    }

    /// Waits until all nodes are ready and name all of them to clients.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(25);
        while Instant::now() < end {
            if (0..self.nodes.len()).all(|number| self.is_ready(number)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether a node is ready and names all nodes to clients.
    pub fn is_ready(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let get = |address, target: &str| {
            call(address, "GET", target, &[("host", "n")], b"", CALL_TIMEOUT)
        };
        let is_ready =
            get(node.readiness, "/readyz").is_ok_and(|answer| answer.head.status() == 200);
        let target = format!("/resolve?name=a.example&region=r&zone={}", node.zone);
        let resolved = get(node.entry_points, &target);
        let body = resolved.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let body = body.unwrap_or_default();
        is_ready
            && self
                .nodes
                .iter()
                .all(|node| body.contains(&node.callers.to_string()))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.nodes.len() {
            self.kill(number);
        }
    }
}

/// First port that is tried, and the number of them. Below the ports that systems give to outgoing
/// connections, one of which might otherwise take a port before the process that is meant to have it.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 10_000;

/// Free ports of the loopback interface; all are held until it is dropped.
struct FreePorts {
    held: Vec<TcpListener>,
    next: u32,
}

impl FreePorts {
    fn new() -> Self {
        Self {
            held: Vec::new(),
            next: std::process::id().wrapping_mul(97) % PORTS,
        }
    }

    fn next(&mut self) -> io::Result<SocketAddr> {
        for _ in 0..PORTS {
            let port = FIRST_PORT + (self.next % PORTS) as u16;
            self.next += 1;
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                let address = listener.local_addr()?;
                self.held.push(listener);
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}
