//! Deterministic simulation of a cluster: the daemon's actors under virtual time, with
//! an in-memory transport, simulated disks and seeded faults. Runs of one seed are
//! identical.

pub mod backends;
pub mod clients;
pub mod disk;
pub mod hollow;
pub mod network;
pub mod node;
pub mod orders;
pub mod scenario;
pub mod world;

pub use hollow::{run_hollow, HollowReport};
pub use scenario::{run_seed, run_seed_with_orders, SeedReport};
pub use world::World;
