//! The decision log is bounded and never blocks.

use silversail_decisions::writer::{is_sampled, LogLine};
use silversail_decisions::{DecisionLog, Event, LogLimits};
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that tells when the writer waits in it, and waits until released.
struct Blocked {
    entered: Sender<()>,
    released: Receiver<()>,
}

impl Write for Blocked {
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
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
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

impl Kept {
    fn lines(&self) -> Vec<LogLine> {
        let bytes = self.0.lock().expect("not poisoned").clone();
        let text = String::from_utf8(bytes).expect("text");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("a whole line"))
            .collect()
    }

    fn wait_for(&self, is_enough: impl Fn(&[LogLine]) -> bool) -> Vec<LogLine> {
        let end = Instant::now() + Duration::from_secs(30);
        loop {
            let lines = self.lines();
            if is_enough(&lines) || Instant::now() > end {
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

fn step(number: usize) -> Event {
    Event::Admitted {
        request: format!("r{number}"),
        route: "route".into(),
        service: "service".into(),
        version: 1,
        remaining_ms: 1,
        phases: 0,
        fingerprint: String::new(),
    }
}

fn failure(number: usize) -> Event {
    Event::CallerGone {
        request: format!("r{number}"),
        after_ms: 1,
        sends: 0,
    }
}

fn belief(version: u64) -> Event {
    Event::TrafficInForce { version, before: 0 }
}

#[test]
fn an_output_that_nobody_reads_costs_the_least_important_lines_first() {
    let (entered, is_entered) = channel();
    let (_release, released) = channel();
    let output = Blocked { entered, released };
    let log = DecisionLog::start("n1", LIMITS, output).expect("a thread");
    // The writer takes this one and waits in the output.
    log.record(belief(0));
    is_entered.recv().expect("the writer writes");
    for number in 0..100 {
        log.record(step(number));
    }
    assert_eq!(log.counts().dropped_steps, 80);
    for number in 0..100 {
        log.record(failure(number));
    }
    assert_eq!(log.counts().dropped_failures, 90);
    for version in 0..15 {
        log.record(belief(version));
    }
    assert_eq!(log.counts().dropped_beliefs, 5);
}

#[test]
fn lines_are_whole_and_what_was_dropped_is_told() {
    let kept = Kept::default();
    let log = DecisionLog::start("n1", LIMITS, kept.clone()).expect("a thread");
    for number in 0..200 {
        log.record(failure(number));
    }
    let accounted = |lines: &[LogLine]| -> u64 {
        let counts = lines.iter().map(|line| match &line.event {
            Event::Dropped { failures, .. } => *failures,
            event => u64::from(event.request().is_some()),
        });
        counts.sum()
    };
    let lines = kept.wait_for(|lines| accounted(lines) == 200);
    assert_eq!(accounted(&lines), 200);
    assert!(lines.len() < 200);
    assert!(lines.iter().all(|line| line.node == "n1"));
}

#[test]
fn under_load_the_same_requests_are_kept_on_every_node() {
    let limits = LogLimits {
        queue: 100_000,
        steps_per_second: 0,
        sample_one_of: 4,
    };
    let mut seen = Vec::new();
    for node in ["n1", "n2"] {
        let kept = Kept::default();
        let log = DecisionLog::start(node, limits, kept.clone()).expect("a thread");
        for number in 0..400 {
            log.record(step(number));
        }
        let taken = log.counts().taken as usize;
        let steps = |lines: &[LogLine]| {
            let requests = lines.iter().filter_map(|line| line.event.request());
            requests.map(str::to_owned).collect::<Vec<String>>()
        };
        let requests = steps(&kept.wait_for(|lines| steps(lines).len() >= taken));
        assert!((50..150).contains(&requests.len()), "{}", requests.len());
        assert!(requests.iter().all(|request| is_sampled(request, 4)));
        seen.push(requests);
    }
    assert_eq!(seen[0], seen[1]);
}
