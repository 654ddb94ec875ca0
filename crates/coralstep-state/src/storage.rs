//! The file system operations that this crate needs: append-only files in one directory.
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A flat directory of append-only files.
///
/// Appended bytes are durable after [`Storage::sync`]; creations, renames and removals are durable
/// after [`Storage::sync_directory`]. Every operation fails with a [`StorageError`] that names the
/// operation and the file.
#[allow(
    clippy::missing_errors_doc,
    reason = "the trait's documentation describes the errors of all operations"
)]
pub trait Storage {
    /// Returns the names of all files in ascending order.
    fn list(&self) -> Result<Vec<String>, StorageError>;

    /// Reads a whole file of at most `max_bytes` bytes; fails with [`StorageError::TooLarge`] if it
    /// is longer.
    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, StorageError>;

    /// Creates an empty file and replaces any file of this name.
    fn create(&mut self, name: &str) -> Result<(), StorageError>;

    /// Appends to an existing file. After an error, a part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes the contents of a file durable.
    fn sync(&mut self, name: &str) -> Result<(), StorageError>;

    /// Renames a file and replaces any file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;

    /// Makes all previous creations, renames and removals durable.
    fn sync_directory(&mut self) -> Result<(), StorageError>;
}

/// A storage operation that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorageOperation {
    /// Creating the directory itself.
    CreateDirectory,
    /// Opening the lock file.
    OpenLock,
    /// Listing the directory.
    List,
    /// Reading a file.
    Read,
    /// Creating an empty file.
    Create,
    /// Appending to a file.
    Append,
    /// Syncing a file.
    Sync,
    /// Renaming a file.
    Rename,
    /// Removing a file.
    Remove,
    /// Syncing the directory.
    SyncDirectory,
}

impl fmt::Display for StorageOperation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StorageOperation::CreateDirectory => "create directory",
            StorageOperation::OpenLock => "open lock file",
            StorageOperation::List => "list directory",
            StorageOperation::Read => "read",
            StorageOperation::Create => "create",
            StorageOperation::Append => "append to",
            StorageOperation::Sync => "sync",
            StorageOperation::Rename => "rename",
            StorageOperation::Remove => "remove",
            StorageOperation::SyncDirectory => "sync directory",
        })
    }
}

/// An error of a storage operation.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StorageError {
    /// The directory cannot be locked.
    #[error("another process has this folder")]
    Locked {
        /// Error of the lock.
        source: Arc<TryLockError>,
    },
    /// The directory to inspect does not exist.
    #[error("no such folder")]
    NoSuchDirectory,
    /// A file is longer than the caller accepts.
    #[error("{file}: over {max_bytes} bytes")]
    TooLarge {
        /// Name of the file.
        file: String,
        /// Maximum accepted length, in bytes.
        max_bytes: usize,
    },
    /// The operating system reported an error.
    #[error("cannot {operation} {file}: {source}")]
    Io {
        /// Operation that failed.
        operation: StorageOperation,
        /// Name of the file, or path of the directory.
        file: String,
        /// Error of the operating system.
        source: Arc<io::Error>,
    },
}

impl StorageError {
    /// Wraps an error of the operating system.
    pub(crate) fn io(operation: StorageOperation, file: &str, source: io::Error) -> StorageError {
        StorageError::Io {
            operation,
            file: file.to_owned(),
            source: Arc::new(source),
        }
    }

    /// Returns the kind of the underlying I/O error, for callers that handle a missing file or a
    /// full disk differently.
    pub fn kind(&self) -> io::ErrorKind {
        match self {
            StorageError::Locked { .. } => io::ErrorKind::WouldBlock,
            StorageError::NoSuchDirectory => io::ErrorKind::NotFound,
            StorageError::TooLarge { .. } => io::ErrorKind::FileTooLarge,
            StorageError::Io { source, .. } => source.kind(),
        }
    }
}

/// Errors are equal if their kinds and messages are equal, as [`io::Error`] cannot be compared.
impl PartialEq for StorageError {
    fn eq(&self, other: &StorageError) -> bool {
        self.kind() == other.kind() && self.to_string() == other.to_string()
    }
}

impl Eq for StorageError {}

