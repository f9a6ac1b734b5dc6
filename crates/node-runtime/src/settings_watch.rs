//! Reloads the settings on SIGHUP and when the file changes.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// The interval at which the file is checked for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// File metadata by which a change is detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FileStamp {
    modified: SystemTime,
    length: u64,
}

fn stamp(path: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some(FileStamp { modified: metadata.modified().ok()?, length: metadata.len() })
}

/// Calls `apply` with the settings on SIGHUP and each time that the file has changed. If the file is invalid, a warning is
/// logged and the current settings stay in force. Runs until the future is dropped, unless SIGHUP cannot be handled.
pub async fn watch(path: PathBuf, mut apply: impl FnMut(Settings)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return log::error!("settings are not reloaded: SIGHUP cannot be handled");
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
            Err(error) => log::warn!("settings not reloaded, the current ones stay in force: {error}"),
        }
    }
}
