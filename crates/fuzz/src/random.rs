//! Numbers that are the same for the same seed.

/// A generator (SplitMix64: Steele, Lea and Flood, OOPSLA 2014).
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Of a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number under `end`, which counts as 1 if it is 0.
    pub fn below(&mut self, end: usize) -> usize {
        (self.bits() % end.max(1) as u64) as usize
    }

    /// True once in so many times.
    pub fn one_in(&mut self, times: usize) -> bool {
        self.below(times) == 0
    }

    /// One of them.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn of<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        &all[self.below(all.len())]
    }

    /// A whole number: often one at a border, else of any size.
    pub fn whole(&mut self) -> u64 {
        const BORDERS: [u64; 12] = [
            0,
            1,
            2,
            127,
            255,
            65_535,
            u32::MAX as u64,
            u32::MAX as u64 + 1,
            i64::MAX as u64,
            1 << 63,
            u64::MAX - 1,
            u64::MAX,
        ];
        match self.below(4) {
            0 => *self.of(&BORDERS),
            1 => self.bits(),
            2 => self.below(20) as u64,
            _ => self.bits() >> self.below(64),
        }
    }

    /// A floating-point number: often one at a border.
    pub fn float(&mut self) -> f64 {
        const BORDERS: [f64; 12] = [
            0.0,
            -0.0,
            1.0,
            -1.0,
            0.5,
            1e308,
            -1e308,
            f64::MIN_POSITIVE,
            f64::NAN,
            f64::INFINITY,
            f64::NEG_INFINITY,
            1e18,
        ];
        match self.below(4) {
            0 => *self.of(&BORDERS),
            1 => f64::from_bits(self.bits()),
            _ => self.below(10_000) as f64 / 10.0,
        }
    }
}
