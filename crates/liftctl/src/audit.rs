//! `liftctl audit`.

use std::time;

use crate::{cli_error, client, output};

/// Which changes to list.
#[derive(Debug, clap::Args)]
pub(crate) struct AuditArgs {
    /// Only changes after this revision.
    #[arg(long, default_value_t = 0)]
    after: lift_types::Revision,

    /// At most this many, oldest first.
    #[arg(long, default_value_t = 100)]
    limit: u32,
}

impl AuditArgs {
    /// Lists accepted changes.
    pub(crate) async fn run(
        &self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        let path = format!("/v1/audit?after={}&limit={}", self.after, self.limit);
        let records: Vec<lift_state::AuditRecord> = client.get(&path).await?;
        let row = |r: &lift_state::AuditRecord| {
            vec![
                r.revision.to_string(),
                seconds(r.at),
                r.author.clone(),
                r.reason.clone(),
                r.edits.iter().map(edit_text).collect::<Vec<_>>().join("; "),
                r.id.clone(),
            ]
        };
        let rows = records.iter().map(row).collect();
        let head = [
            "revision",
            "unix time",
            "author",
            "reason",
            "edits",
            "change id",
        ];
        output.table(&head, rows, &records)
    }
}

fn seconds(at: time::SystemTime) -> String {
    let since = at.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    since.as_secs().to_string()
}

fn edit_text(edit: &lift_state::ChangeEdit) -> String {
    match edit {
        lift_state::ChangeEdit::SetDefaultVersion(version) => format!("default version {version}"),
        lift_state::ChangeEdit::SetDefault(_) => String::from("default"),
        lift_state::ChangeEdit::AddException { id, .. } => format!("add {id}"),
        lift_state::ChangeEdit::RemoveException { id } => format!("remove {id}"),
    }
}
