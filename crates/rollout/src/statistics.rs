//! Binomial statistics for verdicts.

/// Standard deviations of the upper confidence bound, for a one-sided error of about 2.5 %.
const UPPER_BOUND_DEVIATIONS: f64 = 2.0;

/// Probability that at least `bad` of `responses` are bad if each is bad with probability `share`.
pub fn binomial_tail(responses: u64, bad: u64, share: f64) -> f64 {
    if bad == 0 || share >= 1.0 {
        return 1.0;
    }
    if bad > responses || share <= 0.0 {
        return 0.0;
    }
    if (bad as f64) <= share * responses as f64 {
        return 1.0 - lower_binomial_tail(responses, bad - 1, share);
    }
    let odds = share / (1.0 - share);
    let mut term = log_probability(responses, bad, share).exp();
    let mut sum = term;
    for bad_count in bad..responses {
        term *= (responses - bad_count) as f64 / (bad_count + 1) as f64 * odds;
        sum += term;
        if term < sum * f64::EPSILON {
            break;
        }
    }
    sum.min(1.0)
}

/// Probability that at most `bad` of `responses` are bad, for a `bad` below the expected value. The
/// terms are summed from the largest to the smallest.
fn lower_binomial_tail(responses: u64, bad: u64, share: f64) -> f64 {
    let odds = (1.0 - share) / share;
    let mut term = log_probability(responses, bad, share).exp();
    let mut sum = term;
    for bad_count in (1..=bad).rev() {
        term *= bad_count as f64 / (responses - bad_count + 1) as f64 * odds;
        sum += term;
        if term < sum * f64::EPSILON {
            break;
        }
    }
    sum.min(1.0)
}

/// Natural logarithm of the probability that exactly `bad` of `responses` are bad.
fn log_probability(responses: u64, bad: u64, share: f64) -> f64 {
    let choices: f64 = (1..=bad)
        .map(|factor| ((responses - bad + factor) as f64 / factor as f64).ln())
        .sum();
    choices + bad as f64 * share.ln() + (responses - bad) as f64 * (1.0 - share).ln()
}

/// Upper bound of the Wilson score interval for the share of bad responses, from 0 to 1.
pub fn upper_share(responses: u64, bad: u64) -> f64 {
    if responses == 0 {
        return 1.0;
    }
    let responses = responses as f64;
    let observed_share = bad as f64 / responses;
    let deviations_squared = UPPER_BOUND_DEVIATIONS * UPPER_BOUND_DEVIATIONS;
    let centre = observed_share + deviations_squared / (2.0 * responses);
    let half_width = (observed_share * (1.0 - observed_share) / responses
        + deviations_squared / (4.0 * responses * responses))
        .sqrt();
    ((centre + UPPER_BOUND_DEVIATIONS * half_width) / (1.0 + deviations_squared / responses))
        .min(1.0)
}
