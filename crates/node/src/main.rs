//! pinerelay: one edge node.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    pinerelay::cli::main(std::env::args_os())
}
