//! Entry point of the configuration store.

use std::process::ExitCode;

use pinerelay_node_runtime::command::run_program;

fn main() -> ExitCode {
    run_program("config-store", "keeps the gateway's configuration", pinerelay_config_store::run::run)
}
