//! pinerelay-rehearsal: practise a rush on loopback, with stand-ins, faults, and every rule judged.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    pinerelay_rehearsal::cli::main(std::env::args_os())
}
