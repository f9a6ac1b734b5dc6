//! Digests of settled items by range of their keys' numbers: what two copies need to tell each other of a difference.

use pinerelay_cells::{hash, Cells, Item};

/// So many ranges. A turn says this many digests, and where a copy lacks an item, the items of its range.
pub const RANGES: usize = 128;

/// The range that an item is in.
fn range(item: &Item) -> usize {
    (hash::mix(item.key.number()) >> 57) as usize
}

/// The digest of each range.
pub fn ranges(cells: &Cells) -> Vec<u64> {
    let mut all = vec![0_u64; RANGES];
    for item in cells.all() {
        let version = hash::mix(item.version.0 ^ hash::mix(item.version.1));
        let sum = &mut all[range(item)];
        *sum = sum.wrapping_add(hash::mix(item.key.number() ^ version));
    }
    all
}

/// The items of the ranges in which `theirs` differs from what is here. Digests that are no such list differ in all.
pub fn differing<'a>(
    cells: &'a Cells,
    own: &'a [u64],
    theirs: &'a [u64],
) -> impl Iterator<Item = &'a Item> + 'a {
    let differs = move |n: usize| theirs.len() != RANGES || own.get(n) != theirs.get(n);
    let any = (0..RANGES).any(differs);
    cells.all().filter(move |item| any && differs(range(item)))
}
