//! The descriptors of one limit, shared by the processes of an upgrade: each claims its part in a file that a crash frees.

use std::cell::Cell;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How many processes may share a limit. Danger: an upgrade may be begun while another is under way.
const SEATS: usize = 8;
/// How often a process looks what the others claim; and one that has next to nothing yet.
const LOOKS: Duration = Duration::from_millis(200);
const SHORT_LOOKS: Duration = Duration::from_millis(20);
/// How often the first look is tried, and how long apart: another process holds the lock for microseconds.
const FIRST_TRIES: usize = 20;
const FIRST_PAUSE: Duration = Duration::from_millis(2);

/// What one process claims, in descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// It opens no more than these.
    pub most: usize,
    /// It stops, and its claim only shrinks.
    pub leaves: bool,
}

/// What a process that holds `used` descriptors may claim of `limit` beside the others. No two that decide by it one after
/// the other claim more than the limit together, unless they held more before: what is open is never taken back.
pub fn claim(limit: usize, used: usize, leaves: bool, others: &[Claim]) -> usize {
    let free = limit.saturating_sub(others.iter().map(|o| o.most).sum());
    let fair = limit / (others.len() + 1);
    let wanted = match () {
        // What it has, and a little for what open requests still need.
        () if leaves => used + limit / 16,
        // Those that stop hold on to what they need; the rest is for the one that stays.
        () if others.iter().all(|o| o.leaves) => free,
        () => fair.max(used),
    };
    wanted.min(free).max(used.min(limit))
}

/// Whether a process can serve with these.
pub fn enough(claimed: usize, limit: usize) -> bool {
    claimed >= limit / 4
}

/// This process's seat, and the others'.
pub struct Seats {
    /// Without its ending.
    path: PathBuf,
    limit: usize,
    mine: File,
    number: usize,
    claimed: Cell<usize>,
}

impl Seats {
    /// Takes a free seat. The files are named after `path`.
    pub fn take(path: PathBuf, limit: usize) -> io::Result<Seats> {
        for _ in 0..FIRST_TRIES {
            if let Some(_lock) = only(&path.with_extension("seats"))? {
                for number in 0..SEATS {
                    if let Some(mine) = only(&seat(&path, number))? {
                        let seats = Seats { path, limit, mine, number, claimed: Cell::new(0) };
                        seats.decide(0, false)?;
                        return Ok(seats);
                    }
                }
                return Err(io::Error::other(format!("{SEATS} processes share this address")));
            }
            std::thread::sleep(FIRST_PAUSE);
        }
        Err(io::Error::other("the lock on the seats is held by another process"))
    }

    /// How many descriptors this process may hold.
    pub fn claimed(&self) -> usize {
        self.claimed.get()
    }

    /// Looks what the others claim, and claims anew. While another process is at it, all stays as it is.
    pub fn look(&self, used: usize, leaves: bool) -> io::Result<usize> {
        if let Some(_lock) = only(&self.path.with_extension("seats"))? {
            self.decide(used, leaves)?;
        }
        Ok(self.claimed.get())
    }

    /// Under the lock.
    fn decide(&self, used: usize, leaves: bool) -> io::Result<()> {
        let others = (0..SEATS).filter(|&n| n != self.number);
        let others: Vec<_> = others.filter_map(|n| held(&seat(&self.path, n), self.limit)).collect();
        let most = claim(self.limit, used, leaves, &others);
        let mut mine = &self.mine;
        mine.set_len(0)?;
        mine.rewind()?;
        mine.write_all(format!("{most} {}\n", if leaves { "leaves" } else { "stays" }).as_bytes())?;
        self.claimed.set(most);
        Ok(())
    }

