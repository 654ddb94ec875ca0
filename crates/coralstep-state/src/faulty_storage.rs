//! A directory in memory that simulates the faults of real storage, for tests.
//!
//! Writes are durable only after a sync: a power cut keeps, tears or loses each unsynced write at
//! random, and may keep a later write while it loses an earlier one. Names are durable only after a
//! sync of the directory. Syncs may have no effect, the disk may be full, and any operation may fail.
use std::collections::BTreeMap;
use std::io;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::storage::{Storage, StorageError, StorageOperation};

/// A write at an offset in a file.
#[derive(Clone, Debug)]
struct Write {
    offset: usize,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
struct Inode {
    durable: Vec<u8>,
    /// Writes since the last sync.
    unsynced: Vec<Write>,
    length: usize,
}

impl Inode {
    fn from_durable(durable: Vec<u8>) -> Inode {
        Inode {
            length: durable.len(),
            durable,
            unsynced: Vec::new(),
        }
    }

    fn contents(&self) -> Vec<u8> {
        let mut contents = self.durable.clone();
        for write in &self.unsynced {
            overwrite(&mut contents, write.offset, &write.bytes);
        }
        contents
    }

    /// Returns the contents after a power cut: each unsynced write is kept, torn or lost.
    fn contents_after_power_cut(&self, rng: &mut SmallRng) -> Vec<u8> {
        let mut contents = self.durable.clone();
        for Write { offset, bytes } in &self.unsynced {
            match rng.random_range(0..3u8) {
                0 => overwrite(&mut contents, *offset, bytes),
                1 => {
                    let torn = &bytes[..rng.random_range(0..=bytes.len())];
                    overwrite(&mut contents, *offset, torn);
                }
                _ => {}
            }
        }
        contents
    }
}

fn overwrite(contents: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if contents.len() < end {
        contents.resize(end, 0);
    }
    contents[offset..end].copy_from_slice(bytes);
}

/// Faults to simulate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Index of the operation at which the power is cut; it and all later ones fail.
    pub power_cut_at: Option<u64>,
    /// Index of the only operation that fails.
    pub error_at: Option<u64>,
    /// Syncs report success without effect.
    pub ignore_syncs: bool,
    /// Maximum total length of all files, in bytes.
    pub capacity_bytes: Option<usize>,
    /// Every modifying operation fails.
    pub read_only: bool,
}

/// Index of each file's inode, by name.
type Names = BTreeMap<String, usize>;

/// A directory in memory with [`Faults`].
#[derive(Clone, Debug, Default)]
pub struct FaultyStorage {
    /// Faults of the next operations.
    pub faults: Faults,
    /// Number of attempted modifying operations.
    pub operations: u64,
    inodes: Vec<Inode>,
    names: Names,
    durable_names: Names,
    /// A copy of `names` for each change since the last sync of the directory, in order.
    unsynced_names: Vec<Names>,
}

impl FaultyStorage {
    /// Creates an empty directory with these faults.
    pub fn with_faults(faults: Faults) -> FaultyStorage {
        FaultyStorage {
            faults,
            ..FaultyStorage::default()
        }
    }

    /// Returns the directory after a power cut at this point, with the given faults. `seed`
    /// determines which unsynced writes are kept.
    pub fn after_power_cut(&self, seed: u64, faults: Faults) -> FaultyStorage {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Changes of names become durable in order; any number of the last ones may be lost.
        let kept_changes = rng.random_range(0..=self.unsynced_names.len());
        let names = kept_changes
            .checked_sub(1)
            .map_or(&self.durable_names, |last| &self.unsynced_names[last])
            .clone();
        let inodes = self
            .inodes
            .iter()
            .map(|inode| Inode::from_durable(inode.contents_after_power_cut(&mut rng)))
            .collect();
        FaultyStorage {
            faults,
            operations: 0,
            inodes,
            durable_names: names.clone(),
            names,
            unsynced_names: Vec::new(),
        }
    }

