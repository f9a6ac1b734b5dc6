//! Which app servers operators hold out of service by hand: one set, shared with the next process by a file.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::SystemTime;

/// Milliseconds of Unix time.
pub type UnixMs = u64;

/// What an operator asks of an app server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Nothing more to it.
    Exclude,
    /// It may serve again.
    Include,
}

/// The app servers held out, by name, and those that came back. Decides alone; no file, no clock.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct HeldOut {
    /// Since when each is out.
    out: BTreeMap<String, UnixMs>,
    /// When each was let back, and since when it had been out.
    back: BTreeMap<String, (UnixMs, UnixMs)>,
}

impl HeldOut {
    /// Whether it is to get nothing new.
    pub fn holds(&self, name: &str) -> bool {
        self.out.contains_key(name)
    }

    /// Takes a call; a second one like it changes nothing.
    pub fn call(&mut self, name: &str, call: Call, now: UnixMs) {
        match call {
            Call::Exclude => {
                self.out.entry(name.into()).or_insert(now);
            }
            Call::Include => {
                if let Some(since) = self.out.remove(name) {
                    self.back.insert(name.into(), (now, since));
                }
            }
        }
    }

    /// When an app server has started, if its source says at `told` (0: long ago). Danger: one that was out was
    /// restarted, and is cold. A source that has not told of a start meanwhile will do so later or never, so the
    /// coming back counts as one. It does harm where an app server was out and not restarted: it warms up once more.
    pub fn started(&self, name: &str, told: UnixMs) -> UnixMs {
        match self.back.get(name) {
            Some(&(back, since)) if told < since => back,
            _ => told,
        }
    }

    /// Forgets when app servers came back that no source lists any more.
    pub fn forget(&mut self, listed: impl Fn(&str) -> bool) {
        self.back.retain(|name, _| listed(name));
    }

    /// As a file holds it: `out SINCE NAME` and `back AT SINCE NAME`, a line each.
    fn text(&self) -> String {
        let out = self.out.iter().map(|(name, since)| format!("out {since} {name}\n"));
        let back = self.back.iter().map(|(name, (at, since))| format!("back {at} {since} {name}\n"));
        out.chain(back).collect()
    }

    /// Reads it from a file's text; a line that can't be read is passed over and told.
    fn read(text: &str) -> Self {
        let mut held = HeldOut::default();
        for line in text.lines() {
            if held.line(line).is_none() {
                eprintln!("pinerelay: app servers held out: a line can't be read: {line:?}");
            }
        }
        held
    }

    fn line(&mut self, line: &str) -> Option<()> {
        let (kind, rest) = line.split_once(' ')?;
        let (first, rest) = rest.split_once(' ')?;
        let first = first.parse().ok()?;
        match kind {
            "out" => drop(self.out.insert(rest.into(), first)),
            "back" => {
                let (since, name) = rest.split_once(' ')?;
                self.back.insert(name.into(), (first, since.parse().ok()?));
            }
            _ => return None,
        }
        Some(())
    }
}

/// The set, and the file that keeps it for the next process. Both may be called at while they run together.
pub struct Maintenance {
    held: RefCell<HeldOut>,
    file: Option<PathBuf>,
    /// Which state of the file was read last.
    seen: Cell<Option<(SystemTime, u64)>>,
}

impl Maintenance {
    /// What the file holds; without a file the set ends with the process.
    pub fn new(file: Option<PathBuf>) -> Self {
        let maintenance = Maintenance { held: RefCell::default(), file, seen: Cell::default() };
        maintenance.refresh();
        maintenance
    }

    /// Whether it is to get nothing new.
    pub fn holds(&self, name: &str) -> bool {
        self.held.borrow().holds(name)
    }

    /// When an app server has started, by what its source tells and by when it was let back.
    pub fn started(&self, name: &str, told: UnixMs) -> UnixMs {
        self.held.borrow().started(name, told)
    }

    /// Forgets when app servers came back that are listed no more.
    pub fn forget(&self, listed: impl Fn(&str) -> bool) {
        self.held.borrow_mut().forget(listed);
    }

    /// Takes a call, and keeps it in the file. On an error it holds for this process all the same.
    pub fn call(&self, name: &str, call: Call) -> io::Result<()> {
        let Some(file) = &self.file else {
            self.held.borrow_mut().call(name, call, now());
            return Ok(());
        };
        // Danger: the other process of an upgrade may be called at the same time; neither may undo the other.
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(file.with_extension("lock"));
        let locked = lock.and_then(|lock| lock.lock().map(|()| lock));
        self.refresh();
        self.held.borrow_mut().call(name, call, now());
        let _lock: File = locked?;
        let next = file.with_extension("next");
        fs::write(&next, self.held.borrow().text())?;
        fs::rename(&next, file)?;
        self.seen.set(modified(file));
        Ok(())
    }

    /// Reads the file again if it has changed; tells whether it had.
    pub fn refresh(&self) -> bool {
        let Some(file) = &self.file else { return false };
        let modified = modified(file);
        if modified.is_none() || modified == self.seen.get() {
            return false;
        }
        match fs::read_to_string(file) {
            Ok(text) => {
                self.seen.set(modified);
                self.held.replace(HeldOut::read(&text));
                true
            }
            Err(error) => {
                eprintln!("pinerelay: {}: {error}", file.display());
                false
            }
        }
    }
}

/// Each state is a file of its own: two within one tick of the file system's clock differ all the same.
fn modified(file: &std::path::Path) -> Option<(SystemTime, u64)> {
    let data = fs::metadata(file).ok()?;
    Some((data.modified().ok()?, data.ino()))
}

fn now() -> UnixMs {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as UnixMs
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_second_call_out_changes_nothing_and_one_call_back_undoes_both() {
        let mut held = HeldOut::default();
        held.call("a", Call::Exclude, 100);
        held.call("a", Call::Exclude, 200);
        assert!(held.holds("a") && !held.holds("b"));
        held.call("a", Call::Include, 300);
        assert!(!held.holds("a"));
        assert_eq!(held.started("a", 50), 300, "no start was told while it was out");
        assert_eq!(held.started("a", 150), 150, "a start was told while it was out");
        assert_eq!(held.started("a", 400), 400);
        held.call("a", Call::Include, 500);
        assert_eq!(held.started("a", 50), 300, "a second call back is no second start");
        held.forget(|_| false);
        assert_eq!(held.started("a", 50), 50);
    }

    #[test]
    fn two_processes_share_one_set_by_its_file() {
        let folder = std::env::temp_dir().join(format!("pinerelay-held-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let file = folder.join("out");
        let old = Maintenance::new(Some(file.clone()));
        old.call("a", Call::Exclude).expect("a file");
        let new = Maintenance::new(Some(file.clone()));
        assert!(new.holds("a"), "read at the start");
        new.call("b", Call::Exclude).expect("a file");
        new.call("a", Call::Include).expect("a file");
        assert!(old.refresh() && old.holds("b") && !old.holds("a"));
        assert!(old.started("a", 1) > 1, "what another process let back is cold here too");
        assert_eq!(
            old.started("a", 1),
            Maintenance::new(Some(file.clone())).started("a", 1),
            "and in the next"
        );
        assert!(!old.refresh(), "nothing new");
        fs::write(&file, "nonsense\nout 5 c\nback 6 d\n").expect("a file");
        let spoilt = Maintenance::new(Some(file));
        assert!(spoilt.holds("c"));
        fs::remove_dir_all(&folder).expect("a folder");
    }
}
