//! What a server keeps over a restart: what its scheduler learned ([`snapshot`]), which idempotency
//! keys ran ([`wal`]) and which configuration version it acts on ([`fleet_record`]).
//!
//! Nothing that is read is believed unchecked: version, checksum and age come first. All I/O goes
//! through [`Storage`], which is a directory on disk ([`DirStorage`]) or, in tests, one that fails
//! as power cuts, full disks and lying syncs do ([`faulty_storage`]).
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
