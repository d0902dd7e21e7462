//! Request rate limits that back ends advertise in response headers. A limit applies to all
//! nodes together.

use serde::{Deserialize, Serialize};

const UNITS_PER_REQUEST: f64 = 1_000.0;

/// Request rate, stored in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct RequestRate(u64);

impl RequestRate {
    /// No requests are allowed.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from requests per second, rounded down to thousandths; none if `requests` is
    /// negative, infinite or not a number.
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_valid = requests.is_finite() && requests >= 0.0;
        // The cast saturates at the maximum of u64.
        is_valid.then_some(Self((requests * UNITS_PER_REQUEST) as u64))
    }

    /// Returns the rate as a number of requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

/// Rate limits in the headers of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdvertisedRateLimit {
    /// The lowest of the limits; none if no value is valid.
    pub lowest: Option<RequestRate>,
    /// Whether at least one value is invalid.
    pub is_unreadable: bool,
}

impl AdvertisedRateLimit {
    /// Parses the values of all limit headers; a proxy may have joined several values by commas.
    /// Each value is a decimal number of requests per second.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut limit = Self::default();
        for part in values.into_iter().flat_map(|value| value.split(',')) {
            match part.trim().parse().ok().and_then(RequestRate::per_second) {
                Some(rate) => {
                    let lowest = limit.lowest.map_or(rate, |current| current.min(rate));
                    limit.lowest = Some(lowest);
                }
                None => limit.is_unreadable = true,
            }
        }
        limit
    }
}
