//! Extrapolates the cost of each role at a cluster size from measurements.

mod input;
mod line;
mod markdown;
mod measures;
mod tables;

pub use input::PlanInput;
pub use tables::render;
