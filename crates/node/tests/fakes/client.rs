//! Clients of a node under test.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use super::{read_message, Message, TIMEOUT};

pub struct Client {
    pub(super) reader: BufReader<TcpStream>,
    pub(super) stream: TcpStream,
}

/// The variable parts of a request to the node.
pub struct RequestSpec {
    pub class: &'static str,
    pub plan: &'static str,
    pub id: String,
    pub deadline_ms: u64,
}

pub fn ask(class: &'static str, id: &str) -> RequestSpec {
    RequestSpec { class, plan: "free", id: id.into(), deadline_ms: 40_000 }
}

impl RequestSpec {
    pub fn text(&self) -> String {
        let (method, extra) = match self.class {
            "lookup" => ("GET", ""),
            "slip" => ("POST", "Idempotency-Key: 5c0f\r\nContent-Length: 5\r\n"),
            _ => ("POST", "Content-Length: 5\r\n"),
        };
        let (class, plan, id, deadline) = (self.class, self.plan, &self.id, self.deadline_ms);
        let body = if method == "GET" { "" } else { "slip!" };
        format!(
            "{method} /{class}?key=0000000000000007 HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id}\r\n\
             X-Class: {class}\r\nX-Tariff: {plan}\r\nX-Deadline-Ms: {deadline}\r\n\
             X-Weight: units=1,spread=2,first=0\r\n{extra}\r\n{body}"
        )
    }
}

impl Client {
    pub fn raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the node listens");
    }

    pub fn ask(&mut self, ask: &RequestSpec) {
        self.raw(&ask.text());
    }

    /// Waits for the connection to close; returns what was received before.
    pub fn rest(mut self) -> String {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            Err(e) => panic!("the connection stays open: {e}"),
        }
        String::from_utf8_lossy(&rest).into_owned()
    }

    /// Whether part of an answer has been received.
    pub fn has_answer(&mut self) -> bool {
        let short = Some(Duration::from_millis(1));
        self.stream.set_read_timeout(short).expect("a time-out");
        let come = self.reader.fill_buf().is_ok_and(|b| !b.is_empty());
        self.stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        come
    }

    pub fn answer(&mut self) -> Message {
        self.try_answer().expect("an answer")
    }

    /// None if the connection ended instead.
    pub fn try_answer(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }
}
