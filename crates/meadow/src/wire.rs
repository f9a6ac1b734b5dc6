//! Connections as plain bytes, for servers that answer early and clients that stop amid a body.

use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A head may be so long.
const HEAD_MOST: usize = 16 * 1024;
/// How much of a body is sent, or read, at once.
pub const PIECE: usize = 4_096;
/// What ends a request's line.
const VERSION: &str = " HTTP/1.1";

/// The head of a request or of an answer.
pub struct Head {
    /// Its first line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn read(bytes: &[u8]) -> Option<Head> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut lines = text.trim_end_matches("\r\n").split("\r\n");
        let line = lines.next()?.to_string();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_string()))
        };
        Some(Head { line, headers: lines.map(header).collect::<Option<_>>()? })
    }

    /// A header's value, by its name in small letters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// How long the body is, as told.
    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0)
    }

    /// Method, path and query of a request; none if this is no request's head.
    pub fn request_line(&self) -> Option<&str> {
        self.line.strip_suffix(VERSION)
    }

    /// The status of an answer; none if this is no answer's head.
    pub fn status(&self) -> Option<u16> {
        self.line.strip_prefix("HTTP/1.1 ")?.split(' ').next()?.parse().ok()
    }
}

/// A connection, and what was read from it beyond the last head or body.
pub struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    /// A connection from which nothing was read.
    pub fn new(stream: TcpStream) -> Wire {
        Wire { stream, ahead: Vec::new() }
    }

    /// How many bytes were read beyond the last head or body.
    pub fn ahead(&self) -> usize {
        self.ahead.len()
    }

    /// The next head, with the empty line after it; none at the connection's end, what came instead if it is no head. What
    /// was read is kept if the wait for the rest is given up.
    pub async fn head(&mut self) -> io::Result<Option<Result<Head, Vec<u8>>>> {
        loop {
            let end = self.ahead.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let rest = self.ahead.split_off(end + 4);
                let bytes = std::mem::replace(&mut self.ahead, rest);
                return Ok(Some(Head::read(&bytes).ok_or(bytes)));
            }
            if self.ahead.len() > HEAD_MOST {
                return Ok(Some(Err(std::mem::take(&mut self.ahead))));
            }
            if self.stream.read_buf(&mut self.ahead).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// The next bytes of a body, no more than this; none at the connection's end.
    pub async fn piece(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.ahead.is_empty() {
            let mut piece = vec![0; most];
            let length = self.stream.read(&mut piece).await?;
            piece.truncate(length);
            return Ok(piece);
        }
        let rest = self.ahead.split_off(most.min(self.ahead.len()));
        Ok(std::mem::replace(&mut self.ahead, rest))
    }

    /// A body of this length; none if the connection ends before.
    pub async fn body(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        let mut body = Vec::new();
        while body.len() < length {
            let piece = self.piece(PIECE.min(length - body.len())).await?;
            if piece.is_empty() {
                return Ok(None);
            }
            body.extend(piece);
        }
        Ok(Some(body))
    }

    /// Sends bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}
