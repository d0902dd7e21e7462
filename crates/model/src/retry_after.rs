//! Parsing of `Retry-After` headers in the responses of back ends.

use std::time::Duration;

/// Delays in the `Retry-After` headers of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter {
    /// The longest delay; none if no delay is longer than 0.
    pub longest: Option<Duration>,
    /// Whether at least one value is invalid.
    pub is_unreadable: bool,
}

impl RetryAfter {
    /// Parses the values of all `Retry-After` headers; a proxy may have joined several values by
    /// commas. Each value is a decimal number of seconds. A date counts as invalid, because the
    /// clocks of two machines may differ.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut retry_after = Self::default();
        for part in values.into_iter().flat_map(|value| value.split(',')) {
            match parse_seconds(part) {
                Some(delay) if delay.is_zero() => {}
                Some(delay) => retry_after.longest = retry_after.longest.max(Some(delay)),
                None => retry_after.is_unreadable = true,
            }
        }
        retry_after
    }
}

/// Parses seconds; none if they are negative, infinite or not a number. A value above the maximum
/// duration becomes the maximum duration.
fn parse_seconds(part: &str) -> Option<Duration> {
    let seconds: f64 = part.trim().parse().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
