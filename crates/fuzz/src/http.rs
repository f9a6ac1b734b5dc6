//! HTTP/1.1 messages as RFC 9112 has them, read in a way of its own: nothing here is shared with what it judges.
//!
//! A message is either whole, not whole yet, or no message. Where the RFC lets a recipient choose, this takes what it lets
//! be taken: a line may end with a bare LF, and empty lines may stand before a request. All else that could be read in two
//! ways is no message.

/// A message that came whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its first line, without its end.
    pub start: String,
    /// Names in lower case, and values without blanks around them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Its body, without its framing.
    pub body: Vec<u8>,
}

/// What bytes are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// A message, and how many bytes it took.
    Whole(Message, usize),
    /// The begin of one.
    Part,
    /// No message: why.
    Malformed(&'static str),
}

/// Whose message it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// A client's request.
    Request,
    /// A server's answer; `true`: nothing follows, and a body without framing ends there.
    Answer(bool),
}

impl Message {
    /// The value of a header that stands once.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        let mut all =
            self.headers.iter().filter(|(known, _)| known == name).map(|(_, value)| value.as_slice());
        all.next().filter(|_| all.next().is_none())
    }

    /// The method and the target of a request.
    pub fn request(&self) -> Option<(&str, &str)> {
        let mut words = self.start.split(' ');
        Some((words.next()?, words.next()?))
    }

    /// The status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.start.get(9..12)?.parse().ok()
    }
}

/// Reads the first message of some bytes.
pub fn read(bytes: &[u8], side: Side) -> Read {
    let mut at = 0;
    if side == Side::Request {
        // RFC 9112, 2.2: empty lines before a request are passed over.
        loop {
            match &bytes[at..] {
                [b'\r', b'\n', ..] => at += 2,
                [b'\n', ..] => at += 1,
                _ => break,
            }
        }
    }
    let Some((start, mut at)) = line(bytes, at) else { return Read::Part };
    if !starts_well(start, side) {
        return Read::Malformed("the first line");
    }
    let mut headers = Vec::new();
    loop {
        let Some((text, next)) = line(bytes, at) else { return Read::Part };
        at = next;
        if text.is_empty() {
            break;
        }
        match header(text) {
            Some(header) => headers.push(header),
            None => return Read::Malformed("a header"),
        }
    }
    let start = String::from_utf8_lossy(start).into_owned();
    let mut message = Message { start, headers, body: Vec::new() };
    match framing(&message, side) {
        Err(why) => Read::Malformed(why),
        Ok(Framing::Length(length)) => {
            match bytes.len().checked_sub(at).filter(|left| *left as u64 >= length) {
                None => Read::Part,
                Some(_) => {
                    let end = at + length as usize;
                    message.body = bytes[at..end].to_vec();
                    Read::Whole(message, end)
                }
            }
        }
        Ok(Framing::Chunks) => match chunks(&bytes[at..]) {
            Chunks::Whole(body, taken) => {
                message.body = body;
                Read::Whole(message, at + taken)
            }
            Chunks::Part => Read::Part,
            Chunks::Malformed => Read::Malformed("the chunks"),
        },
        Ok(Framing::ToEnd) => match side {
            Side::Answer(true) => {
                message.body = bytes[at..].to_vec();
                Read::Whole(message, bytes.len())
            }
            _ => Read::Part,
        },
    }
}

/// A line without its end, and where the next begins.
fn line(bytes: &[u8], at: usize) -> Option<(&[u8], usize)> {
    let length = bytes.get(at..)?.iter().position(|byte| *byte == b'\n')?;
    let text = &bytes[at..at + length];
    Some((text.strip_suffix(b"\r").unwrap_or(text), at + length + 1))
}

fn is_token(text: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !text.is_empty() && text.iter().all(allowed)
}

