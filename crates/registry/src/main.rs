//! The registry program.

use std::process::ExitCode;

use pinerelay_node_runtime::command::run_program;

fn main() -> ExitCode {
    let description = "tracks the gateway's servers and nodes, and serves control calls";
    run_program("registry", description, pinerelay_registry::run::run)
}
