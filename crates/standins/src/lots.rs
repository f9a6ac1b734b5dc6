//! Random numbers that are the same for the same seed on every machine and with every build.

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A source of lots. ChaCha with 8 rounds: its stream is fixed by its definition, so schedules stay comparable.
#[derive(Debug, Clone)]
pub struct Lots(ChaCha8Rng);

impl Lots {
    /// The lots of this seed; streams of one seed are independent of each other.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Lots(rng)
    }

    /// A number of 64 bits.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number of [0, 1).
    pub fn share(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether a thing of this probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.share() < probability
    }

    /// A number of [0, `most`); 0 if that is empty.
    pub fn below(&mut self, most: usize) -> usize {
        (self.share() * most as f64) as usize
    }

    /// A number between two.
    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.share()
    }

    /// An exponential span of this mean.
    pub fn span(&mut self, mean: f64) -> f64 {
        -(1.0 - self.share()).ln() * mean
    }

    /// A log-normal factor of mean 1 and this coefficient of variation.
    pub fn factor(&mut self, cv: f64) -> f64 {
        let sigma = (1.0 + cv * cv).ln().sqrt();
        let normal = (-2.0 * (1.0 - self.share()).ln()).sqrt() * (std::f64::consts::TAU * self.share()).cos();
        (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// A number that depends on all of these and looks drawn: the finisher of splitmix64.
pub fn mix(numbers: &[u64]) -> u64 {
    numbers.iter().fold(0x9e37_79b9_7f4a_7c15, |state, &number| {
        let mut z = (state ^ number).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_gives_the_same_lots_everywhere_and_streams_differ() {
        let mut a = Lots::new(7, 0);
        let mut b = Lots::new(7, 0);
        let mut c = Lots::new(7, 1);
        let (a, b, c) = (a.number(), b.number(), c.number());
        assert_eq!(a, b);
        assert_ne!(a, c);
        assert_eq!(mix(&[1, 2]), mix(&[1, 2]));
        assert_ne!(mix(&[1, 2]), mix(&[2, 1]));
    }

    #[test]
    fn spans_and_factors_have_their_means() {
        let mut lots = Lots::new(3, 0);
        let mean = |sum: f64| sum / 20_000.0;
        let spans = mean((0..20_000).map(|_| lots.span(5.0)).sum());
        let factors = mean((0..20_000).map(|_| lots.factor(0.5)).sum());
        assert!((spans - 5.0).abs() < 0.2 && (factors - 1.0).abs() < 0.03, "{spans} {factors}");
    }
}
