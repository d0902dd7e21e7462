//! The services' own log of the calls that they ran.

use crate::history::RunRecord;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// Every call that a service ran, noted when it began to run.
pub struct RunLog {
    records: Mutex<Vec<RunRecord>>,
    file: Option<Mutex<File>>,
}

impl RunLog {
    /// A log in memory, and in a file where one is named.
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

    /// Notes a call.
    pub fn add(&self, record: RunRecord) {
        if let Some(file) = &self.file {
            let mut line = serde_json::to_vec(&record).expect("the record encodes");
            line.push(b'\n');
            let mut file = file.lock().expect("not poisoned");
            file.write_all(&line).expect("the run log can be written");
        }
        self.records.lock().expect("not poisoned").push(record);
    }

    /// All calls so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.records.lock().expect("not poisoned").clone()
    }
}
