//! Subcommand `evacuate`.

use crate::errors::CliError;
use crate::operator_client::OperatorClient;
use argh::FromArgs;

/// Evacuates a zone, so that its back ends get no new work, or ends its evacuation. Prints the
/// revision of the evacuated zones. May be repeated.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "evacuate",
    example = "{command_name} --server 127.0.0.1:9101 --zone hall-a",
    example = "{command_name} --server 127.0.0.1:9101 --zone hall-a --undo"
)]
pub struct Evacuate {
    /// operators' addresses, comma-separated; the next is tried when one does not answer
    #[argh(option)]
    server: String,
    /// name of the zone
    #[argh(option)]
    zone: String,
    /// end the evacuation
    #[argh(switch)]
    undo: bool,
}

impl Evacuate {
    /// Sends the order and prints the revision.
    pub fn run(self) -> Result<(), CliError> {
        let client = OperatorClient::new(&self.server);
        let path = format!("/v1/evacuations/{}", self.zone);
        let answer = match self.undo {
            false => client.post_empty(&path)?,
            true => client.delete(&path)?,
        };
        println!("revision {}", answer["revision"]);
        Ok(())
    }
}
