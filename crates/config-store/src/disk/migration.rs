//! Migration of databases with the first release's schema.

use pinerelay_consensus::{Ballot, Batch, Membership, StateChange};
use rusqlite::{Connection, OptionalExtension, Row};

use super::column::{decode_column, from_sql};

/// How far the rounds that a store with the first schema has promised may exceed the accepted round in its database.
const FIRST_SCHEMA_PROMISES: u64 = 1_000;

/// Reads the state of the first schema, which had neither epochs nor incarnations; `None` if there is none or if it was
/// migrated before. Processes of that release cannot take part any more: they speak another protocol.
pub(super) fn read_first_schema(connection: &Connection) -> rusqlite::Result<Option<StateChange>> {
    let needs_migration =
        "SELECT 1 FROM sqlite_master WHERE name = 'vote' AND NOT EXISTS (SELECT 1 FROM voter)";
    if connection.query_row(needs_migration, [], |_| Ok(())).optional()?.is_none() {
        return Ok(None);
    }
    let state = connection.query_row("SELECT voters, turn, node, pending FROM vote", [], read_vote);
    Ok(state.optional()?.flatten())
}

/// Reads the row with the acceptor's state; `None` if it lists no voters.
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
