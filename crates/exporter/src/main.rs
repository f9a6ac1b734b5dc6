//! Starts the exporter.

fn main() -> std::process::ExitCode {
    pinerelay_exporter::command::execute()
}
