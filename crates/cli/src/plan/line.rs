//! Linear regression through measured points.

/// Least-squares line through measured points.
#[derive(Clone, Debug, PartialEq)]
pub struct FittedLine {
    /// Value at zero nodes.
    pub intercept: f64,
    /// Growth per additional node.
    pub slope: f64,
    /// Numbers of nodes of the measured points.
    pub measured_at: Vec<f64>,
    /// Whether the points show growth beyond their noise.
    pub grows: bool,
}

/// Smallest coefficient of determination at which a line counts as growth.
const MIN_DETERMINATION: f64 = 0.9;

impl FittedLine {
    /// Fits a line to `points`. Without growth beyond their noise it is constant at the
    /// largest measured value.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let determination = covariance * covariance / (spread_x * spread_y);
        let grows = covariance > 0.0 && determination >= MIN_DETERMINATION;
        let slope = if grows { covariance / spread_x } else { 0.0 };
        let largest = points.iter().map(|point| point.1).fold(0.0, f64::max);
        Self {
            intercept: if grows {
                mean_y - slope * mean_x
            } else {
                largest
            },
            slope,
            measured_at: points.iter().map(|point| point.0).collect(),
            grows,
        }
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Position at which the line reaches `limit`; none if it does not grow.
    pub fn reaches(&self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| (limit - self.intercept) / self.slope)
    }

    /// Basis of the value at `x`: `measured`, or the points that it was derived from.
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
