//! Names of the database files, and their renaming at startup.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::database::Database;

/// The file name of the database.
pub(super) const DATABASE: &str = "config-store.sqlite";
/// The file name that releases up to 0.2.0 used.
pub(super) const LEGACY_DATABASE: &str = "comb.sqlite";
/// The file name that a database gets if it cannot be read.
pub(super) const UNREADABLE_DATABASE: &str = "unread.sqlite";
/// The suffix that SQLite appends to the database's file name for the write-ahead log.
const LOG_SUFFIX: &str = "-wal";

/// Why the database of an earlier release cannot be renamed.
#[derive(Debug, Error)]
pub enum LegacyRenameError {
    /// The checkpoint of its write-ahead log failed.
    #[error("cannot checkpoint the write-ahead log of the earlier release: {0}")]
    Checkpoint(#[from] rusqlite::Error),
    /// The file cannot be renamed, or the rename cannot be synced.
    #[error("cannot rename the database of the earlier release: {0}")]
    Rename(#[from] std::io::Error),
}

/// Renames the database of an earlier release; one that cannot be read is left unchanged.
///
/// SQLite finds the write-ahead log by the database's file name, so the log is checkpointed into the database file first. The
/// next start can continue after a crash at any step: until the rename the earlier files are complete, after it the new file
/// is. If a power failure undoes the rename, the earlier file is back with its content at that time, beside a log under the new
/// name with all later writes; the next start repeats the rename, and the log matches the database again.
pub(super) fn rename_legacy_database(folder: &Path) -> Result<(), LegacyRenameError> {
    let (earlier, current) = (folder.join(LEGACY_DATABASE), folder.join(DATABASE));
    if current.exists() || !earlier.exists() {
        return Ok(());
    }
    let Ok(database) = Database::open(&earlier).and_then(|database| database.read().map(|_| database)) else {
        return Ok(());
    };
    log::info!("{}: renaming the database of an earlier release", current.display());
    database.checkpoint()?;
    drop(database);
    fs::rename(&earlier, &current)?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

/// The path of the database: under its earlier name if that file was not renamed because it cannot be read.
pub(super) fn existing_database(folder: &Path) -> PathBuf {
    let (earlier, current) = (folder.join(LEGACY_DATABASE), folder.join(DATABASE));
    if !current.exists() && earlier.exists() {
        earlier
    } else {
        current
    }
}

/// Renames the files of an unreadable database, so that a new one can be created. A failed rename is ignored here: the file
/// stays in place, and opening the new database reports the error.
pub(super) fn set_aside_unreadable(folder: &Path) {
    for database in [DATABASE, LEGACY_DATABASE] {
        for suffix in ["", LOG_SUFFIX] {
            let unreadable = folder.join(format!("{UNREADABLE_DATABASE}{suffix}"));
            let _ = fs::rename(folder.join(format!("{database}{suffix}")), unreadable);
        }
    }
}
