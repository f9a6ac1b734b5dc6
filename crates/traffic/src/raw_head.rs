//! Tracks the raw request heads of a connection, to see what the HTTP parser drops.

use std::cell::{Cell, RefCell};

use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::{Request, Uri};

use crate::acceptor::MAX_HEAD_BYTES;

/// The raw request heads of a connection. The parser drops a Content-Length next to chunked coding, so only
/// the raw bytes show whether there was one.
#[derive(Default)]
pub struct RawHead {
    /// Bytes received since the last request ended, as long as they may belong to a head.
    head: RefCell<Vec<u8>>,
    /// Bytes of the current body that have not been received yet; `u64::MAX` for a chunked one.
    body_left: Cell<u64>,
    /// The head of the current request has a Content-Length, though its body is chunked.
    has_length: Cell<bool>,
    /// A line of the head ends without CR or is continued on the next line.
    has_odd_lines: Cell<bool>,
    /// The parsed request target differs from the one that was sent.
    has_changed_target: Cell<bool>,
}

impl RawHead {
    /// Records received bytes.
    pub(crate) fn record(&self, mut bytes: &[u8]) {
        let skipped = self.body_left.get().min(bytes.len() as u64);
        self.body_left.set(self.body_left.get() - skipped);
        bytes = &bytes[skipped as usize..];
        let mut head = self.head.borrow_mut();
        // The parser reads at most one buffer beyond the maximum head length.
        let free = (2 * MAX_HEAD_BYTES).saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    /// A request head has been parsed: the remaining bytes belong to its body or to the next request.
    pub(crate) fn head_parsed(&self, request: &Request<Incoming>) {
        let mut bytes = self.head.borrow_mut();
        let blank = |at: usize| bytes[at..].starts_with(b"\r\n\r\n") || bytes[at..].starts_with(b"\n\n");
        let start = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
        let end = (start..bytes.len()).find(|&at| bytes[at] <= b'\r' && blank(at)).unwrap_or(bytes.len());
        let named = |line: &[u8]| {
            let name = line.split(|&b| b == b':').next().unwrap_or_default();
            name.trim_ascii().eq_ignore_ascii_case(b"content-length")
        };
        if request.headers().contains_key(TRANSFER_ENCODING) {
            self.has_length.set(bytes[..end].split(|&b| b == b'\n').any(named));
        }
        let line = bytes[start..end].split(|&b| b == b'\r').next().unwrap_or_default();
        let target = line.split(|&b| b == b' ').filter(|part| !part.is_empty()).nth(1).unwrap_or_default();
        self.has_changed_target.set(!is_unchanged(target, request.uri()));
        let lines = bytes[start..end].split(|&b| b == b'\n').skip(1);
        let bare = bytes[start..end].windows(2).any(|two| two[1] == b'\n' && two[0] != b'\r');
        self.has_odd_lines
            .set(bare || bytes[end..].starts_with(b"\n") || lines.into_iter().any(is_continuation));
        let body = request.body().size_hint().exact().unwrap_or(u64::MAX);
        let end = (end + if bytes[end..].starts_with(b"\r") { 4 } else { 2 }).min(bytes.len());
        let buffered_body = (bytes.len() - end) as u64;
        self.body_left.set(body.saturating_sub(buffered_body));
        bytes.drain(..end + body.min(buffered_body) as usize);
    }

    /// Whether a line of the head ends without CR or is continued on the next line: other parsers may read
    /// such lines differently.
    pub fn has_ambiguous_lines(&self) -> bool {
        self.has_odd_lines.get()
    }

    /// Whether the parsed request target differs from the one that was sent: the parser drops a fragment.
    pub fn target_changed(&self) -> bool {
        self.has_changed_target.get()
    }

    /// Whether part of a next request has been read.
    pub(crate) fn has_next_request_data(&self) -> bool {
        self.body_left.get() == 0 && !self.head.borrow().is_empty()
    }

    /// Whether the head of a chunked request also had a Content-Length.
    pub fn has_content_length(&self) -> bool {
        self.has_length.get()
    }
}

/// Whether the parsed URI equals the request target as it was sent.
fn is_unchanged(target: &[u8], uri: &Uri) -> bool {
    match target.first() {
        Some(b'/') => uri.path_and_query().is_some_and(|parsed| parsed.as_str().as_bytes() == target),
        _ => !target.contains(&b'#'),
    }
}

/// Whether a line starts with white space: an obsolete continuation of the line before it.
fn is_continuation(line: &[u8]) -> bool {
    line.first().is_some_and(|b| matches!(b, b' ' | b'\t'))
}
