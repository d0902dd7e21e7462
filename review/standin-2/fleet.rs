//! The platform's part: it starts the project's processes by the deploy file, on loopback addresses
//! of their own, and the operator's calls.

use crate::http::{call, Message};
use crate::record::Record;
use crate::template::{fill, Value};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const FRONTEND: u16 = 8625;
const READY: u16 = 8621;
const CONTROL: u16 = 8628;
const DIRECTORY: u16 = 8620;
const FIRST_PORT: u16 = 7740;
const SETTINGS_PATH: &str = "/etc/silversail/node.json";

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub ip: String,
    zone: String,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn frontend(&self) -> SocketAddr {
        self.address(FRONTEND)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }

    pub fn control(&self) -> SocketAddr {
        self.address(CONTROL)
    }
}

/// The machines, each with a disk. Their processes are killed when it is dropped.
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
    list: SocketAddr,
    program: Vec<String>,
    template: String,
    record: Record,
}

/// Has the kernel kill this process when its parent ends.
fn end_with_parent() -> std::io::Result<()> {
    extern "C" {
        fn prctl(option: i32, argument: u64) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a signal and touches no memory.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// Value of a line `NAME = "TEXT"` of the deploy file.
fn deploy_text(deploy: &str, name: &str) -> Result<String, String> {
    let lines = deploy.lines().map(str::trim);
    let mut values = lines.filter_map(|line| line.strip_prefix(name)?.trim().strip_prefix('='));
    let value = values
        .next()
        .ok_or(format!("deploy/system.toml names no {name}"))?;
    Ok(value.trim().trim_matches('"').to_owned())
}

/// The first part of loopback addresses on which all ports of `count` machines are free.
pub fn free_network(count: usize) -> Result<String, String> {
    let process = std::process::id();
    for attempt in 0..200 {
        let number = process.wrapping_add(attempt * 7919);
        let network = format!("127.{}.{}", 64 + (number >> 8) % 128, number % 256);
        let ports = [
            FRONTEND,
            READY,
            CONTROL,
            DIRECTORY,
            FIRST_PORT,
            FIRST_PORT + 1,
            FIRST_PORT + 2,
        ];
        let is_free = (0..count).all(|node| {
            let ip = format!("{network}.{}", 10 + node);
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err("no free loopback addresses".to_owned())
}

impl Fleet {
    /// Prepares `count` machines of a network in three zones; starts none.
    pub fn prepare(
        network: &str,
        count: usize,
        list: SocketAddr,
        record: &Record,
    ) -> Result<Self, String> {
        let read =
            |path: &str| fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
        let deploy = read("deploy/system.toml")?;
        let run = deploy_text(&deploy, "run")?;
        let program: Vec<String> = run.split(' ').map(str::to_owned).collect();
        let template = read(&deploy_text(&deploy, "template")?)?;
        let folder =
            std::env::temp_dir().join(format!("silversail-review-2-{}", std::process::id()));
        let node = |position: usize| Node {
            name: format!("edge-z{position}-1"),
            ip: format!("{network}.{}", 10 + position),
            zone: format!("z{position}"),
            folder: folder.join(format!("n{position}")),
            child: None,
        };
        let nodes: Vec<Node> = (0..count).map(node).collect();
        for node in &nodes {
            fs::create_dir_all(node.folder.join("data")).map_err(|error| error.to_string())?;
        }
        Ok(Self {
            nodes,
            folder,
            list,
            program,
            template,
            record: record.clone(),
        })
    }

    fn settings(&self, position: usize, bootstrap: bool) -> String {
        let node = &self.nodes[position];
        let at = |port: u16| Value::text(format!("{}:{port}", node.ip));
        let table = |fields: Vec<(&str, Value)>| {
            Value::Table(
                fields
                    .into_iter()
                    .map(|(key, v)| (key.to_owned(), v))
                    .collect(),
            )
        };
        let seeds = self.nodes.iter().take(3);
        let seeds = seeds.map(|seed| Value::text(format!("{}:{CONTROL}", seed.ip)));
        let zones = self
            .nodes
            .iter()
            .map(|node| (node.zone.clone(), Value::text("region")));
        let fields = table(vec![
            ("node_name", Value::text(&node.name)),
            ("ip", Value::text(&node.ip)),
            ("zone", Value::text(&node.zone)),
            ("region", Value::text("region")),
            ("zones", Value::Table(zones.collect())),
            (
                "listen",
                table(vec![
                    ("frontend", at(FRONTEND)),
                    ("ready", at(READY)),
                    ("control_plane", at(CONTROL)),
                    ("directory", at(DIRECTORY)),
                ]),
            ),
            (
                "port_range",
                Value::List(vec![
                    Value::Number(f64::from(FIRST_PORT)),
                    Value::Number(f64::from(FIRST_PORT + 15)),
                ]),
            ),
            ("seeds", Value::List(seeds.collect())),
            ("bootstrap", Value::Truth(bootstrap)),
            ("limits", table(vec![("cpu_share", Value::Number(0.45))])),
            (
                "data_dir",
                Value::text(node.folder.join("data").display().to_string()),
            ),
            (
                "bounds",
                table(vec![
                    ("drain_ms", Value::Number(3000.0)),
                    ("grace_s", Value::Number(8.0)),
                    ("retry_ratio", Value::Number(0.2)),
                    ("retry_window_s", Value::Number(10.0)),
                    ("retry_allowance", Value::Number(58.0)),
                ]),
            ),
            (
                "cloud_api",
                table(vec![
                    ("address", Value::text(self.list.to_string())),
                    ("rate_per_s", Value::Number(42.0)),
                ]),
            ),
        ]);
        fill(&self.template, &fields)
    }

    /// Starts the process of a machine, with the settings of that time.
    pub fn start(&mut self, position: usize, bootstrap: bool) -> Result<(), String> {
        let settings = self.settings(position, bootstrap);
        let node = &mut self.nodes[position];
        let path = node.folder.join("node.json");
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = node.folder.join("log");
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let path = path.display().to_string();
        let arguments = self.program[1..].iter();
        let arguments = arguments.map(|word| match word == SETTINGS_PATH {
            true => path.clone(),
            false => word.clone(),
        });
        let mut command = Command::new(&self.program[0]);
        // SAFETY: calls only `prctl`, which may be called between fork and exec.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(arguments)
            .env("SILVERSAIL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program[0]))?;
        self.record.line(&format!(
            "{} ({}) starts as process {}, bootstrap {bootstrap}",
            node.name,
            node.ip,
            child.id()
        ));
        node.child = Some(child);
        Ok(())
    }

    /// Starts all machines for the first time.
    pub fn start_all(&mut self) -> Result<(), String> {
        (0..self.nodes.len()).try_for_each(|position| self.start(position, true))
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} is killed", node.name));
        }
    }

    /// Sends SIGTERM to the process of a machine.
    pub fn terminate(&self, position: usize) -> Result<(), String> {
        extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        const SIGTERM: i32 = 15;
        let node = &self.nodes[position];
        let child = node.child.as_ref().ok_or("no such process")?;
        // SAFETY: sends a signal to a child of this process that has not been waited for.
        let result = unsafe { kill(child.id() as i32, SIGTERM) };
        self.record.line(&format!("{} gets SIGTERM", node.name));
        match result {
            0 => Ok(()),
            _ => Err("SIGTERM could not be sent".to_owned()),
        }
    }

    /// Whether the process of a machine runs.
    pub fn is_running(&mut self, position: usize) -> bool {
        let child = self.nodes[position].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory of the process of a machine, in bytes.
    pub fn resident_bytes(&self, position: usize) -> u64 {
        let child = self.nodes[position].child.as_ref();
        let status = child.map(|child| format!("/proc/{}/status", child.id()));
        let status = status
            .and_then(|path| fs::read_to_string(path).ok())
            .unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Sends an order of the operator to the machines in turn until it has a clear answer. Returns
    /// its status; none if there was no clear answer in time.
    pub fn publish(&self, document: &str, within: Duration) -> Option<u16> {
        let end = Instant::now() + within;
        let mut position = 0;
        let mut pause = Duration::from_millis(100);
        let mut last = String::new();
        while Instant::now() < end {
            let node = &self.nodes[position % self.nodes.len()];
            position += 1;
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let line = "PUT /config HTTP/1.1";
            let wait = Duration::from_secs(4);
            let answer = call(node.control(), line, &headers, document.as_bytes(), wait);
            let text = match &answer {
                Ok(answer) => format!("{} answers {}", node.name, answer.line),
                Err(error) => format!("{}: {error}", node.name),
            };
            if text != last {
                self.record.line(&format!("PUT /config: {text}"));
                last = text;
            }
            let status = answer.map_or(0, |answer| answer.status());
            if (200..500).contains(&status) && status != 408 && status != 429 {
                return Some(status);
            }
            sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_secs(1));
        }
        None
    }

    /// Reads the configuration back from each machine, once.
    pub fn read_back(&self) -> Vec<(String, Option<Message>)> {
        let read = |node: &Node| {
            let headers = [("Host", "control")];
            let wait = Duration::from_secs(1);
            let answer = call(node.control(), "GET /config HTTP/1.1", &headers, b"", wait);
            (node.name.clone(), answer.ok())
        };
        self.nodes.iter().map(read).collect()
    }

    /// Waits until all machines are ready.
    pub fn wait_until_ready(&self, within: Duration) -> Result<(), String> {
        let end = Instant::now() + within;
        let is_ready = |node: &Node| {
            let headers = [("Host", "ready")];
            let wait = Duration::from_secs(1);
            let answer = call(
                node.address(READY),
                "GET /readyz HTTP/1.1",
                &headers,
                b"",
                wait,
            );
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < end {
            if self.nodes.iter().all(is_ready) {
                self.record.line("all machines are ready");
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("the machines were not ready in time".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for position in 0..self.nodes.len() {
            self.kill(position);
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A configuration with one route for a service, and one tenant.
pub fn configuration(service: &str, kind: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"a.example\",\
         \"path_prefix\":\"/serve/\",\"route_kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
         \"latency_goal_ms\":2000,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
         \"phases\":[],\"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bozi300\",\"api_keys\":[\"9dnn2ctnfzs989anu6ws\"],\"priority\":1}},\
         {{\"name\":\"kolu12\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}}]}}"
    )
}
