//! Converts servers' responses to responses to clients.

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::Response;

use super::ResponseBody;
use crate::request_head::remove_hop_by_hop;

/// Converts a complete response. For a body that is present, `Content-Length` is set again from its actual length.
pub(super) fn complete_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    if !body.is_empty() {
        head.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(head, body.into())
}

/// Converts the error response of a server, after no other server has served the request.
pub(super) fn fallback_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    Response::from_parts(head, body.into())
}
