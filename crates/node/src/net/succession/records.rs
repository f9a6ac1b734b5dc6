//! Record files of the processes that share an address: each process writes its own and reads the others'. Every function
//! here may block for as long as the disk does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

use pinerelay_succession::held::{Call, HeldOut, Mark, UnixMs};
use pinerelay_succession::peer::Peer;
use pinerelay_succession::process::Others;
use pinerelay_succession::record::{Flaw, Learned, Reading, Record, Standing};
use pinerelay_succession::view::{view, Found, Trouble, View, UNREADABLE_GRACE_READS};

/// How many processes may share an address. More than two, since an upgrade may begin while another is under way.
const MAX_PROCESSES: usize = 8;
/// Attempts to get the lock for joining, and the pause between them: other processes hold the lock for microseconds.
const LOCK_ATTEMPTS: usize = 50;
const LOCK_PAUSE: Duration = Duration::from_millis(2);
/// How often a process reads the others' records: well within the grace period of the rule on drains.
pub const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// The mark of a re-included server that no source lists any more is dropped after this time, in milliseconds: the other
/// processes have read it by then.
const MARK_RETENTION_MS: UnixMs = 60_000;

/// Identifies the state of a file by modification time, inode and length. Each write creates a new inode, so two writes
/// within one tick of the file system's clock differ too.
type Version = (SystemTime, u64, u64);

/// Why a process can't share its state.
#[derive(Debug)]
pub enum JoinError {
    /// A file can't be used.
    File(PathBuf, io::Error),
    /// Another process held the lock during all attempts.
    Busy(PathBuf),
    /// All slots are taken, or contain foreign files.
    Full(PathBuf),
}

impl fmt::Display for JoinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JoinError::File(path, error) => write!(f, "{}: {error}", path.display()),
            JoinError::Busy(path) => write!(f, "{}: another process holds it", path.display()),
            JoinError::Full(path) => write!(f, "{}: all {MAX_PROCESSES} places are taken", path.display()),
        }
    }
}

impl std::error::Error for JoinError {}

/// The state that this process publishes with a sync.
#[derive(Debug, Clone, Copy)]
pub struct OwnState {
    /// Its stage in the lifecycle.
    pub standing: Standing,
    /// Descriptors that it holds.
    pub used: usize,
}

/// The result of a sync with the other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncResult {
    /// The set of excluded app servers has changed.
    pub exclusions_changed: bool,
    /// The descriptors that this process may hold.
    pub claim: usize,
    /// Standings of the other processes.
    pub others: Others,
    /// Some records can't be read, and their processes still have time to repair them.
    pub awaits_repair: bool,
}

/// What is cached of another process's slot between syncs.
#[derive(Default)]
struct CachedSlot {
    version: Option<Version>,
    record: Option<Result<Option<Reading>, String>>,
    copy: Option<Reading>,
    /// For how many syncs in a row its lifecycle state could not be read, and when that was counted last.
    unread: u32,
    counted_at: Option<Instant>,
}

/// This process's slot among those that share the address.
struct Slot {
    /// Common prefix of all file paths.
    base: PathBuf,
    number: usize,
    /// Stays locked as long as this process runs.
    _live_lock: File,
    cached: RefCell<Vec<CachedSlot>>,
    /// The record as last written, and the version of its file.
    last_written: RefCell<Option<(Vec<u8>, Option<Version>)>>,
    last_copy: RefCell<Vec<u8>>,
}

/// Access of this process to the records of all processes that share its address.
pub struct Records {
    slot: Slot,
    limit: usize,
    peer: RefCell<Peer>,
    logged_troubles: RefCell<BTreeSet<Trouble>>,
    /// The last write of the record has failed.
    write_failed: Cell<bool>,
}

impl Records {
    /// Takes a slot among the processes that listen at this address. The files in `folder` are named after the address,
    /// which these processes share and no other node has.
    pub fn join(folder: &Path, listen: SocketAddr, limit: usize) -> Result<Records, JoinError> {
        let base = folder.join(format!("pinerelay-{}", listen.to_string().replace(':', "-")));
        let gate = with_suffix(&base, "gate");
        for _ in 0..LOCK_ATTEMPTS {
            if let Some(_gate) = try_lock_file(&gate).map_err(|error| JoinError::File(gate.clone(), error))? {
                return Records::take_slot(base, limit);
            }
            std::thread::sleep(LOCK_PAUSE);
        }
        Err(JoinError::Busy(gate))
    }

