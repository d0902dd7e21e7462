//! The platform's list of engines.

use crate::http::{encode_answer, read_head};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub is_draining: bool,
}

/// The list; clones share it.
#[derive(Clone, Default)]
pub struct EngineList {
    pub entries: Arc<Mutex<Vec<Entry>>>,
}

impl EngineList {
    /// Serves the list, on one page.
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(_)) = read_head(&mut reader) {
                        let body = list.body();
                        let headers = [("content-type", "application/json")];
                        let answer = encode_answer("200 OK", &headers, body.as_bytes());
                        if writer.write_all(&answer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(address)
    }

    fn body(&self) -> String {
        let entries = self.entries.lock().expect("not poisoned");
        let entries: Vec<String> = entries
            .iter()
            .map(|entry| {
                let state = if entry.is_draining { "draining" } else { "ready" };
                format!(
                    r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left_ms":0,"id":"{}"}}"#,
                    entry.service, entry.address, entry.zone, entry.slots, entry.id
                )
            })
            .collect();
        format!(
            r#"{{"instances":[{}],"next_token":null}}"#,
            entries.join(",")
        )
    }
}
