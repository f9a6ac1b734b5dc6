//! The records of the processes that share an address, as files: this process's is written, the others' are read, and nobody
//! writes another's. All of it may stand still for as long as the disk does.

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

/// How many processes may share an address. Danger: an upgrade may be begun while another is under way.
const PLACES: usize = 8;
/// How often a place is looked for, and how long apart: another process holds the lock for microseconds.
const TRIES: usize = 50;
const PAUSE: Duration = Duration::from_millis(2);
/// How often a process looks what the others tell: well within the grace of the rule on drains.
pub const LOOKS: Duration = Duration::from_millis(200);
/// A server that no source lists any more is forgotten this long after it came back: the other processes have heard by then.
const FORGET: UnixMs = 60_000;

/// A state of a file: two within one tick of the file system's clock differ all the same, since each is a file of its own.
type Version = (SystemTime, u64, u64);

/// Why a process can't share what it knows.
#[derive(Debug)]
pub enum JoinError {
    /// A file can't be used.
    File(PathBuf, io::Error),
    /// Another process held the lock all the time.
    Busy(PathBuf),
    /// All places are taken, or hold files of somebody else.
    Full(PathBuf),
}

impl fmt::Display for JoinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JoinError::File(path, error) => write!(f, "{}: {error}", path.display()),
            JoinError::Busy(path) => write!(f, "{}: another process holds it", path.display()),
            JoinError::Full(path) => write!(f, "{}: all {PLACES} places are taken", path.display()),
        }
    }
}

impl std::error::Error for JoinError {}

/// What this process tells of itself with a look.
#[derive(Debug, Clone, Copy)]
pub struct Mine {
    /// Where it is in its life.
    pub standing: Standing,
    /// Descriptors that it holds.
    pub used: usize,
}

/// What a look has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Looked {
    /// Who is held out has changed.
    pub held: bool,
    /// The descriptors that this process may hold.
    pub claim: usize,
    /// Where the other processes are.
    pub others: Others,
    /// Some of them can't be read yet, and are given time to mend that.
    pub waits: bool,
}

/// What is kept of another process's place between looks.
#[derive(Default)]
struct Kept {
    version: Option<Version>,
    record: Option<Result<Option<Reading>, String>>,
    copy: Option<Reading>,
    /// For how many looks in a row its life could not be read, and when that was counted last.
    unread: u32,
    counted: Option<Instant>,
}

/// This process's place among those that share the address.
struct Place {
    /// All files begin with this.
    base: PathBuf,
    number: usize,
    /// Locked as long as this process runs.
    _live: File,
    kept: RefCell<Vec<Kept>>,
    /// What was written last, and the file it became.
    written: RefCell<Option<(Vec<u8>, Option<Version>)>>,
    copied: RefCell<Vec<u8>>,
}

/// This process among those that share its address.
pub struct Records {
    place: Place,
    limit: usize,
    me: RefCell<Peer>,
    told: RefCell<BTreeSet<Trouble>>,
    /// The last write has failed.
    unsaved: Cell<bool>,
}

impl Records {
    /// Takes a place among the processes that listen at this address, and reads what they tell. The files in `folder` are
    /// named after the address, which these processes share and no other node has.
    pub fn join(folder: &Path, listen: SocketAddr, limit: usize) -> Result<Records, JoinError> {
        let base = folder.join(format!("pinerelay-{}", listen.to_string().replace(':', "-")));
        let gate = ending(&base, "gate");
        for _ in 0..TRIES {
            if let Some(_gate) = only(&gate).map_err(|error| JoinError::File(gate.clone(), error))? {
                return Records::sit(base, limit);
            }
            std::thread::sleep(PAUSE);
        }
        Err(JoinError::Busy(gate))
    }

