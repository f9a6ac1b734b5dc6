//! Copies that differ become equal: whatever the channel loses, repeats and reorders, and in few bytes.

use bincode::config::standard;
use googletest::prelude::*;
use pinerelay_cells::hash::mix;
use pinerelay_cells::merkle::{Part, Range, PIECE};
use pinerelay_cells::{Cells, Item, Key, Kind};
use proptest::prelude::*;

fn item(name: usize, revision: u64, size: usize) -> Item {
    let kind = if name.is_multiple_of(3) { Kind::Route } else { Kind::Tenant };
    let value = (!revision.is_multiple_of(5)).then(|| vec![revision as u8; size]);
    Item::sourced(Key::new(kind, format!("n{name}")), revision, value)
}

fn copy(items: impl IntoIterator<Item = Item>) -> Cells {
    let mut cells = Cells::default();
    cells.merge_all(items);
    cells
}

fn bytes<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, standard()).expect("bytes").len()
}

#[derive(Clone)]
enum Word {
    Digest(u64),
    Mend(Vec<Item>, Vec<Part>),
}

/// What one copy says to a word; as the processes do, it goes on only as long as what comes is news.
fn heard(cells: &mut Cells, word: Word) -> Option<Word> {
    let parts = match word {
        Word::Digest(digest) if digest == cells.digest() => return None,
        Word::Digest(_) => return Some(Word::Mend(Vec::new(), cells.compare())),
        Word::Mend(items, parts) => {
            let stale = !items.is_empty();
            if cells.merge_all(items).is_empty() && stale {
                return None;
            }
            parts
        }
    };
    let answer = cells.answer(&parts);
    (!answer.is_empty()).then_some(Word::Mend(answer.items, answer.parts))
}

/// Bytes that two copies say until they are equal, without items, and their longest message. `first` is what the first says
/// to the second's digest.
fn cost(left: &mut Cells, right: &mut Cells, first: Vec<Part>) -> (usize, usize) {
    let (mut all, mut longest) = (bytes(&right.digest()), 0);
    let mut word = Some(Word::Mend(Vec::new(), first));
    let mut to_right = true;
    while let Some(Word::Mend(items, parts)) = word {
        all += bytes(&parts);
        longest = longest.max(bytes(&items) + bytes(&parts));
        word = heard(if to_right { right } else { left }, Word::Mend(items, parts));
        to_right = !to_right;
    }
    (all, longest)
}

