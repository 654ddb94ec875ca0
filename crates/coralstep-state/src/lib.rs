//! What outlives a restart where a folder does: what the decisions learned ([`snapshot`]) and which tokens ran ([`journal`]). A wrong file is
//! never believed: everything read is checked by version, checksum and age first. All of it goes through [`Files`], a small
//! interface with a real folder behind it or one that fails as power cuts, full disks and lying syncs do ([`faulty`]).
pub mod faulty;
pub mod files;
pub mod frame;
pub mod journal;
pub mod record;
pub mod schedule;
pub mod snapshot;
pub mod trust;

pub use files::{Files, Folder};
