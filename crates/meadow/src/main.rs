//! meadow: brings up a small gateway on loopback, plays a day in small, and says whether its rules hold.

fn main() -> std::process::ExitCode {
    pinerelay_meadow::cli::main(std::env::args().skip(1))
}
