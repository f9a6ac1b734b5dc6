//! What a request's head has to hold, which of its headers go on, and which are this system's own.

use std::time::Duration;

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::Uri;

/// A request's id, which every try has of its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the client waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A tenant's key.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("x-credential");
/// The tenant that the key is of: this system's own word.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The server that is to run it, and no other.
pub const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-server");
/// A server's word that it has not run it.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// A server's stamp on its answer.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// How long a connection may stand idle.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only.
const HOP: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Headers that this system needs from end to end: no `Connection` header takes them out.
const END_TO_END: [HeaderName; 5] = [HOST, REQUEST_ID, NOT_EXECUTED, SEAL, CONTENT_LENGTH];

/// Why a head can't be taken.
pub type Malformed = &'static str;

/// What is wanted of a head.
#[derive(Debug)]
pub struct Head {
    /// The host that it is for.
    pub host: String,
    /// The same, as a header tells it.
    pub authority: HeaderValue,
    /// Its id.
    pub id: HeaderValue,
    /// How long the client waits, if it says so.
    pub wait: Option<Duration>,
    /// The key, if there is one; bytes that are no UTF-8 are nobody's key.
    pub key: Option<String>,
    /// Path and query.
    pub uri: Uri,
}

fn one<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Malformed> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (value, None) => Ok(value),
        _ => Err("a header of the protocol comes twice"),
    }
}

impl Head {
    /// Reads a head.
    pub fn read(parts: &Parts) -> Result<Head, Malformed> {
        let headers = &parts.headers;
        let named = one(headers, &HOST)?;
        let authority = match (parts.uri.authority(), named) {
            // What a request in absolute form names takes the header's place (RFC 9112, 3.2.2).
            (Some(authority), _) if authority.as_str().contains('@') => return Err("a host has no user"),
            (Some(authority), _) => {
                HeaderValue::from_str(authority.as_str()).map_err(|_| "the host is no text")?
            }
            (None, Some(host)) => host.clone(),
            (None, None) => return Err("no host"),
        };
        let host = authority.to_str().map_err(|_| "the host is no text")?.to_string();
        let id = one(headers, &REQUEST_ID)?.filter(|id| !id.is_empty()).ok_or("no X-Request-Id")?;
        let wait = match one(headers, &DEADLINE)? {
            None => None,
            Some(value) => {
                let text = value.to_str().ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
                let ms = text.and_then(|t| t.parse().ok()).ok_or("X-Deadline-Ms is no whole number")?;
                Some(Duration::from_millis(ms))
            }
        };
        // Danger: read with replacements, two keys could be one.
        let key = one(headers, &CREDENTIAL)?.and_then(|key| std::str::from_utf8(key.as_bytes()).ok());
        let uri = match parts.uri.scheme() {
            None => parts.uri.clone(),
            Some(_) => parts.uri.path_and_query().cloned().map(Uri::from).ok_or("no path")?,
        };
        if !uri.path().starts_with('/') {
            return Err("a path is wanted");
        }
        Ok(Head { host, authority, id: id.clone(), wait, key: key.map(String::from), uri })
    }
}

/// Takes out what concerns one connection only, also what its `Connection` header names, but for what is needed from end to
/// end.
pub fn drop_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !END_TO_END.contains(name))
        .collect();
    for name in HOP.iter().chain(&named) {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use hyper::Request;

    use super::*;

    fn parts(headers: &[(&str, &str)], uri: &str) -> Parts {
        let mut request = Request::builder().uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(()).expect("a request").into_parts().0
    }

    const GOOD: [(&str, &str); 4] =
        [("host", "a.example"), ("x-request-id", "1"), ("x-deadline-ms", "250"), ("x-credential", "k")];

    #[gtest]
    fn a_head_is_read_and_what_comes_twice_or_is_no_number_refused() {
        let head = Head::read(&parts(&GOOD, "/x/y?z=1")).expect("a head");
        expect_that!((head.host.as_str(), head.key.as_deref()), eq(("a.example", Some("k"))));
        expect_that!(head.wait, some(eq(Duration::from_millis(250))));
        let head = Head::read(&parts(&GOOD, "http://b.example/x?z")).expect("a head");
        expect_that!((head.host.as_str(), head.uri.to_string().as_str()), eq(("b.example", "/x?z")));
        for (name, value) in GOOD {
            let twice: Vec<_> = GOOD.into_iter().chain([(name, value)]).collect();
            expect_that!(Head::read(&parts(&twice, "/")).is_err(), eq(true), "{name} twice");
        }
        expect_that!(Head::read(&parts(&GOOD[..1], "/")).is_err(), eq(true), "no id");
        let mut odd = GOOD;
        odd[2].1 = "-1";
        expect_that!(Head::read(&parts(&odd, "/")).is_err(), eq(true));
    }
}
