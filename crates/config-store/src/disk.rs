//! Persistence of the store: a SQLite database. Changes are written in synced transactions and reported only after the commit.
//!
//! A dedicated thread writes, so that the event loop never waits for the disk. A change whose write fails is kept and retried:
//! none is reported before it is durable, and none is lost while the process runs.

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
pub use file::LegacyRenameError;
use writer::{PendingWrite, WriterCounts};

/// Why the database cannot be opened.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The folder cannot be created.
    #[error("{path}: {error}")]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The database of an earlier release cannot be renamed. No data is lost; the next start tries again.
    #[error("{path}: {error}")]
    LegacyRename {
        /// The new path of the database file.
        path: PathBuf,
        /// The cause.
        error: LegacyRenameError,
    },
    /// The existing database cannot be opened, and neither can a new one.
    #[error("{path}: {error}")]
    Database {
        /// The path of the new database file.
        path: PathBuf,
        /// The cause.
        error: rusqlite::Error,
    },
}

/// A write that has not been reported as durable yet.
#[derive(Debug, Clone, Copy)]
struct OpenWrite {
    id: u64,
    since: Instant,
}

/// The result of [`Disk::open`].
pub struct OpenedDisk {
    /// Accepts changes to write.
    pub disk: Disk,
    /// The stored state; `None` if the database is new.
    pub state: Option<PersistentState>,
    /// Receives the id of each write once it is durable.
    pub completed: UnboundedReceiver<u64>,
}

/// Handle to the writer thread, which closes the database and ends after the handle is dropped.
pub struct Disk {
    changes: Sender<PendingWrite>,
    counts: Arc<WriterCounts>,
    /// In the order of [`Disk::write`].
    open_writes: RefCell<VecDeque<OpenWrite>>,
}

impl Disk {
    /// Opens the database in a folder. One that cannot be read is treated as lost: it is renamed, and a new one is created.
    ///
    /// # Errors
    /// If the folder or a new database cannot be created, or if the database of an earlier release cannot be renamed.
    pub fn open(folder: &Path) -> Result<OpenedDisk, DiskError> {
        std::fs::create_dir_all(folder).map_err(|error| DiskError::Folder { path: folder.into(), error })?;
        let path = folder.join(file::DATABASE);
        file::rename_legacy_database(folder)
            .map_err(|error| DiskError::LegacyRename { path: path.clone(), error })?;
        let existing = file::existing_database(folder);
        let opened = Database::open(&existing).and_then(|database| Ok((database.read()?, database)));
        let (state, database) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                log::error!(
                    "{}: the database cannot be read, renaming it and creating a new one: {error}",
                    existing.display()
                );
                file::set_aside_unreadable(folder);
                let new = Database::open(&path);
                (None, new.map_err(|error| DiskError::Database { path: path.clone(), error })?)
            }
        };
        let (changes, receiver) = std::sync::mpsc::channel();
        let (durable, completed) = unbounded_channel();
        let counts = Arc::new(WriterCounts::default());
        let writer_counts = counts.clone();
        std::thread::spawn(move || writer::run(database, &receiver, &durable, &writer_counts));
        Ok(OpenedDisk { disk: Disk { changes, counts, open_writes: RefCell::default() }, state, completed })
    }

    /// Queues a change to be written after all earlier ones.
    pub fn write(&self, id: u64, change: StateChange) {
        self.open_writes.borrow_mut().push_back(OpenWrite { id, since: Instant::now() });
        // The writer thread receives until this handle is dropped.
        let _ = self.changes.send(PendingWrite { id, change });
    }

    /// Removes a write that was reported as durable from the open writes.
    pub fn completed(&self, id: u64) {
        self.open_writes.borrow_mut().retain(|write| write.id != id);
    }

    /// Metrics of the writes.
    pub fn metrics(&self) -> Vec<Metric> {
        let oldest_age_secs =
            self.open_writes.borrow().front().map_or(0.0, |write| write.since.elapsed().as_secs_f64());
        let mut metrics = self.counts.metrics();
        metrics.push(Metric::new("config_store_oldest_open_write_seconds", oldest_age_secs));
        metrics
    }
}
