//! Labels of objects and selectors over them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Labels of an object: key to value.
pub type Labels = BTreeMap<String, String>;

/// How a [`Requirement`] compares a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operator {
    /// The label exists and its value is one of `values`.
    In,
    /// The label is absent or its value is none of `values`.
    NotIn,
    /// The label exists.
    Exists,
    /// The label is absent.
    NotExists,
}

impl Operator {
    /// Whether this operator compares with `values`.
    pub fn takes_values(self) -> bool {
        matches!(self, Operator::In | Operator::NotIn)
    }
}

/// One condition on one label.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Requirement {
    /// Key of the label.
    pub key: String,
    /// Comparison to apply to the label.
    pub operator: Operator,
    /// Values for `in` and `not_in`.
    #[serde(default)]
    pub values: Vec<String>,
}

impl Requirement {
    /// Whether `labels` satisfy this condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let value = labels.get(&self.key);
        match self.operator {
            Operator::In => value.is_some_and(|value| self.values.contains(value)),
            Operator::NotIn => !value.is_some_and(|value| self.values.contains(value)),
            Operator::Exists => value.is_some(),
            Operator::NotExists => value.is_none(),
        }
    }
}

/// A conjunction of conditions on labels. An empty selector matches all objects.
///
/// ```
/// use silversail_model::{Labels, Selector};
/// let selector = Selector { equals: Labels::from([("zone".into(), "a".into())]), ..Default::default() };
/// assert!(selector.matches(&Labels::from([("zone".into(), "a".into())])));
/// assert!(!selector.matches(&Labels::new()));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Labels that must be present with exactly these values.
    #[serde(default)]
    pub equals: Labels,
    /// Further conditions, all of which must hold.
    #[serde(default)]
    pub requirements: Vec<Requirement>,
}

impl Selector {
    /// Whether `labels` satisfy every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        let equals_match = self
            .equals
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value));
        equals_match
            && self
                .requirements
                .iter()
                .all(|requirement| requirement.matches(labels))
    }
}
