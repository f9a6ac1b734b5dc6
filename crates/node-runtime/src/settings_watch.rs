//! The reload of settings: on SIGHUP, and when the file changes without a signal.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// How often the file is checked for a change.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// What tells two versions of a file apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    length: u64,
}

fn stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileStamp { modified: metadata.modified().ok()?, length: metadata.len() })
}

/// Calls `apply` with the settings each time the file has changed, or on SIGHUP. A file that cannot be used is logged, and
/// what was in force stays. Runs until it is dropped.
pub async fn watch(path: PathBuf, mut apply: impl FnMut(Settings)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return log::error!("SIGHUP cannot be handled");
    };
    let mut applied = stamp(&path);
    loop {
        let is_signalled = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = sleep(CHECK_INTERVAL) => false,
        };
        let current = stamp(&path);
        if !is_signalled && current == applied {
            continue;
        }
        applied = current;
        match Settings::read(&path) {
            Ok(settings) => apply(settings),
            Err(error) => log::warn!("settings stay as they were: {error}"),
        }
    }
}
