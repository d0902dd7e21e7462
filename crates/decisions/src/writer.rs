//! The log writer: a bounded queue and a thread that writes JSON lines.

use crate::event::Event;
use crate::event_class::EventClass;
use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between writes; lines recorded meanwhile are written together.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Limits on queued and sampled lines.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Maximum number of lines queued for the writer. Request steps may fill one half of it,
    /// request failures three quarters, state changes all of it.
    pub queue: usize,
    /// Request steps per second above which only those of sampled requests are written.
    pub steps_per_second: u32,
    /// One of this many requests is sampled, by a hash of its identifier that is the same on
    /// all nodes.
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

/// Counts of accepted and dropped lines, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogCounts {
    /// Lines accepted into the queue.
    pub taken: u64,
    /// Request steps dropped, including those dropped by sampling.
    pub dropped_steps: u64,
    /// Request failures dropped because the queue was full.
    pub dropped_failures: u64,
    /// State changes dropped because the queue was full.
    pub dropped_beliefs: u64,
}

/// A line of the decision log in its JSON form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Milliseconds since the Unix epoch, by the node's clock.
    pub at_ms: u64,
    /// Name of the node that recorded the event.
    pub node: String,
    /// The recorded event.
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
    writer_ended: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    wake: Condvar,
    limits: LogLimits,
    node: String,
}

/// Handle for recording events; clones share the queue and the writer.
#[derive(Clone)]
pub struct DecisionLog {
    shared: Option<Arc<Shared>>,
}

impl DecisionLog {
    /// Creates a log that discards all events.
    pub fn disabled() -> Self {
        Self { shared: None }
    }

    /// Starts a log for `node` whose writer thread writes lines to `output`.
    ///
    /// # Errors
    /// If the writer thread can't be started.
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

    /// Queues an event or drops it. Never blocks on the output.
    pub fn record(&self, event: Event) {
        let Some(shared) = &self.shared else {
            return;
        };
        let Ok(mut queue) = shared.queue.lock() else {
            return;
        };
        let at_ms = wall_clock_ms();
        if !queue.try_reserve(&event, at_ms / 1_000, &shared.limits) {
            queue.counts.count_dropped(event.class());
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

    /// Lines accepted and dropped since the start.
    pub fn counts(&self) -> LogCounts {
        let queue = self
            .shared
            .as_ref()
            .and_then(|shared| shared.queue.lock().ok());
        queue.map_or(LogCounts::default(), |queue| queue.counts)
    }

    /// Closes the log and waits, at most `timeout`, until the writer has written all queued
    /// lines.
    pub fn close(&self, timeout: Duration) {
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
            .wait_timeout_while(queue, timeout, |queue| !queue.writer_ended);
        drop(waited);
    }
}

impl Queue {
    fn try_reserve(&mut self, event: &Event, second: u64, limits: &LogLimits) -> bool {
        let capacity = match event.class() {
            EventClass::RequestStep => limits.queue / 2,
            EventClass::RequestFailure => limits.queue * 3 / 4,
            EventClass::StateChange => limits.queue,
        };
        if self.lines.len() >= capacity {
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
    fn count_dropped(&mut self, class: EventClass) {
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
        let total_dropped = |counts: &LogCounts| {
            counts.dropped_steps + counts.dropped_failures + counts.dropped_beliefs
        };
        (total_dropped(self) > total_dropped(before)).then_some(event)
    }
}

/// Whether the steps of a request are logged under load; the same on all nodes.
pub fn is_sampled(request: &str, one_of: u64) -> bool {
    let mut hasher = DefaultHasher::new();
    request.hash(&mut hasher);
    hasher.finish().is_multiple_of(one_of.max(1))
}

fn write_all(shared: &Shared, mut output: impl Write) {
    loop {
        let Some(lines) = next_lines(shared) else {
            if let Ok(mut queue) = shared.queue.lock() {
                queue.writer_ended = true;
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
        // Write errors are ignored: there is no other place to report them.
        let _ = output.write_all(&bytes);
        let _ = output.flush();
        wait_for_flush_interval(shared);
    }
}

/// Waits for the flush interval, or until the log is closed.
fn wait_for_flush_interval(shared: &Shared) {
    if let Ok(queue) = shared.queue.lock() {
        let waited = shared
            .wake
            .wait_timeout_while(queue, FLUSH_INTERVAL, |queue| !queue.closed);
        drop(waited);
    }
}

/// Waits for queued lines; none when the log is closed and the queue is empty.
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
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
