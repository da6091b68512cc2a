//! `marjoramlift`: the program of a node.
//!
//! [`cli::Cli`] holds the arguments. `check` reads settings and names the first field at
//! fault.

mod check;
mod cli;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    cli::Cli::parse().run()
}