    /// Under the gate's lock.
    fn sit(base: PathBuf, limit: usize) -> Result<Records, JoinError> {
        for number in 0..PLACES {
            let path = of_place(&base, number, "live");
            let Some(live) = only(&path).map_err(|error| JoinError::File(path.clone(), error))? else {
                continue;
            };
            // Danger: what is not ours, or can't be told, is not to be written over.
            match read(&of_place(&base, number, "record")) {
                Ok(Some(Reading { flaw: Some(Flaw::Foreign), .. })) | Err(_) => continue,
                Ok(_) => {}
            }
            let place = Place {
                base,
                number,
                _live: live,
                kept: RefCell::new((0..PLACES).map(|_| Kept::default()).collect()),
                written: RefCell::default(),
                copied: RefCell::default(),
            };
            let records = Records {
                place,
                limit,
                me: RefCell::new(Peer::new(std::process::id())),
                told: RefCell::default(),
                unsaved: Cell::default(),
            };
            records.adopt(number);
            return Ok(records);
        }
        Err(JoinError::Full(base))
    }

    /// Takes in what the process before left in the place that is this one's now.
    fn adopt(&self, number: usize) {
        let mut view = view(self.limit, &[self.place.find(number, false)]);
        former(&self.place.base, &mut view.held);
        self.take(&view);
    }

    /// What was learned last by any process.
    pub fn learned(&self) -> Option<Learned> {
        self.me.borrow().learned().cloned()
    }

    /// Who is held out, by all that is known here.
    pub fn held(&self) -> HeldOut {
        self.me.borrow().held().clone()
    }

    /// Forgets when app servers came back that are listed no more.
    pub fn forget(&self, listed: impl Fn(&str) -> bool) {
        self.me.borrow_mut().forget(now().saturating_sub(FORGET), listed);
    }

    /// Takes a call, and tells the other processes. On an error a call out holds for this one all the same, and is told to
    /// the others as soon as it can be; a call back does not hold.
    pub fn call(&self, name: &str, call: Call) -> io::Result<()> {
        // Danger: the other process of an upgrade may just have been called; this call comes after that one.
        self.take(&self.place.view(self.limit));
        self.me.borrow_mut().call(name, call, now(), |record| self.write(record))
    }

    /// Keeps what was learned for the next process.
    pub fn keep(&self, learned: serde_json::Value) {
        self.me.borrow_mut().keep(now(), learned);
    }

    /// Looks what the others tell, claims anew, and writes what has changed here.
    pub fn look(&self, mine: Mine) -> Looked {
        match only(&ending(&self.place.base, "gate")) {
            Ok(Some(_gate)) => self.decide(mine),
            // While another process is at it, the claim stays as it is.
            Ok(None) | Err(_) => {
                let view = self.place.view(self.limit);
                let held = self.take(&view);
                let _told_by_the_log = self.write(&self.me.borrow().record());
                self.looked(&view, held)
            }
        }
    }

    /// Under the gate's lock.
    fn decide(&self, mine: Mine) -> Looked {
        let view = self.place.view(self.limit);
        let held = self.take(&view);
        self.me.borrow_mut().claims(self.limit, mine.standing, mine.used, &view);
        let well = self.write(&self.me.borrow().record()).is_ok();
        self.me.borrow_mut().written(well, mine.used, self.limit, &view);
        if well {
            view.spent.iter().for_each(|&number| self.place.clear(number));
        }
        self.looked(&view, held)
    }

    fn looked(&self, view: &View, held: bool) -> Looked {
        let waits =
            self.place.kept.borrow().iter().any(|kept| (1..UNREADABLE_GRACE_READS).contains(&kept.unread));
        Looked { held, claim: self.me.borrow().descriptors(), others: view.others, waits }
    }

    /// Takes in a picture; tells whether who is held out has changed. What is wrong is told once for as long as it lasts.
    fn take(&self, view: &View) -> bool {
        let mut told = self.told.borrow_mut();
        told.retain(|trouble| view.troubles.contains(trouble));
        for trouble in &view.troubles {
            if told.insert(trouble.clone()) {
                eprintln!("pinerelay: succession: {trouble}");
            }
        }
        self.me.borrow_mut().take(view)
    }

