//! Replicas that differ become equal over a channel that loses, repeats and reorders messages, and exchange few bytes.

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

fn replica(items: impl IntoIterator<Item = Item>) -> ItemSet {
    let mut item_set = ItemSet::default();
    item_set.merge_all(items);
    item_set
}

/// The size of an encoded value, in bytes.
fn encoded_len<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, standard()).expect("an encoded value").len()
}

#[derive(Clone)]
enum Message {
    Digest(u64),
    Sync(Vec<Item>, Vec<SyncPart>),
}

/// A replica's reply to a message. As in production, the exchange ends once a message brings items and none of them is new.
fn handle(item_set: &mut ItemSet, message: Message) -> Option<Message> {
    let parts = match message {
        Message::Digest(digest) if digest == item_set.digest() => return None,
        Message::Digest(_) => return Some(Message::Sync(Vec::new(), item_set.sync_request())),
        Message::Sync(items, parts) => {
            let has_items = !items.is_empty();
            if item_set.merge_all(items).is_empty() && has_items {
                return None;
            }
            parts
        }
    };
    let reply = item_set.sync_reply(&parts);
    (!reply.is_empty()).then_some(Message::Sync(reply.items, reply.parts))
}

/// The bytes that two replicas exchange until they are equal, without items, and the size of the longest message. `request`
/// is the left replica's answer to the right one's digest.
fn exchange_cost(left: &mut ItemSet, right: &mut ItemSet, request: Vec<SyncPart>) -> (usize, usize) {
    let (mut total, mut longest) = (encoded_len(&right.digest()), 0);
    let mut message = Some(Message::Sync(Vec::new(), request));
    let mut to_right = true;
    while let Some(Message::Sync(items, parts)) = message {
        total += encoded_len(&parts);
        longest = longest.max(encoded_len(&items) + encoded_len(&parts));
        message = handle(if to_right { right } else { left }, Message::Sync(items, parts));
        to_right = !to_right;
    }
    (total, longest)
}

