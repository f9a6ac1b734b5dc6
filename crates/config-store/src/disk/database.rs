//! The schema and the SQL statements. Tables and columns keep their names from the first release.

use std::path::Path;

use pinerelay_config_state::{Item, Key, Kind, Version};
use pinerelay_consensus::{Ballot, PersistentState, StateChange};
use rusqlite::{params, Connection, OptionalExtension, Row};

use super::column::{decode_column, encode_column, from_sql, to_sql};
use super::migration;

/// Kinds of items, indexed by their number in the column `cells.kind`.
const KINDS: [Kind; 7] =
    [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits, Kind::Server, Kind::Node, Kind::Rollout];
/// Server tombstones that are older than the newest one by more than this are deleted, in seconds.
const TOMBSTONE_LIFETIME: u64 = 600;
/// SQLite's `cache_size`: a negative value is a size in KiB.
const CACHE_SIZE: i64 = -512;

/// `cells` holds the committed items, `voter` a single row with the acceptor's state.
const SCHEMA: &str = "
CREATE TABLE IF NOT EXISTS cells (kind INTEGER, name TEXT, revision INTEGER, tie INTEGER, value BLOB,
    PRIMARY KEY (kind, name)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS voter (one INTEGER PRIMARY KEY CHECK (one = 1), incarnation INTEGER,
    whole INTEGER NOT NULL, membership BLOB, ceiling INTEGER NOT NULL, turn INTEGER NOT NULL, tie INTEGER NOT NULL,
    pending BLOB);";

/// An open database.
pub(super) struct Database(Connection);

impl Database {
    /// Opens a database, and brings its schema up to date.
    pub(super) fn open(path: &Path) -> rusqlite::Result<Database> {
        let connection = Connection::open(path)?;
        // With exclusive locking the write-ahead log needs no shared memory file, as only one process uses the database.
        // `FULL` syncs the log once for each commit.
        connection.pragma_update(None, "locking_mode", "EXCLUSIVE")?;
        connection.pragma_update(None, "journal_mode", "WAL")?;
        connection.pragma_update(None, "synchronous", "FULL")?;
        connection.pragma_update(None, "cache_size", CACHE_SIZE)?;
        connection.execute_batch(SCHEMA)?;
        if let Some(change) = migration::read_first_schema(&connection)? {
            let transaction = connection.unchecked_transaction()?;
            apply(&transaction, &change)?;
            transaction.commit()?;
        }
        Ok(Database(connection))
    }

    /// Copies the write-ahead log into the database file, and truncates the log.
    pub(super) fn checkpoint(&self) -> rusqlite::Result<()> {
        self.0.query_row("PRAGMA wal_checkpoint(TRUNCATE)", [], |_| Ok(()))
    }

    /// Reads the stored state; `None` if none was ever written.
    pub(super) fn read(&self) -> rusqlite::Result<Option<PersistentState>> {
        let query = "SELECT incarnation, membership, ceiling, turn, tie, pending, whole FROM voter";
        let Some(mut state) = self.0.query_row(query, [], read_state).optional()? else { return Ok(None) };
        let mut statement = self.0.prepare("SELECT kind, name, revision, tie, value FROM cells")?;
        let mut rows = statement.query([])?;
        while let Some(row) = rows.next()? {
            state.items.extend(read_item(row)?);
        }
        Ok(Some(state))
    }

    /// Writes a change in one transaction.
    pub(super) fn write(&mut self, change: &StateChange) -> rusqlite::Result<()> {
        let transaction = self.0.transaction()?;
        apply(&transaction, change)?;
        transaction.commit()
    }
}

fn read_state(row: &Row) -> rusqlite::Result<PersistentState> {
    let membership: Option<Vec<u8>> = row.get(1)?;
    let pending: Option<Vec<u8>> = row.get(5)?;
    Ok(PersistentState {
        incarnation: row.get::<_, Option<i64>>(0)?.map(from_sql),
        is_complete: row.get(6)?,
        membership: membership.map(|bytes| decode_column(1, &bytes)).transpose()?.unwrap_or_default(),
        promise_ceiling: from_sql(row.get(2)?),
        accepted: Ballot::new(from_sql(row.get(3)?), from_sql(row.get(4)?)),
        pending: pending.map(|bytes| decode_column(5, &bytes)).transpose()?,
        items: Vec::new(),
    })
}

/// Reads an item; `None` if its kind is unknown.
fn read_item(row: &Row) -> rusqlite::Result<Option<Item>> {
    let kind: u8 = row.get(0)?;
    let Some(&kind) = KINDS.get(usize::from(kind)) else { return Ok(None) };
    let key = Key::new(kind, row.get::<_, String>(1)?);
    let version = Version::new(from_sql(row.get(2)?), from_sql(row.get(3)?));
    Ok(Some(Item { key, version, value: row.get(4)? }))
}

fn apply(transaction: &Connection, change: &StateChange) -> rusqlite::Result<()> {
    transaction.execute("INSERT OR IGNORE INTO voter VALUES (1, NULL, 0, NULL, 0, 0, 0, NULL)", [])?;
    if let Some(incarnation) = change.incarnation {
        transaction.execute("UPDATE voter SET incarnation = ?1", params![to_sql(incarnation)])?;
    }
    if change.is_complete {
        transaction.execute("UPDATE voter SET whole = 1", [])?;
    }
    if let Some(membership) = &change.membership {
        transaction.execute("UPDATE voter SET membership = ?1", params![encode_column(membership)?])?;
    }
    if let Some(ceiling) = change.promise_ceiling {
        transaction.execute("UPDATE voter SET ceiling = ?1", params![to_sql(ceiling)])?;
    }
    if let Some((ballot, pending)) = &change.accepted {
        let pending = pending.as_ref().map(encode_column).transpose()?;
        let statement = "UPDATE voter SET turn = ?1, tie = ?2, pending = ?3";
        transaction.execute(statement, params![to_sql(ballot.round), to_sql(ballot.proposer), pending])?;
    }
    change.committed.iter().try_for_each(|item| apply_item(transaction, item))?;
    delete_old_tombstones(transaction, &change.committed)
}

fn apply_item(transaction: &Connection, item: &Item) -> rusqlite::Result<()> {
    let Some(kind) = KINDS.iter().position(|kind| *kind == item.key.kind) else { return Ok(()) };
    let (revision, tie_breaker) = (to_sql(item.version.revision), to_sql(item.version.tie_breaker));
    transaction.execute(
        "INSERT OR REPLACE INTO cells VALUES (?1, ?2, ?3, ?4, ?5)",
        params![kind as i64, item.key.name, revision, tie_breaker, item.value],
    )?;
    Ok(())
}

/// Deletes server tombstones that no process sends any more, whenever a newer one is committed. The tie breaker of a tombstone
/// is the time of day when it was created, in seconds.
fn delete_old_tombstones(transaction: &Connection, committed: &[Item]) -> rusqlite::Result<()> {
    if !committed.iter().any(|item| item.key.kind == Kind::Server) {
        return Ok(());
    }
    let tombstones = committed.iter().filter(|item| item.value.is_none());
    if let Some(newest) = tombstones.map(|item| item.version.tie_breaker).max() {
        let oldest = to_sql(newest.saturating_sub(TOMBSTONE_LIFETIME));
        transaction
            .execute("DELETE FROM cells WHERE kind = 4 AND value IS NULL AND tie < ?1", params![oldest])?;
    }
    Ok(())
}
