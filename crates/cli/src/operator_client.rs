//! Talks to the operators' surface: one server after another until one answers.

use crate::errors::CliError;
use serde_json::Value;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Servers to ask.
pub struct OperatorClient {
    servers: Vec<String>,
}

impl OperatorClient {
    /// A client of a comma-separated list of addresses.
    pub fn new(servers: &str) -> Self {
        let servers = servers.split(',').map(|one| one.trim().to_owned());
        Self {
            servers: servers.filter(|one| !one.is_empty()).collect(),
        }
    }

    /// The servers.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Reads from the first server that answers.
    pub fn get(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| get_from(server, path))
    }

    /// Sends to the first server that answers. The body must bear a resend: a
    /// server may have acted although its answer was lost.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value, CliError> {
        let text = body.to_string();
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read(ureq::post(&url).timeout(TIMEOUT).send_string(&text), server)
        })
    }

    /// Sends a `POST` without a body to the first server that answers.
    pub fn post_empty(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read(ureq::post(&url).timeout(TIMEOUT).call(), server)
        })
    }

    /// Sends a `DELETE` to the first server that answers.
    pub fn delete(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read(ureq::delete(&url).timeout(TIMEOUT).call(), server)
        })
    }

    fn first_answer(
        &self,
        ask: impl Fn(&str) -> Result<Value, CliError>,
    ) -> Result<Value, CliError> {
        let mut last = CliError::NoAnswer(self.servers.join(", "));
        for server in &self.servers {
            match ask(server) {
                Err(error) if error.exit_code() == 4 => last = error,
                decided => return decided,
            }
        }
        Err(last)
    }
}

/// Reads from one server.
pub fn get_from(server: &str, path: &str) -> Result<Value, CliError> {
    let url = format!("http://{server}{path}");
    read(ureq::get(&url).timeout(TIMEOUT).call(), server)
}

fn read(response: Result<ureq::Response, ureq::Error>, server: &str) -> Result<Value, CliError> {
    let no_answer = || CliError::NoAnswer(server.to_owned());
    let (is_ok, response) = match response {
        Ok(response) => (true, response),
        Err(ureq::Error::Status(_, response)) => (false, response),
        Err(ureq::Error::Transport(_)) => return Err(no_answer()),
    };
    let body: Value = serde_json::from_reader(response.into_reader()).map_err(|_| no_answer())?;
    if is_ok {
        Ok(body)
    } else {
        Err(CliError::refused(&body))
    }
}