/// Two copies of `n` items, each of which lacks what the other has changed: `k` in all, and how far a summary may go.
fn apart(n: usize, k: usize, seed: u64) -> (Cells, Cells, usize) {
    let whole = copy((0..n).map(|name| item(name, 1, 40)));
    let (mut left, mut right) = (whole.clone(), whole);
    for change in 0..k {
        let name = mix(seed.wrapping_add(change as u64)) as usize % n;
        if change % 2 == 0 { &mut left } else { &mut right }.merge(item(name, 2 + change as u64 % 3, 40));
    }
    let deep = (n.max(16) as f64).log(16.0).ceil() as usize;
    (left, right, 400 * (1 + k * deep))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn copies_become_equal_over_a_channel_that_loses_repeats_and_reorders(
        seed: u64, n in 0..900_usize, changes in 0..300_usize, size in 1..600_usize,
    ) {
        let mut lot = seed;
        let mut next = |below: usize| {
            lot = mix(lot.wrapping_add(0x9e37_79b9_7f4a_7c15));
            lot as usize % below
        };
        let mut copies = [Cells::default(), Cells::default()];
        let mut newest = Cells::default();
        let mut change = |copies: &mut [Cells; 2], next: &mut dyn FnMut(usize) -> usize| {
            let new = item(next(n + 1), next(50) as u64, size);
            newest.merge(new.clone());
            copies[next(2)].merge(new);
        };
        (0..n + changes).for_each(|_| change(&mut copies, &mut next));
        let mut way: Vec<(usize, Word)> = Vec::new();
        for step in 0..4_000 {
            let bad = step < 1_000;
            if step % 20 == 0 {
                let digests = [copies[0].digest(), copies[1].digest()];
                way.extend([(1, Word::Digest(digests[0])), (0, Word::Digest(digests[1]))]);
            }
            if bad && step % 10 == 0 {
                change(&mut copies, &mut next);
            }
            if way.is_empty() {
                continue;
            }
            let at = if bad { next(way.len()) } else { 0 };
            let (to, word) = if bad && next(5) == 0 { way[at].clone() } else { way.remove(at) };
            if !(bad && next(5) == 0) {
                way.extend(heard(&mut copies[to], word).map(|word| (1 - to, word)));
            }
            // What was said long ago comes at last, too.
            way.truncate(200);
        }
        prop_assert_eq!(copies[0].digest(), copies[1].digest());
        prop_assert!(copies[0] == newest && copies[1] == newest);
    }

    #[test]
    fn what_differs_is_found_in_few_bytes(seed: u64, n in 1..6_000_usize, k in 0..200_usize) {
        let (mut left, mut right, bound) = apart(n, k, seed);
        let first = left.compare();
        let (all, longest) = cost(&mut left, &mut right, first);
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert!(all <= bound, "{all} bytes for {k} of {n}, {bound} allowed");
        prop_assert!(longest <= PIECE + 4_096, "a message of {longest} bytes");
    }

    #[test]
    fn the_tree_is_that_of_the_items_whatever_came_and_went(
        steps in prop::collection::vec((0..400_usize, 0..9_u64, 0..3_u8), 0..900),
    ) {
        let mut cells = Cells::default();
        for (name, revision, forget) in steps {
            let new = item(name, revision, 1);
            if forget == 0 { cells.forget(&new.key) } else { cells.merge(new); }
        }
        let again = copy(cells.all().cloned());
        prop_assert_eq!(told(&cells), told(&again));
        let digests = cells.digests();
        prop_assert_eq!(digests.iter().fold(0, |sum: u64, d| sum.wrapping_add(*d)), cells.digest());
        for (n, digest) in digests.into_iter().enumerate() {
            let of_range = cells.of_range(n);
            prop_assert!(of_range.iter().all(|item| (item.key.number() >> 56) as usize == n));
            prop_assert_eq!(copy(of_range.into_iter().cloned()).digest(), digest);
        }
    }

    #[test]
    fn no_parts_make_it_panic(
        noise: Vec<u8>,
        depth: u8, first: u64, from: u8,
        sums in prop::collection::vec(0..3_u64, 0..40),
        lines in prop::collection::vec((any::<u64>(), 0..3_u64, 0..3_u64), 0..40),
        kind in 0..3_u32,
    ) {
        let cells = copy((0..300).map(|name| item(name, 1, 1)));
        let written = match kind {
            0 => bincode::encode_to_vec((kind, (first, depth), from, &sums), standard()),
            1 => bincode::encode_to_vec((kind, (first, depth), &lines), standard()),
            _ => bincode::encode_to_vec((kind, &sums), standard()),
        };
        let (part, _) = bincode::decode_from_slice::<Part, _>(&written.expect("bytes"), standard()).expect("a part");
        let answer = cells.answer(&[part, Part::nothing()]);
        prop_assert!(answer.items.len() >= 300 || !answer.parts.is_empty());
        let config = standard().with_limit::<4_096>();
        if let Ok((parts, _)) = bincode::decode_from_slice::<Vec<Part>, _>(&noise, config) {
            cells.answer(&parts);
        }
    }
}

/// All that a copy tells one to whom every range differs.
fn told(cells: &Cells) -> Vec<Part> {
    let (mut all, mut open) = (Vec::new(), cells.compare());
    while let Some(part) = open.pop() {
        if let Part::Digests { range, from, sums } = &part {
            let odd = sums.iter().map(|sum| (!sum).max(1)).collect();
            open.extend(cells.answer(&[Part::Digests { range: *range, from: *from, sums: odd }]).parts);
        }
        all.push(part);
    }
    all
}

#[gtest]
fn a_first_word_that_lists_every_line_is_over_the_bound() {
    let (left, right, bound) = apart(5_000, 5, 1);
    let lines = left.all().map(|item| (item.key.number(), item.version)).collect();
    let listed = vec![Part::Lines { range: Range::ALL, lines }];
    let all = |first| cost(&mut left.clone(), &mut right.clone(), first).0;
    expect_that!(all(listed), gt(bound));
    expect_that!(all(left.compare()), le(bound));
}

#[gtest]
fn an_item_longer_than_a_piece_comes_and_nothing_is_said_twice() {
    let (mut left, mut right) = (copy((0..60).map(|name| item(name, 1, 3 * PIECE))), Cells::default());
    let mut came = 0;
    let mut parts = vec![Part::nothing()];
    for _ in 0..200 {
        let answer = left.answer(&parts);
        came += answer.items.len();
        right.merge_all(answer.items);
        let back = right.answer(&answer.parts);
        assert_that!(left.merge_all(back.items), is_empty());
        parts = back.parts;
    }
    expect_that!(right == left, eq(true));
    expect_that!(came, eq(60));
}
