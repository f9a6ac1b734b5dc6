//! Watches the settings file: SIGHUP says that it has changed, and it may change without a signal.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use crate::settings::Settings;

/// How often it is looked whether the file has changed.
const LOOK: Duration = Duration::from_millis(1_000);

fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// Calls `take` with the settings each time the file has changed, or SIGHUP says so. Of a file that can't be used the log
/// says so, and what was in force stays.
pub async fn settings(path: PathBuf, mut take: impl FnMut(Settings)) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return log::error!("SIGHUP can't be heard");
    };
    let mut seen = stamp(&path);
    loop {
        let told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = sleep(LOOK) => false,
        };
        let now = stamp(&path);
        if !told && now == seen {
            continue;
        }
        seen = now;
        match Settings::read(&path) {
            Ok(settings) => take(settings),
            Err(error) => log::warn!("settings stay as they were: {error}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use std::cell::RefCell;

    use googletest::prelude::*;
    use tokio::time::timeout;

    use super::*;

    fn text(zone: &str) -> String {
        format!("node = \"n\"\nip = \"127.0.0.1\"\nzone = \"{zone}\"\ninternal_ports = [1,3]\n[listen]\n")
    }

    #[tokio::test(start_paused = true)]
    async fn a_change_is_seen_with_a_signal_and_without_and_a_broken_file_changes_nothing() {
        let path = std::env::temp_dir().join(format!("watch-{}.toml", std::process::id()));
        std::fs::write(&path, text("first")).expect("a file");
        let seen = RefCell::new(Vec::new());
        let watch = settings(path.clone(), |settings| seen.borrow_mut().push(settings.zone));
        tokio::pin!(watch);
        // Time passes by itself while nothing else happens.
        let _ = timeout(LOOK * 3, &mut watch).await;
        assert_that!(*seen.borrow(), is_empty());
        std::fs::write(&path, text("longer than before")).expect("a file");
        let _ = timeout(LOOK * 3, &mut watch).await;
        std::fs::write(&path, "zone = ").expect("a file");
        let _ = timeout(LOOK * 3, &mut watch).await;
        assert_that!(*seen.borrow(), elements_are![eq("longer than before")]);
        std::fs::write(&path, text("last")).expect("a file");
        let _ = timeout(LOOK * 3, &mut watch).await;
        let told =
            std::process::Command::new("kill").args(["-HUP", &std::process::id().to_string()]).status();
        assert_that!(told.is_ok_and(|status| status.success()), eq(true));
        // The signal comes by the machine's clock, and not by the test's.
        for _ in 0..10_000 {
            let _ = timeout(LOOK, &mut watch).await;
            if seen.borrow().len() > 2 {
                break;
            }
        }
        assert_that!(*seen.borrow(), elements_are![eq("longer than before"), eq("last"), eq("last")]);
        let _ = std::fs::remove_file(&path);
    }
}
