//! Digests of settled items by range of their keys' numbers: what two copies need to tell each other of a difference.

use pinerelay_cells::{Cells, Item};

/// So many ranges. A turn says this many digests, and where a copy lacks an item, the items of its range.
pub const RANGES: usize = Cells::RANGES;

/// The digest of each range.
pub fn ranges(cells: &Cells) -> Vec<u64> {
    cells.digests()
}

/// The items of the ranges in which `theirs` differs from what is here. Digests that are no such list differ in all.
pub fn differing<'a>(
    cells: &'a Cells,
    own: &'a [u64],
    theirs: &'a [u64],
) -> impl Iterator<Item = &'a Item> + 'a {
    let differs = move |n: &usize| theirs.len() != RANGES || own.get(*n) != theirs.get(*n);
    (0..RANGES).filter(differs).flat_map(|n| cells.of_range(n))
}
