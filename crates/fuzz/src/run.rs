//! Plays inputs in this process.

use std::panic::{catch_unwind, AssertUnwindSafe};

use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};

use crate::random::Random;
use crate::reader::{Fault, Reader};

/// The allocator of programs that count what an input allocates.
pub static COUNTED: &StatsAlloc<std::alloc::System> = &INSTRUMENTED_SYSTEM;

/// An input at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Find {
    /// The reader.
    pub reader: &'static str,
    /// The seed that makes the input.
    pub seed: u64,
    /// What went wrong.
    pub fault: Fault,
}

/// The seed of a case among those of a run.
pub fn seed_of(run: u64, case: u64) -> u64 {
    Random::new(run ^ case.wrapping_mul(0x2545_f491_4f6c_dd1d)).bits()
}

/// The input of a seed.
pub fn input(reader: &mut dyn Reader, seed: u64) -> Vec<u8> {
    reader.generate(&mut Random::new(seed))
}

/// Plays one input.
pub fn play(reader: &mut dyn Reader, input: &[u8]) -> Result<(), Fault> {
    let allocations = Region::new(COUNTED);
    let ended = catch_unwind(AssertUnwindSafe(|| reader.check(input)));
    let allocated = allocations.change().bytes_allocated;
    match ended {
        Err(panic) => {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()));
            Err(format!("a panic: {}", text.unwrap_or_default()))
        }
        Ok(Err(fault)) => Err(fault),
        Ok(Ok(())) => match reader.allocates(input).filter(|most| allocated > *most) {
            Some(most) => {
                Err(format!("{allocated} bytes were allocated for {} of input, over {most}", input.len()))
            }
            None => Ok(()),
        },
    }
}

/// Plays the cases of a run from one to before another, and gives the finds to `found`.
pub fn cases(reader: &mut dyn Reader, run: u64, from: u64, to: u64, mut found: impl FnMut(Find)) {
    for case in from..to {
        let seed = seed_of(run, case);
        let input = input(reader, seed);
        if let Err(fault) = play(reader, &input) {
            found(Find { reader: reader.name(), seed, fault });
        }
    }
}
