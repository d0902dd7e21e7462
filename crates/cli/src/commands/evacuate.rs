//! `evacuate`.

use crate::errors::CliError;
use crate::operator_client::OperatorClient;
use argh::FromArgs;

/// Stops giving new work to the back ends of a zone, or gives them work again. Prints the
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
    /// give the zone's back ends work again
    #[argh(switch)]
    undo: bool,
}

impl Evacuate {
    /// Sends the order.
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
