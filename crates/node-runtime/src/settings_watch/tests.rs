//! Changed settings are applied, with a signal and without.

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
    let watch = super::watch(path.clone(), |settings| seen.borrow_mut().push(settings.zone));
    tokio::pin!(watch);
    // Time passes by itself while nothing else happens.
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    assert_that!(*seen.borrow(), is_empty());
    std::fs::write(&path, text("longer than before")).expect("a file");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    std::fs::write(&path, "zone = ").expect("a file");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    assert_that!(*seen.borrow(), elements_are![eq("longer than before")]);
    std::fs::write(&path, text("last")).expect("a file");
    let _ = timeout(CHECK_INTERVAL * 3, &mut watch).await;
    let reported =
        std::process::Command::new("kill").args(["-HUP", &std::process::id().to_string()]).status();
    assert_that!(reported.is_ok_and(|status| status.success()), eq(true));
    // The signal comes by the machine's clock, and not by the test's.
    for _ in 0..10_000 {
        let _ = timeout(CHECK_INTERVAL, &mut watch).await;
        if seen.borrow().len() > 2 {
            break;
        }
    }
    assert_that!(*seen.borrow(), elements_are![eq("longer than before"), eq("last"), eq("last")]);
    let _ = std::fs::remove_file(&path);
}
