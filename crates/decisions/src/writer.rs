//! The writer: a bounded queue and one thread that writes lines.

use crate::event::Event;
use crate::event_class::EventClass;
use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(100);

/// What the log takes.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Most lines that wait for the writer. Steps may fill a half, failures
    /// three quarters, beliefs all of it.
    pub queue: usize,
    /// Most steps in a second that are written whatever their request; above
    /// it only those of sampled requests.
    pub steps_per_second: u32,
    /// Of so many requests one is sampled, by a hash of its identifier that is
    /// the same on all nodes.
    pub sample_one_of: u64,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            queue: 4_096,
            steps_per_second: 300,
            sample_one_of: 16,
        }
    }
}

/// Lines written and dropped, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Lines taken.
    pub taken: u64,
    /// Steps of requests dropped, sampling included.
    pub dropped_steps: u64,
    /// Failures dropped.
    pub dropped_failures: u64,
    /// Beliefs dropped.
    pub dropped_beliefs: u64,
}

/// A line as it is written and read again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch, by the node's clock.
    pub at_ms: u64,
    /// The node.
    pub node: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

#[derive(Default)]
struct Queue {
    lines: Vec<LogLine>,
    counts: LogCounts,
    reported: LogCounts,
    second: u64,
    steps_in_second: u32,
    closed: bool,
    ended: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    limits: LogLimits,
    node: String,
}

/// Takes events; clones write to the same place.
#[derive(Clone)]
pub struct DecisionLog {
    shared: Option<Arc<Shared>>,
}

impl DecisionLog {
    /// A log that writes nothing.
    pub fn disabled() -> Self {
        Self { shared: None }
    }

    /// A log of `node` that writes lines to `output` from a thread of its own.
    pub fn start(
        node: &str,
        limits: LogLimits,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            queue: Mutex::default(),
            wake: Condvar::new(),
            limits,
            node: node.to_owned(),
        });
        let writer = shared.clone();
        thread::Builder::new()
            .name("decision-log".into())
            .spawn(move || write_all(&writer, output))?;
        Ok(Self {
            shared: Some(shared),
        })
    }

    /// Takes an event. Never waits for the output.
    pub fn record(&self, event: Event) {
        let Some(shared) = &self.shared else {
            return;
        };
        let Ok(mut queue) = shared.queue.lock() else {
            return;
        };
        let at_ms = wall_clock_ms();
        if !queue.has_place(&event, at_ms / 1_000, &shared.limits) {
            queue.counts.drop_one(event.class());
            return;
        }
        queue.counts.taken += 1;
        let was_empty = queue.lines.is_empty();
        queue.lines.push(LogLine {
            at_ms,
            node: shared.node.clone(),
            event,
        });
        drop(queue);
        if was_empty {
            shared.wake.notify_one();
        }
    }

    /// Lines taken and dropped so far.
    pub fn counts(&self) -> LogCounts {
        let queue = self.shared.as_ref().and_then(|one| one.queue.lock().ok());
        queue.map_or(LogCounts::default(), |queue| queue.counts)
    }

    /// Ends the writer and waits, for `longest` at most, until it has written what
    /// was taken.
    pub fn close(&self, longest: Duration) {
        let Some(shared) = &self.shared else {
            return;
        };
        let Ok(mut queue) = shared.queue.lock() else {
            return;
        };
        queue.closed = true;
        shared.wake.notify_all();
        let waited = shared
            .wake
            .wait_timeout_while(queue, longest, |queue| !queue.ended);
        drop(waited);
    }
}

impl Queue {
    fn has_place(&mut self, event: &Event, second: u64, limits: &LogLimits) -> bool {
        let share = match event.class() {
            EventClass::RequestStep => limits.queue / 2,
            EventClass::RequestFailure => limits.queue * 3 / 4,
            EventClass::StateChange => limits.queue,
        };
        if self.lines.len() >= share {
            return false;
        }
        if event.class() != EventClass::RequestStep {
            return true;
        }
        if self.second != second {
            self.second = second;
            self.steps_in_second = 0;
        }
        self.steps_in_second += 1;
        let is_sampled = event
            .request()
            .is_some_and(|request| is_sampled(request, limits.sample_one_of));
        is_sampled || self.steps_in_second <= limits.steps_per_second
    }
}

impl LogCounts {
    fn drop_one(&mut self, class: EventClass) {
        match class {
            EventClass::RequestStep => self.dropped_steps += 1,
            EventClass::RequestFailure => self.dropped_failures += 1,
            EventClass::StateChange => self.dropped_beliefs += 1,
        }
    }

    fn dropped_since(&self, before: &LogCounts) -> Option<Event> {
        let event = Event::Dropped {
            steps: self.dropped_steps - before.dropped_steps,
            failures: self.dropped_failures - before.dropped_failures,
            beliefs: self.dropped_beliefs - before.dropped_beliefs,
        };
        let dropped = |counts: &LogCounts| {
            counts.dropped_steps + counts.dropped_failures + counts.dropped_beliefs
        };
        (dropped(self) > dropped(before)).then_some(event)
    }
}

/// Whether a request's steps are kept under load; the same on all nodes.
pub fn is_sampled(request: &str, one_of: u64) -> bool {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish().is_multiple_of(one_of.max(1))
}

fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let Some(lines) = next_lines(shared) else {
            if let Ok(mut queue) = shared.queue.lock() {
                queue.ended = true;
            }
            shared.wake.notify_all();
            return;
        };
        let mut bytes = Vec::with_capacity(lines.len() * 200);
        for line in &lines {
            if serde_json::to_writer(&mut bytes, line).is_ok() {
                bytes.push(b'\n');
            }
        }
        // An output that is gone takes the lines with it.
        let _ = output.write_all(&bytes);
        let _ = output.flush();
        gather(shared);
    }
}

/// Lets lines gather, unless the log is closed.
fn gather(shared: &Shared) {
    if let Ok(queue) = shared.queue.lock() {
        let waited = shared
            .wake
            .wait_timeout_while(queue, GATHER, |queue| !queue.closed);
        drop(waited);
    }
}

/// Waits for lines; none when the log is closed and empty.
fn next_lines(shared: &Shared) -> Option<Vec<LogLine>> {
    let mut queue = shared.queue.lock().ok()?;
    while queue.lines.is_empty() {
        if queue.closed {
            return None;
        }
        queue = shared.wake.wait(queue).ok()?;
    }
    let mut lines = std::mem::take(&mut queue.lines);
    if let Some(event) = queue.counts.dropped_since(&queue.reported) {
        queue.reported = queue.counts;
        lines.push(LogLine {
            at_ms: wall_clock_ms(),
            node: shared.node.clone(),
            event,
        });
    }
    Some(lines)
}

fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |passed| passed.as_millis() as u64)
}
