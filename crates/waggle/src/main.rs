//! Starts the operators' client.

fn main() -> std::process::ExitCode {
    pinerelay_waggle::run::follow()
}
