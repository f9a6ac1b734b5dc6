//! Encoding of values in database columns.

/// Decodes a BLOB column: the membership or the pending batch. Undecodable bytes are an error rather than a default value: a store
/// that lost its membership or a batch that it accepted would vote as if it had never had them. Bytes after the value are ignored.
pub(super) fn decode_column<T: bincode::Decode<()>>(column: usize, bytes: &[u8]) -> rusqlite::Result<T> {
    let decoded = bincode::decode_from_slice(bytes, bincode::config::standard());
    decoded.map(|(value, _)| value).map_err(|error| {
        rusqlite::Error::FromSqlConversionFailure(column, rusqlite::types::Type::Blob, Box::new(error))
    })
}

/// Encodes a column. A value that cannot be encoded is an error, for the same reason as in [`decode_column`].
pub(super) fn encode_column<T: bincode::Encode>(value: &T) -> rusqlite::Result<Vec<u8>> {
    bincode::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| rusqlite::Error::ToSqlConversionFailure(Box::new(error)))
}

/// Reinterprets a number as SQLite's signed integer with the same bits.
pub(super) fn to_sql(number: u64) -> i64 {
    number as i64
}

/// The inverse of [`to_sql`].
pub(super) fn from_sql(number: i64) -> u64 {
    number as u64
}
