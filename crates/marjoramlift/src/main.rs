//! `marjoramlift`: the program of a node.
//!
//! [`cli::Cli`] holds the arguments. `run` starts a node and stops it gracefully on a signal,
//! `check` reads settings and names the first field at fault, `demo` runs a small fleet in
//! this process. `fleet` starts a node of a fleet whose backend servers announce themselves, and
//! `check-fleet` reads its settings.

mod check;
mod cli;
mod demo;
mod fleet;
mod run;

use std::process;

use clap::Parser as _;

fn main() -> process::ExitCode {
    cli::Cli::parse().run()
}
