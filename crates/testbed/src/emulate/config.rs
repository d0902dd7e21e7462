//! What is emulated.

use super::behavior::BehaviorConfig;
use super::weights::WeightStoreConfig;
use serde::Deserialize;
use std::path::PathBuf;

/// A file of emulated back ends.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EmulatorConfig {
    /// Seed of service times.
    #[serde(default)]
    pub seed: u64,
    /// File to which services append each call that they run, as JSON lines.
    #[serde(default)]
    pub run_log: Option<PathBuf>,
    /// Model engines.
    #[serde(default)]
    pub engines: Vec<EngineConfig>,
    /// Members of pools, and plain services.
    #[serde(default)]
    pub services: Vec<ServiceConfig>,
    /// The weight store, for managed engines.
    #[serde(default)]
    pub weight_store: Option<WeightStoreConfig>,
    /// The platform's list.
    #[serde(default)]
    pub platform: Option<PlatformConfig>,
}

/// An engine with continuous batching.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Name.
    pub name: String,
    /// Address to listen on.
    pub address: String,
    /// Sequences that run side by side.
    #[serde(default = "default_engine_slots")]
    pub slots: usize,
    /// Time of a step of one sequence, in milliseconds; a full batch takes half
    /// as long again.
    #[serde(default = "default_step_ms")]
    pub step_ms: f64,
    /// Prompt tokens that one step takes in.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens_per_step: u32,
    /// Tokens of prompts that the prefix cache holds.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u32,
    /// Whether the engine starts without models and takes orders to load them;
    /// else it serves any model.
    #[serde(default)]
    pub managed: bool,
    /// Whether it refuses orders with an older fence.
    #[serde(default)]
    pub checks_fence: bool,
    /// How old a load report is, in milliseconds.
    #[serde(default = "default_load_lag_ms")]
    pub load_lag_ms: u64,
    /// What it says of itself over time.
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

/// A member of a pool, or a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// Name.
    pub name: String,
    /// Address to listen on.
    pub address: String,
    /// Calls that run side by side; more wait.
    #[serde(default = "default_service_slots")]
    pub slots: usize,
    /// Time of a call, in milliseconds.
    pub service_ms: f64,
    /// Share by which the time varies.
    #[serde(default)]
    pub jitter: f64,
    /// Whether calls go to the run log.
    #[serde(default)]
    pub logged: bool,
    /// What it says of itself over time.
    #[serde(default, rename = "conduct")]
    pub behavior: BehaviorConfig,
}

fn default_service_slots() -> usize {
    8
}

/// The platform's list of machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address to listen on.
    pub address: String,
    /// Addresses of the machines' back ends.
    #[serde(default)]
    pub machines: Vec<String>,
    /// Lag of each reader's view, in milliseconds, by position of the reader's
    /// last digit; readers without one see the list at once.
    #[serde(default)]
    pub lags_ms: Vec<u64>,
}
