//! What was sent, answered and run, with the time since the start.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begin: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: String) {
        let at = self.begin.elapsed().as_millis();
        self.lines.lock().expect("not poisoned").push((at, line));
    }

    /// All lines, each with its time in milliseconds.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (at, line) in self.lines.lock().expect("not poisoned").iter() {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        text
    }
}