fn starts_well(start: &[u8], side: Side) -> bool {
    let words: Vec<&[u8]> = start.split(|byte| *byte == b' ').collect();
    match side {
        Side::Request => match words[..] {
            [method, target, version] => {
                let visible = target.iter().all(|byte| byte.is_ascii_graphic() || *byte >= 0x80);
                is_token(method)
                    && !target.is_empty()
                    && visible
                    && matches!(version, b"HTTP/1.1" | b"HTTP/1.0")
            }
            _ => false,
        },
        Side::Answer(_) => {
            let version = matches!(start.get(..9), Some(b"HTTP/1.1 " | b"HTTP/1.0 "));
            let status = start.get(9..12).is_some_and(|status| status.iter().all(u8::is_ascii_digit));
            version && status && matches!(start.get(12), None | Some(b' '))
        }
    }
}

fn header(text: &[u8]) -> Option<(String, Vec<u8>)> {
    let colon = text.iter().position(|byte| *byte == b':')?;
    let (name, value) = (&text[..colon], &text[colon + 1..]);
    let sound = value.iter().all(|byte| *byte == b'\t' || *byte >= b' ' && *byte != 0x7f);
    if !is_token(name) || !sound {
        return None;
    }
    let blank = |byte: &&u8| matches!(byte, b' ' | b'\t');
    let before = value.iter().take_while(blank).count();
    let after = value[before..].iter().rev().take_while(blank).count();
    let value = value[before..value.len() - after].to_vec();
    Some((String::from_utf8_lossy(name).to_ascii_lowercase(), value))
}

enum Framing {
    Length(u64),
    Chunks,
    ToEnd,
}

fn framing(message: &Message, side: Side) -> Result<Framing, &'static str> {
    let all = |name: &str| -> Vec<&Vec<u8>> {
        message.headers.iter().filter(|(known, _)| known == name).map(|(_, value)| value).collect()
    };
    let (lengths, codings) = (all("content-length"), all("transfer-encoding"));
    let status = message.status().filter(|_| side != Side::Request);
    if matches!(status, Some(204 | 304 | 100..=199)) {
        return Ok(Framing::Length(0));
    }
    match (&lengths[..], &codings[..]) {
        ([], []) if side == Side::Request => Ok(Framing::Length(0)),
        ([], []) => Ok(Framing::ToEnd),
        ([length], []) => {
            let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
            let number = std::str::from_utf8(length).ok().and_then(|text| text.parse().ok());
            number.filter(|_| digits).map(Framing::Length).ok_or("the length")
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && !message.start.ends_with("HTTP/1.0") => {
            Ok(Framing::Chunks)
        }
        _ => Err("a body that can be read in two ways"),
    }
}

enum Chunks {
    Whole(Vec<u8>, usize),
    Part,
    Malformed,
}

fn chunks(bytes: &[u8]) -> Chunks {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some((size, next)) = line(bytes, at) else { return Chunks::Part };
        let size = size.split(|byte| *byte == b';').next().unwrap_or_default();
        let blank = size.iter().rev().take_while(|byte| matches!(byte, b' ' | b'\t')).count();
        let size = &size[..size.len() - blank];
        if size.is_empty() || size.len() > 16 || !size.iter().all(u8::is_ascii_hexdigit) {
            return Chunks::Malformed;
        }
        let size = std::str::from_utf8(size).ok().and_then(|text| u64::from_str_radix(text, 16).ok());
        let Some(size) = size else { return Chunks::Malformed };
        at = next;
        if size == 0 {
            break;
        }
        if ((bytes.len() - at) as u64) < size {
            return Chunks::Part;
        }
        body.extend_from_slice(&bytes[at..at + size as usize]);
        at += size as usize;
        match bytes.get(at..at + 2) {
            None => return Chunks::Part,
            Some(b"\r\n") => at += 2,
            Some(_) => return Chunks::Malformed,
        }
    }
    loop {
        let Some((text, next)) = line(bytes, at) else { return Chunks::Part };
        at = next;
        if text.is_empty() {
            return Chunks::Whole(body, at);
        }
        if header(text).is_none() {
            return Chunks::Malformed;
        }
    }
}
