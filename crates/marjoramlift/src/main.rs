//! `marjoramlift`: the program of a node.
//!
//! [`cli::Cli`] holds the arguments. `run` starts a node and stops it gracefully on a signal,
//! `check` reads settings and names the first field at fault, `demo` runs a small fleet in
//! this process.

mod check;
mod cli;
mod demo;
mod run;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    cli::Cli::parse().run()
}
