//! Binary of the operators' client.

fn main() -> std::process::ExitCode {
    pinerelay_pinectl::execute::main()
}