    /// Takes the first free slot. The caller holds the gate's lock.
    fn take_slot(base: PathBuf, limit: usize) -> Result<Records, JoinError> {
        for number in 0..MAX_PROCESSES {
            let path = slot_file(&base, number, "live");
            let Some(live) = try_lock_file(&path).map_err(|error| JoinError::File(path.clone(), error))?
            else {
                continue;
            };
            // Danger: a foreign or unreadable file must not be overwritten.
            match read(&slot_file(&base, number, "record")) {
                Ok(Some(Reading { flaw: Some(Flaw::Foreign), .. })) | Err(_) => continue,
                Ok(_) => {}
            }
            let slot = Slot {
                base,
                number,
                _live_lock: live,
                cached: RefCell::new((0..MAX_PROCESSES).map(|_| CachedSlot::default()).collect()),
                last_written: RefCell::default(),
                last_copy: RefCell::default(),
            };
            let records = Records {
                slot,
                limit,
                peer: RefCell::new(Peer::new(std::process::id())),
                logged_troubles: RefCell::default(),
                write_failed: Cell::default(),
            };
            records.adopt(number);
            return Ok(records);
        }
        Err(JoinError::Full(base))
    }

    /// Takes over the record that the slot's previous process left.
    fn adopt(&self, number: usize) {
        let mut view = view(self.limit, &[self.slot.read_slot(number, false)]);
        import_legacy_exclusions(&self.slot.base, &mut view.held);
        self.merge_view(&view);
    }

    /// The latest learned state of any process.
    pub fn learned(&self) -> Option<Learned> {
        self.peer.borrow().learned().cloned()
    }

    /// The excluded app servers, as known to this process.
    pub fn held_out(&self) -> HeldOut {
        self.peer.borrow().held().clone()
    }

    /// Drops the marks of re-included app servers that are no longer listed.
    pub fn forget(&self, listed: impl Fn(&str) -> bool) {
        self.peer.borrow_mut().forget(now().saturating_sub(MARK_RETENTION_MS), listed);
    }

    /// Applies an operator's call and writes it for the other processes. If the write fails, an exclusion still takes effect
    /// in this process and is written as soon as possible; an inclusion does not take effect.
    pub fn call(&self, name: &str, call: Call) -> io::Result<()> {
        // Danger: the other process of an upgrade may just have taken a call; this one must be ordered after it.
        self.merge_view(&self.slot.view(self.limit));
        self.peer.borrow_mut().call(name, call, now(), |record| self.write(record))
    }

    /// Sets the learned state, to be written with the next record for the next process.
    pub fn set_learned(&self, learned: serde_json::Value) {
        self.peer.borrow_mut().keep(now(), learned);
    }

    /// Reads the others' records, updates the claim of descriptors, and writes this process's record if it has changed.
    pub fn sync(&self, own: OwnState) -> SyncResult {
        match try_lock_file(&with_suffix(&self.slot.base, "gate")) {
            Ok(Some(_gate)) => self.sync_locked(own),
            // While another process holds the lock, the claim stays as it is.
            Ok(None) | Err(_) => {
                let view = self.slot.view(self.limit);
                let exclusions_changed = self.merge_view(&view);
                let _logged = self.write(&self.peer.borrow().record());
                self.sync_result(&view, exclusions_changed)
            }
        }
    }

    /// Syncs and updates the claim. The caller holds the gate's lock.
    fn sync_locked(&self, own: OwnState) -> SyncResult {
        let view = self.slot.view(self.limit);
        let exclusions_changed = self.merge_view(&view);
        self.peer.borrow_mut().claims(self.limit, own.standing, own.used, &view);
        let saved = self.write(&self.peer.borrow().record()).is_ok();
        self.peer.borrow_mut().written(saved, own.used, self.limit, &view);
        if saved {
            view.spent.iter().for_each(|&number| self.slot.clear(number));
        }
        self.sync_result(&view, exclusions_changed)
    }

    fn sync_result(&self, view: &View, exclusions_changed: bool) -> SyncResult {
        let awaits_repair = self
            .slot
            .cached
            .borrow()
            .iter()
            .any(|cached| (1..UNREADABLE_GRACE_READS).contains(&cached.unread));
        SyncResult {
            exclusions_changed,
            claim: self.peer.borrow().descriptors(),
            others: view.others,
            awaits_repair,
        }
    }

    /// Merges a view; returns whether the set of excluded app servers has changed. Each trouble is logged once while it
    /// lasts.
    fn merge_view(&self, view: &View) -> bool {
        let mut logged_troubles = self.logged_troubles.borrow_mut();
        logged_troubles.retain(|trouble| view.troubles.contains(trouble));
        for trouble in &view.troubles {
            if logged_troubles.insert(trouble.clone()) {
                eprintln!("pinerelay: succession: {trouble}");
            }
        }
        self.peer.borrow_mut().take(view)
    }