    /// Keeps what `apply` holds to within the claim until the process ends. `used` tells what is held and whether the
    /// process stops; `apply` takes the claim.
    pub async fn keep(self, used: impl Fn() -> (usize, bool), apply: impl Fn(usize)) {
        let mut failed = false;
        loop {
            tokio::time::sleep(if enough(self.claimed(), self.limit) { LOOKS } else { SHORT_LOOKS }).await;
            let (held, leaves) = used();
            let looked = self.look(held, leaves);
            match &looked {
                Ok(most) => apply(*most),
                Err(error) if !failed => eprintln!("pinerelay: descriptors are not shared anew: {error}"),
                Err(_) => {}
            }
            failed = looked.is_err();
        }
    }
}

fn seat(path: &Path, number: usize) -> PathBuf {
    path.with_extension(format!("seat-{number}"))
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

/// What the process on this seat claims, if there is one. Danger: a claim that can't be read may be any; an equal part of
/// the limit is assumed.
fn held(path: &Path, limit: usize) -> Option<Claim> {
    let mut file = File::open(path).ok()?;
    // Shared: two that look must not take each other for a process on the seat.
    if !matches!(file.try_lock_shared(), Err(TryLockError::WouldBlock)) {
        return None;
    }
    let mut text = String::new();
    let read = file.read_to_string(&mut text).ok().and_then(|_| {
        let (most, stays) = text.trim().split_once(' ')?;
        Some(Claim { most: most.parse().ok()?, leaves: stays == "leaves" })
    });
    Some(read.unwrap_or(Claim { most: limit / 2, leaves: false }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_process_alone_has_all_and_two_share_until_one_leaves() {
        let path = std::env::temp_dir().join(format!("pinerelay-seats-{}.x", std::process::id()));
        let old = Seats::take(path.clone(), 400).expect("a seat");
        assert_eq!(old.claimed(), 400);
        let new = Seats::take(path.clone(), 400).expect("a seat");
        assert_eq!(new.claimed(), 0, "all is claimed");
        // The old one hears of it, and keeps what it has open.
        assert_eq!(old.look(260, false).expect("a file"), 260);
        assert_eq!(new.look(40, false).expect("a file"), 140);
        assert_eq!(old.look(150, false).expect("a file"), 200);
        assert_eq!(new.look(140, false).expect("a file"), 200);
        // A third comes while the two are at it.
        let third = Seats::take(path.clone(), 400).expect("a seat");
        assert_eq!((third.claimed(), old.look(100, false).expect("a file")), (0, 133));
        assert_eq!(third.look(0, false).expect("a file"), 67);
        drop(third);
        // The old one stops, and then dies with its claim in the file.
        assert_eq!(old.look(100, true).expect("a file"), 125);
        assert_eq!(new.look(140, false).expect("a file"), 275);
        drop(old);
        assert_eq!(new.look(140, false).expect("a file"), 400, "a crash frees the seat");
        for ending in ["seats", "seat-0", "seat-1", "seat-2"] {
            std::fs::remove_file(path.with_extension(ending)).expect("a file");
        }
    }

    /// Any order of looks by up to four processes that hold what they may: together never more than the limit.
    #[test]
    fn claims_never_pass_the_limit_whoever_looks_when() {
        let mut random = 7u64;
        let mut lot = |below: usize| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) as usize % below.max(1)
        };
        for _ in 0..2_000 {
            // Used, claim, leaves.
            let mut all: Vec<(usize, Claim)> = vec![(0, Claim { most: 384, leaves: false })];
            for _ in 0..40 {
                let n = lot(all.len() + 1);
                if n == all.len() {
                    if n < 4 {
                        all.push((0, Claim { most: 0, leaves: false }));
                    }
                    continue;
                }
                if lot(12) == 0 && all.len() > 1 {
                    all.remove(n);
                    continue;
                }
                let others: Vec<_> =
                    all.iter().enumerate().filter(|(i, _)| *i != n).map(|(_, p)| p.1).collect();
                let leaves = all[n].1.leaves || lot(8) == 0;
                let used = lot(all[n].1.most + 1);
                all[n] = (used, Claim { most: claim(384, used, leaves, &others), leaves });
                let sum: usize = all.iter().map(|p| p.1.most).sum();
                assert!(sum <= 384 && all[n].1.most >= used, "{all:?}");
            }
        }
    }
}
