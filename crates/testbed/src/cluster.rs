//! A cluster of real `silversaild` processes, each with its own data folder and
//! settings file, optionally connected through fault-injecting proxies.

use crate::proxy::{FaultProxy, LinkFault};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::runtime::Runtime;

/// Options of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of processes.
    pub nodes: usize,
    /// Number of voters, which are the first processes.
    pub voters: usize,
    /// Whether peer connections go through fault proxies.
    pub proxied: bool,
    /// Address of the platform's machine list.
    pub platform: Option<SocketAddr>,
    /// Additional settings by section, such as `timing` or `routing`.
    pub settings: Value,
}

impl ClusterOptions {
    /// Options for `nodes` processes, of which the first `voters` vote.
    pub fn new(nodes: usize, voters: usize) -> Self {
        Self {
            nodes,
            voters,
            proxied: false,
            platform: None,
            settings: json!({}),
        }
    }
}

/// One process of a cluster.
pub struct ClusterNode {
    /// Name of the node.
    pub name: String,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Data folder of the process.
    pub data_folder: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A running cluster. Dropping it kills all processes.
pub struct Cluster {
    /// All processes, by position.
    pub nodes: Vec<ClusterNode>,
    binary: PathBuf,
    folder: Option<TempDir>,
    links: BTreeMap<(usize, usize), FaultProxy>,
    _runtime: Option<Runtime>,
}

/// Timeout of waits for the state of processes, such as their start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of an operator request.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Range of listen ports. It is below the usual range of ephemeral ports, so that
/// no outgoing connection takes the port of a process that restarts.
const PORTS: std::ops::Range<u16> = 22_000..32_000;
/// Distance between the first ports of two test programs.
const PORTS_PER_PROGRAM: u32 = 200;

static ALLOCATED_PORTS: AtomicU32 = AtomicU32::new(0);

/// A loopback address on which nothing listens and that this program has not used
/// before.
pub fn free_address() -> io::Result<SocketAddr> {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROGRAM);
    for _ in PORTS {
        let offset = first.wrapping_add(ALLOCATED_PORTS.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + (offset % u32::from(PORTS.end - PORTS.start)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

/// Path of a program in the same target folder as the running example.
pub fn program_beside_example(name: &str) -> io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent);
    Ok(folder.unwrap_or(Path::new(".")).join(name))
}

/// Parses a YAML file; an invalid file is reported as an I/O error.
pub fn read_yaml<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let text = std::fs::read_to_string(path)?;
    serde_yaml_ng::from_str(&text).map_err(io::Error::other)
}

/// Waits until `condition` holds; false when it does not within `timeout`.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl Cluster {
    /// Writes the settings files and starts all processes of the program at `binary`.
    pub fn start(binary: &Path, options: &ClusterOptions) -> io::Result<Self> {
        let mut cluster = Self::prepare(binary, options)?;
        for position in 0..options.nodes {
            cluster.spawn(position)?;
        }
        Ok(cluster)
    }

