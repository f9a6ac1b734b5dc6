//! Histories of appending, committing, acknowledging, faults and crashes on a disk that loses what real ones lose.

use std::collections::BTreeMap;

use pinerelay_journal::faulty::{Faults, Memory};
use pinerelay_journal::{Damage, Disk, Error, Found, Journal, Limits};

const LIMITS: Limits = Limits { segment: 700, bytes: 6_000 };
/// A journal that is soon full.
const TIGHT: Limits = Limits { segment: 300, bytes: 1_500 };

/// A small generator of numbers for a history.
struct Lots(u64);

impl Lots {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % most
    }
}

fn body(seed: u64, number: u64) -> Vec<u8> {
    let length = (number * 37 + seed) % 90;
    (0..length).map(|i| (number * 31 + i * 7 + seed) as u8).collect()
}

/// All durable records from `from` on, in order.
fn all(journal: &Journal<Memory>, from: u64) -> Vec<(u64, Vec<u8>)> {
    let (mut out, mut next) = (Vec::new(), from);
    loop {
        let some = journal.read(next, 200).expect("a disk that reads");
        let Some(&(last, _)) = some.last() else { return out };
        next = last + 1;
        out.extend(some);
    }
}

/// What the journal was told and what it said before a crash.
#[derive(Default)]
struct Told {
    /// What was last appended under each number. A number that was lost is given to another record.
    bodies: BTreeMap<u64, Vec<u8>>,
    durable: u64,
    /// Up to where an acknowledgement was asked for, and up to where it was made good.
    asked: u64,
    sure: u64,
}

/// What has to be there: after a crash at any moment, all that was durable and is not acknowledged, each as it was.
fn check(seed: u64, journal: &Journal<Memory>, found: &Found, told: &Told) {
    let &Told { durable, asked, sure: was_sure, .. } = told;
    assert!(found.damage.is_empty(), "seed {seed}: a crash is no damage: {:?}", found.damage);
    assert!(found.next > durable, "seed {seed}: {durable} were durable, the next would be {}", found.next);
    assert!(found.acknowledged >= was_sure, "seed {seed}: {was_sure} were acknowledged for good");
    assert!(
        found.acknowledged <= asked,
        "seed {seed}: {} acknowledged, {asked} asked for",
        found.acknowledged
    );
    let records = all(journal, found.acknowledged + 1);
    let numbers: Vec<u64> = records.iter().map(|r| r.0).collect();
    let wanted: Vec<u64> = (found.acknowledged + 1..found.next).collect();
    assert_eq!(numbers, wanted, "seed {seed}: a whole run without gaps");
    for (number, found) in records {
        assert_eq!(Some(&found), told.bodies.get(&number), "seed {seed}: record {number}");
    }
}

#[test]
fn ten_thousand_histories_lose_nothing_that_was_durable() {
    let (mut crashes, mut failures, mut full) = (0, 0, 0);
    for seed in 0..10_000 {
        let mut lots = Lots(seed);
        let mut disk = Memory::new(seed);
        let hard = seed % 3 > 0;
        let faults = Faults { short: 0.2, write: 0.1, sync: 0.1, folder: 0.05 };
        disk.set(if hard { faults } else { Faults::default() });
        let (mut journal, _) = Journal::open(disk.clone(), TIGHT).expect("an empty disk");
        let mut told = Told::default();
        for step in 0..60 {
            match lots.below(10) {
                0..=4 => {
                    let number = journal.state().next;
                    let body = body(seed + step, number);
                    match journal.append(&body) {
                        Ok(given) => assert_eq!(given, number),
                        Err(Error::Full { .. }) => full += 1,
                        Err(error) => panic!("seed {seed}: {error}"),
                    }
                    if journal.state().next > number {
                        told.bodies.insert(number, body);
                    }
                }
                5..=7 => {
                    let wanted = journal.state().next - 1;
                    match journal.commit() {
                        Ok(durable) => {
                            assert_eq!(durable, wanted, "seed {seed}");
                            told.sure = journal.state().acknowledged;
                        }
                        Err(_) => failures += 1,
                    }
                }
                8 => {
                    let durable = journal.state().durable;
                    let number = told.sure + lots.below(durable - told.sure + 1);
                    journal.acknowledge(number).expect("it is durable");
                    told.asked = told.asked.max(number);
                    assert!(journal.acknowledge(durable + 1).is_err(), "seed {seed}: what is not durable");
                }
                _ => {
                    told.durable = journal.state().durable;
                    disk = disk.crashed();
                    disk.set(if hard { faults } else { Faults::default() });
                    crashes += 1;
                    let (next, found) = Journal::open(disk.clone(), TIGHT).expect("a disk that reads");
                    journal = next;
                    check(seed, &journal, &found, &told);
                    (told.asked, told.sure) = (told.asked.max(found.acknowledged), found.acknowledged);
                }
            }
        }
    }
    assert!(crashes > 50_000 && failures > 15_000 && full > 1_000, "{crashes}, {failures}, {full}");
}

