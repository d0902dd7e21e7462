//! The number of earlier attempts that a request carries.

use hyper::header::HeaderMap;
use rstest::rstest;
use silversail_daemon::gateway::forwarding::{read_forward, FORWARDED};
use silversail_serving::end_to_end::EndToEndHeaders;

/// A number at which the count of attempts begins anew, so that a request reaches more back ends than
/// its route allows.
#[rstest]
#[case::absent(None, None)]
#[case::none_before("0", Some(0))]
#[case::one_before("1", Some(1))]
#[case::malformed("many", Some(1))]
#[case::negative("-1", Some(1))]
#[case::largest("4294967295", Some(65_536))]
#[case::too_large("4294967296", Some(1))]
fn earlier_attempts_leave_room_for_those_that_are_added(
    #[case] value: impl Into<Option<&'static str>>,
    #[case] expected: Option<u32>,
) {
    let mut headers = HeaderMap::new();
    if let Some(value) = value.into() {
        headers.insert(FORWARDED, value.parse().expect("a valid header value"));
    }
    let headers = EndToEndHeaders::new(headers, |_| true);
    let attempts = read_forward(&headers).map(|forward| forward.earlier_attempts);
    assert_eq!(attempts, expected);
}
