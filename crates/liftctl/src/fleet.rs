//! The fleet as several entries see it.

use crate::{cli_error, client};

/// Asks every server for the agents that it knows. An agent that several entries know is
/// listed once, with its newest incarnation.
pub(crate) async fn members(
    client: &client::Client,
) -> Result<Vec<lift_admin::FleetMember>, cli_error::CliError> {
    let lists: Vec<Vec<lift_admin::FleetMember>> = client.get_from_each("/v1/members").await?;
    let mut members: Vec<_> = lists.into_iter().flatten().collect();
    members.sort_by_key(|m| (m.location.host, std::cmp::Reverse(m.incarnation)));
    members.dedup_by_key(|m| m.location.host);
    Ok(members)
}
