//! The configuration objects that operators declare, and the document in which
//! they write changes.

use crate::identifiers::{BackendName, PipelineName, StageName, TenantName};
use crate::selector::{Labels, Selector};
use crate::validation::{validate_configuration, ValidationErrors};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Revision of the configuration: one more with each accepted change.
pub type Revision = u64;

/// What a stage does; the unit by which cost is accounted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageKind {
    /// Turns text into vectors, at a pool.
    Encoding,
    /// Looks up documents, at a pool.
    Retrieval,
    /// Orders documents, at a pool.
    Reranking,
    /// Generates text, at a model engine.
    Generation,
    /// Calls a plain service.
    Service,
}

impl StageKind {
    /// The label value used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            StageKind::Encoding => "encoding",
            StageKind::Retrieval => "retrieval",
            StageKind::Reranking => "reranking",
            StageKind::Generation => "generation",
            StageKind::Service => "service",
        }
    }

    /// The kind of back end that runs such a stage.
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

/// What kind of outside system a back end is.
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
    /// A plain service.
    Service,
}

/// One step of a pipeline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: StageName,
    /// What the stage does.
    pub kind: StageKind,
    /// Which labelled back ends may serve it.
    #[serde(default)]
    pub selector: Selector,
    /// Model name; required for generation stages only.
    #[serde(default)]
    pub model: Option<String>,
    /// Most tokens that a generation stage produces.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the call may be sent again after an unknown outcome. Plain
    /// service calls are not repeatable unless declared so.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Service time expected until one was measured, in milliseconds.
    #[serde(default)]
    pub expected_ms: Option<u64>,
}

impl Stage {
    /// Whether the call may be repeated: as declared, else yes for every kind
    /// but plain services.
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
    /// Labels of the pipeline.
    #[serde(default)]
    pub labels: Labels,
    /// Deadline of the whole answer from its arrival, in milliseconds, used
    /// where the request names none.
    pub deadline_ms: u64,
    /// Which labelled tenants may use the pipeline.
    #[serde(default)]
    pub tenants: Selector,
    /// The stages in order.
    pub stages: Vec<Stage>,
}

/// An outside system that runs stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Name, unique among back ends.
    pub name: BackendName,
    /// What it is.
    pub kind: BackendKind,
    /// IP address and port of its protocol.
    pub address: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// How many calls it runs side by side.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<String>,
    /// Whether silversail decides which models the engine holds, by orders;
    /// `models` is then not used.
    #[serde(default)]
    pub managed: bool,
    /// How many models a managed engine holds at most.
    #[serde(default = "default_model_slots")]
    pub model_slots: u32,
    /// Declared intent: send nothing new here.
    #[serde(default)]
    pub drain: bool,
}

fn default_model_slots() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

/// A model and how many engines shall hold it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: String,
    /// Labels of the model.
    #[serde(default)]
    pub labels: Labels,
    /// Declared number of managed engines that hold the model.
    #[serde(default)]
    pub replicas: u32,
    /// Which labelled managed engines may hold it.
    #[serde(default)]
    pub engines: Selector,
    /// Size of its weights in megabytes, by which loads are paced.
    #[serde(default)]
    pub size_mb: u32,
}

/// Limits of one tenant over the whole cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Most requests admitted and not yet answered.
    #[serde(default)]
    pub concurrent_requests: Option<u32>,
    /// Most requests admitted a second.
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
    /// Limits over the whole cluster.
    #[serde(default)]
    pub limits: TenantLimits,
}

fn default_weight() -> u32 {
    1
}

/// The kinds of configuration objects.
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

/// Names one object for deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectReference {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
}

/// A change as operators write it: objects to put in place of those of the
/// same name, and objects to delete.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationDocument {
    /// Pipelines to put.
    #[serde(default)]
    pub pipelines: Vec<Pipeline>,
    /// Back ends to put.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Models to put.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Tenants to put.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Objects to delete, before the puts.
    #[serde(default)]
    pub delete: Vec<ObjectReference>,
}

/// The whole configuration at one revision.
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
    /// This configuration after `document`, or what is wrong with the result.
    /// `self` is left as it is.
    pub fn with_change(
        &self,
        document: &ConfigurationDocument,
    ) -> Result<Configuration, ValidationErrors> {
        let mut next = self.clone();
        next.apply(document);
        validate_configuration(&next)?;
        Ok(next)
    }

    /// Applies a change that was validated before it was accepted.
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

    /// The configuration as a document that would create it from nothing.
    pub fn to_document(&self) -> ConfigurationDocument {
        ConfigurationDocument {
            pipelines: self.pipelines.values().cloned().collect(),
            backends: self.backends.values().cloned().collect(),
            models: self.models.values().cloned().collect(),
            tenants: self.tenants.values().cloned().collect(),
            delete: Vec::new(),
        }
    }

    /// Back ends that may serve `stage`, drained ones left out.
    pub fn backends_for<'a>(&'a self, stage: &'a Stage) -> impl Iterator<Item = &'a Backend> {
        self.backends
            .values()
            .filter(move |backend| !backend.drain && backend_serves(backend, stage))
    }
}

/// Whether `backend` is of the stage's kind, holds its model and matches its
/// selector.
pub fn backend_serves(backend: &Backend, stage: &Stage) -> bool {
    let holds_model = match &stage.model {
        // What a managed engine holds is known from its reports only.
        Some(model) => backend.managed || backend.models.contains(model),
        None => true,
    };
    backend.kind == stage.kind.backend_kind()
        && holds_model
        && stage.selector.matches(&backend.labels)
}
