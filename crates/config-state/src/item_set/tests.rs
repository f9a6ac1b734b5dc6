//! Replicas converge to the same items, whatever the order of arrival.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

fn items() -> impl Strategy<Value = Vec<Item>> {
    let fields = (0..6_u8, 0..5_u64, proptest::option::of(0..3_u8));
    proptest::collection::vec(fields, 0..40).prop_map(|list| {
        let item = |(name, revision, value): (u8, u64, Option<u8>)| {
            let kind = if name % 2 == 0 { Kind::Route } else { Kind::Tenant };
            Item::with_revision(Key::new(kind, format!("n{name}")), revision, value.map(|byte| vec![byte]))
        };
        list.into_iter().map(item).collect()
    })
}

proptest! {
    #[test]
    fn replicas_converge_to_the_newest_versions_in_any_order(mut all in items(), other in items()) {
        let replica = |items: &[Item]| {
            let mut item_set = ItemSet::default();
            item_set.merge_all(items.iter().cloned());
            item_set
        };
        let first = replica(&all);
        all.reverse();
        let repeated: Vec<Item> = all.iter().chain(&all).cloned().collect();
        let second = replica(&repeated);
        prop_assert_eq!(first.digest(), second.digest());
        prop_assert!(first.iter().eq(second.iter()));
        // Anti-entropy makes replicas with different digests equal, and neither loses a newer version.
        let (mut left, mut right) = (first, replica(&other));
        let mut parts = if left.digest() == right.digest() { Vec::new() } else { left.sync_request() };
        while !parts.is_empty() {
            let reply = right.sync_reply(&parts);
            left.merge_all(reply.items);
            parts = reply.parts;
            std::mem::swap(&mut left, &mut right);
        }
        prop_assert_eq!(left.digest(), right.digest());
        prop_assert!(left.iter().eq(right.iter()));
        let newest = |key: &Key| all.iter().chain(&other).filter(|i| i.key == *key).map(|i| i.version).max();
        prop_assert!(left.iter().all(|item| Some(item.version) == newest(&item.key)));
    }
}

#[gtest]
fn a_removed_item_stays_removed_until_a_higher_revision() {
    let mut item_set = ItemSet::default();
    let key = Key::new(Kind::Route, "r");
    let item =
        |revision, value: Option<&[u8]>| Item::with_revision(key.clone(), revision, value.map(Into::into));
    assert_that!(item_set.merge(item(5, Some(b"a"))), eq(true));
    assert_that!(item_set.merge(item(7, None)), eq(true));
    expect_that!(item_set.merge(item(6, Some(b"b"))), eq(false));
    expect_that!(item_set.live(Kind::Route).count(), eq(0));
    expect_that!(item_set.merge(item(8, Some(b"b"))), eq(true));
    expect_that!(item_set.live(Kind::Route).collect::<Vec<_>>(), elements_are![eq(&("r", &b"b"[..]))]);
    item_set.remove(&key);
    expect_that!(item_set.digest(), eq(0));
}
