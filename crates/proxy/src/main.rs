//! Entry point of the proxy process.

use std::process::ExitCode;

use pinerelay_node_runtime::command::run_program;

fn main() -> ExitCode {
    let description = "takes clients' requests to the servers of their routes";
    run_program("proxy", description, pinerelay_proxy::run::run)
}
