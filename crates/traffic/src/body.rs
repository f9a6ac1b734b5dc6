//! Buffering of complete bodies, and why a body could not be buffered.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Why a body was not read to its end.
pub enum BadBody {
    /// It is longer than allowed.
    TooLong,
    /// It can't be decoded.
    Malformed,
    /// The connection failed before the body was complete.
    Broken,
}

/// Buffers a complete body of at most `max_bytes` bytes.
pub async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BadBody> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BadBody::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BadBody::TooLong),
        Err(e) => Err(e.downcast_ref::<hyper::Error>().map_or(BadBody::Broken, bad_body)),
    }
}

/// Classifies an error from reading a body.
pub fn bad_body(error: &hyper::Error) -> BadBody {
    match std::error::Error::source(error) {
        Some(cause) if is_decoding_error(cause) => BadBody::Malformed,
        _ => BadBody::Broken,
    }
}

/// Whether the body can't be decoded, as opposed to a failed connection.
fn is_decoding_error(cause: &(dyn std::error::Error + 'static)) -> bool {
    let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}