/// Name of the empty file that is locked.
const LOCK_FILE: &str = "lock";

/// A directory on disk that is locked against other processes until this value is dropped.
#[derive(Debug)]
pub struct DirStorage {
    path: PathBuf,
    _lock: File,
}

impl DirStorage {
    /// Opens and locks a directory; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Locked`] if another process has locked the directory, and
    /// [`StorageError::Io`] if it cannot be created or written to.
    pub fn open(path: impl Into<PathBuf>) -> Result<DirStorage, StorageError> {
        let path = path.into();
        std::fs::create_dir_all(&path).map_err(|source| {
            StorageError::io(
                StorageOperation::CreateDirectory,
                &path.to_string_lossy(),
                source,
            )
        })?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(|source| StorageError::io(StorageOperation::OpenLock, LOCK_FILE, source))?;
        lock.try_lock().map_err(|source| StorageError::Locked {
            source: Arc::new(source),
        })?;
        Ok(DirStorage { path, _lock: lock })
    }

    fn list_directory(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn directory_error(&self, operation: StorageOperation, source: io::Error) -> StorageError {
        StorageError::io(operation, &self.path.to_string_lossy(), source)
    }
}

impl Storage for DirStorage {
    fn list(&self) -> Result<Vec<String>, StorageError> {
        self.list_directory()
            .map_err(|source| self.directory_error(StorageOperation::List, source))
    }

    fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, StorageError> {
        read_file(&self.path, name, max_bytes)
    }

    fn create(&mut self, name: &str) -> Result<(), StorageError> {
        File::create(self.path.join(name))
            .map(drop)
            .map_err(|source| StorageError::io(StorageOperation::Create, name, source))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
        OpenOptions::new()
            .append(true)
            .open(self.path.join(name))
            .and_then(|mut file| file.write_all(bytes))
            .map_err(|source| StorageError::io(StorageOperation::Append, name, source))
    }

    fn sync(&mut self, name: &str) -> Result<(), StorageError> {
        File::open(self.path.join(name))
            .and_then(|file| file.sync_all())
            .map_err(|source| StorageError::io(StorageOperation::Sync, name, source))
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), StorageError> {
        std::fs::rename(self.path.join(from), self.path.join(to))
            .map_err(|source| StorageError::io(StorageOperation::Rename, from, source))
    }

    fn remove(&mut self, name: &str) -> Result<(), StorageError> {
        std::fs::remove_file(self.path.join(name))
            .map_err(|source| StorageError::io(StorageOperation::Remove, name, source))
    }

    fn sync_directory(&mut self) -> Result<(), StorageError> {
        File::open(&self.path)
            .and_then(|directory| directory.sync_all())
            .map_err(|source| self.directory_error(StorageOperation::SyncDirectory, source))
    }
}

/// A directory that is read without taking its lock, so that a server may use it at the same time.
#[derive(Debug)]
pub struct ReadOnlyDir {
    path: PathBuf,
}

impl ReadOnlyDir {
    /// Opens an existing directory.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::NoSuchDirectory`] if there is no directory at `path`.
    pub fn open(path: &Path) -> Result<ReadOnlyDir, StorageError> {
        if !path.is_dir() {
            return Err(StorageError::NoSuchDirectory);
        }
        Ok(ReadOnlyDir {
            path: path.to_owned(),
        })
    }

    /// Reads a whole file of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::TooLarge`] if it is longer, and [`StorageError::Io`] if it cannot be
    /// read.
    pub fn read(&self, name: &str, max_bytes: usize) -> Result<Vec<u8>, StorageError> {
        read_file(&self.path, name, max_bytes)
    }
}

fn read_file(directory: &Path, name: &str, max_bytes: usize) -> Result<Vec<u8>, StorageError> {
    let mut bytes = Vec::new();
    File::open(directory.join(name))
        .and_then(|file| file.take(max_bytes as u64 + 1).read_to_end(&mut bytes))
        .map_err(|source| StorageError::io(StorageOperation::Read, name, source))?;
    if bytes.len() > max_bytes {
        return Err(StorageError::TooLarge {
            file: name.to_owned(),
            max_bytes,
        });
    }
    Ok(bytes)
}

#[cfg(test)]
mod tests;
