//! Matching of labels by selectors.

use rstest::rstest;
use silversail_model::{Labels, Operator, Requirement, Selector};

fn labels() -> Labels {
    Labels::from([("zone".into(), "a".into()), ("tier".into(), "gold".into())])
}

#[rstest]
#[case("zone", Operator::In, &["a", "b"], true)]
#[case("zone", Operator::In, &["b"], false)]
#[case("rack", Operator::In, &["a"], false)]
#[case("zone", Operator::NotIn, &["b"], true)]
#[case("zone", Operator::NotIn, &["a"], false)]
#[case("rack", Operator::NotIn, &["a"], true)]
#[case("zone", Operator::Exists, &[], true)]
#[case("rack", Operator::Exists, &[], false)]
#[case("zone", Operator::NotExists, &[], false)]
#[case("rack", Operator::NotExists, &[], true)]
fn requirements_and_selectors_match_labels_by_operator(
    #[case] key: &str,
    #[case] operator: Operator,
    #[case] values: &[&str],
    #[case] matches: bool,
) {
    let requirement = Requirement {
        key: key.into(),
        operator,
        values: values.iter().map(|value| (*value).to_owned()).collect(),
    };
    assert_eq!(requirement.matches(&labels()), matches);
    let selector = Selector {
        equals: Labels::from([("tier".into(), "gold".into())]),
        requirements: vec![requirement],
    };
    assert_eq!(selector.matches(&labels()), matches);
}
