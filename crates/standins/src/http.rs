//! HTTP/1.1 messages on a connection, as the stand-ins read them: one at a time, with the time of the first byte.

use std::io;

use bytes::{Buf, BytesMut};
use pinerelay_evidence::{Micros, Recorder};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// No head and no body is longer than this.
const HEAD_MOST: usize = 32 * 1024;
const BODY_MOST: usize = 1024 * 1024;
const HEADERS_MOST: usize = 64;

/// Why no message came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection ended before a byte of one.
    Closed,
    /// The connection ended within one.
    Broken,
    /// What came is no message.
    Malformed,
}

/// One message.
#[derive(Debug, Clone)]
pub struct Message {
    /// The method and the target of a request; of an answer, the status and nothing.
    pub start: (String, String),
    /// Names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte: Micros,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The status of an answer; 0 if it is a request.
    pub fn status(&self) -> u16 {
        self.start.0.parse().unwrap_or(0)
    }

    /// Whether its sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// A connection.
#[derive(Debug)]
pub struct Line {
    /// The socket; bytes are written straight to it.
    pub stream: TcpStream,
    buffer: BytesMut,
    since: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Request,
    Answer,
}

impl Line {
    /// A connection on which nothing has come yet.
    pub fn new(stream: TcpStream) -> Self {
        // Without it messages are late, not wrong.
        let _ = stream.set_nodelay(true);
        Line { stream, buffer: BytesMut::new(), since: None }
    }

    /// Whether part of a message has come.
    pub fn begun(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads a request. Dropping the future loses nothing: what has come is kept for the next call.
    pub async fn request(&mut self, recorder: &Recorder) -> Result<Message, NoMessage> {
        self.message(Kind::Request, recorder).await
    }

    /// Reads an answer, as [`Line::request`] does; 1xx answers ahead of it are passed over.
    pub async fn answer(&mut self, recorder: &Recorder) -> Result<Message, NoMessage> {
        loop {
            let message = self.message(Kind::Answer, recorder).await?;
            if !(100..200).contains(&message.status()) {
                return Ok(message);
            }
        }
    }

    /// Bytes that have come with no message asked for; none if the connection has ended.
    pub fn unasked(&mut self) -> Option<usize> {
        let mut bytes = [0; 4096];
        let mut count = self.buffer.len();
        self.buffer.clear();
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return (count > 0).then_some(count),
                Ok(n) => count += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Some(count),
                Err(_) => return (count > 0).then_some(count),
            }
        }
    }

    /// Waits until the peer ends the connection. What it sends meanwhile is kept.
    pub async fn ended(&mut self) {
        loop {
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 && self.buffer.len() < HEAD_MOST + BODY_MOST => {}
                _ => return,
            }
        }
    }

    async fn message(&mut self, kind: Kind, recorder: &Recorder) -> Result<Message, NoMessage> {
        loop {
            if !self.buffer.is_empty() {
                let first_byte = *self.since.get_or_insert_with(|| recorder.now());
                if let Some(message) = self.parse(kind, first_byte)? {
                    self.since = None;
                    return Ok(message);
                }
            }
            let before = self.buffer.len();
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {
                    if before == 0 {
                        self.since = Some(recorder.now());
                    }
                }
                _ if self.buffer.is_empty() => return Err(NoMessage::Closed),
                _ => return Err(NoMessage::Broken),
            }
        }
    }

    /// Takes one whole message off the buffer, if it holds one.
    fn parse(&mut self, kind: Kind, first_byte: Micros) -> Result<Option<Message>, NoMessage> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let (start, parsed, head) = match kind {
            Kind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                match request.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(head)) => {
                        let word = |w: Option<&str>| w.unwrap_or_default().to_string();
                        ((word(request.method), word(request.path)), request.headers, head)
                    }
                    Ok(httparse::Status::Partial) => return self.partial(),
                    Err(_) => return Err(NoMessage::Malformed),
                }
            }
            Kind::Answer => {
                let mut answer = httparse::Response::new(&mut headers);
                match answer.parse(&self.buffer) {
                    Ok(httparse::Status::Complete(head)) => {
                        ((answer.code.unwrap_or(0).to_string(), String::new()), answer.headers, head)
                    }
                    Ok(httparse::Status::Partial) => return self.partial(),
                    Err(_) => return Err(NoMessage::Malformed),
                }
            }
        };
        let headers: Vec<(String, String)> = parsed
            .iter()
            .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned()))
            .collect();
        let mut lengths = headers.iter().filter(|(n, _)| n == "content-length");
        let length = match (lengths.next(), lengths.next()) {
            (None, _) => 0,
            (Some((_, v)), None) => v.parse::<usize>().map_err(|_| NoMessage::Malformed)?,
            _ => return Err(NoMessage::Malformed),
        };
        if length > BODY_MOST || headers.iter().any(|(n, _)| n == "transfer-encoding") {
            return Err(NoMessage::Malformed);
        }
        if self.buffer.len() < head + length {
            return Ok(None);
        }
        self.buffer.advance(head);
        let body = self.buffer.split_to(length).to_vec();
        Ok(Some(Message { start, headers, body, first_byte }))
    }

    fn partial(&self) -> Result<Option<Message>, NoMessage> {
        if self.buffer.len() > HEAD_MOST {
            Err(NoMessage::Malformed)
        } else {
            Ok(None)
        }
    }
}
