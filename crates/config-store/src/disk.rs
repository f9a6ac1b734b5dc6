//! The store's disk: a SQLite database in which each change is one transaction, synced before it is reported.
//!
//! A thread of its own writes, so that the store's event loop never waits for the disk. A change that the disk refuses is kept
//! and tried again: none is reported before it is durable, and none is lost while the process lives.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::time::Instant;

use pinerelay_consensus::{PersistentState, StateChange};
use pinerelay_peer_link::message::Metric;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

mod column;
mod database;
mod file;
mod migration;
#[cfg(test)]
mod tests;
mod writer;

use database::Database;
pub use file::TakeOverError;
use writer::{PendingWrite, WriterCounts};

/// Why the disk cannot be used.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The folder cannot be made.
    #[error("{path}: {error}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The database of an earlier release cannot be taken over. Nothing is lost; the next start tries again.
    #[error("{path}: {error}")]
    TakeOver {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: TakeOverError,
    },
    /// The database cannot be opened, nor a new one made.
    #[error("{path}: {error}")]
    Database {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: rusqlite::Error,
    },
}

/// A write that is not durable yet.
#[derive(Debug, Clone, Copy)]
struct OpenWrite {
    id: u64,
    since: Instant,
}

/// An opened disk.
pub struct OpenedDisk {
    /// Takes changes.
    pub disk: Disk,
    /// What it holds; `None` if it is new.
    pub state: Option<PersistentState>,
    /// The numbers of writes, once they are durable.
    pub completed: UnboundedReceiver<u64>,
}

/// The handle to the thread that writes. The thread ends, and closes the database, once the handle is dropped.
pub struct Disk {
    changes: Sender<PendingWrite>,
    counts: Arc<WriterCounts>,
    /// In the order in which they were given.
    open: RefCell<VecDeque<OpenWrite>>,
}

impl Disk {
    /// Opens the database in a folder. One that cannot be read counts as lost: it is put aside, and a new one is made.
    ///
    /// # Errors
    /// If the folder or a new database cannot be made.
    pub fn open(folder: &Path) -> Result<OpenedDisk, DiskError> {
        std::fs::create_dir_all(folder).map_err(|error| DiskError::Folder { path: folder.into(), error })?;
        let path = folder.join(file::DATABASE);
        file::take_over_earlier_name(folder)
            .map_err(|error| DiskError::TakeOver { path: path.clone(), error })?;
        let existing = file::existing(folder);
        let found = Database::open(&existing).and_then(|database| Ok((database.read()?, database)));
        let (state, database) = match found {
            Ok(found) => found,
            Err(error) => {
                log::error!("{}: cannot be read and is put aside: {error}", existing.display());
                file::put_aside(folder);
                let new = Database::open(&path);
                (None, new.map_err(|error| DiskError::Database { path: path.clone(), error })?)
            }
        };
        let (changes, receiver) = std::sync::mpsc::channel();
        let (durable, completed) = unbounded_channel();
        let counts = Arc::new(WriterCounts::default());
        let writer_counts = counts.clone();
        std::thread::spawn(move || writer::run(database, &receiver, &durable, &writer_counts));
        Ok(OpenedDisk { disk: Disk { changes, counts, open: RefCell::default() }, state, completed })
    }

    /// Writes a change after all that were given before.
    pub fn write(&self, id: u64, change: StateChange) {
        self.open.borrow_mut().push_back(OpenWrite { id, since: Instant::now() });
        // The thread ends with the process alone.
        let _ = self.changes.send(PendingWrite { id, change });
    }

    /// Notes that a write has been reported as durable.
    pub fn completed(&self, id: u64) {
        self.open.borrow_mut().retain(|write| write.id != id);
    }

    /// Metrics of the disk.
    pub fn metrics(&self) -> Vec<Metric> {
        let oldest = self.open.borrow().front().map_or(0.0, |write| write.since.elapsed().as_secs_f64());
        let mut metrics = self.counts.metrics();
        metrics.push(Metric::new("config_store_oldest_open_write_seconds", oldest));
        metrics
    }
}
