//! Copies that differ become equal: whatever the channel loses, repeats and reorders, and in few bytes.

use bincode::config::standard;
use googletest::prelude::*;
use pinerelay_config_state::anti_entropy::{DigestEntry, SyncPart, REPLY_SIZE_LIMIT};
use pinerelay_config_state::digest_tree::KeyRange;
use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use proptest::prelude::*;

fn item(name: usize, revision: u64, size: usize) -> Item {
    let kind = if name.is_multiple_of(3) { Kind::Route } else { Kind::Tenant };
    let value = (!revision.is_multiple_of(5)).then(|| vec![revision as u8; size]);
    Item::with_revision(Key::new(kind, format!("n{name}")), revision, value)
}

fn copy(items: impl IntoIterator<Item = Item>) -> ItemSet {
    let mut item_set = ItemSet::default();
    item_set.merge_all(items);
    item_set
}

fn bytes<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, standard()).expect("bytes").len()
}

#[derive(Clone)]
enum Message {
    Digest(u64),
    Sync(Vec<Item>, Vec<SyncPart>),
}

/// What a replica replies; as in the processes, the exchange goes on only as long as items are new.
fn heard(item_set: &mut ItemSet, message: Message) -> Option<Message> {
    let parts = match message {
        Message::Digest(digest) if digest == item_set.digest() => return None,
        Message::Digest(_) => return Some(Message::Sync(Vec::new(), item_set.sync_request())),
        Message::Sync(items, parts) => {
            let stale = !items.is_empty();
            if item_set.merge_all(items).is_empty() && stale {
                return None;
            }
            parts
        }
    };
    let answer = item_set.sync_reply(&parts);
    (!answer.is_empty()).then_some(Message::Sync(answer.items, answer.parts))
}

/// Bytes that two copies say until they are equal, without items, and their longest message. `first` is what the first says
/// to the second's digest.
fn cost(left: &mut ItemSet, right: &mut ItemSet, first: Vec<SyncPart>) -> (usize, usize) {
    let (mut all, mut longest) = (bytes(&right.digest()), 0);
    let mut message = Some(Message::Sync(Vec::new(), first));
    let mut to_right = true;
    while let Some(Message::Sync(items, parts)) = message {
        all += bytes(&parts);
        longest = longest.max(bytes(&items) + bytes(&parts));
        message = heard(if to_right { right } else { left }, Message::Sync(items, parts));
        to_right = !to_right;
    }
    (all, longest)
}

