//! Log of the calls that emulated services have executed.

use crate::history::RunRecord;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// Log of all executed calls, each recorded before its execution.
pub struct RunLog {
    records: Mutex<Vec<RunRecord>>,
    file: Option<Mutex<File>>,
}

impl RunLog {
    /// Creates a log in memory, which is also appended to the file at `path`.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            Some(path) => Some(Mutex::new(
                OpenOptions::new().create(true).append(true).open(path)?,
            )),
            None => None,
        };
        Ok(Self {
            records: Mutex::new(Vec::new()),
            file,
        })
    }

    /// Records a call.
    pub fn record(&self, record: RunRecord) {
        if let Some(file) = &self.file {
            let mut line = serde_json::to_vec(&record).expect("the record encodes");
            line.push(b'\n');
            let mut file = file.lock().expect("not poisoned");
            file.write_all(&line).expect("the run log can be written");
        }
        self.records.lock().expect("not poisoned").push(record);
    }

    /// All calls recorded so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.records.lock().expect("not poisoned").clone()
    }
}
