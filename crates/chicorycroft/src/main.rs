//! The operators' command line client.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let outcome = chicorycroft_cli::run(&arguments);
    chicorycroft_cli::finish(&outcome)
}