    /// Writes this process's record if it differs from its file; logs the first failure and the recovery.
    fn write(&self, record: &Record) -> io::Result<()> {
        let written = self.slot.write(record);
        let failed = written.is_err();
        match (&written, self.write_failed.replace(failed)) {
            (Err(error), false) => eprintln!(
                "pinerelay: succession: {}: {error}; the other processes will not know of what changes here",
                self.slot.base.display()
            ),
            (Ok(()), true) => eprintln!("pinerelay: succession: the other processes know of all again"),
            _ => {}
        }
        written
    }
}

impl Slot {
    fn view(&self, limit: usize) -> View {
        let others = (0..MAX_PROCESSES).filter(|&number| number != self.number);
        let found: Vec<_> = others.map(|number| self.read_slot(number, true)).collect();
        view(limit, &found)
    }

    /// Reads one slot. A file that was read is not read again until its version changes.
    fn read_slot(&self, number: usize, check_live: bool) -> Found {
        let live = check_live && is_locked(&slot_file(&self.base, number, "live"));
        let path = slot_file(&self.base, number, "record");
        let version = version(&path);
        let mut all = self.cached.borrow_mut();
        let cached = &mut all[number];
        let known = matches!(&cached.record, Some(Ok(_)));
        if !known || cached.version != version || version.is_none() {
            let record = read(&path);
            let intact = matches!(&record, Ok(Some(Reading { flaw: None, .. })));
            // Danger: the record may be missing or damaged while the copy is intact.
            let copy =
                (!intact).then(|| read(&slot_file(&self.base, number, "held")).ok().flatten()).flatten();
            (cached.record, cached.copy, cached.version) = (Some(record), copy, version);
        }
        let record = cached.record.clone().unwrap_or(Ok(None));
        let known = matches!(&record, Ok(Some(Reading { life: Some(_), .. })));
        if !live || known {
            (cached.unread, cached.counted_at) = (0, None);
        } else if cached.counted_at.is_none_or(|at| at.elapsed() >= SYNC_INTERVAL) {
            // Danger: this process may sync far more often than the other one, which needs time to repair its record.
            (cached.unread, cached.counted_at) = (cached.unread.saturating_add(1), Some(Instant::now()));
        }
        Found { place: number, live, record, copy: cached.copy.clone(), unread: cached.unread }
    }

    fn write(&self, record: &Record) -> io::Result<()> {
        let copy = record.encode_held();
        if copy != *self.last_copy.borrow() {
            replace_file(&slot_file(&self.base, self.number, "held"), &copy)?;
            self.last_copy.replace(copy);
        }
        let bytes = record.encode();
        let path = slot_file(&self.base, self.number, "record");
        // Danger: without the version check, damage to the file would stay until the next change of the record.
        let unchanged =
            self.last_written.borrow().as_ref().is_some_and(|(b, v)| *b == bytes && *v == version(&path));
        if !unchanged {
            replace_file(&path, &bytes)?;
            self.last_written.replace(Some((bytes, version(&path))));
        }
        Ok(())
    }

    /// Removes the files of a process that has ended, unless another process has taken the slot meanwhile.
    fn clear(&self, number: usize) {
        if let Ok(Some(_live)) = try_lock_file(&slot_file(&self.base, number, "live")) {
            for what in ["record", "held"] {
                let _ = fs::remove_file(slot_file(&self.base, number, what));
            }
        }
    }
}

/// Imports the exclusions of earlier builds of 0.2.0: a file with lines `out SINCE NAME`. All marks of this format are
/// newer.
fn import_legacy_exclusions(base: &Path, held: &mut HeldOut) {
    let Ok(text) = fs::read(with_suffix(base, "out")) else { return };
    for line in String::from_utf8_lossy(&text).lines() {
        let mut words = line.splitn(3, ' ');
        if let (Some("out"), Some(Ok(since)), Some(name)) =
            (words.next(), words.next().map(str::parse), words.next())
        {
            held.take(name, Mark { stamp: 0, out: true, since, back: 0 });
        }
    }
}

fn with_suffix(base: &Path, what: &str) -> PathBuf {
    let mut name = base.as_os_str().to_owned();
    name.push(".");
    name.push(what);
    name.into()
}

fn slot_file(base: &Path, number: usize, what: &str) -> PathBuf {
    with_suffix(base, &format!("{number}.{what}"))
}

/// Replaces a file atomically, by a rename.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = with_suffix(path, "next");
    let renamed = fs::write(&next, bytes).and_then(|()| fs::rename(&next, path));
    if renamed.is_err() {
        // A partial file takes disk space that another process may need.
        let _ = fs::remove_file(&next);
    }
    renamed
}

