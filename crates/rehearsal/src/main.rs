//! pinerelay-rehearsal: practise a rush on loopback, with stand-ins, faults, and every rule judged.
#![forbid(unsafe_code)]

use std::process::ExitCode;

/// Counts allocations, for the bench alone: each costs some nanoseconds more.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn main() -> ExitCode {
    #[cfg(feature = "count-allocations")]
    pinerelay_rehearsal::bench::print_counts(|| {
        let stats = COUNTED.stats();
        stats.allocations + stats.reallocations
    });
    pinerelay_rehearsal::cli::main(std::env::args_os())
}