    /// Changes the contents of a file as a faulty disk would. Has no effect if the file does not
    /// exist.
    pub fn corrupt(&mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Ok(inode) = self.inode_mut(name) {
            let mut contents = inode.contents();
            change(&mut contents);
            *inode = Inode::from_durable(contents);
        }
    }

    /// Counts a modifying operation and returns an error if a fault applies to it.
    fn begin_operation(&mut self) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        if self.faults.power_cut_at.is_some_and(|cut| number >= cut) {
            return Err(io::Error::other("simulated power cut"));
        }
        if self.faults.error_at == Some(number) {
            return Err(io::Error::other("input/output error"));
        }
        if self.faults.read_only {
            return Err(io::ErrorKind::ReadOnlyFilesystem.into());
        }
        Ok(())
    }

    fn inode_index(&self, name: &str) -> io::Result<usize> {
        Ok(*self.names.get(name).ok_or(io::ErrorKind::NotFound)?)
    }

    fn inode_mut(&mut self, name: &str) -> io::Result<&mut Inode> {
        let index = self.inode_index(name)?;
        Ok(&mut self.inodes[index])
    }

    fn record_names(&mut self) {
        self.unsynced_names.push(self.names.clone());
    }

    fn try_create(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        self.inodes.push(Inode::default());
        self.names.insert(name.to_owned(), self.inodes.len() - 1);
        self.record_names();
        Ok(())
    }

    fn try_append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let used_bytes: usize = self
            .names
            .values()
            .map(|index| self.inodes[*index].length)
            .sum();
        let free_bytes = self
            .faults
            .capacity_bytes
            .map_or(bytes.len(), |capacity| capacity.saturating_sub(used_bytes));
        let fitting = &bytes[..bytes.len().min(free_bytes)];
        let started = self.begin_operation();
        // A power cut during a write leaves a part of it, and so does a full disk.
        let written = match started {
            Ok(()) => fitting,
            Err(_) => &fitting[..fitting.len() / 2],
        };
        let inode = self.inode_mut(name)?;
        inode.unsynced.push(Write {
            offset: inode.length,
            bytes: written.to_vec(),
        });
        inode.length += written.len();
        started?;
        if fitting.len() < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn try_sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        let ignore_syncs = self.faults.ignore_syncs;
        let inode = self.inode_mut(name)?;
        if !ignore_syncs {
            inode.durable = inode.contents();
            inode.unsynced.clear();
        }
        Ok(())
    }

    fn try_rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_operation()?;
        let index = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), index);
        self.record_names();
        Ok(())
    }

    fn try_remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.record_names();
        Ok(())
    }
}

impl Storage for FaultyStorage {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, StorageError> {
        let index = self
            .inode_index(name)
            .map_err(|source| StorageError::io(StorageOperation::Read, name, source))?;
        let contents = self.inodes[index].contents();
        if contents.len() > max_bytes {
            return Err(StorageError::TooLarge {
                file: name.to_owned(),
                max_bytes,
            });
        }
        Ok(contents)
    }

    fn create(&mut self, name: &str) -> Result<(), StorageError> {
        self.try_create(name)
            .map_err(|source| StorageError::io(StorageOperation::Create, name, source))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        self.try_append(name, bytes)
            .map_err(|source| StorageError::io(StorageOperation::Append, name, source))
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        self.try_sync(name)
            .map_err(|source| StorageError::io(StorageOperation::Sync, name, source))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError> {
        self.try_rename(from, to)
            .map_err(|source| StorageError::io(StorageOperation::Rename, from, source))
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        self.try_remove(name)
            .map_err(|source| StorageError::io(StorageOperation::Remove, name, source))
    }

    fn sync_directory(&mut self) -> Result<(), StorageError> {
        self.begin_operation()
            .map_err(|source| StorageError::io(StorageOperation::SyncDirectory, ".", source))?;
        if !self.faults.ignore_syncs {
            self.durable_names = self.names.clone();
            self.unsynced_names.clear();
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