/// Two copies of `n` items, each of which lacks what the other has changed: `k` in all, and how far a summary may go.
fn apart(n: usize, k: usize, seed: u64) -> (ItemSet, ItemSet, usize) {
    let whole = copy((0..n).map(|name| item(name, 1, 40)));
    let (mut left, mut right) = (whole.clone(), whole);
    for change in 0..k {
        let name = mix64(seed.wrapping_add(change as u64)) as usize % n;
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
        let mut random = seed;
        let mut next = |below: usize| {
            random = mix64(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
            random as usize % below
        };
        let mut copies = [ItemSet::default(), ItemSet::default()];
        let mut newest = ItemSet::default();
        let mut change = |copies: &mut [ItemSet; 2], next: &mut dyn FnMut(usize) -> usize| {
            let new = item(next(n + 1), next(50) as u64, size);
            newest.merge(new.clone());
            copies[next(2)].merge(new);
        };
        (0..n + changes).for_each(|_| change(&mut copies, &mut next));
        let mut way: Vec<(usize, Message)> = Vec::new();
        for step in 0..4_000 {
            let bad = step < 1_000;
            if step % 20 == 0 {
                let digests = [copies[0].digest(), copies[1].digest()];
                way.extend([(1, Message::Digest(digests[0])), (0, Message::Digest(digests[1]))]);
            }
            if bad && step % 10 == 0 {
                change(&mut copies, &mut next);
            }
            if way.is_empty() {
                continue;
            }
            let at = if bad { next(way.len()) } else { 0 };
            let (to, message) = if bad && next(5) == 0 { way[at].clone() } else { way.remove(at) };
            if !(bad && next(5) == 0) {
                way.extend(heard(&mut copies[to], message).map(|message| (1 - to, message)));
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
        let first = left.sync_request();
        let (all, longest) = cost(&mut left, &mut right, first);
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert!(all <= bound, "{all} bytes for {k} of {n}, {bound} allowed");
        prop_assert!(longest <= REPLY_SIZE_LIMIT + 4_096, "a message of {longest} bytes");
    }

    #[test]
    fn the_tree_is_that_of_the_items_whatever_came_and_went(
        steps in prop::collection::vec((0..400_usize, 0..9_u64, 0..3_u8), 0..900),
    ) {
        let mut item_set = ItemSet::default();
        for (name, revision, forget) in steps {
            let new = item(name, revision, 1);
            if forget == 0 { item_set.remove(&new.key) } else { item_set.merge(new); }
        }
        let again = copy(item_set.iter().cloned());
        prop_assert_eq!(reported(&item_set), reported(&again));
        let digests = item_set.range_digests();
        prop_assert_eq!(digests.iter().fold(0, |sum: u64, d| sum.wrapping_add(*d)), item_set.digest());
        for (n, digest) in digests.into_iter().enumerate() {
            let of_range = item_set.items_in_range(n);
            prop_assert!(of_range.iter().all(|item| (item.key.key_hash() >> 56) as usize == n));
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
        let item_set = copy((0..300).map(|name| item(name, 1, 1)));
        let written = match kind {
            0 => bincode::encode_to_vec((kind, (first, depth), from, &sums), standard()),
            1 => bincode::encode_to_vec((kind, (first, depth), &lines), standard()),
            _ => bincode::encode_to_vec((kind, &sums), standard()),
        };
        let (part, _) = bincode::decode_from_slice::<SyncPart, _>(&written.expect("bytes"), standard()).expect("a part");
        let answer = item_set.sync_reply(&[part, SyncPart::request_all()]);
        prop_assert!(answer.items.len() >= 300 || !answer.parts.is_empty());
        let config = standard().with_limit::<4_096>();
        if let Ok((parts, _)) = bincode::decode_from_slice::<Vec<SyncPart>, _>(&noise, config) {
            item_set.sync_reply(&parts);
        }
    }
}

/// All that a copy tells one to whom every range differs.
fn reported(item_set: &ItemSet) -> Vec<SyncPart> {
    let (mut all, mut open) = (Vec::new(), item_set.sync_request());
    while let Some(part) = open.pop() {
        if let SyncPart::Digests { range, first_child: from, digests: sums } = &part {
            let odd = sums.iter().map(|sum| (!sum).max(1)).collect();
            open.extend(
                item_set
                    .sync_reply(&[SyncPart::Digests { range: *range, first_child: *from, digests: odd }])
                    .parts,
            );
        }
        all.push(part);
    }
    all
}

#[gtest]
fn a_first_message_that_lists_every_entry_is_over_the_bound() {
    let (left, right, bound) = apart(5_000, 5, 1);
    let entry = |item: &Item| DigestEntry { key_hash: item.key.key_hash(), version: item.version };
    let entries = left.iter().map(entry).collect();
    let listed = vec![SyncPart::Entries { range: KeyRange::ALL, entries }];
    let all = |first| cost(&mut left.clone(), &mut right.clone(), first).0;
    expect_that!(all(listed), gt(bound));
    expect_that!(all(left.sync_request()), le(bound));
}

#[gtest]
fn an_item_longer_than_a_piece_comes_and_nothing_is_said_twice() {
    let (mut left, mut right) =
        (copy((0..60).map(|name| item(name, 1, 3 * REPLY_SIZE_LIMIT))), ItemSet::default());
    let mut came = 0;
    let mut parts = vec![SyncPart::request_all()];
    for _ in 0..200 {
        let answer = left.sync_reply(&parts);
        came += answer.items.len();
        right.merge_all(answer.items);
        let back = right.sync_reply(&answer.parts);
        assert_that!(left.merge_all(back.items), is_empty());
        parts = back.parts;
    }
    expect_that!(right == left, eq(true));
    expect_that!(came, eq(60));
}
