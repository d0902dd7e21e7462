//! The result codes and their documentation.

use silversail_model::ResultCode;
use std::collections::BTreeSet;

#[test]
fn the_documentation_lists_exactly_the_result_codes() {
    let page = include_str!("../../../docs/RESULT_CODES.md");
    let documented: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| line.split(" | ").take(4).collect::<Vec<_>>().join(" | "))
        .collect();
    let actual: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            format!(
                "| {} | `{}` | {} | {}",
                code.number(),
                code.reason(),
                code.http_status(),
                code.outcome().as_str()
            )
        })
        .collect();
    assert_eq!(documented, actual);
}

#[test]
fn result_code_numbers_and_reasons_are_unique() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let reasons: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.reason()).collect();
    assert_eq!(numbers.len(), ResultCode::ALL.len());
    assert_eq!(reasons.len(), ResultCode::ALL.len());
}
