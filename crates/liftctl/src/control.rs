//! `liftctl control`.

use std::net;

use crate::{cli_error, client, output};

/// Commands on the members of control. They need a server of `control.admin_listener`; give
/// all of them, since only the leader makes changes.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum ControlCommand {
    /// Lists the members.
    Members,
    /// Adds a member that receives the log without counting towards the quorum.
    Add(ControlAddArgs),
    /// Lets a member count towards the quorum that has caught up.
    Promote(ControlIdArgs),
    /// Removes a member.
    Remove(ControlIdArgs),
}

/// A member to add.
#[derive(Debug, clap::Args)]
pub(crate) struct ControlAddArgs {
    #[command(flatten)]
    member: ControlIdArgs,

    /// Address for other members.
    #[arg(long)]
    peer: net::SocketAddr,

    /// Address for entries.
    #[arg(long)]
    client: net::SocketAddr,
}

/// A member.
#[derive(Debug, clap::Args)]
pub(crate) struct ControlIdArgs {
    /// Identifier of the member. A new one is above all that were used before.
    id: lift_types::MemberId,
}

impl ControlCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        match self {
            Self::Members => list(client, output).await,
            Self::Add(args) => {
                let change = lift_admin::ControlChange::Add {
                    id: args.member.id,
                    peer: args.peer,
                    client: args.client,
                };
                send(client, output, change, args.member.id, "added as learner").await
            }
            Self::Promote(ControlIdArgs { id }) => {
                let change = lift_admin::ControlChange::Promote { id };
                send(client, output, change, id, "promoted to voter").await
            }
            Self::Remove(ControlIdArgs { id }) => {
                let change = lift_admin::ControlChange::Remove { id };
                send(client, output, change, id, "removed").await
            }
        }
    }
}

async fn list(client: &client::Client, output: &output::Output) -> Result<(), cli_error::CliError> {
    let members: Vec<lift_admin::ControlMemberStatus> = client.get("/v1/control/members").await?;
    let row = |m: &lift_admin::ControlMemberStatus| {
        vec![
            m.id.to_string(),
            m.role.clone(),
            m.peer.to_string(),
            m.client.to_string(),
            m.state.clone().unwrap_or_default(),
        ]
    };
    let rows = members.iter().map(row).collect();
    let head = ["member", "role", "peer", "client", "state of this server"];
    output.table(&head, rows, &members)
}

async fn send(
    client: &client::Client,
    output: &output::Output,
    change: lift_admin::ControlChange,
    id: lift_types::MemberId,
    result: &str,
) -> Result<(), cli_error::CliError> {
    let buf =
        serde_json::to_vec(&change).map_err(|e| cli_error::CliError::Failed(e.to_string()))?;
    let path = "/v1/control/members";
    let call = client.call(http::Method::POST, path, bytes::Bytes::from(buf));
    call.await?.check()?;
    let value = serde_json::json!({"member": id, "result": result});
    output.done(&format!("member {id} {result}"), &value)
}