/// Two replicas of `item_count` items that have diverged by `change_count` changes, alternately on either side, and the
/// maximum number of bytes that they may exchange besides items.
fn diverged_replicas(item_count: usize, change_count: usize, seed: u64) -> (ItemSet, ItemSet, usize) {
    let common = replica((0..item_count).map(|name| item(name, 1, 40)));
    let (mut left, mut right) = (common.clone(), common);
    for change in 0..change_count {
        let name = mix64(seed.wrapping_add(change as u64)) as usize % item_count;
        if change % 2 == 0 { &mut left } else { &mut right }.merge(item(name, 2 + change as u64 % 3, 40));
    }
    let tree_depth = (item_count.max(16) as f64).log(16.0).ceil() as usize;
    (left, right, 400 * (1 + change_count * tree_depth))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn replicas_converge_over_a_channel_that_loses_repeats_and_reorders(
        seed: u64, item_count in 0..900_usize, changes in 0..300_usize, size in 1..600_usize,
    ) {
        let mut random = seed;
        let mut next = |below: usize| {
            random = mix64(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
            random as usize % below
        };
        let mut replicas = [ItemSet::default(), ItemSet::default()];
        let mut newest = ItemSet::default();
        let mut change = |replicas: &mut [ItemSet; 2], next: &mut dyn FnMut(usize) -> usize| {
            let new = item(next(item_count + 1), next(50) as u64, size);
            newest.merge(new.clone());
            replicas[next(2)].merge(new);
        };
        (0..item_count + changes).for_each(|_| change(&mut replicas, &mut next));
        let mut in_flight: Vec<(usize, Message)> = Vec::new();
        for step in 0..4_000 {
            let is_unreliable = step < 1_000;
            if step % 20 == 0 {
                let digests = [replicas[0].digest(), replicas[1].digest()];
                in_flight.extend([(1, Message::Digest(digests[0])), (0, Message::Digest(digests[1]))]);
            }
            if is_unreliable && step % 10 == 0 {
                change(&mut replicas, &mut next);
            }
            if in_flight.is_empty() {
                continue;
            }
            let index = if is_unreliable { next(in_flight.len()) } else { 0 };
            let (receiver, message) =
                if is_unreliable && next(5) == 0 { in_flight[index].clone() } else { in_flight.remove(index) };
            if !(is_unreliable && next(5) == 0) {
                in_flight.extend(handle(&mut replicas[receiver], message).map(|reply| (1 - receiver, reply)));
            }
            // Drops the newest messages, so that old ones are still delivered.
            in_flight.truncate(200);
        }
        prop_assert_eq!(replicas[0].digest(), replicas[1].digest());
        prop_assert!(replicas[0] == newest && replicas[1] == newest);
    }

    #[test]
    fn differences_are_found_in_few_bytes(
        seed: u64, item_count in 1..6_000_usize, change_count in 0..200_usize,
    ) {
        let (mut left, mut right, bound) = diverged_replicas(item_count, change_count, seed);
        let request = left.sync_request();
        let (total, longest) = exchange_cost(&mut left, &mut right, request);
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert!(
            total <= bound,
            "{total} bytes for {change_count} changes of {item_count} items, {bound} allowed"
        );
        prop_assert!(longest <= REPLY_SIZE_LIMIT + 4_096, "a message of {longest} bytes");
    }

    #[test]
    fn the_tree_depends_on_the_current_items_alone(
        steps in prop::collection::vec((0..400_usize, 0..9_u64, 0..3_u8), 0..900),
    ) {
        let mut item_set = ItemSet::default();
        for (name, revision, action) in steps {
            let new = item(name, revision, 1);
            if action == 0 { item_set.remove(&new.key) } else { item_set.merge(new); }
        }
        let rebuilt = replica(item_set.iter().cloned());
        prop_assert_eq!(full_description(&item_set), full_description(&rebuilt));
        let digests = item_set.range_digests();
        prop_assert_eq!(digests.iter().fold(0, |sum: u64, d| sum.wrapping_add(*d)), item_set.digest());
        for (index, digest) in digests.into_iter().enumerate() {
            let of_range = item_set.items_in_range(index);
            prop_assert!(of_range.iter().all(|item| (item.key.key_hash() >> 56) as usize == index));
            prop_assert_eq!(replica(of_range.into_iter().cloned()).digest(), digest);
        }
    }

    #[test]
    fn arbitrary_parts_cause_no_panic(
        arbitrary_bytes: Vec<u8>,
        depth: u8, first: u64, child_index: u8,
        hashes in prop::collection::vec(0..3_u64, 0..40),
        entry_fields in prop::collection::vec((any::<u64>(), 0..3_u64, 0..3_u64), 0..40),
        variant in 0..3_u32,
    ) {
        let item_set = replica((0..300).map(|name| item(name, 1, 1)));
        let encoded = match variant {
            0 => bincode::encode_to_vec((variant, (first, depth), child_index, &hashes), standard()),
            1 => bincode::encode_to_vec((variant, (first, depth), &entry_fields), standard()),
            _ => bincode::encode_to_vec((variant, &hashes), standard()),
        };
        let (part, _) = bincode::decode_from_slice::<SyncPart, _>(&encoded.expect("a part"), standard()).expect("a part");
        let reply = item_set.sync_reply(&[part, SyncPart::request_all()]);
        prop_assert!(reply.items.len() >= 300 || !reply.parts.is_empty());
        let config = standard().with_limit::<4_096>();
        if let Ok((parts, _)) = bincode::decode_from_slice::<Vec<SyncPart>, _>(&arbitrary_bytes, config) {
            item_set.sync_reply(&parts);
        }
    }
}

/// All parts that a replica sends to one whose digests differ in every range.
fn full_description(item_set: &ItemSet) -> Vec<SyncPart> {
    let (mut all, mut pending) = (Vec::new(), item_set.sync_request());
    while let Some(part) = pending.pop() {
        if let SyncPart::Digests { range, first_child: child, digests: own } = &part {
            let altered = own.iter().map(|digest| (!digest).max(1)).collect();
            pending.extend(
                item_set
                    .sync_reply(&[SyncPart::Digests { range: *range, first_child: *child, digests: altered }])
                    .parts,
            );
        }
        all.push(part);
    }
    all
}

/// The bound on bytes is strict enough to fail for a replica that lists all entries instead of descending by digests.
#[gtest]
fn a_request_that_lists_every_entry_exceeds_the_bound() {
    let (left, right, bound) = diverged_replicas(5_000, 5, 1);
    let entry = |item: &Item| DigestEntry { key_hash: item.key.key_hash(), version: item.version };
    let entries = left.iter().map(entry).collect();
    let all_entries = vec![SyncPart::Entries { range: KeyRange::ALL, entries }];
    let cost = |request| exchange_cost(&mut left.clone(), &mut right.clone(), request).0;
    expect_that!(cost(all_entries), gt(bound));
    expect_that!(cost(left.sync_request()), le(bound));
}

#[gtest]
fn items_longer_than_a_reply_are_each_sent_once() {
    let (mut left, mut right) =
        (replica((0..60).map(|name| item(name, 1, 3 * REPLY_SIZE_LIMIT))), ItemSet::default());
    let mut received = 0;
    let mut parts = vec![SyncPart::request_all()];
    for _ in 0..200 {
        let reply = left.sync_reply(&parts);
        received += reply.items.len();
        right.merge_all(reply.items);
        let response = right.sync_reply(&reply.parts);
        assert_that!(left.merge_all(response.items), is_empty());
        parts = response.parts;
    }
    expect_that!(right == left, eq(true));
    expect_that!(received, eq(60));
}
