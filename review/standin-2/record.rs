//! What was sent, answered and run, with the milliseconds since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:>7} ms  {text}");
        }
    }
}
