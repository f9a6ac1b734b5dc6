//! Binary of the metrics exporter.

fn main() -> std::process::ExitCode {
    pinerelay_exporter::command::execute()
}
