//! Rejects requests whose end another HTTP parser could determine differently (request smuggling).

use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use pinerelay_traffic::raw_head::RawHead;

use super::rejection::Rejection;

/// Rejects what would make the end of the request ambiguous (RFC 9112, section 6.3).
pub(super) fn check_framing(parts: &Parts, wire: &RawHead) -> Result<(), Rejection> {
    let mut codings = parts.headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
            return Err(Rejection::bad_request("chunked alone is decoded here\n"));
        }
        // A request with both headers may smuggle another request; the HTTP library has already removed `Content-Length` here.
        if wire.has_content_length() {
            return Err(Rejection::bad_request("a body comes in chunks or with a length, not with both\n"));
        }
    }
    if wire.target_changed() {
        return Err(Rejection::bad_request("a path holds no fragment\n"));
    }
    if wire.has_ambiguous_lines() {
        return Err(Rejection::bad_request("lines of a head end with CR and LF, and none is folded\n"));
    }
    if parts.method == Method::CONNECT {
        return Err(Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "no tunnels are made here\n"));
    }
    Ok(())
}
