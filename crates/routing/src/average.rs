//! An exponentially weighted moving average.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A moving average that starts from an assumption.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: f64,
    samples: u64,
}

impl MovingAverage {
    /// An average that gives `assumed` until a sample comes.
    pub fn new(assumed: f64) -> Self {
        Self {
            value: assumed,
            samples: 0,
        }
    }

    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        // The first samples outweigh the assumption.
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.samples + 1) as f64);
        self.value += weight * (sample - self.value);
        self.samples += 1;
    }

    /// The average.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples taken in.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}
