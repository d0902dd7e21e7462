//! Queue limits and sampling of the decision log.

use silversail_decisions::writer::{is_sampled, LogLine};
use silversail_decisions::{DecisionLog, Event, LogLimits};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Output that signals each write and blocks it until released.
struct BlockingOutput {
    entered: Sender<()>,
    released: Receiver<()>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.entered.send(());
        let _ = self.released.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct BufferOutput(Arc<Mutex<Vec<u8>>>);

impl Write for BufferOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl BufferOutput {
    fn lines(&self) -> Vec<LogLine> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        let text = String::from_utf8(bytes).expect("text");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a whole line"))
            .collect()
    }

    fn wait_for(&self, is_complete: impl Fn(&[LogLine]) -> bool) -> Vec<LogLine> {
        let deadline = Instant::now() + Duration::from_secs(30);
        loop {
            let lines = self.lines();
            if is_complete(&lines) || Instant::now() > deadline {
                return lines;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

const LIMITS: LogLimits = LogLimits {
    queue: 40,
    steps_per_second: 1_000,
    sample_one_of: 4,
};

fn request_step(number: usize) -> Event {
    Event::Admitted {
        request: format!("r{number}"),
        route: "route".into(),
        service: "service".into(),
        version: 1,
        remaining_ms: 1,
        phases: 0,
        fingerprint: String::new(),
        prompt_parts: Vec::new(),
        is_forwarded: false,
    }
}

fn request_failure(number: usize) -> Event {
    Event::CallerGone {
        request: format!("r{number}"),
        after_ms: 1,
        sends: 0,
    }
}

fn state_change(version: u64) -> Event {
    Event::TrafficInForce { version, before: 0 }
}

#[test]
fn a_blocked_output_drops_the_least_important_lines_first() {
    let (entered, is_entered) = channel();
    let (_release, released) = channel();
    let output = BlockingOutput { entered, released };
    let log = DecisionLog::start("n1", LIMITS, output).expect("a thread");
    // The writer takes this line from the queue and blocks in the output.
    log.record(state_change(0));
    is_entered.recv().expect("the writer writes");
    for number in 0..100 {
        log.record(request_step(number));
    }
    assert_eq!(log.counts().dropped_steps, 80);
    for number in 0..100 {
        log.record(request_failure(number));
    }
    assert_eq!(log.counts().dropped_failures, 90);
    for version in 0..15 {
        log.record(state_change(version));
    }
    assert_eq!(log.counts().dropped_beliefs, 5);
}

#[test]
fn lines_are_complete_and_dropped_lines_are_reported() {
    let output = BufferOutput::default();
    let log = DecisionLog::start("n1", LIMITS, output.clone()).expect("a thread");
    for number in 0..200 {
        log.record(request_failure(number));
    }
    let count_accounted = |lines: &[LogLine]| -> u64 {
        let counts = lines.iter().map(|line| match &line.event {
            Event::Dropped { failures, .. } => *failures,
            event => u64::from(event.request().is_some()),
        });
        counts.sum()
    };
    let lines = output.wait_for(|lines| count_accounted(lines) == 200);
    assert_eq!(count_accounted(&lines), 200);
    assert!(lines.len() < 200);
    assert!(lines.iter().all(|line| line.node == "n1"));
}

#[test]
fn all_nodes_sample_the_same_requests_under_load() {
    let limits = LogLimits {
        queue: 100_000,
        steps_per_second: 0,
        sample_one_of: 4,
    };
    let mut sampled_by_node = Vec::new();
    for node in ["n1", "n2"] {
        let output = BufferOutput::default();
        let log = DecisionLog::start(node, limits, output.clone()).expect("a thread");
        for number in 0..400 {
            log.record(request_step(number));
        }
        let taken = log.counts().taken as usize;
        let steps = |lines: &[LogLine]| {
            let requests = lines.iter().filter_map(|line| line.event.request());
            requests.map(str::to_owned).collect::<Vec<String>>()
        };
        let requests = steps(&output.wait_for(|lines| steps(lines).len() >= taken));
        assert!((50..150).contains(&requests.len()), "{}", requests.len());
        assert!(requests.iter().all(|request| is_sampled(request, 4)));
        sampled_by_node.push(requests);
    }
    assert_eq!(sampled_by_node[0], sampled_by_node[1]);
}
