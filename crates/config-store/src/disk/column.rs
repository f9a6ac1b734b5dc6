//! How values are written to columns.

/// Decodes a column. What cannot be decoded is an error and no empty value: a store that forgot what it had promised or
/// accepted would vote as if it never had.
pub(super) fn decode_column<T: bincode::Decode<()>>(column: usize, bytes: &[u8]) -> rusqlite::Result<T> {
    let decoded = bincode::decode_from_slice(bytes, bincode::config::standard());
    decoded.map(|(value, _)| value).map_err(|error| {
        rusqlite::Error::FromSqlConversionFailure(column, rusqlite::types::Type::Blob, Box::new(error))
    })
}

/// Encodes a column. Like an unreadable column, one that cannot be encoded is an error.
pub(super) fn encode_column<T: bincode::Encode>(value: &T) -> rusqlite::Result<Vec<u8>> {
    bincode::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| rusqlite::Error::ToSqlConversionFailure(Box::new(error)))
}

/// SQLite's integers are signed; numbers keep their bits.
pub(super) fn to_sql(number: u64) -> i64 {
    number as i64
}

/// The reverse of [`to_sql`].
pub(super) fn from_sql(number: i64) -> u64 {
    number as u64
}
