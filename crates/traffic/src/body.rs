//! Bodies that are taken in whole, and why one was not.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Why a body was not taken in.
pub enum BadBody {
    /// It is longer than allowed.
    TooLong,
    /// It can't be read.
    Malformed,
    /// The connection broke first.
    Broken,
}

/// Takes in a whole body of at most `most` bytes.
pub async fn whole(body: Incoming, most: usize) -> Result<Bytes, BadBody> {
    if body.size_hint().lower() > most as u64 {
        return Err(BadBody::TooLong);
    }
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BadBody::TooLong),
        Err(e) => Err(e.downcast_ref::<hyper::Error>().map_or(BadBody::Broken, bad_body)),
    }
}

/// What a body's error tells of it.
pub fn bad_body(error: &hyper::Error) -> BadBody {
    match std::error::Error::source(error) {
        Some(cause) if unreadable(cause) => BadBody::Malformed,
        _ => BadBody::Broken,
    }
}

/// Whether a body ended because it can't be decoded, and not with its connection.
fn unreadable(cause: &(dyn std::error::Error + 'static)) -> bool {
    let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
    matches!(kind, Some(io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}
