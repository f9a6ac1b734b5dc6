//! The files of the database.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::database::Database;

/// The database's file.
pub(super) const DATABASE: &str = "config-store.sqlite";
/// The name that releases up to 0.2.0 gave it.
pub(super) const EARLIER_DATABASE: &str = "comb.sqlite";
/// The name of a database that cannot be read and was put aside.
pub(super) const UNREADABLE_DATABASE: &str = "unread.sqlite";
/// The ending of the write-ahead log's name, behind that of the database.
const LOG_SUFFIX: &str = "-wal";

/// Why the database of an earlier release cannot be renamed.
#[derive(Debug, Error)]
pub enum TakeOverError {
    /// Its log cannot be moved into it.
    #[error("its log cannot be folded in: {0}")]
    Checkpoint(#[from] rusqlite::Error),
    /// The file cannot be renamed, or the rename cannot be made durable.
    #[error("it cannot be renamed: {0}")]
    Rename(#[from] std::io::Error),
}

/// Renames the database of an earlier release; one that cannot be read is left as it is.
///
/// The write-ahead log belongs to the database by its name, so what it holds is moved into the database file first. Each step
/// leaves the folder in a state from which the next start goes on: until the rename, the earlier file holds everything; after
/// it, the new file does. If the rename is lost with the power, the earlier file is back with what it held then, and the new
/// log with all that was written since; the next start renames the file again, and the log belongs to it.
pub(super) fn take_over_earlier_name(folder: &Path) -> Result<(), TakeOverError> {
    let (earlier, current) = (folder.join(EARLIER_DATABASE), folder.join(DATABASE));
    if current.exists() || !earlier.exists() {
        return Ok(());
    }
    let Ok(database) = Database::open(&earlier).and_then(|database| database.read().map(|_| database)) else {
        return Ok(());
    };
    log::info!("{}: takes over the database of an earlier release", current.display());
    database.checkpoint()?;
    drop(database);
    fs::rename(&earlier, &current)?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

/// The file that holds the database: under its earlier name if that could not be taken over, as it cannot be read.
pub(super) fn existing(folder: &Path) -> PathBuf {
    let (earlier, current) = (folder.join(EARLIER_DATABASE), folder.join(DATABASE));
    if !current.exists() && earlier.exists() {
        earlier
    } else {
        current
    }
}

/// Renames a database that cannot be read, so that a new one can be made. What cannot be renamed is in the way, and opening the
/// new one reports it.
pub(super) fn put_aside(folder: &Path) {
    for database in [DATABASE, EARLIER_DATABASE] {
        for suffix in ["", LOG_SUFFIX] {
            let unreadable = folder.join(format!("{UNREADABLE_DATABASE}{suffix}"));
            let _ = fs::rename(folder.join(format!("{database}{suffix}")), unreadable);
        }
    }
}
