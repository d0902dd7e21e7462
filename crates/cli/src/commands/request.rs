//! Subcommand `request`.

use crate::commands::load::parse_addresses;
use crate::errors::CliError;
use argh::FromArgs;
use silversail_testbed::{CallOptions, Caller};
use std::time::Duration;

/// Sends one request as a caller would and prints the answer.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "request",
    example = "{command_name} --entry 127.0.0.1:8101 --pipeline chat --tenant desk --text hello --stream"
)]
pub struct Request {
    /// callers' addresses to ask for entry points, comma-separated
    #[argh(option)]
    entry: String,
    /// name of the pipeline
    #[argh(option)]
    pipeline: String,
    /// name of the tenant
    #[argh(option)]
    tenant: String,
    /// text of the input
    #[argh(option, default = "String::new()")]
    text: String,
    /// idempotency key; random if not given
    #[argh(option)]
    key: Option<String>,
    /// deadline in milliseconds
    #[argh(option, default = "1_000")]
    deadline_ms: u64,
    /// stream the answer
    #[argh(switch)]
    stream: bool,
}

impl Request {
    /// Sends the request and prints its tokens and answer.
    pub fn run(self) -> Result<(), CliError> {
        let caller = Caller::new(parse_addresses(&self.entry)?);
        let key = self
            .key
            .unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>()));
        let options = CallOptions {
            text: self.text,
            deadline: Duration::from_millis(self.deadline_ms),
            stream: self.stream,
            ..CallOptions::new(&self.pipeline, &self.tenant, &key)
        };
        let reply = caller.call(&options, rand::random(), 3);
        for token in &reply.tokens {
            println!("token {token}");
        }
        println!("{}", reply.body);
        match reply.outcome() {
            Some("completed") => Ok(()),
            Some(_) => Err(CliError::rejected(&reply.body)),
            None => Err(CliError::NoAnswer(self.entry)),
        }
    }
}
