//! Tests that changed settings are applied, with and without SIGHUP, and that an invalid file is not.

use std::cell::RefCell;

use googletest::prelude::*;
use tokio::time::timeout;

use super::*;

fn settings_text(zone: &str) -> String {
    format!("node = \"n\"\nip = \"127.0.0.1\"\nzone = \"{zone}\"\ninternal_ports = [1,3]\n[listen]\n")
}

#[tokio::test(start_paused = true)]
async fn reloads_on_change_and_on_sighup_and_ignores_an_invalid_file() {
    let path = std::env::temp_dir().join(format!("watch-{}.toml", std::process::id()));
    std::fs::write(&path, settings_text("first")).expect("settings file is written");
    let applied_zones = RefCell::new(Vec::new());
    let watch = super::watch(path.clone(), |settings| applied_zones.borrow_mut().push(settings.zone));
    tokio::pin!(watch);
    // The paused clock advances whenever no task is ready.
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    assert_that!(*applied_zones.borrow(), is_empty());
    std::fs::write(&path, settings_text("longer than before")).expect("settings file is written");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    std::fs::write(&path, "zone = ").expect("settings file is written");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    assert_that!(*applied_zones.borrow(), elements_are![eq("longer than before")]);
    std::fs::write(&path, settings_text("last")).expect("settings file is written");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    let kill_status =
        std::process::Command::new("kill").args(["-HUP", &std::process::id().to_string()]).status();
    assert_that!(kill_status.is_ok_and(|status| status.success()), eq(true));
    // The signal is delivered in real time, independently of the paused clock.
    for _ in 0..10_000 {
        let _ = timeout(CHECK_INTERVAL, &mut watch).await;
        if applied_zones.borrow().len() > 2 {
            break;
        }
    }
    assert_that!(*applied_zones.borrow(), elements_are![eq("longer than before"), eq("last"), eq("last")]);
    let _ = std::fs::remove_file(&path);
}
