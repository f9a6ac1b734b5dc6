//! What the journal needs of a disk, and the real one.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A folder of files that are created, appended to, read and removed. Names are plain file names.
///
/// Nothing that was written is there for sure before its file has been synced, and no file that was created or removed
/// before the folder has. After a sync that failed, nothing written since the last one that did not is to be trusted.
pub trait Disk {
    /// A file that is being written.
    type File: Append;

    /// The names of all files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Makes a new file; one of that name must not be there.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// All that is in a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// How many bytes a file has.
    fn size(&self, name: &str) -> io::Result<u64>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes files created and removed so far last.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is appended to.
pub trait Append {
    /// Writes some of these bytes at the end; how many.
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize>;
    /// Makes what was written last.
    fn sync(&mut self) -> io::Result<()>;
}

/// A folder of the file system, held against a second writer while this lives.
pub struct Folder {
    path: PathBuf,
    _lock: File,
}

/// The name of the file that is locked. It stays when the lock is let go, which ends with the process at the latest.
const LOCK: &str = "lock";

impl Folder {
    /// The folder at this path, made if it is not there. Fails with [`io::ErrorKind::WouldBlock`] if another process, or
    /// another place in this one, has it open.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.into(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                let said = format!("{}: another process writes to this journal", path.display());
                Err(io::Error::new(io::ErrorKind::WouldBlock, said))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Disk for Folder {
    type File = File;

    fn names(&self) -> io::Result<Vec<String>> {
        names(&self.path)
    }

    fn create(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create_new(true).append(true).open(self.path.join(name))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        read(&self.path.join(name))
    }

    fn size(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl Append for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.write(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

fn names(path: &Path) -> io::Result<Vec<String>> {
    let names = fs::read_dir(path)?.map(|entry| Ok(entry?.file_name().into_string().unwrap_or_default()));
    names.collect()
}

fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.read_to_end(&mut bytes)?;
    Ok(bytes)
}
