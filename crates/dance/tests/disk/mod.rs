//! A store's disk in the tests: what it holds once a change is on it.

use pinerelay_cells::Cells;
use pinerelay_dance::voter::{Change, Kept};

/// Puts a change on the disk.
pub fn apply(disk: &mut Option<Kept>, change: &Change) {
    let kept = disk.get_or_insert_default();
    if let Some(voters) = &change.voters {
        kept.voters.clone_from(voters);
    }
    if let Some((at, pending)) = &change.put {
        (kept.at, kept.pending) = (*at, pending.clone());
    }
    let mut cells = Cells::default();
    cells.merge_all(kept.cells.iter().chain(&change.settled).cloned());
    kept.cells = cells.all().cloned().collect();
}
