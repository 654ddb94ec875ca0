//! A folder in memory that fails as real ones do. Until a sync nothing that was written is safe: at a power cut each write since then is
//! kept, torn or lost by chance, also a later one without an earlier; a rename or a new name is safe only once the folder was
//! synced. Syncs may lie, space may end, reading and writing may fail at any step.
use std::collections::BTreeMap;
use std::io;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::files::Files;

#[derive(Clone, Debug, Default)]
struct Inode {
    /// What is safe, and what was written since, each at its place.
    safe: Vec<u8>,
    since: Vec<(usize, Vec<u8>)>,
    length: usize,
}

impl Inode {
    fn now(&self) -> Vec<u8> {
        let mut bytes = self.safe.clone();
        self.since
            .iter()
            .for_each(|(at, more)| place(&mut bytes, *at, more));
        bytes
    }
}

fn place(bytes: &mut Vec<u8>, at: usize, more: &[u8]) {
    if bytes.len() < at + more.len() {
        bytes.resize(at + more.len(), 0);
    }
    bytes[at..at + more.len()].copy_from_slice(more);
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The power is cut at this operation, counted from 0; it and all after it fail.
    pub cut: Option<u64>,
    /// This operation alone fails.
    pub error: Option<u64>,
    /// Syncs say that they did.
    pub lies: bool,
    /// Bytes that fit.
    pub room: Option<usize>,
    pub read_only: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Faulty {
    pub faults: Faults,
    /// Operations that change anything, so far.
    pub steps: u64,
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    /// Names as they are safe, and changes since, in order.
    safe: BTreeMap<String, usize>,
    since: Vec<BTreeMap<String, usize>>,
}

impl Faulty {
    pub fn with(faults: Faults) -> Faulty {
        Faulty {
            faults,
            ..Faulty::default()
        }
    }

    fn step(&mut self) -> io::Result<()> {
        let step = self.steps;
        self.steps += 1;
        if self.faults.cut.is_some_and(|cut| step >= cut) {
            return Err(io::Error::other("the power is cut"));
        }
        if self.faults.error == Some(step) {
            return Err(io::Error::other("input/output error"));
        }
        match self.faults.read_only {
            true => Err(io::ErrorKind::ReadOnlyFilesystem.into()),
            false => Ok(()),
        }
    }

    fn inode(&mut self, name: &str) -> io::Result<&mut Inode> {
        let at = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.inodes[at])
    }

    fn renamed(&mut self) {
        self.since.push(self.names.clone());
    }

    /// What is there once power is back; what goes wrong from then on.
    pub fn after_cut(&self, seed: u64, faults: Faults) -> Faulty {
        let mut chance = SmallRng::seed_from_u64(seed);
        let kept = chance.random_range(0..=self.since.len());
        // Changes of names come in their order, but the last of them may be missing.
        let names = kept
            .checked_sub(1)
            .map_or(&self.safe, |at| &self.since[at])
            .clone();
        let inodes = self.inodes.iter().map(|inode| {
            let mut bytes = inode.safe.clone();
            for (at, more) in &inode.since {
                match chance.random_range(0..3u8) {
                    0 => place(&mut bytes, *at, more),
                    1 => place(
                        &mut bytes,
                        *at,
                        &more[..chance.random_range(0..=more.len())],
                    ),
                    _ => {}
                }
            }
            Inode {
                length: bytes.len(),
                safe: bytes,
                since: Vec::new(),
            }
        });
        Faulty {
            faults,
            steps: 0,
            inodes: inodes.collect(),
            safe: names.clone(),
            names,
            since: Vec::new(),
        }
    }

    /// What is in a file, to be spoilt by a test.
    pub fn spoil(&mut self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        if let Ok(inode) = self.inode(name) {
            let mut bytes = inode.now();
            change(&mut bytes);
            *inode = Inode {
                length: bytes.len(),
                safe: bytes,
                since: Vec::new(),
            };
        }
    }
}

impl Files for Faulty {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        let at = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let bytes = self.inodes[at].now();
        if bytes.len() > most {
            Err(io::ErrorKind::FileTooLarge.into())
        } else {
            Ok(bytes)
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.inodes.push(Inode::default());
        self.names.insert(name.to_owned(), self.inodes.len() - 1);
        self.renamed();
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let used: usize = self.names.values().map(|at| self.inodes[*at].length).sum();
        let room = self
            .faults
            .room
            .map_or(bytes.len(), |room| room.saturating_sub(used));
        let fits = &bytes[..bytes.len().min(room)];
        let stepped = self.step();
        // A cut in the middle of a write leaves a part of it, and so does a disk that is full.
        let written = if stepped.is_ok() {
            fits
        } else {
            &fits[..fits.len() / 2]
        };
        let inode = self.inode(name)?;
        let at = inode.length;
        inode.since.push((at, written.to_vec()));
        inode.length += written.len();
        stepped?;
        if fits.len() < bytes.len() {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let lies = self.faults.lies;
        let inode = self.inode(name)?;
        if !lies {
            (inode.safe, inode.since) = (inode.now(), Vec::new());
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let at = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_owned(), at);
        self.renamed();
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        self.renamed();
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step()?;
        if !self.faults.lies {
            (self.safe, self.since) = (self.names.clone(), Vec::new());
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