/// Reads a record file; `None` if there is no such file.
fn read(path: &Path) -> Result<Option<Reading>, String> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(Reading::of(&bytes))),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

fn version(path: &Path) -> Option<Version> {
    let data = fs::metadata(path).ok()?;
    Some((data.modified().ok()?, data.ino(), data.len()))
}

/// Opens and locks a file; `None` if another process holds the lock. The lock ends with the handle, so also when the
/// process dies.
fn try_lock_file(path: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Whether a running process holds this lock file.
fn is_locked(path: &Path) -> bool {
    // A shared lock: two concurrent checks must not take each other for the holder.
    File::open(path).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Unix time in milliseconds.
pub fn now() -> UnixMs {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as UnixMs
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    struct Folder(PathBuf);

    /// Damages the files in some way.
    type Damage = dyn Fn(&Folder);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("pinerelay-records-{name}-{}", std::process::id()));
            fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }

        fn join(&self) -> Records {
            let records = Records::join(&self.0, listen_address(), 400).expect("a slot");
            records.sync(OwnState { standing: Standing::Coming, used: 0 });
            records
        }

        fn file(&self, what: &str) -> PathBuf {
            self.0.join(format!("pinerelay-127.0.0.1-3000.{what}"))
        }

        /// Makes writes to this file fail until the returned function is called.
        fn block(&self, what: &str) -> impl FnOnce() {
            let path = self.file(&format!("{what}.next"));
            fs::create_dir(&path).expect("a folder in its place");
            move || fs::remove_dir(&path).expect("the folder")
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    fn listen_address() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 3000))
    }

    fn sync_serving(shared: &Records, used: usize) -> SyncResult {
        shared.sync(OwnState { standing: Standing::Serves, used })
    }

    /// Number of current troubles that the process has logged.
    fn trouble_count(shared: &Records) -> usize {
        shared.logged_troubles.borrow().len()
    }

    #[test]
    fn processes_share_claims_standings_and_exclusions_and_a_crash_frees_a_slot() {
        let folder = Folder::new("all");
        let old = folder.join();
        assert_eq!(sync_serving(&old, 30).claim, 400);
        old.call("a", Call::Exclude).expect("written");
        let new = folder.join();
        assert!(new.held_out().holds("a"), "read at the start");
        assert_eq!(
            new.sync(OwnState { standing: Standing::Coming, used: 0 }).claim,
            0,
            "the first holds all"
        );
        assert_eq!(sync_serving(&old, 150).claim, 200);
        let synced = sync_serving(&new, 10);
        assert_eq!((synced.claim, synced.others), (200, Others { coming: 0, serving: 1, leaving: 0 }));
        new.call("a", Call::Include).expect("written");
        new.call("b", Call::Exclude).expect("written");
        assert!(
            sync_serving(&old, 150).exclusions_changed
                && old.held_out().holds("b")
                && !old.held_out().holds("a")
        );
        assert!(old.held_out().started("a", 1) > 1, "what another process let back is cold here too");
        assert!(!sync_serving(&old, 150).exclusions_changed, "nothing new");
        // The old process begins to stop, then dies with a claim in its record.
        assert_eq!(old.sync(OwnState { standing: Standing::Leaves, used: 100 }).claim, 125);
        assert_eq!(sync_serving(&new, 140).claim, 275);
        drop(old);
        assert_eq!(sync_serving(&new, 140).claim, 400, "a crash frees the slot");
        assert!(!folder.file("0.record").exists(), "and what it left has been taken over");
        assert!(new.held_out().holds("b") && folder.join().held_out().holds("b"));
        assert_eq!(trouble_count(&new), 0);
    }

    #[test]
    fn learned_state_is_passed_to_the_next_process() {
        let folder = Folder::new("learned");
        let old = folder.join();
        old.set_learned(json!({"n": 1}));
        sync_serving(&old, 0);
        assert_eq!(folder.join().learned().map(|l| l.of), Some(json!({"n": 1})));
        drop(old);
        assert!(folder.join().learned().is_some(), "also if it has died");
    }

    #[test]
    fn a_damaged_record_does_not_readmit_an_excluded_server() {
        let damages: [(&str, &Damage); 5] = [
            ("damaged", &|f| {
                let mut bytes = fs::read(f.file("0.record")).expect("a record");
                let at = bytes.windows(3).position(|w| w == b"s-1").expect("the name");
                bytes[at] = b'x';
                fs::write(f.file("0.record"), bytes).expect("a record");
            }),
            ("empty", &|f| fs::write(f.file("0.record"), "").expect("a record")),
            ("binary", &|f| fs::write(f.file("0.record"), [0xff, 0xfe, 10, 0]).expect("a record")),
            ("gone", &|f| fs::remove_file(f.file("0.record")).expect("a record")),
            ("unreadable", &|f| {
                fs::remove_file(f.file("0.record")).expect("a record");
                fs::create_dir(f.file("0.record")).expect("a folder in its place");
            }),
        ];
        for (what, damage) in damages {
            // While its writer runs, which repairs what can be repaired at its next sync.
            let folder = Folder::new(what);
            let old = folder.join();
            old.call("s-1", Call::Exclude).expect("written");
            sync_serving(&old, 10);
            let knows = folder.join();
            damage(&folder);
            sync_serving(&knows, 10);
            assert!(knows.held_out().holds("s-1"), "{what}: known before the damage");
            let new = folder.join();
            assert!(new.held_out().holds("s-1"), "{what}: known to a later process");
            sync_serving(&old, 10);
            sync_serving(&new, 10);
            let mended =
                fs::read(folder.file("0.record")).is_ok_and(|bytes| Reading::of(&bytes).flaw.is_none());
            assert_eq!(mended, what != "unreadable", "{what}");
            assert_eq!(trouble_count(&new), usize::from(!mended), "{what}: logged while it lasts");
            // After its writer has died: the second copy is used.
            drop((knows, new));
            let folder = Folder::new(&format!("{what}-dead"));
            let old = folder.join();
            old.call("s-1", Call::Exclude).expect("written");
            drop(old);
            damage(&folder);
            // A folder or a foreign file is left alone; this process takes another slot.
            let next = folder.join();
            assert!(next.held_out().holds("s-1"), "{what}: after its process has died");
        }
    }

    #[test]
    fn a_foreign_file_is_not_overwritten() {
        let folder = Folder::new("foreign");
        fs::write(folder.file("0.record"), "shopping list\n").expect("a file");
        let shared = folder.join();
        sync_serving(&shared, 10);
        assert_eq!(fs::read(folder.file("0.record")).expect("the file"), b"shopping list\n");
        assert!(folder.file("1.record").exists());
        assert_eq!(trouble_count(&shared), 1);
    }

    #[test]
    fn an_unwritable_exclusion_holds_locally_and_is_written_later() {
        let folder = Folder::new("full");
        let (old, new) = (folder.join(), folder.join());
        sync_serving(&old, 10);
        let free = folder.block("0.held");
        assert!(old.call("s-1", Call::Exclude).is_err());
        assert!(old.held_out().holds("s-1"), "it holds here");
        assert!(old.call("s-1", Call::Include).is_err());
        assert!(old.held_out().holds("s-1"), "an inclusion that can't be written is not done");
        sync_serving(&old, 10);
        sync_serving(&new, 10);
        assert!(!new.held_out().holds("s-1"));
        free();
        sync_serving(&old, 10);
        sync_serving(&new, 10);
        assert!(new.held_out().holds("s-1"), "and comes to the others as soon as it can");
        assert!(!old.write_failed.get());
    }

    #[test]
    fn join_errors_name_the_folder_and_the_cause() {
        let gone = std::env::temp_dir().join("pinerelay-no-such-folder");
        let error = Records::join(&gone, listen_address(), 400).err().expect("an error").to_string();
        assert!(error.contains("pinerelay-no-such-folder") && error.contains("No such file"), "{error}");
        let folder = Folder::new("eight");
        let all: Vec<_> = (0..MAX_PROCESSES).map(|_| folder.join()).collect();
        let error = Records::join(&folder.0, listen_address(), 400).err().expect("an error").to_string();
        assert!(error.ends_with("all 8 places are taken"), "{error}");
        drop(all);
        let gate = try_lock_file(&folder.file("gate")).expect("a file").expect("free");
        let error = Records::join(&folder.0, listen_address(), 400).err().expect("an error").to_string();
        assert!(error.ends_with("another process holds it"), "{error}");
        drop(gate);
    }

    #[test]
    fn exclusions_of_an_earlier_build_are_imported() {
        let folder = Folder::new("former");
        fs::write(folder.file("out"), "out 5 s-1\nback 6 5 s-2\nnonsense\nout x s-3\n").expect("a file");
        let shared = folder.join();
        assert!(
            shared.held_out().holds("s-1")
                && !shared.held_out().holds("s-2")
                && !shared.held_out().holds("s-3")
        );
        shared.call("s-1", Call::Include).expect("written");
        assert!(!folder.join().held_out().holds("s-1"), "and a call back lasts");
    }
}
