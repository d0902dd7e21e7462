//! The stored state of one replica: its identity, a snapshot and a write-ahead
//! log in one folder. What a call reports as written is synced.
//!
//! Files: `identity` (the replica's identity, written once), `snapshot` (the
//! newest snapshot) and `log` (records after it). Each record carries checksums
//! of its header and of its content.

pub mod errors;
pub mod file;
pub mod folder_lock;
pub mod record;
pub mod replica_store;
pub mod write_queue;

pub use errors::StorageError;
pub use folder_lock::FolderLock;
pub use replica_store::ReplicaStore;
pub use write_queue::WriteQueue;
