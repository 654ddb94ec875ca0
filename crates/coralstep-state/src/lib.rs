//! State that a server keeps across restarts: the scheduler's learned state ([`snapshot`]), the
//! idempotency keys of runs ([`wal`]) and the active configuration version ([`fleet_record`]).
//!
//! Everything that is read is validated first: version, checksum and age. All I/O goes through
//! [`Storage`], which is a directory on disk ([`DirStorage`]) or, in tests, a directory in memory
//! that simulates power cuts, full disks and syncs without effect ([`faulty_storage`]).
pub mod background;
pub mod confidence;
pub mod faulty_storage;
pub mod fingerprint;
pub mod fleet_record;
pub mod framing;
pub mod snapshot;
pub mod storage;
pub mod wal;

pub use storage::{DirStorage, Storage, StorageError};
