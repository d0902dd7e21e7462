//! How long a back end that turns something away wants nothing, as `Retry-After` names it.

use std::time::Duration;

/// The rests that a head names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryAfter {
    /// The longest of them; none where none is longer than 0.
    pub longest: Option<Duration>,
    /// Whether one can't be read.
    pub is_unreadable: bool,
}

impl RetryAfter {
    /// Reads the values of all headers of the name: several may be joined by commas on their way.
    /// Each is a number of seconds, fractions included. A date counts as unreadable: the clocks of
    /// two machines need not agree.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut rest = Self::default();
        for part in values.into_iter().flat_map(|value| value.split(',')) {
            match read_seconds(part) {
                Some(length) if length.is_zero() => {}
                Some(length) => rest.longest = rest.longest.max(Some(length)),
                None => rest.is_unreadable = true,
            }
        }
        rest
    }
}

/// Reads seconds; none where they are no number, negative or without end. More than a duration
/// holds is the longest duration: a rest is never shortened.
fn read_seconds(part: &str) -> Option<Duration> {
    let seconds: f64 = part.trim().parse().ok()?;
    let is_length = seconds.is_finite() && seconds >= 0.0;
    is_length.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}
