//! Configuration objects that operators declare, and the document format of
//! configuration changes.

use crate::identifiers::{BackendName, PipelineName, StageName, TenantName};
use crate::selector::{Labels, Selector};
use crate::validation::{validate_configuration, ValidationErrors};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Revision of the configuration, incremented with each accepted change.
pub type Revision = u64;

/// Kind of processing that a stage does; costs are accounted by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageKind {
    /// Encodes text as vectors, in an encoder pool.
    Encoding,
    /// Retrieves documents, in a retriever pool.
    Retrieval,
    /// Ranks documents, in a reranker pool.
    Reranking,
    /// Generates text, in a model engine.
    Generation,
    /// Calls an HTTP service.
    Service,
}

impl StageKind {
    /// Returns the label value used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            StageKind::Encoding => "encoding",
            StageKind::Retrieval => "retrieval",
            StageKind::Reranking => "reranking",
            StageKind::Generation => "generation",
            StageKind::Service => "service",
        }
    }

    /// Returns the kind of back end that runs stages of this kind.
    pub fn backend_kind(self) -> BackendKind {
        match self {
            StageKind::Encoding => BackendKind::Encoder,
            StageKind::Retrieval => BackendKind::Retriever,
            StageKind::Reranking => BackendKind::Reranker,
            StageKind::Generation => BackendKind::Engine,
            StageKind::Service => BackendKind::Service,
        }
    }
}

/// Kind of external system that a back end is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// A model engine with continuous batching.
    Engine,
    /// A member of an encoder pool.
    Encoder,
    /// A member of a retriever pool.
    Retriever,
    /// A member of a reranker pool.
    Reranker,
    /// An HTTP service without pool or model.
    Service,
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name of the stage, unique in the pipeline.
    pub name: StageName,
    /// Kind of processing.
    pub kind: StageKind,
    /// Selects the back ends that may run the stage, by their labels.
    #[serde(default)]
    pub selector: Selector,
    /// Model name; required for generation stages only.
    #[serde(default)]
    pub model: Option<String>,
    /// Maximum number of tokens that a generation stage produces.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the call may be sent again after an unknown outcome; by default
    /// all calls except those of service stages may.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Initial estimate of the stage's duration, in milliseconds, used until
    /// measurements are available.
    #[serde(default)]
    pub expected_ms: Option<u64>,
}

impl Stage {
    /// Whether the call may be sent again: as declared, otherwise true for all
    /// kinds except services.
    pub fn is_repeatable(&self) -> bool {
        self.repeatable.unwrap_or(self.kind != StageKind::Service)
    }
}

/// A sequence of stages that share one deadline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// Name, unique among pipelines.
    pub name: PipelineName,
    /// Labels of the pipeline, as declared by the operator.
    #[serde(default)]
    pub labels: Labels,
    /// Default deadline for the complete response, in milliseconds after the
    /// request's arrival.
    pub deadline_ms: u64,
    /// Selects the tenants that may use the pipeline, by their labels.
    #[serde(default)]
    pub tenants: Selector,
    /// Stages in the order of execution.
    pub stages: Vec<Stage>,
}

/// An external system that runs stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name, unique among back ends.
    pub name: BackendName,
    /// Kind of external system.
    pub kind: BackendKind,
    /// IP address and port for calls.
    pub address: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Number of calls that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Whether silversail loads and unloads the engine's models; `models` is
    /// ignored then.
    #[serde(default)]
    pub managed: bool,
    /// Maximum number of models loaded in a managed engine.
    #[serde(default = "default_model_slots")]
    pub model_slots: u32,
    /// Whether the back end is drained: it gets no new calls.
    #[serde(default)]
    pub drain: bool,
}

fn default_model_slots() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

/// A model and the number of engines that it is loaded in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: String,
    /// Labels of the model, as declared by the operator.
    #[serde(default)]
    pub labels: Labels,
    /// Number of managed engines that the model is loaded in.
    #[serde(default)]
    pub replicas: u32,
    /// Selects the managed engines that may load the model, by their labels.
    #[serde(default)]
    pub engines: Selector,
    /// Size of the model's weights in megabytes, used for limiting the rate of
    /// model loads.
    #[serde(default)]
    pub size_mb: u32,
}

