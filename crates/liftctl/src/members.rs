//! `liftctl members` and `liftctl drain`.

use crate::{cli_error, client, fleet, output};

/// Lists the agents.
pub(crate) async fn list(
    client: &client::Client,
    output: &output::Output,
) -> Result<(), cli_error::CliError> {
    let members = fleet::members(client).await?;
    let row = |m: &lift_admin::FleetMember| {
        vec![
            m.location.host.to_string(),
            m.location.region.clone(),
            m.location.failure_domain.clone(),
            m.services.join(", "),
            m.serving.clone().unwrap_or_else(|| String::from("-")),
            m.state.to_string(),
            m.in_flight.to_string(),
        ]
    };
    let rows = members.iter().map(row).collect();
    let head = [
        "host",
        "region",
        "failure domain",
        "services",
        "serving",
        "state",
        "in flight",
    ];
    output.table(&head, rows, &members)
}

/// A host to drain.
#[derive(Debug, clap::Args)]
pub(crate) struct DrainArgs {
    /// The host.
    host: lift_types::HostId,
}

impl DrainArgs {
    /// Takes the host out of service.
    pub(crate) async fn run(
        &self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        let path = format!("/v1/members/{}/drain", self.host);
        let reply = client.call(http::Method::POST, &path, bytes::Bytes::new());
        reply.await?.check()?;
        let value = serde_json::json!({"host": self.host, "result": "draining"});
        output.done(&format!("host {} takes no new work", self.host), &value)
    }
}
