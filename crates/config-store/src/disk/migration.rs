//! What a database of an earlier release holds.

use pinerelay_consensus::{Ballot, Batch, Membership, StateChange};
use rusqlite::{Connection, OptionalExtension, Row};

use super::column::{decode_column, from_sql};

/// Rounds that a store of the first schema may have promised beyond the one on its disk.
const FIRST_SCHEMA_PROMISES: u64 = 1_000;

/// The state that the first schema holds, which knew neither epochs nor incarnations, unless it was taken over before. No
/// process of that release runs any more: it had another protocol.
pub(super) fn first_schema(connection: &Connection) -> rusqlite::Result<Option<StateChange>> {
    let exists = "SELECT 1 FROM sqlite_master WHERE name = 'vote' AND NOT EXISTS (SELECT 1 FROM voter)";
    if connection.query_row(exists, [], |_| Ok(())).optional()?.is_none() {
        return Ok(None);
    }
    let state = connection.query_row("SELECT voters, turn, node, pending FROM vote", [], read_vote);
    Ok(state.optional()?.flatten())
}

/// Reads the row of the acceptor's state; `None` if it names no voters.
fn read_vote(row: &Row) -> rusqlite::Result<Option<StateChange>> {
    let voters: String = row.get(0)?;
    if voters.is_empty() {
        return Ok(None);
    }
    let accepted = Ballot::new(from_sql(row.get(1)?), from_sql(row.get(2)?));
    let pending: Option<Vec<u8>> = row.get(3)?;
    let items = pending.map(|bytes| decode_column(3, &bytes)).transpose()?;
    let pending = items.map(|items| Batch { items, membership: None });
    Ok(Some(StateChange {
        incarnation: Some(0),
        is_complete: true,
        membership: Some(Membership::first(voters.split(',').map(String::from))),
        promise_ceiling: Some(accepted.round + FIRST_SCHEMA_PROMISES),
        accepted: Some((accepted, pending)),
        committed: Vec::new(),
    }))
}
