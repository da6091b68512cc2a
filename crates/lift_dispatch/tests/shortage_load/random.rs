//! Random numbers that are the same in each run.

/// A generator of random numbers.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new() -> Self {
        Self(0x9E37_79B9_7F4A_7C15)
    }

    /// A random number.
    pub(crate) fn draw(&mut self) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) as usize
    }

    /// A random number from 0 up to 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.draw() % 1_000_000) as f64 / 1_000_000.0
    }

    /// A random number with an exponential distribution and a mean of 1.
    pub(crate) fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}