    fn prepare(binary: &Path, options: &ClusterOptions) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let runtime = match options.proxied {
            true => Some(
                tokio::runtime::Builder::new_multi_thread()
                    .worker_threads(2)
                    .enable_all()
                    .build()?,
            ),
            false => None,
        };
        let peers = free_addresses(options.nodes)?;
        let callers = free_addresses(options.nodes)?;
        let operators = free_addresses(options.nodes)?;
        let mut links = BTreeMap::new();
        if let Some(runtime) = &runtime {
            for from in 0..options.nodes {
                for to in (0..options.nodes).filter(|to| *to != from) {
                    links.insert((from, to), FaultProxy::start(runtime, peers[to])?);
                }
            }
        }
        let mut nodes = Vec::new();
        for position in 0..options.nodes {
            let name = format!("n{position}");
            let data_folder = folder.path().join(&name);
            let peer_addresses: Vec<SocketAddr> = (0..options.nodes)
                .map(|to| {
                    links
                        .get(&(position, to))
                        .map_or(peers[to], FaultProxy::address)
                })
                .collect();
            let settings = settings_for_node(
                position,
                options,
                &peer_addresses,
                &peers,
                &callers,
                operators[position],
                &data_folder,
            );
            let path = folder.path().join(format!("{name}.yaml"));
            std::fs::write(
                &path,
                serde_yaml_ng::to_string(&settings).map_err(io::Error::other)?,
            )?;
            nodes.push(ClusterNode {
                log: folder.path().join(format!("{name}.log")),
                name,
                callers: callers[position],
                operators: operators[position],
                data_folder,
                settings: path,
                child: None,
            });
        }
        Ok(Self {
            nodes,
            binary: binary.to_owned(),
            folder: Some(folder),
            links,
            _runtime: runtime,
        })
    }

    /// Starts the process at a position, which must not be running.
    pub fn spawn(&mut self, position: usize) -> io::Result<()> {
        let node = &mut self.nodes[position];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        node.child = Some(child);
        Ok(())
    }

    fn signal(&self, position: usize, signal: Signal) {
        if let Some(child) = &self.nodes[position].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills a process with `SIGKILL` and waits for its end.
    pub fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.nodes[position].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Requests a graceful stop with `SIGTERM`.
    pub fn terminate(&self, position: usize) {
        self.signal(position, Signal::SIGTERM);
    }

    /// Freezes a process with `SIGSTOP`.
    pub fn freeze(&self, position: usize) {
        self.signal(position, Signal::SIGSTOP);
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn resume(&self, position: usize) {
        self.signal(position, Signal::SIGCONT);
    }

    /// Waits for a process to exit; none when it does not within `timeout`.
    pub fn wait_for_exit(&mut self, position: usize, timeout: Duration) -> Option<ExitStatus> {
        let mut child = self.nodes[position].child.take()?;
        let mut status = None;
        wait_until(timeout, || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        if status.is_none() {
            self.nodes[position].child = Some(child);
        }
        status
    }

    /// Deletes the data folder of a process that is not running.
    pub fn wipe(&self, position: usize) -> io::Result<()> {
        std::fs::remove_dir_all(&self.nodes[position].data_folder)
    }

    /// Whether the process was started and neither killed nor waited for.
    pub fn is_running(&self, position: usize) -> bool {
        self.nodes[position].child.is_some()
    }

    /// Operating system identifier of a process; none while it is down.
    pub fn process_id(&self, position: usize) -> Option<u32> {
        self.nodes[position].child.as_ref().map(Child::id)
    }

    /// Contents of the log file of a process.
    pub fn log_text(&self, position: usize) -> String {
        std::fs::read_to_string(&self.nodes[position].log).unwrap_or_default()
    }

    /// Sets the fault of the connection over which `from` sends to `to`.
    pub fn set_link(&self, from: usize, to: usize, fault: LinkFault) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set(fault);
        }
    }

    /// Sets the fault of all connections from and to a process.
    pub fn set_all_links(&self, position: usize, fault: LinkFault) {
        for ((from, to), link) in &self.links {
            if *from == position || *to == position {
                link.set(fault);
            }
        }
    }

    /// Status of a process; none when it does not answer.
    pub fn status(&self, position: usize) -> Option<Value> {
        let url = format!("http://{}/v1/status", self.nodes[position].operators);
        let response = ureq::get(&url)
            .timeout(Duration::from_secs(2))
            .call()
            .ok()?;
        serde_json::from_reader(response.into_reader()).ok()
    }

    /// Metrics of a process in the text format; none when it does not answer.
    pub fn metrics(&self, position: usize) -> Option<String> {
        let url = format!("http://{}/metrics", self.nodes[position].operators);
        let response = ureq::get(&url)
            .timeout(Duration::from_secs(2))
            .call()
            .ok()?;
        response.into_string().ok()
    }

    /// Sum of the samples of a metric whose labels contain `label`.
    pub fn metric_sum(&self, position: usize, name: &str, label: &str) -> f64 {
        let text = self.metrics(position).unwrap_or_default();
        metric_sum(&text, name, label)
    }

    /// Configuration revision of a process that is serving.
    pub fn revision(&self, position: usize) -> Option<u64> {
        let status = self.status(position)?;
        status["serving"]
            .as_bool()?
            .then(|| status["revision"].as_u64())?
    }

    /// Position of the process that reports itself as leader of a group.
    pub fn leader(&self, group: &str) -> Option<usize> {
        (0..self.nodes.len()).find(|position| {
            self.is_running(*position)
                && self
                    .status(*position)
                    .is_some_and(|status| status["groups"][group]["is_leader"] == true)
        })
    }

    /// Waits until all running processes serve.
    pub fn wait_until_serving(&self) -> bool {
        wait_until(START_TIMEOUT, || {
            (0..self.nodes.len())
                .filter(|position| self.is_running(*position))
                .all(|position| {
                    self.status(position)
                        .is_some_and(|status| status["serving"] == true)
                })
        })
    }

    /// Waits until every running process sees `count` usable nodes.
    pub fn wait_for_usable(&self, count: usize) -> bool {
        wait_until(START_TIMEOUT, || {
            (0..self.nodes.len())
                .filter(|position| self.is_running(*position))
                .all(|position| {
                    let status = self.status(position).unwrap_or_default();
                    status["usable_nodes"]
                        .as_array()
                        .is_some_and(|nodes| nodes.len() == count)
                })
        })
    }

    /// Sends a configuration change to a process; returns status and body of the answer.
    pub fn change(
        &self,
        position: usize,
        change_id: &str,
        base_revision: u64,
        document: Value,
    ) -> Option<(u16, Value)> {
        let url = format!(
            "http://{}/v1/configuration/changes",
            self.nodes[position].operators
        );
        let body = json!({
            "change_id": change_id,
            "base_revision": base_revision,
            "operator": "test",
            "document": document,
        });
        let sent = ureq::post(&url)
            .timeout(OPERATOR_TIMEOUT)
            .send_string(&body.to_string());
        let response = match sent {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response,
            Err(ureq::Error::Transport(_)) => return None,
        };
        let status = response.status();
        let body = serde_json::from_reader(response.into_reader()).ok()?;
        Some((status, body))
    }

    /// Waits until every running process has applied `revision` or a later one.
    pub fn wait_for_revision(&self, revision: u64) -> bool {
        wait_until(START_TIMEOUT, || {
            (0..self.nodes.len())
                .filter(|position| self.is_running(*position))
                .all(|position| self.revision(position) >= Some(revision))
        })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for position in 0..self.nodes.len() {
            self.kill(position);
        }
        if std::thread::panicking() {
            // The logs may explain why a test failed.
            if let Some(folder) = self.folder.take() {
                eprintln!("logs kept in {}", folder.keep().display());
            }
        }
    }
}

