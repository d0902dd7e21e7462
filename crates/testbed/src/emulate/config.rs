//! Configuration of the emulated back ends.

use super::behavior::BehaviorConfig;
use super::weights::WeightStoreConfig;
use serde::Deserialize;
use std::path::PathBuf;

/// Root of the configuration file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EmulatorConfig {
    /// Seed of the jitter of service times.
    #[serde(default)]
    pub seed: u64,
    /// File to which services append each executed call as a JSON line.
    #[serde(default)]
    pub run_log: Option<PathBuf>,
    /// Engines with continuous batching.
    #[serde(default)]
    pub engines: Vec<EngineConfig>,
    /// Pool members and plain services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
    /// Weight store from which managed engines load models.
    #[serde(default)]
    pub weight_store: Option<WeightStoreConfig>,
    /// The platform's machine list.
    #[serde(default)]
    pub platform: Option<PlatformConfig>,
}

/// Configuration of an engine with continuous batching.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the back end.
    pub name: String,
    /// Listen address.
    pub address: String,
    /// Largest number of sequences in a batch.
    #[serde(default = "default_engine_slots")]
    pub slots: usize,
    /// Duration of a step with one sequence, in milliseconds; a step of a full batch
    /// takes half as long again.
    #[serde(default = "default_step_ms")]
    pub step_ms: f64,
    /// Number of prompt tokens that one step prefills.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens_per_step: u32,
    /// Capacity of the prefix cache, in tokens.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u32,
    /// Whether the engine starts without models and loads them by order; otherwise it
    /// serves any model.
    #[serde(default)]
    pub managed: bool,
    /// Whether the engine rejects orders with an older fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Age of a load report, in milliseconds.
    #[serde(default = "default_load_lag_ms")]
    pub load_lag_ms: u64,
    /// Scripted behavior over time.
    #[serde(default, rename = "conduct")]
    pub behavior: BehaviorConfig,
}

fn default_engine_slots() -> usize {
    16
}
fn default_step_ms() -> f64 {
    5.0
}
fn default_prompt_tokens() -> u32 {
    256
}
fn default_cache_tokens() -> u32 {
    32_768
}
fn default_load_lag_ms() -> u64 {
    200
}

/// Configuration of a pool member or a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name of the back end.
    pub name: String,
    /// Listen address.
    pub address: String,
    /// Largest number of concurrent calls; further ones wait.
    #[serde(default = "default_service_slots")]
    pub slots: usize,
    /// Mean duration of a call, in milliseconds.
    pub service_ms: f64,
    /// Largest relative deviation from `service_ms`.
    #[serde(default)]
    pub jitter: f64,
    /// Whether executed calls are recorded in the run log.
    #[serde(default)]
    pub logged: bool,
    /// Scripted behavior over time.
    #[serde(default, rename = "conduct")]
    pub behavior: BehaviorConfig,
}

fn default_service_slots() -> usize {
    8
}

/// Configuration of the platform's machine list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Listen address.
    pub address: String,
    /// Addresses of the back ends on the machines.
    #[serde(default)]
    pub machines: Vec<String>,
    /// Delay of the list for each reader, in milliseconds, indexed by the last digit of
    /// the reader's name; other readers get the current list.
    #[serde(default)]
    pub lags_ms: Vec<u64>,
}
