//! The heads of a connection's requests as they came: what the parser drops of them is seen here alone.

use std::cell::{Cell, RefCell};

use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::{Request, Uri};

use crate::front::HEAD_MOST;

/// The heads of a connection's requests as they came. The parser drops a length that stands beside chunks; whether there
/// was one is seen only here.
#[derive(Default)]
pub struct Wire {
    /// What has come since the last request ended, while it may belong to a head.
    head: RefCell<Vec<u8>>,
    /// Bytes of the present body that are yet to come.
    skip: Cell<u64>,
    /// The head of the present request names a length, though its body comes in chunks.
    length: Cell<bool>,
    /// A line of it ends without CR, or goes on in the next.
    odd: Cell<bool>,
    /// What it asks for was read as something else than what was sent.
    changed: Cell<bool>,
}

impl Wire {
    /// Bytes have come.
    pub(crate) fn read(&self, mut bytes: &[u8]) {
        let skipped = self.skip.get().min(bytes.len() as u64);
        self.skip.set(self.skip.get() - skipped);
        bytes = &bytes[skipped as usize..];
        let mut head = self.head.borrow_mut();
        // The parser reads no further ahead than a head may be long, and one buffer more.
        let room = (2 * HEAD_MOST).saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// A request's head has come: what is left over is of its body, or of the next one.
    pub(crate) fn begins(&self, request: &Request<Incoming>) {
        let mut bytes = self.head.borrow_mut();
        let blank = |at: usize| bytes[at..].starts_with(b"\r\n\r\n") || bytes[at..].starts_with(b"\n\n");
        let start = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
        let end = (start..bytes.len()).find(|&at| bytes[at] <= b'\r' && blank(at)).unwrap_or(bytes.len());
        let named = |line: &[u8]| {
            let name = line.split(|&b| b == b':').next().unwrap_or_default();
            name.trim_ascii().eq_ignore_ascii_case(b"content-length")
        };
        if request.headers().contains_key(TRANSFER_ENCODING) {
            self.length.set(bytes[..end].split(|&b| b == b'\n').any(named));
        }
        let line = bytes[start..end].split(|&b| b == b'\r').next().unwrap_or_default();
        let target = line.split(|&b| b == b' ').filter(|part| !part.is_empty()).nth(1).unwrap_or_default();
        self.changed.set(!reads_as(target, request.uri()));
        let lines = bytes[start..end].split(|&b| b == b'\n').skip(1);
        let bare = bytes[start..end].windows(2).any(|two| two[1] == b'\n' && two[0] != b'\r');
        self.odd.set(bare || bytes[end..].starts_with(b"\n") || lines.into_iter().any(folded));
        let body = request.body().size_hint().exact().unwrap_or(u64::MAX);
        let end = (end + if bytes[end..].starts_with(b"\r") { 4 } else { 2 }).min(bytes.len());
        let come = (bytes.len() - end) as u64;
        self.skip.set(body.saturating_sub(come));
        bytes.drain(..end + body.min(come) as usize);
    }

    /// Whether a line of the head ends without CR, or goes on in the next: others may read them otherwise.
    pub fn odd_lines(&self) -> bool {
        self.odd.get()
    }

    /// Whether what the request asks for was read as something else than what was sent: the parser drops a fragment.
    pub fn target_changed(&self) -> bool {
        self.changed.get()
    }

    /// Whether something of a next request has been read.
    pub(crate) fn ahead(&self) -> bool {
        self.skip.get() == 0 && !self.head.borrow().is_empty()
    }

    /// Whether the head of the request named a length.
    pub fn names_length(&self) -> bool {
        self.length.get()
    }
}

/// Whether a request's target, as it was sent, stands unchanged in what the parser made of it.
fn reads_as(target: &[u8], uri: &Uri) -> bool {
    match target.first() {
        Some(b'/') => uri.path_and_query().is_some_and(|read| read.as_str().as_bytes() == target),
        _ => !target.contains(&b'#'),
    }
}

fn folded(line: &[u8]) -> bool {
    line.first().is_some_and(|b| matches!(b, b' ' | b'\t'))
}
