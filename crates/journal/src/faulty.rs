//! A disk in memory that loses, tears and reorders as real ones may, by a seed; for tests of what stands on it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use crate::disk::{Append, Disk};

/// Bytes that reach the disk together, at a file's unsynced end.
const SECTOR: usize = 32;

/// How often things go wrong, each a share of the calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// A write takes in only some of the bytes.
    pub short: f64,
    /// A write fails after some of the bytes, for want of room or by an error of the device.
    pub write: f64,
    /// A sync fails: what was written since the last one is not to be trusted from then on.
    pub sync: f64,
    /// A file can't be made, or a folder not be synced.
    pub folder: f64,
}

#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    /// Up to here it survives.
    synced: usize,
    /// From here on it was written before a sync that failed, and no later sync makes it last.
    doubtful: Option<usize>,
    /// Its name is in the folder for good.
    linked: bool,
}

#[derive(Debug, Default)]
struct Inside {
    files: BTreeMap<String, File>,
    /// Removed, and not yet for good.
    removed: BTreeMap<String, File>,
    faults: Faults,
    random: u64,
}

impl Inside {
    fn lot(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && ((self.lot() >> 11) as f64 / (1u64 << 53) as f64) < share
    }

    fn up_to(&mut self, most: usize) -> usize {
        (self.lot() % (most as u64 + 1)) as usize
    }
}

/// A disk in memory. Clones are the same disk.
#[derive(Debug, Clone, Default)]
pub struct Memory(Rc<RefCell<Inside>>);

impl Memory {
    /// An empty disk, whose faults come by this seed.
    pub fn new(seed: u64) -> Memory {
        Memory(Rc::new(RefCell::new(Inside { random: seed, ..Inside::default() })))
    }

    /// From now on so much goes wrong.
    pub fn set(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// The disk as it may be after a crash at this moment: what was synced is there. Of the rest any part may be: names
    /// made or removed since the folder was synced, and of a file's unsynced end any sectors, up to any byte; sectors
    /// that were lost hold zeros.
    pub fn crashed(&self) -> Memory {
        let mut inside = self.0.borrow_mut();
        let (files, removed) = (inside.files.clone(), inside.removed.clone());
        let mut survived = BTreeMap::new();
        for (name, mut file) in files.into_iter().chain(removed) {
            if !file.linked && inside.lot().is_multiple_of(2) || survived.contains_key(&name) {
                continue;
            }
            let sure = file.synced.min(file.doubtful.unwrap_or(usize::MAX));
            let end = sure + inside.up_to(file.bytes.len() - sure);
            file.bytes.truncate(end);
            for sector in file.bytes[sure..].chunks_mut(SECTOR) {
                if inside.lot().is_multiple_of(4) {
                    sector.fill(0);
                }
            }
            survived.insert(name, File { synced: end, doubtful: None, linked: true, bytes: file.bytes });
        }
        let random = inside.lot();
        Memory(Rc::new(RefCell::new(Inside { files: survived, random, ..Inside::default() })))
    }

    /// Changes one byte of a file by these bits; false if it is not there.
    pub fn flip(&self, name: &str, at: usize, bits: u8) -> bool {
        let mut inside = self.0.borrow_mut();
        let byte = inside.files.get_mut(name).and_then(|f| f.bytes.get_mut(at));
        byte.map(|byte| *byte ^= bits).is_some()
    }

    /// Cuts a file off at this byte.
    pub fn cut(&self, name: &str, at: usize) {
        if let Some(file) = self.0.borrow_mut().files.get_mut(name) {
            file.bytes.truncate(at);
            file.synced = file.synced.min(at);
        }
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for Memory {
    type File = Open;

    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.0.borrow().files.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Open> {
        let mut inside = self.0.borrow_mut();
        let share = inside.faults.folder;
        if inside.happens(share) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if inside.files.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        inside.files.insert(name.into(), File::default());
        Ok(Open { disk: self.clone(), name: name.into() })
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.borrow().files.get(name).map(|f| f.bytes.clone()).ok_or_else(missing)
    }

    fn size(&self, name: &str) -> io::Result<u64> {
        self.0.borrow().files.get(name).map(|f| f.bytes.len() as u64).ok_or_else(missing)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inside = self.0.borrow_mut();
        let file = inside.files.remove(name).ok_or_else(missing)?;
        inside.removed.insert(name.into(), file);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut inside = self.0.borrow_mut();
        let share = inside.faults.folder;
        if inside.happens(share) {
            return Err(io::Error::other("the folder was not synced"));
        }
        inside.removed.clear();
        inside.files.values_mut().for_each(|f| f.linked = true);
        Ok(())
    }
}

/// A file of a [`Memory`].
pub struct Open {
    disk: Memory,
    name: String,
}

impl Append for Open {
    fn append(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut inside = self.disk.0.borrow_mut();
        let Faults { short, write, .. } = inside.faults;
        let fails = inside.happens(write);
        let taken = if fails || inside.happens(short) { inside.up_to(bytes.len()) } else { bytes.len() };
        let file = inside.files.get_mut(&self.name).ok_or_else(missing)?;
        file.bytes.extend_from_slice(&bytes[..taken]);
        match fails {
            true if taken % 2 == 0 => Err(io::ErrorKind::StorageFull.into()),
            true => Err(io::Error::other("the device failed")),
            // A write that takes in nothing is no success.
            false => Ok(taken.max(usize::from(bytes.is_empty()))).and_then(|n| match n {
                0 => Err(io::ErrorKind::Interrupted.into()),
                n => Ok(n),
            }),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inside = self.disk.0.borrow_mut();
        let share = inside.faults.sync;
        let fails = inside.happens(share);
        let file = inside.files.get_mut(&self.name).ok_or_else(missing)?;
        if fails {
            file.doubtful.get_or_insert(file.synced);
            return Err(io::Error::other("the file was not synced"));
        }
        file.synced = file.bytes.len();
        Ok(())
    }
}
