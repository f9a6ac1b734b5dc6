//! Starts the registry.

use std::process::ExitCode;

use pinerelay_node_runtime::command::run_program;

fn main() -> ExitCode {
    let description = "knows the gateway's servers and nodes, and takes the calls from outside";
    run_program("registry", description, pinerelay_registry::run::run)
}
