//! An exponentially weighted moving average.

/// Weight of a new sample once enough samples have been added.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// A moving average that starts from an assumed value.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: f64,
    samples: u64,
}

impl MovingAverage {
    /// Creates an average that has the value `initial` until the first sample.
    pub fn new(initial: f64) -> Self {
        Self {
            value: initial,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        // The first samples are averaged equally and replace the initial value.
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / (self.samples + 1) as f64);
        self.value += weight * (sample - self.value);
        self.samples += 1;
    }

    /// Current average, in the unit of the samples.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples added.
    pub fn samples(&self) -> u64 {
        self.samples
    }
}
