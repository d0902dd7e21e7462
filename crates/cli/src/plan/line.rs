//! Straight lines through measured points.

/// A line through measured points, by least squares.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub base: f64,
    /// Growth for one more.
    pub slope: f64,
    /// Where it was measured.
    pub measured_at: Vec<f64>,
    /// Whether the points show a growth beyond their noise.
    pub grows: bool,
}

/// Share of the variation that a line must explain to count as a growth.
const EXPLAINED: f64 = 0.9;

impl Line {
    /// The line through `points`. Where they show no growth beyond their noise
    /// it is level, at the largest value measured.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let explained = covariance * covariance / (spread_x * spread_y);
        let grows = covariance > 0.0 && explained >= EXPLAINED;
        let slope = if grows { covariance / spread_x } else { 0.0 };
        let largest = points.iter().map(|point| point.1).fold(0.0, f64::max);
        Self {
            base: if grows {
                mean_y - slope * mean_x
            } else {
                largest
            },
            slope,
            measured_at: points.iter().map(|point| point.0).collect(),
            grows,
        }
    }

    /// The value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Where the line reaches `limit`, if it grows.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| (limit - self.base) / self.slope)
    }

    /// `measured` where `x` was measured, else from which points.
    pub fn basis(&self, x: f64) -> String {
        if self.measured_at.contains(&x) {
            return "measured".into();
        }
        let points: Vec<String> = self.measured_at.iter().map(f64::to_string).collect();
        let points = points.join(", ");
        match self.grows {
            true => format!("extrapolated from {points}"),
            false => format!("largest of {points}; no growth beyond noise"),
        }
    }
}
