//! Clients that send a long body by and by, and stop amid it: at a place by lot, or once an answer has come.

use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::client::long_payload;
use crate::field::Field;
use crate::operator::{host_of, key_of, LOAD};
use crate::record::{Answer, Caller, Micros, Try};
use crate::wire::{Head, Wire, PIECE};

/// How long it waits for an answer, from the request's begin on.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Between two pieces of a body: an answer is looked for meanwhile.
const PIECE_PAUSE: Duration = Duration::from_millis(2);
/// Between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// The bodies' lengths.
const LENGTHS: [usize; 3] = [9_000, 60_000, 200_000];
/// Who it asks for.
const TENANT: &str = "moth";

/// A client that sends a body by and by.
pub struct Uploader {
    field: Rc<Field>,
    /// The proxy's number.
    home: usize,
    proxy: SocketAddrV4,
}

impl Uploader {
    /// One that asks at the proxy of this number, which is here.
    pub fn new(field: Rc<Field>, home: usize, proxy: SocketAddrV4) -> Uploader {
        Uploader { field, home, proxy }
    }

    /// Sends one body after another until the play is over.
    pub async fn uploads(self) {
        while !self.field.over.get() {
            let length = LENGTHS[self.field.below(LENGTHS.len() as u64) as usize];
            let place = self.begin(length);
            // A body is sent up to here; every other one is sent whole, but for what an answer cuts off.
            let until =
                if self.field.below(2) == 0 { length } else { self.field.below(length as u64) as usize };
            let came = timeout(DEADLINE, self.upload(place, until)).await;
            // Without a whole answer there is none.
            self.end(place, came.ok().and_then(Result::ok).flatten());
            sleep(PAUSE).await;
        }
    }

    /// Notes a try that begins now; its place among the records.
    fn begin(&self, length: usize) -> usize {
        let id = format!("{:08x}", self.field.number());
        let now = self.field.now();
        let tried = Try {
            route: LOAD.into(),
            safe: false,
            tenant: Some(TENANT.into()),
            by: Caller::Client,
            proxy: self.home,
            // It breaks off at will.
            owed: false,
            line: format!("POST /{LOAD}/{id}?as=sent"),
            payload: long_payload(&id, length),
            wait: DEADLINE.as_micros() as Micros,
            sent: now,
            ended: now,
            answer: None,
            id,
        };
        let mut records = self.field.records.borrow_mut();
        records.tries.push(tried);
        records.tries.len() - 1
    }

    /// Notes what became of a try.
    fn end(&self, place: usize, answer: Option<Answer>) {
        let tried = &mut self.field.records.borrow_mut().tries[place];
        tried.ended = self.field.now();
        tried.answer = answer;
    }

    /// Sends a request's head and its body up to a place, and no more once an answer has come; the answer. The connection
    /// ends with it, wherever the body stands.
    async fn upload(&self, place: usize, until: usize) -> io::Result<Option<Answer>> {
        let (head, payload) = {
            let tried = &self.field.records.borrow().tries[place];
            let (wait, length) = (tried.wait / 1_000, tried.payload.len());
            let head = format!(
                "{} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {wait}\r\nX-Credential: {}\r\n\
                 Content-Length: {length}\r\n\r\n",
                tried.line,
                host_of(LOAD),
                tried.id,
                key_of(TENANT),
            );
            (head, tried.payload.clone().into_bytes())
        };
        let mut wire = Wire::new(TcpStream::connect(self.proxy).await?);
        wire.write(head.as_bytes()).await?;
        for piece in payload[..until].chunks(PIECE) {
            wire.write(piece).await?;
            if let Ok(head) = timeout(PIECE_PAUSE, wire.head()).await {
                return answer(&mut wire, head?).await;
            }
        }
        if until < payload.len() {
            return Ok(None);
        }
        let head = wire.head().await?;
        answer(&mut wire, head).await
    }
}

/// The answer that a head begins, if it comes whole.
async fn answer(wire: &mut Wire, head: Option<Result<Head, Vec<u8>>>) -> io::Result<Option<Answer>> {
    let Some(Ok(head)) = head else { return Ok(None) };
    let Some(status) = head.status() else { return Ok(None) };
    let Some(body) = wire.body(head.length()).await? else { return Ok(None) };
    Ok(Some(Answer {
        status,
        id: head.header("x-request-id").map(String::from),
        seal: head.header("x-server-seal").map(String::from),
        body: String::from_utf8_lossy(&body).into(),
    }))
}
