//! Stored state of one replica: its identity, a snapshot and a write-ahead log in
//! one folder. A write is synced before it is reported.
//!
//! The files are `identity` (the identity of the replica, written once), `snapshot`
//! (the newest snapshot) and `log` (the records after it). Each record has checksums
//! of its header and its content.

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
