//! Validation of a configuration. Each error has the path of the invalid field.

use crate::codes::ResultCode;
use crate::configuration::{Backend, Configuration, Pipeline, Stage, StageKind, Tenant};
use crate::identifiers::is_valid_name;
use crate::selector::Selector;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

/// Maximum deadline of a pipeline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum number of stages of a pipeline.
pub const MAX_STAGES: usize = 16;

/// A validation error of one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldError {
    /// Result code of the error.
    pub code: ResultCode,
    /// Path of the field, such as `pipelines.chat.stages[1].selector`.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} {}: {}",
            self.code.number(),
            self.path,
            self.message
        )
    }
}

/// All validation errors of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{}", .errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct ValidationErrors {
    /// Errors ordered by object kind, then by object name.
    pub errors: Vec<FieldError>,
}

impl ValidationErrors {
    fn add(&mut self, code: ResultCode, path: impl Into<String>, message: impl Into<String>) {
        self.errors.push(FieldError {
            code,
            path: path.into(),
            message: message.into(),
        });
    }
}

/// Checks names, ranges, selectors and references of a complete configuration.
///
/// # Errors
/// [`ValidationErrors`] with all errors found.
pub fn validate_configuration(configuration: &Configuration) -> Result<(), ValidationErrors> {
    let mut errors = ValidationErrors::default();
    for backend in configuration.backends.values() {
        validate_backend(backend, configuration, &mut errors);
    }
    for model in configuration.models.values() {
        validate_name(&model.name, "models", &mut errors);
        let path = format!("models.{}.engines", model.name);
        validate_selector(&model.engines, &path, &mut errors);
    }
    for tenant in configuration.tenants.values() {
        validate_tenant(tenant, &mut errors);
    }
    for pipeline in configuration.pipelines.values() {
        validate_pipeline(pipeline, configuration, &mut errors);
    }
    if errors.errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn validate_name(name: &str, path: &str, errors: &mut ValidationErrors) {
    if !is_valid_name(name) {
        errors.add(
            ResultCode::InvalidName,
            format!("{path}.{name}.name"),
            "a name must have 1 to 128 characters: letters, digits, '-', '_' and '.'",
        );
    }
}

fn validate_backend(
    backend: &Backend,
    configuration: &Configuration,
    errors: &mut ValidationErrors,
) {
    let path = format!("backends.{}", backend.name);
    validate_name(backend.name.as_str(), "backends", errors);
    if backend.address.parse::<SocketAddr>().is_err() {
        errors.add(
            ResultCode::InvalidAddress,
            format!("{path}.address"),
            format!(
                "'{}' is not an address of the form IP:PORT",
                backend.address
            ),
        );
    }
    if backend.slots == 0 {
        errors.add(
            ResultCode::ValueOutOfRange,
            format!("{path}.slots"),
            "must be at least 1",
        );
    }
    if backend.model_slots == 0 {
        errors.add(
            ResultCode::ValueOutOfRange,
            format!("{path}.model_slots"),
            "must be at least 1",
        );
    }
    for (position, model) in backend.models.iter().enumerate() {
        if !configuration.models.contains_key(model) {
            errors.add(
                ResultCode::UnknownReference,
                format!("{path}.models[{position}]"),
                format!("model '{model}' is not declared"),
            );
        }
    }
}

fn validate_tenant(tenant: &Tenant, errors: &mut ValidationErrors) {
    let path = format!("tenants.{}", tenant.name);
    validate_name(tenant.name.as_str(), "tenants", errors);
    if tenant.weight == 0 {
        errors.add(
            ResultCode::ValueOutOfRange,
            format!("{path}.weight"),
            "must be at least 1",
        );
    }
}

fn validate_pipeline(
    pipeline: &Pipeline,
    configuration: &Configuration,
    errors: &mut ValidationErrors,
) {
    let path = format!("pipelines.{}", pipeline.name);
    validate_name(pipeline.name.as_str(), "pipelines", errors);
    if pipeline.deadline_ms == 0 || pipeline.deadline_ms > MAX_DEADLINE_MS {
        errors.add(
            ResultCode::ValueOutOfRange,
            format!("{path}.deadline_ms"),
            format!("must be 1 to {MAX_DEADLINE_MS}"),
        );
    }
    if pipeline.stages.is_empty() || pipeline.stages.len() > MAX_STAGES {
        errors.add(
            ResultCode::ValueOutOfRange,
            format!("{path}.stages"),
            format!("must have 1 to {MAX_STAGES} stages"),
        );
    }
    validate_selector(&pipeline.tenants, &format!("{path}.tenants"), errors);
    let mut stage_names = BTreeSet::new();
    for (position, stage) in pipeline.stages.iter().enumerate() {
        let stage_path = format!("{path}.stages[{position}]");
        if !stage_names.insert(&stage.name) {
            errors.add(
                ResultCode::DuplicateName,
                format!("{stage_path}.name"),
                format!("stage '{}' is declared twice", stage.name),
            );
        }
        validate_stage(stage, &stage_path, configuration, errors);
    }
}

fn validate_stage(
    stage: &Stage,
    path: &str,
    configuration: &Configuration,
    errors: &mut ValidationErrors,
) {
    if !is_valid_name(stage.name.as_str()) {
        errors.add(
            ResultCode::InvalidName,
            format!("{path}.name"),
            "a name must have 1 to 128 characters: letters, digits, '-', '_' and '.'",
        );
    }
    validate_selector(&stage.selector, &format!("{path}.selector"), errors);
    match (&stage.model, stage.kind) {
        (None, StageKind::Generation) => errors.add(
            ResultCode::MissingField,
            format!("{path}.model"),
            "a generation stage must have a model",
        ),
        (Some(model), _) if !configuration.models.contains_key(model) => errors.add(
            ResultCode::UnknownReference,
            format!("{path}.model"),
            format!("model '{model}' is not declared"),
        ),
        _ => {}
    }
}

fn validate_selector(selector: &Selector, path: &str, errors: &mut ValidationErrors) {
    for (position, requirement) in selector.requirements.iter().enumerate() {
        let requirement_path = format!("{path}.requirements[{position}]");
        if requirement.key.is_empty() {
            errors.add(
                ResultCode::InvalidSelector,
                format!("{requirement_path}.key"),
                "must not be empty",
            );
        }
        if requirement.operator.takes_values() == requirement.values.is_empty() {
            errors.add(
                ResultCode::InvalidSelector,
                format!("{requirement_path}.values"),
                "'in' and 'not_in' require values, 'exists' and 'not_exists' must have none",
            );
        }
    }
}