    /// Writes this process's record, if it differs from what lies there.
    fn write(&self, record: &Record) -> io::Result<()> {
        let written = self.place.write(record);
        let failed = written.is_err();
        match (&written, self.unsaved.replace(failed)) {
            (Err(error), false) => eprintln!(
                "pinerelay: succession: {}: {error}; the other processes will not know of what changes here",
                self.place.base.display()
            ),
            (Ok(()), true) => eprintln!("pinerelay: succession: the other processes know of all again"),
            _ => {}
        }
        written
    }
}

impl Place {
    fn view(&self, limit: usize) -> View {
        let others = (0..PLACES).filter(|&number| number != self.number);
        let found: Vec<_> = others.map(|number| self.find(number, true)).collect();
        view(limit, &found)
    }

    /// What lies in one place. A file is read once for each state of it.
    fn find(&self, number: usize, ask: bool) -> Found {
        let live = ask && seated(&of_place(&self.base, number, "live"));
        let path = of_place(&self.base, number, "record");
        let version = version(&path);
        let mut all = self.kept.borrow_mut();
        let kept = &mut all[number];
        let known = matches!(&kept.record, Some(Ok(_)));
        if !known || kept.version != version || version.is_none() {
            let record = read(&path);
            let whole = matches!(&record, Ok(Some(Reading { flaw: None, .. })));
            // Danger: the record may be gone, and the copy not.
            let copy = (!whole).then(|| read(&of_place(&self.base, number, "held")).ok().flatten()).flatten();
            (kept.record, kept.copy, kept.version) = (Some(record), copy, version);
        }
        let record = kept.record.clone().unwrap_or(Ok(None));
        let known = matches!(&record, Ok(Some(Reading { life: Some(_), .. })));
        if !live || known {
            (kept.unread, kept.counted) = (0, None);
        } else if kept.counted.is_none_or(|at| at.elapsed() >= LOOKS) {
            // Danger: this process may look far more often than that one, which is to have its time to mend it.
            (kept.unread, kept.counted) = (kept.unread.saturating_add(1), Some(Instant::now()));
        }
        Found { place: number, live, record, copy: kept.copy.clone(), unread: kept.unread }
    }

    fn write(&self, record: &Record) -> io::Result<()> {
        let copy = record.encode_held();
        if copy != *self.copied.borrow() {
            replace(&of_place(&self.base, self.number, "held"), &copy)?;
            self.copied.replace(copy);
        }
        let bytes = record.encode();
        let path = of_place(&self.base, self.number, "record");
        // Danger: what somebody else did to the file would stay until the next change.
        let lies = self.written.borrow().as_ref().is_some_and(|(b, v)| *b == bytes && *v == version(&path));
        if !lies {
            replace(&path, &bytes)?;
            self.written.replace(Some((bytes, version(&path))));
        }
        Ok(())
    }

    /// Takes away what a process that has ended left, unless another has sat down there meanwhile.
    fn clear(&self, number: usize) {
        if let Ok(Some(_live)) = only(&of_place(&self.base, number, "live")) {
            for what in ["record", "held"] {
                let _ = fs::remove_file(of_place(&self.base, number, what));
            }
        }
    }
}

/// Whom earlier builds of 0.2.0 held out: a file with lines `out SINCE NAME`. Any mark of ours is later.
fn former(base: &Path, held: &mut HeldOut) {
    let Ok(text) = fs::read(ending(base, "out")) else { return };
    for line in String::from_utf8_lossy(&text).lines() {
        let mut words = line.splitn(3, ' ');
        if let (Some("out"), Some(Ok(since)), Some(name)) =
            (words.next(), words.next().map(str::parse), words.next())
        {
            held.take(name, Mark { stamp: 0, out: true, since, back: 0 });
        }
    }
}

fn ending(base: &Path, what: &str) -> PathBuf {
    let mut name = base.as_os_str().to_owned();
    name.push(".");
    name.push(what);
    name.into()
}

