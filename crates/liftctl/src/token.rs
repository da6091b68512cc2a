//! `liftctl token`.

use std::{fs, path};

use crate::{cli_error, output};

/// Commands on bearer tokens.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum TokenCommand {
    /// Makes a random token, prints it once, and adds its salted hash to a token file.
    New(TokenNewArgs),
}

/// A token to make.
#[derive(Debug, clap::Args)]
pub(crate) struct TokenNewArgs {
    /// Who will hold the token; goes into the audit log.
    #[arg(long)]
    name: String,

    /// viewer or operator.
    #[arg(long)]
    role: lift_admin::TokenRole,

    /// Token file of the entry. It is made where it is missing; a token of the same name is
    /// replaced.
    #[arg(long)]
    file: path::PathBuf,
}

impl TokenCommand {
    /// Runs the command.
    pub(crate) fn run(self, output: &output::Output) -> Result<(), cli_error::CliError> {
        let Self::New(args) = self;
        let mut list = read(&args.file)?;
        let (token, record) = lift_admin::TokenRecord::generate(&args.name, args.role);
        list.tokens.retain(|other| other.name != args.name);
        list.tokens.push(record);
        write(&args.file, &list)?;
        let value = serde_json::json!({"name": args.name, "role": args.role, "token": token});
        output.done(&token, &value)
    }
}

fn read(file: &path::Path) -> Result<lift_admin::TokenList, cli_error::CliError> {
    if !file.exists() {
        return Ok(lift_admin::TokenList::default());
    }
    let wrong = |e: String| cli_error::CliError::Invalid(format!("{}: {e}", file.display()));
    let buf = fs::read(file).map_err(|e| wrong(e.to_string()))?;
    serde_json::from_slice(&buf).map_err(|e| wrong(e.to_string()))
}

/// Replaces the file in one step, so that an entry never reads half of it.
fn write(file: &path::Path, list: &lift_admin::TokenList) -> Result<(), cli_error::CliError> {
    let failed = |e: String| cli_error::CliError::Failed(format!("{}: {e}", file.display()));
    let text = serde_json::to_string_pretty(list).map_err(|e| failed(e.to_string()))?;
    let mut next = file.as_os_str().to_owned();
    next.push(".next");
    fs::write(&next, text + "\n").map_err(|e| failed(e.to_string()))?;
    fs::rename(&next, file).map_err(|e| failed(e.to_string()))
}
