//! How many requests a second a back end takes from all nodes together, as its answers name it.

use serde::{Deserialize, Serialize};

const THOUSANDTHS: f64 = 1_000.0;

/// Requests in a time, kept in thousandths of a request a second.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestRate(u64);

impl RequestRate {
    /// None at all.
    pub const ZERO: Self = Self(0);

    /// The rate of so many requests a second, rounded down to thousandths; none where that is no
    /// number, negative or without end.
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_rate = requests.is_finite() && requests >= 0.0;
        // More than fits is the most that fits.
        is_rate.then_some(Self((requests * THOUSANDTHS) as u64))
    }

    /// Requests a second.
    pub fn requests_per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }
}

/// The limits that a head names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedRateLimit {
    /// The lowest of them; none where none can be read.
    pub lowest: Option<RequestRate>,
    /// Whether one can't be read.
    pub is_unreadable: bool,
}

impl AdvertisedRateLimit {
    /// Reads the values of all headers of the name: several may be joined by commas on their way.
    /// Each is a number of requests a second, fractions included.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut limit = Self::default();
        for part in values.into_iter().flat_map(|value| value.split(',')) {
            match part.trim().parse().ok().and_then(RequestRate::per_second) {
                Some(rate) => {
                    let lowest = limit.lowest.map_or(rate, |known| known.min(rate));
                    limit.lowest = Some(lowest);
                }
                None => limit.is_unreadable = true,
            }
        }
        limit
    }
}