fn of_place(base: &Path, number: usize, what: &str) -> PathBuf {
    ending(base, &format!("{number}.{what}"))
}

/// Puts a file in the place of another, whole or not at all.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = ending(path, "next");
    let put = fs::write(&next, bytes).and_then(|()| fs::rename(&next, path));
    if put.is_err() {
        // Half of it takes room that another may need.
        let _ = fs::remove_file(&next);
    }
    put
}

/// None if there is no such file.
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

/// The file, if no other process holds it. The lock goes with the handle, so a process that dies frees it.
fn only(path: &Path) -> io::Result<Option<File>> {
    let file = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(Some(file)),
        Err(TryLockError::WouldBlock) => Ok(None),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Whether a process sits there.
fn seated(path: &Path) -> bool {
    // Shared: two that look must not take each other for a process in the place.
    File::open(path).is_ok_and(|file| matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Unix time.
pub fn now() -> UnixMs {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as UnixMs
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    struct Folder(PathBuf);

    /// What somebody does to the files.
    type Damage = dyn Fn(&Folder);

    impl Folder {
        fn new(name: &str) -> Folder {
            let path = std::env::temp_dir().join(format!("pinerelay-records-{name}-{}", std::process::id()));
            fs::create_dir_all(&path).expect("a folder");
            Folder(path)
        }

        fn join(&self) -> Records {
            let records = Records::join(&self.0, at(), 400).expect("a place");
            records.look(Mine { standing: Standing::Coming, used: 0 });
            records
        }

        fn file(&self, what: &str) -> PathBuf {
            self.0.join(format!("pinerelay-127.0.0.1-3000.{what}"))
        }

        /// Nothing can be written to this file any more, and then it can again.
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

    fn at() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 3000))
    }

    fn serves(shared: &Records, used: usize) -> Looked {
        shared.look(Mine { standing: Standing::Serves, used })
    }

    /// What a process tells of troubles.
    fn troubles(shared: &Records) -> usize {
        shared.told.borrow().len()
    }

    #[test]
    fn processes_share_claims_lives_and_who_is_held_out_and_a_crash_frees_a_place() {
        let folder = Folder::new("all");
        let old = folder.join();
        assert_eq!(serves(&old, 30).claim, 400);
        old.call("a", Call::Exclude).expect("written");
        let new = folder.join();
        assert!(new.held().holds("a"), "read at the start");
        assert_eq!(new.look(Mine { standing: Standing::Coming, used: 0 }).claim, 0, "the first holds all");
        assert_eq!(serves(&old, 150).claim, 200);
        let looked = serves(&new, 10);
        assert_eq!((looked.claim, looked.others), (200, Others { coming: 0, serving: 1, leaving: 0 }));
        new.call("a", Call::Include).expect("written");
        new.call("b", Call::Exclude).expect("written");
        assert!(serves(&old, 150).held && old.held().holds("b") && !old.held().holds("a"));
        assert!(old.held().started("a", 1) > 1, "what another process let back is cold here too");
        assert!(!serves(&old, 150).held, "nothing new");
        // The old one stops, and then dies with its claim in its record.
        assert_eq!(old.look(Mine { standing: Standing::Leaves, used: 100 }).claim, 125);
        assert_eq!(serves(&new, 140).claim, 275);
        drop(old);
        assert_eq!(serves(&new, 140).claim, 400, "a crash frees the place");
        assert!(!folder.file("0.record").exists(), "and what it left has been taken over");
        assert!(new.held().holds("b") && folder.join().held().holds("b"));
        assert_eq!(troubles(&new), 0);
    }

    #[test]
    fn what_was_learned_goes_to_the_next_process() {
        let folder = Folder::new("learned");
        let old = folder.join();
        old.keep(json!({"n": 1}));
        serves(&old, 0);
        assert_eq!(folder.join().learned().map(|l| l.of), Some(json!({"n": 1})));
        drop(old);
        assert!(folder.join().learned().is_some(), "also if it has died");
    }

    #[test]
    fn no_damage_lets_back_who_is_held_out() {
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
            // Beside the process that wrote it, which mends what can be mended with its next look.
            let folder = Folder::new(what);
            let old = folder.join();
            old.call("s-1", Call::Exclude).expect("written");
            serves(&old, 10);
            let knows = folder.join();
            damage(&folder);
            serves(&knows, 10);
            assert!(knows.held().holds("s-1"), "{what}: who knew before");
            let new = folder.join();
            assert!(new.held().holds("s-1"), "{what}: who comes after");
            serves(&old, 10);
            serves(&new, 10);
            let mended =
                fs::read(folder.file("0.record")).is_ok_and(|bytes| Reading::of(&bytes).flaw.is_none());
            assert_eq!(mended, what != "unreadable", "{what}");
            assert_eq!(troubles(&new), usize::from(!mended), "{what}: told while it lasts");
            // After it has died: its second copy tells.
            drop((knows, new));
            let folder = Folder::new(&format!("{what}-dead"));
            let old = folder.join();
            old.call("s-1", Call::Exclude).expect("written");
            drop(old);
            damage(&folder);
            // A folder, or a file of nobody, is left alone; this process sits elsewhere.
            let next = folder.join();
            assert!(next.held().holds("s-1"), "{what}: after its process has died");
        }
    }

    #[test]
    fn a_file_of_somebody_else_is_left_alone() {
        let folder = Folder::new("foreign");
        fs::write(folder.file("0.record"), "shopping list\n").expect("a file");
        let shared = folder.join();
        serves(&shared, 10);
        assert_eq!(fs::read(folder.file("0.record")).expect("the file"), b"shopping list\n");
        assert!(folder.file("1.record").exists());
        assert_eq!(troubles(&shared), 1);
    }

    #[test]
    fn what_cannot_be_written_is_kept_told_once_and_written_later() {
        let folder = Folder::new("full");
        let (old, new) = (folder.join(), folder.join());
        serves(&old, 10);
        let free = folder.block("0.held");
        assert!(old.call("s-1", Call::Exclude).is_err());
        assert!(old.held().holds("s-1"), "it holds here");
        assert!(old.call("s-1", Call::Include).is_err());
        assert!(old.held().holds("s-1"), "a call back that can't be told is not done");
        serves(&old, 10);
        serves(&new, 10);
        assert!(!new.held().holds("s-1"));
        free();
        serves(&old, 10);
        serves(&new, 10);
        assert!(new.held().holds("s-1"), "and comes to the others as soon as it can");
        assert!(!old.unsaved.get());
    }

    #[test]
    fn without_a_folder_or_a_place_there_is_an_error_that_names_it() {
        let gone = std::env::temp_dir().join("pinerelay-no-such-folder");
        let error = Records::join(&gone, at(), 400).err().expect("an error").to_string();
        assert!(error.contains("pinerelay-no-such-folder") && error.contains("No such file"), "{error}");
        let folder = Folder::new("eight");
        let all: Vec<_> = (0..PLACES).map(|_| folder.join()).collect();
        let error = Records::join(&folder.0, at(), 400).err().expect("an error").to_string();
        assert!(error.ends_with("all 8 places are taken"), "{error}");
        drop(all);
        let gate = only(&folder.file("gate")).expect("a file").expect("free");
        let error = Records::join(&folder.0, at(), 400).err().expect("an error").to_string();
        assert!(error.ends_with("another process holds it"), "{error}");
        drop(gate);
    }

    #[test]
    fn whom_an_earlier_build_held_out_stays_out() {
        let folder = Folder::new("former");
        fs::write(folder.file("out"), "out 5 s-1\nback 6 5 s-2\nnonsense\nout x s-3\n").expect("a file");
        let shared = folder.join();
        assert!(shared.held().holds("s-1") && !shared.held().holds("s-2") && !shared.held().holds("s-3"));
        shared.call("s-1", Call::Include).expect("written");
        assert!(!folder.join().held().holds("s-1"), "and a call back lasts");
    }
}
