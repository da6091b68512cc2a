//! Arguments that all changes share.

/// Reason, author and identity of a change.
#[derive(Debug, clap::Args)]
pub(crate) struct ChangeArgs {
    /// Why, for the audit log and for colleagues. It must not be empty.
    #[arg(long, value_parser = parse_reason)]
    pub(crate) reason: String,

    /// Who asks.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,

    /// Shows what would change and changes nothing.
    #[arg(long)]
    pub(crate) dry_run: bool,

    /// Revision that the change builds on; the one in force by default.
    #[arg(long, value_name = "REVISION")]
    pub(crate) expect: Option<lift_types::Revision>,

    /// Change id of an earlier try whose answer was lost. A random one is made by default.
    #[arg(long, value_name = "ID")]
    pub(crate) change_id: Option<lift_types::ChangeId>,
}

fn parse_reason(text: &str) -> Result<String, String> {
    let text = text.trim();
    if text.is_empty() {
        return Err(String::from(
            "the reason is empty; write why the change is made",
        ));
    }
    Ok(String::from(text))
}
