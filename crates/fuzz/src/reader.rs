//! What plays inputs: one for each place at which bytes come in.

use crate::random::Random;

/// What went wrong with an input.
pub type Fault = String;

/// Makes inputs, and looks at what comes of them.
pub trait Reader {
    /// Its name on the command line and of its folder of finds.
    fn name(&self) -> &'static str;

    /// An input; the same for the same numbers.
    fn generate(&mut self, random: &mut Random) -> Vec<u8>;

    /// Plays an input. A panic is a fault, too.
    fn check(&mut self, input: &[u8]) -> Result<(), Fault>;

    /// The most bytes that may be allocated for an input, over all that is allocated and freed on the way; none: it is not
    /// counted, as others allocate beside it.
    fn allocates(&self, input: &[u8]) -> Option<usize> {
        Some((4 << 20) + 2_000 * input.len())
    }
}
