//! Limits on the number of pieces of a request.

mod common;

use common::{call_of, dispatcher};
use rstest::rstest;
use silversail_model::ResultCode;
use silversail_serving::dispatcher::Action;
use silversail_serving::ports::CallAttributes;

/// Two back ends run 13 consecutive calls of 8 pieces in 4 s, and hold 2 results of phase 2 each,
/// or those of one call; the margin is 4.
#[rstest]
#[case::as_many_as_could_be_run(&[832, 0, 0], None)]
#[case::more_than_could_be_run(&[833, 0, 0], Some(ResultCode::DeadlineUnreachable))]
#[case::as_many_as_could_be_held(&[0, 0, 64], None)]
#[case::more_than_could_be_held(&[0, 0, 65], Some(ResultCode::DeadlineUnreachable))]
#[case::as_many_inputs_as_allowed(&[512, 512, 0], None)]
#[case::more_inputs_than_allowed(&[513, 512, 0], Some(ResultCode::ValueOutOfRange))]
#[case::more_than_fit_in_memory(&[u32::MAX, 0, 0], Some(ResultCode::DeadlineUnreachable))]
fn a_request_that_cannot_be_served_is_refused_before_its_pieces_exist(
    #[case] pieces: &[u32],
    #[case] expected: Option<ResultCode>,
) {
    let mut dispatcher = dispatcher();
    let call = CallAttributes {
        pieces: pieces.to_vec(),
        ..call_of("r", "/staged/x")
    };
    let actions = dispatcher.handle_request(1, call, 0);
    let code = actions.iter().find_map(|action| match action {
        Action::Answer { refusal, .. } => Some(refusal.code),
        _ => None,
    });
    assert_eq!(code, expected);
    let is_submitted = |action: &Action| matches!(action, Action::Submit { .. });
    assert_eq!(actions.iter().any(is_submitted), expected.is_none());
    assert_eq!(dispatcher.open_requests(), usize::from(expected.is_none()));
}