/// Sum of the samples of a metric whose labels contain `label`, in metrics in the
/// text format.
pub fn metric_sum(text: &str, name: &str, label: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name) && line.contains(label))
        .filter(|line| matches!(line.as_bytes().get(name.len()), Some(b'{' | b' ')))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

fn settings_for_node(
    position: usize,
    options: &ClusterOptions,
    peer_addresses: &[SocketAddr],
    peers: &[SocketAddr],
    callers: &[SocketAddr],
    operators: SocketAddr,
    data_folder: &Path,
) -> Value {
    let nodes: Vec<Value> = (0..options.nodes)
        .map(|node| {
            json!({
                "name": format!("n{node}"),
                "zone": format!("z{}", node % 3),
                "peer": peer_addresses[node].to_string(),
                "callers": callers[node].to_string(),
            })
        })
        .collect();
    let voters: Vec<String> = (0..options.voters).map(|node| format!("n{node}")).collect();
    let mut settings = json!({
        "node": format!("n{position}"),
        "cluster": { "name": "test", "nodes": nodes, "voters": voters },
        "listen": { "peer": peers[position].to_string() },
        "operators": operators.to_string(),
    });
    if position < options.voters {
        settings["data_folder"] = json!(data_folder);
    }
    if let Some(platform) = options.platform {
        settings["platform"] = json!(platform.to_string());
    }
    if let (Some(settings), Value::Object(additional)) =
        (settings.as_object_mut(), &options.settings)
    {
        settings.extend(additional.clone());
    }
    settings
}
