//! Runs the simulator adapter on standard input and output: one reply line for each input line.
#![forbid(unsafe_code)]

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = BufWriter::new(io::stdout().lock());
    match mountbend_wire::run(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mountbend-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}
