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
}

impl Line {
    /// The line through `points`; one point gives a level line.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 {
            covariance / spread
        } else {
            0.0
        };
        Self {
            base: mean_y - slope * mean_x,
            slope,
            measured_at: points.iter().map(|point| point.0).collect(),
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
        format!("extrapolated from {}", points.join(", "))
    }
}
