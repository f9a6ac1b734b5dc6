//! RESP2 and RESP3 as a server speaks them: calls in, replies out. No I/O.
//! Source: the Redis serialization protocol specification, redis.io/docs/latest/develop/reference/protocol-spec.

use bytes::{Buf, BytesMut};

/// No call has more words, and no word more bytes.
const WORDS_MOST: usize = 1024;
const WORD_MOST: usize = 1024 * 1024;
/// No header line is longer.
const LINE_MOST: usize = 64;

/// What a server says.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// `+OK` and the like.
    Simple(&'static str),
    /// An error: its code and its words.
    Error(String),
    /// A whole number.
    Number(i64),
    /// A string of bytes.
    Bulk(Vec<u8>),
    /// Nothing: in RESP2 a bulk string that is null.
    Null,
    /// Nothing in place of an array: what an `EXEC` answers that was called off.
    NullArray,
    /// Several.
    Array(Vec<Reply>),
    /// Names and values; in RESP2 an array of both in turn.
    Map(Vec<(Reply, Reply)>),
}

impl Reply {
    /// A string.
    pub fn text(text: impl Into<String>) -> Reply {
        Reply::Bulk(text.into().into_bytes())
    }

    /// Appends it in a version of the protocol: 2 or 3.
    pub fn write(&self, version: u8, out: &mut Vec<u8>) {
        match self {
            Reply::Simple(word) => line(out, '+', word),
            Reply::Error(words) => line(out, '-', words),
            Reply::Number(number) => line(out, ':', number),
            Reply::Bulk(bytes) => {
                line(out, '$', bytes.len());
                out.extend_from_slice(bytes);
                out.extend_from_slice(b"\r\n");
            }
            Reply::Null | Reply::NullArray if version >= 3 => out.extend_from_slice(b"_\r\n"),
            Reply::Null => out.extend_from_slice(b"$-1\r\n"),
            Reply::NullArray => out.extend_from_slice(b"*-1\r\n"),
            Reply::Array(all) => {
                line(out, '*', all.len());
                all.iter().for_each(|r| r.write(version, out));
            }
            Reply::Map(pairs) => {
                let (mark, count) = if version >= 3 { ('%', pairs.len()) } else { ('*', pairs.len() * 2) };
                line(out, mark, count);
                for (name, value) in pairs {
                    name.write(version, out);
                    value.write(version, out);
                }
            }
        }
    }
}

fn line(out: &mut Vec<u8>, mark: char, what: impl std::fmt::Display) {
    out.extend_from_slice(format!("{mark}{what}\r\n").as_bytes());
}

/// What came is no call; the words of the error that a server closes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoCall(pub &'static str);

/// Takes one whole call off the buffer, if it holds one: an array of bulk strings.
pub fn call(buffer: &mut BytesMut) -> Result<Option<Vec<Vec<u8>>>, NoCall> {
    let mut at = 0;
    let Some(count) = header(buffer, &mut at, b'*')? else { return Ok(None) };
    if count > WORDS_MOST {
        return Err(NoCall("invalid multibulk length"));
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(length) = header(buffer, &mut at, b'$')? else { return Ok(None) };
        if length > WORD_MOST {
            return Err(NoCall("invalid bulk length"));
        }
        let Some(word) = buffer.get(at..at + length + 2) else { return Ok(None) };
        if !word.ends_with(b"\r\n") {
            return Err(NoCall("expected the end of a bulk string"));
        }
        words.push(word[..length].to_vec());
        at += length + 2;
    }
    buffer.advance(at);
    Ok(Some(words))
}

fn header(buffer: &[u8], at: &mut usize, mark: u8) -> Result<Option<usize>, NoCall> {
    let rest = &buffer[*at..];
    match rest.first() {
        None => return Ok(None),
        Some(&first) if first != mark => return Err(NoCall("expected an array of bulk strings")),
        Some(_) => {}
    }
    let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
        return if rest.len() > LINE_MOST { Err(NoCall("too big a header")) } else { Ok(None) };
    };
    let number = std::str::from_utf8(&rest[1..end]).ok().and_then(|n| n.parse().ok());
    *at += end + 2;
    number.map(Some).ok_or(NoCall("invalid length"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_that_is_cut_at_any_byte_is_waited_for_and_read_whole() {
        let text = b"*3\r\n$3\r\nSET\r\n$1\r\na\r\n$4\r\n\r\nb\r\r\n*1\r\n$4\r\nPING\r\n";
        for cut in 0..text.len() {
            let mut buffer = BytesMut::from(&text[..cut]);
            let mut calls = Vec::new();
            let mut take = |buffer: &mut BytesMut| {
                while let Some(words) = call(buffer).expect("no error") {
                    calls.push(words);
                }
            };
            take(&mut buffer);
            buffer.extend_from_slice(&text[cut..]);
            take(&mut buffer);
            let set: Vec<Vec<u8>> = vec![b"SET".to_vec(), b"a".to_vec(), b"\r\nb\r".to_vec()];
            assert_eq!(calls, [set, vec![b"PING".to_vec()]], "cut at {cut}");
        }
    }

    #[test]
    fn what_is_no_call_is_an_error_and_never_waited_for() {
        for bad in [
            "PING\r\n",
            "*x\r\n",
            "*1\r\n:3\r\n",
            "*1\r\n$-1\r\n",
            "*99999\r\n",
            "*1\r\n$1\r\nabc",
            "*1\r\n$9999999\r\n",
        ] {
            assert!(call(&mut BytesMut::from(bad)).is_err(), "{bad:?}");
        }
        assert!(call(&mut BytesMut::from(&[b'*'; 100][..])).is_err());
    }

    #[test]
    fn replies_are_written_in_either_version() {
        let reply = Reply::Map(vec![(Reply::text("a"), Reply::Null), (Reply::text("b"), Reply::Number(-3))]);
        let write = |version| {
            let mut out = Vec::new();
            reply.write(version, &mut out);
            String::from_utf8(out).expect("text")
        };
        assert_eq!(write(2), "*4\r\n$1\r\na\r\n$-1\r\n$1\r\nb\r\n:-3\r\n");
        assert_eq!(write(3), "%2\r\n$1\r\na\r\n_\r\n$1\r\nb\r\n:-3\r\n");
    }
}
