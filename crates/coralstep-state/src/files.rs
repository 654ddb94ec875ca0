//! The file system, as far as it is needed here: whole files in one folder, written at their end only.
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

pub trait Files {
    fn list(&self) -> io::Result<Vec<String>>;
    /// At most so many bytes; one that is longer is an error.
    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>>;
    /// An empty file, whatever was there.
    fn create(&mut self, name: &str) -> io::Result<()>;
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// What was created, renamed and removed so far stays so.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder, locked against other processes as long as this is.
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// The file that is locked; it holds nothing.
const LOCK: &str = "lock";

impl Folder {
    /// Makes the folder where there is none. Fails where another process has it.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Folder> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        lock.try_lock().map_err(|_| {
            io::Error::new(io::ErrorKind::WouldBlock, "another process has this folder")
        })?;
        Ok(Folder { path, _lock: lock })
    }
}

fn read(folder: &std::path::Path, name: &str, most: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(folder.join(name))?
        .take(most as u64 + 1)
        .read_to_end(&mut bytes)?;
    match bytes.len() > most {
        true => Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            format!("{name}: over {most} bytes"),
        )),
        false => Ok(bytes),
    }
}

impl Files for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        read(&self.path, name, most)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        File::create(self.path.join(name)).map(|_| ())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new()
            .append(true)
            .open(self.path.join(name))?
            .write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        File::open(self.path.join(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// A folder that is only looked at, whoever has it.
pub struct Look(PathBuf);

impl Look {
    pub fn new(path: &std::path::Path) -> io::Result<Look> {
        match path.is_dir() {
            true => Ok(Look(path.to_owned())),
            false => Err(io::Error::new(io::ErrorKind::NotFound, "no such folder")),
        }
    }

    pub fn read(&self, name: &str, most: usize) -> io::Result<Vec<u8>> {
        read(&self.0, name, most)
    }
}

#[cfg(test)]
mod tests;
