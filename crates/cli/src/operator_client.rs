//! Client of the operator API, which tries one server after another until one answers.

use crate::errors::CliError;
use serde_json::Value;
use std::time::Duration;

/// Timeout of a request to one server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the operator API of a list of servers.
pub struct OperatorClient {
    servers: Vec<String>,
}

impl OperatorClient {
    /// Creates a client for a comma-separated list of addresses.
    pub fn new(servers: &str) -> Self {
        let servers = servers.split(',').map(|server| server.trim().to_owned());
        Self {
            servers: servers.filter(|server| !server.is_empty()).collect(),
        }
    }

    /// Addresses of the servers.
    pub fn servers(&self) -> &[String] {
        &self.servers
    }

    /// Sends a `GET` to the first server that answers.
    pub fn get(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| get_from(server, path))
    }

    /// Sends a `POST` to the first server that answers. The request must be idempotent, as
    /// a server may have processed it although its answer was lost.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value, CliError> {
        let text = body.to_string();
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read_response(
                ureq::post(&url).timeout(REQUEST_TIMEOUT).send_string(&text),
                server,
            )
        })
    }

    /// Sends a `POST` without a body to the first server that answers.
    pub fn post_empty(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read_response(ureq::post(&url).timeout(REQUEST_TIMEOUT).call(), server)
        })
    }

    /// Sends a `DELETE` to the first server that answers.
    pub fn delete(&self, path: &str) -> Result<Value, CliError> {
        self.first_answer(|server| {
            let url = format!("http://{server}{path}");
            read_response(ureq::delete(&url).timeout(REQUEST_TIMEOUT).call(), server)
        })
    }

    fn first_answer(
        &self,
        send: impl Fn(&str) -> Result<Value, CliError>,
    ) -> Result<Value, CliError> {
        let mut last_error = CliError::NoAnswer(self.servers.join(", "));
        for server in &self.servers {
            match send(server) {
                Err(error) if error.exit_code() == 4 => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }
}

/// Sends a `GET` to one server.
pub fn get_from(server: &str, path: &str) -> Result<Value, CliError> {
    let url = format!("http://{server}{path}");
    read_response(ureq::get(&url).timeout(REQUEST_TIMEOUT).call(), server)
}

fn read_response(
    response: Result<ureq::Response, ureq::Error>,
    server: &str,
) -> Result<Value, CliError> {
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
        Err(CliError::rejected(&body))
    }
}
