//! Clients that send anything: what a server is sent is what they sent.

use std::path::{Path, PathBuf};

use super::{lock, Stage};
use crate::http::{self, Message, Read as Came, Side};
use crate::mutate::mutate;
use crate::random::Random;
use crate::reader::{Fault, Reader};

/// A body is passed on in pieces if it is longer; none that is played is.
const BODY: usize = 3_000;

/// So many requests of clients may still come to the server.
const AWAITED: usize = 50;

/// Requests as raw bytes. Two bytes in front tell where the first piece ends.
pub struct Requests {
    program: PathBuf,
    stage: Option<Stage>,
    awaited: Vec<Message>,
}

impl Requests {
    /// Of a program that can run as a proxy.
    pub fn new(program: &Path) -> Requests {
        Requests { program: program.into(), stage: None, awaited: Vec::new() }
    }
}

const WORDS: [&[u8]; 30] = [
    b"\r\n",
    b"\n",
    b"\r",
    b" ",
    b"\t",
    b"\x00",
    b"\x0b",
    b"\x7f",
    b"\xff",
    b"#f",
    b"?q=1",
    b"%00",
    b"/../",
    b"Content-Length: 0\r\n",
    b"Content-Length: 5\r\n",
    b"content-length:5, 5\r\n",
    b"Content-Length: +5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Connection: X-Request-Id\r\n",
    b"Connection: close\r\n",
    b"Connection: X-Tenant, Host\r\n",
    b"Expect: 100-continue\r\n",
    b"X-Tenant: other\r\n",
    b"Upgrade: h2c\r\n",
    b"Host: b.example\r\n",
    b" folded\r\n",
    b"GET /open/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: smuggled\r\n\r\n",
];

/// One sound request, with an id of its own.
fn request(random: &mut Random, id: &str) -> Vec<u8> {
    let methods = ["GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "PATCH", "get", "X"];
    let targets = [
        "/open/a",
        "/open/a?b=c&d",
        "/keyed/a",
        "/open/%41//.",
        "http://a.example/open/x",
        "/none",
        "/open/a?",
    ];
    let method = *random.of(&methods);
    let mut head =
        format!("{method} {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\n", random.of(&targets));
    head.push_str("X-Credential: key\r\n");
    if random.one_in(2) {
        head.push_str("X-Deadline-Ms: 100\r\n");
    }
    let body: Vec<u8> =
        (0..random.below(BODY) / (1 + random.below(100))).map(|_| random.bits() as u8).collect();
    let mut out = Vec::new();
    match random.below(4) {
        0 => out.extend_from_slice(format!("{head}\r\n").as_bytes()),
        1 | 2 => {
            out.extend_from_slice(format!("{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(&body);
        }
        _ => {
            out.extend_from_slice(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes());
            for piece in body.chunks(1 + random.below(500)) {
                out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
                out.extend_from_slice(piece);
                out.extend_from_slice(b"\r\n");
            }
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }
    out
}

/// The requests that a client's bytes are, up to the first that is none.
fn sent(bytes: &[u8]) -> Vec<Message> {
    let (mut all, mut at) = (Vec::new(), 0);
    while let Came::Whole(message, taken) = http::read(&bytes[at..], Side::Request) {
        all.push(message);
        at += taken;
    }
    all
}

/// The target as a server is sent it: path and query. One in origin form begins with a slash, and may hold `://` in its query.
fn path(target: &str) -> &str {
    match target.split_once("://").filter(|_| !target.starts_with('/')) {
        Some((_, rest)) => rest.find('/').map_or("/", |at| &rest[at..]),
        None => target,
    }
}

/// Whether a server was sent what a client sent.
fn same(client: &Message, server: &Message) -> bool {
    let (Some((method, target)), Some((got, at))) = (client.request(), server.request()) else {
        return false;
    };
    method == got
        && path(target) == at
        && client.body == server.body
        && client.header("x-request-id") == server.header("x-request-id")
}

impl Reader for Requests {
    fn name(&self) -> &'static str {
        "requests"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        let mut out = Vec::new();
        for n in 0..1 + random.below(3) {
            let id = format!("{:016x}-{n}", random.bits());
            out.extend(request(random, &id));
        }
        if !random.one_in(5) {
            mutate(random, &mut out, &WORDS);
        }
        let cut = random.below(out.len() + 1) as u16;
        [&cut.to_le_bytes()[..], &out].concat()
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let [low, high, bytes @ ..] = input else { return Ok(()) };
        let cut = usize::from(u16::from_le_bytes([*low, *high])).min(bytes.len());
        if self.stage.is_none() {
            self.stage = Some(Stage::start(&self.program)?);
        }
        let Some(stage) = &mut self.stage else { return Ok(()) };
        let wanted = sent(bytes);
        // What is sent in one go and ends there is answered in one go, or the proxy waits for more until its time is up.
        let answers = wanted.len();
        stage.exchange(&[&bytes[..cut], &bytes[cut..]], |got| count(got, &wanted) >= answers.max(1))?;
        let (seen, malformed) = {
            let mut served = lock(&stage.served);
            (std::mem::take(&mut served.seen), std::mem::take(&mut served.malformed))
        };
        if let Some(malformed) = malformed.first() {
            return Err(format!("the server was sent what is no request: {malformed}"));
        }
        // Danger: requests of earlier cases may come late, when their clients have gone. Each comes once at most.
        self.awaited.extend(wanted);
        let past = self.awaited.len().saturating_sub(AWAITED);
        self.awaited.drain(..past);
        for request in &seen {
            match self.awaited.iter().position(|client| same(client, request)) {
                Some(at) => drop(self.awaited.remove(at)),
                None => {
                    return Err(format!(
                        "the server was sent {request:?}, which was not sent so, or once more"
                    ))
                }
            }
            if request.header("x-credential").is_some() || request.header("x-tenant") == Some(b"other") {
                return Err(format!("the server was sent what is the proxy's alone: {request:?}"));
            }
            let at = request.request().map_or("", |(_, at)| at);
            if at.starts_with("/keyed/") && request.header("x-tenant") != Some(b"t1") {
                return Err(format!("the server was sent a tenant's request without its name: {request:?}"));
            }
        }
        Ok(())
    }

    fn allocates(&self, _: &[u8]) -> Option<usize> {
        None
    }
}

/// How many whole answers have come to these requests.
fn count(got: &[u8], requests: &[Message]) -> usize {
    let (mut at, mut whole) = (0, 0);
    while let Came::Whole(answer, taken) = answer_to(&got[at..], requests.get(whole)) {
        at += taken;
        whole += usize::from(!matches!(answer.status(), Some(100..=199)));
    }
    whole
}

/// An answer, which has no body if its request was a HEAD.
fn answer_to(got: &[u8], request: Option<&Message>) -> Came {
    let is_head = request.and_then(Message::request).is_some_and(|(method, _)| method == "HEAD");
    if !is_head {
        return http::read(got, Side::Answer(false));
    }
    match got.windows(4).position(|four| four == b"\r\n\r\n") {
        Some(at) => {
            let empty = [&got[..at], b"\r\nx-none: 1\r\n\r\n"].concat();
            let start = String::from_utf8_lossy(&empty[..empty.len().min(12)]).into_owned();
            Came::Whole(Message { start, headers: Vec::new(), body: Vec::new() }, at + 4)
        }
        None => Came::Part,
    }
}
