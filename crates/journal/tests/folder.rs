//! The journal on the file system.

use std::io::ErrorKind;
use std::path::PathBuf;

use pinerelay_journal::{Folder, Journal, Limits};

const LIMITS: Limits = Limits { segment: 4_000, bytes: 1 << 20 };

/// A folder of this test's own, removed with it.
struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let path = std::env::temp_dir().join(format!("pinerelay-journal-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Place(path)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn what_was_committed_is_there_when_it_is_opened_again() {
    let place = Place::new("again");
    for round in 0..3_u64 {
        let folder = Folder::open(&place.0).expect("a folder");
        let (mut journal, found) = Journal::open(folder, LIMITS).expect("a journal");
        assert_eq!((found.next, found.damage.len(), found.tail), (round * 100 + 1, 0, 0));
        for number in 0..100_u64 {
            journal.append(&[number as u8; 64]).expect("room");
        }
        assert_eq!(journal.commit().expect("a disk"), round * 100 + 100);
        // Not committed, so not there.
        journal.append(b"lost").expect("room");
    }
    let (journal, found) =
        Journal::open(Folder::open(&place.0).expect("a folder"), LIMITS).expect("a journal");
    assert_eq!(found.next, 301);
    let some = journal.read(150, 1_000).expect("a disk");
    assert_eq!((some[0].0, &some[0].1[..]), (150, &[49_u8; 64][..]));
}

#[test]
fn two_writers_are_kept_apart() {
    let place = Place::new("two");
    let first = Folder::open(&place.0).expect("a folder");
    let second = Folder::open(&place.0).err().expect("it is held");
    assert_eq!(second.kind(), ErrorKind::WouldBlock);
    assert!(second.to_string().contains("another process"), "{second}");
    drop(first);
    assert!(Folder::open(&place.0).is_ok());
}
