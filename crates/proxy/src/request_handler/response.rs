//! The responses of servers as they go to clients.

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use hyper::Response;

use super::ResponseBody;
use crate::request_head::remove_hop_by_hop;

/// A server's response. The length of a body is declared anew, by what there is.
pub(super) fn complete_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    if !body.is_empty() {
        head.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(head, body.into())
}

/// A server's own failure, which no other server has bettered.
pub(super) fn fallback_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    Response::from_parts(head, body.into())
}