/// Three segments of committed records, and how many there are.
fn filled(seed: u64) -> (Memory, u64) {
    let disk = Memory::new(seed);
    let (mut journal, _) = Journal::open(disk.clone(), LIMITS).expect("an empty disk");
    for number in 1..=24 {
        journal.append(&body(seed, number)).expect("room");
        if number % 3 == 0 {
            journal.commit().expect("no fault");
        }
    }
    (disk, 24)
}

#[test]
fn any_flipped_byte_is_found_and_nothing_false_is_read() {
    let (disk, count) = filled(5);
    let names = disk.names().expect("names");
    assert!(names.len() >= 3, "{names:?}");
    for name in &names {
        for at in 0..disk.size(name).expect("a size") as usize {
            let (disk, _) = filled(5);
            assert!(disk.flip(name, at, 0x41));
            let (journal, found) = Journal::open(disk, LIMITS).expect("a disk that reads");
            let records = all(&journal, 1);
            records.iter().for_each(|(n, b)| assert_eq!(*b, body(5, *n), "{name} {at}: record {n}"));
            let missed = count as usize - records.len();
            let told: u64 = found
                .damage
                .iter()
                .map(|d| match d {
                    Damage::Missing { from, to } => to - from + 1,
                    Damage::Unreadable { .. } => 0,
                })
                .sum();
            let behind = (count + 1).saturating_sub(found.next);
            assert_eq!(missed as u64, told + behind, "{name} {at}: {found:?}");
            let said = !found.damage.is_empty()
                || found.tail > 0
                || found.segments.iter().any(|s| s.records.is_none());
            assert!(missed == 0 || said, "{name} {at}: {missed} records passed over in silence");
        }
    }
}

#[test]
fn whatever_is_cut_off_a_run_from_the_first_on_is_left() {
    let (disk, _) = filled(8);
    let last = disk.names().expect("names").pop().expect("a segment");
    for at in 0..disk.size(&last).expect("a size") as usize {
        let (disk, count) = filled(8);
        disk.cut(&last, at);
        let (mut journal, found) = Journal::open(disk, LIMITS).expect("a disk that reads");
        assert!(found.damage.is_empty(), "{at}: {:?}", found.damage);
        let numbers: Vec<u64> = all(&journal, 1).iter().map(|r| r.0).collect();
        assert_eq!(numbers, (1..found.next).collect::<Vec<_>>(), "cut at {at}");
        assert!(found.next <= count + 1);
        // It goes on from there.
        assert_eq!(journal.append(b"next").expect("room"), found.next);
        assert_eq!(journal.commit().expect("no fault"), found.next);
        assert_eq!(all(&journal, found.next), [(found.next, b"next".to_vec())]);
    }
}

#[test]
fn what_is_acknowledged_makes_room_and_a_full_journal_says_so() {
    let disk = Memory::new(1);
    let (mut journal, _) = Journal::open(disk.clone(), LIMITS).expect("an empty disk");
    let mut number = 0;
    let full = loop {
        match journal.append(&[7; 60]) {
            Ok(given) => number = given,
            Err(error) => break error,
        }
        journal.commit().expect("no fault");
    };
    assert!(matches!(full, Error::Full { bound: 6_000, .. }), "{full}");
    assert!(journal.state().bytes <= LIMITS.bytes);
    let before = journal.state().segments;
    journal.acknowledge(number - 1).expect("durable");
    journal.commit().expect("room for an acknowledgement is kept");
    assert!(journal.state().segments < before);
    journal.append(&[8; 60]).expect("there is room again");
    journal.commit().expect("no fault");
    // The acknowledgement outlives the segments that went.
    let (_, found) = Journal::open(disk.crashed(), LIMITS).expect("a disk that reads");
    assert_eq!((found.acknowledged, found.next), (number - 1, number + 2));
}