/// Cluster-wide limits of one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Maximum number of concurrent requests.
    #[serde(default)]
    pub concurrent_requests: Option<u32>,
    /// Maximum number of admitted requests per second.
    #[serde(default)]
    pub requests_per_second: Option<u32>,
}

/// A customer whose requests are accounted together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name, unique among tenants.
    pub name: TenantName,
    /// Labels that pipeline selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Share of capacity under contention, relative to other tenants.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Cluster-wide limits.
    #[serde(default)]
    pub limits: TenantLimits,
}

fn default_weight() -> u32 {
    1
}

/// Kind of a configuration object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A [`Pipeline`].
    Pipeline,
    /// A [`Backend`].
    Backend,
    /// A [`Model`].
    Model,
    /// A [`Tenant`].
    Tenant,
}

/// Reference to an object that is to be deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectReference {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
}

/// A configuration change: objects to create or replace by name, and objects
/// to delete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDocument {
    /// Pipelines to create or replace.
    #[serde(default)]
    pub pipelines: Vec<Pipeline>,
    /// Back ends to create or replace.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Models to create or replace.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Tenants to create or replace.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Objects to delete before others are created or replaced.
    #[serde(default)]
    pub delete: Vec<ObjectReference>,
}

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineName, Pipeline>,
    /// Back ends by name.
    pub backends: BTreeMap<BackendName, Backend>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Tenant>,
}

impl Configuration {
    /// Returns a copy of this configuration with `document` applied.
    ///
    /// # Errors
    /// [`ValidationErrors`] if the resulting configuration is invalid.
    pub fn with_change(
        &self,
        document: &ConfigurationDocument,
    ) -> Result<Configuration, ValidationErrors> {
        let mut next = self.clone();
        next.apply(document);
        validate_configuration(&next)?;
        Ok(next)
    }

    /// Applies a change without validation, for changes that were already accepted.
    pub fn apply(&mut self, document: &ConfigurationDocument) {
        for reference in &document.delete {
            self.remove(reference);
        }
        for pipeline in &document.pipelines {
            self.pipelines
                .insert(pipeline.name.clone(), pipeline.clone());
        }
        for backend in &document.backends {
            self.backends.insert(backend.name.clone(), backend.clone());
        }
        for model in &document.models {
            self.models.insert(model.name.clone(), model.clone());
        }
        for tenant in &document.tenants {
            self.tenants.insert(tenant.name.clone(), tenant.clone());
        }
    }

    fn remove(&mut self, reference: &ObjectReference) {
        let name = reference.name.as_str();
        match reference.kind {
            ObjectKind::Pipeline => drop(self.pipelines.remove(&PipelineName::from(name))),
            ObjectKind::Backend => drop(self.backends.remove(&BackendName::from(name))),
            ObjectKind::Model => drop(self.models.remove(name)),
            ObjectKind::Tenant => drop(self.tenants.remove(&TenantName::from(name))),
        }
    }

    /// Returns a document that creates this configuration from an empty one.
    pub fn to_document(&self) -> ConfigurationDocument {
        ConfigurationDocument {
            pipelines: self.pipelines.values().cloned().collect(),
            backends: self.backends.values().cloned().collect(),
            models: self.models.values().cloned().collect(),
            tenants: self.tenants.values().cloned().collect(),
            delete: Vec::new(),
        }
    }

    /// Back ends that can run `stage` and are not drained.
    pub fn backends_for<'a>(&'a self, stage: &'a Stage) -> impl Iterator<Item = &'a Backend> {
        self.backends
            .values()
            .filter(move |backend| !backend.drain && backend_serves(backend, stage))
    }
}

/// Whether `backend` has the stage's kind, serves its model and matches its
/// selector.
pub fn backend_serves(backend: &Backend, stage: &Stage) -> bool {
    let may_serve_model = match &stage.model {
        // The models of a managed engine are known only from its status reports.
        Some(model) => backend.managed || backend.models.contains(model),
        None => true,
    };
    backend.kind == stage.kind.backend_kind()
        && may_serve_model
        && stage.selector.matches(&backend.labels)
}
