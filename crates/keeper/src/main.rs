//! Starts the exporter.

fn main() -> std::process::ExitCode {
    pinerelay_keeper::command::follow()
}
