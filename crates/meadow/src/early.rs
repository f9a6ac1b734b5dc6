//! Stand-in servers that answer a request before its body has come, keep the connection, and read on later.
//!
//! They read and write plain bytes, so that what comes where the rest of a body is due can be looked at.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::client::long_payload;
use crate::field::Field;
use crate::record::{Foreign, Micros, Run};
use crate::registration::{Plan, Registration};
use crate::wire::{Head, Wire, PIECE};

/// Between two pieces of a body that are read: it comes as over a link of 2 Mbit/s.
const PIECE_PAUSE: Duration = Duration::from_millis(16);
/// The buffer of a connection for what has not been read: small, so that the rest of a body stays with its sender.
const BUFFER: u32 = 8 * 1024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 128;

/// What an early server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Turns it away on its head.
    TurnsAway,
    /// Runs it and answers on its head.
    RunsOnHead,
    /// Reads it whole first.
    Reads,
}

const MANNERS: [Manner; 3] = [Manner::TurnsAway, Manner::RunsOnHead, Manner::Reads];

/// What state a request leaves its connection in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    /// Its body has not come whole.
    Broken,
    /// Its body has come whole, after the answer.
    AfterEarlyAnswer,
    /// Its body had come whole before the answer.
    AfterBody,
}

/// A running server that answers early.
pub struct EarlyServer {
    registration: Registration,
    field: Rc<Field>,
    tasks: RefCell<Vec<AbortHandle>>,
}

async fn answer(wire: &mut Wire, status: u16, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} OK\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str(&format!("\r\n{body}"));
    wire.write(text.as_bytes()).await
}

impl EarlyServer {
    /// Starts a server: it listens, and tells of itself.
    pub fn start(plan: Plan, field: Rc<Field>, controls: Vec<SocketAddrV4>) -> io::Result<Rc<EarlyServer>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(BUFFER)?;
        socket.bind(plan.address.into())?;
        let listener = socket.listen(BACKLOG)?;
        let registration = Registration::new(plan, field.clone(), controls);
        let server = Rc::new(EarlyServer { registration, field, tasks: RefCell::default() });
        let (accepting, beating) = (server.clone(), server.clone());
        server.keep(tokio::task::spawn_local(accepting.accept(listener)).abort_handle());
        let beats = tokio::task::spawn_local(async move { beating.registration.beats().await });
        server.keep(beats.abort_handle());
        Ok(server)
    }

    fn keep(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // Without it answers are later, not wrong.
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            let task = tokio::task::spawn_local(async move {
                // Who closes a connection ends it, and no more.
                let _ = server.serve(Wire::new(stream)).await;
            });
            self.keep(task.abort_handle());
        }
    }

    /// Serves one connection until its other end closes it or sends what is no request.
    async fn serve(&self, mut wire: Wire) -> io::Result<()> {
        let mut last = String::from("no request");
        let mut behind_a_body = false;
        while let Some(head) = wire.head().await? {
            let head = match head {
                Ok(head) if head.request_line().is_some() => head,
                Ok(head) => {
                    self.foreign(&last, head.line.as_bytes());
                    return Ok(());
                }
                Err(bytes) => {
                    self.foreign(&last, &bytes);
                    return Ok(());
                }
            };
            let came = self.field.now();
            if head.request_line() == Some("GET /health") {
                answer(&mut wire, 200, &[("X-Server-Id", &self.registration.plan.id)], "").await?;
                continue;
            }
            self.field.records.borrow_mut().behind += usize::from(behind_a_body);
            behind_a_body = false;
            let Some(id) = head.header("x-request-id") else {
                self.field.records.borrow_mut().nameless.push((self.registration.plan.id.clone(), came));
                return Ok(());
            };
            match self.request(&mut wire, &head, id, came).await? {
                Left::Broken => return Ok(()),
                Left::AfterEarlyAnswer => behind_a_body = true,
                Left::AfterBody => {}
            }
            last = id.to_string();
        }
        Ok(())
    }

    /// Takes a request whose head has come, and answers it.
    async fn request(&self, wire: &mut Wire, head: &Head, id: &str, came: Micros) -> io::Result<Left> {
        let length = head.length();
        let wanted = head.header("x-expect-server").is_none_or(|wanted| wanted == self.registration.plan.id);
        let early = wire.ahead() < length;
        let mut manner = MANNERS[self.field.below(MANNERS.len() as u64) as usize];
        if !wanted {
            manner = Manner::TurnsAway;
        }
        if manner == Manner::Reads {
            let whole = self.rest(wire, id, length).await?;
            if whole {
                self.run(wire, head, id, Some(long_payload(id, length)), came).await?;
            }
            return Ok(if whole { Left::AfterBody } else { Left::Broken });
        }
        self.field.records.borrow_mut().early += usize::from(early);
        if manner == Manner::RunsOnHead {
            self.run(wire, head, id, None, came).await?;
        } else {
            let status = if wanted { 503 } else { 421 };
            *self.field.records.borrow_mut().turned_away.entry(status).or_default() += 1;
            answer(wire, status, &[("X-Request-Id", id), ("X-Not-Executed", "1")], "").await?;
        }
        let whole = self.rest(wire, id, length).await?;
        Ok(match (whole, early) {
            (false, _) => Left::Broken,
            (true, true) => Left::AfterEarlyAnswer,
            (true, false) => Left::AfterBody,
        })
    }

    /// Runs a request and answers it.
    async fn run(
        &self,
        wire: &mut Wire,
        head: &Head,
        id: &str,
        payload: Option<String>,
        came: Micros,
    ) -> io::Result<()> {
        let Plan { id: server, service, .. } = &self.registration.plan;
        let seal = format!("{server}.{id}.{}", self.field.number());
        let line = head.request_line().unwrap_or_default().to_string();
        let body = format!("{server} has {line}\n");
        let handed = head.header("x-deadline-ms").and_then(|ms| ms.parse::<Micros>().ok());
        let run = Run {
            id: id.into(),
            server: server.clone(),
            service: (*service).into(),
            at: came,
            tenant: head.header("x-tenant").map(String::from),
            key: head.header("x-credential").is_some(),
            line,
            payload,
            handed: handed.map(|ms| ms * 1_000),
            status: 200,
            seal: seal.clone(),
            body: body.clone(),
        };
        {
            let mut records = self.field.records.borrow_mut();
            records.runs.push(run);
            records.sealed.insert(seal.clone(), 200);
        }
        answer(wire, 200, &[("X-Request-Id", id), ("X-Server-Seal", &seal)], &body).await
    }

    /// Reads a body at the pace of a narrow link, and notes what comes in its place; whether it came whole.
    async fn rest(&self, wire: &mut Wire, id: &str, length: usize) -> io::Result<bool> {
        let due = long_payload(id, length);
        let mut read = 0;
        while read < length {
            let piece = wire.piece(PIECE.min(length - read)).await?;
            if piece.is_empty() {
                return Ok(false);
            }
            if piece != due.as_bytes()[read..read + piece.len()] {
                let same = piece.iter().zip(&due.as_bytes()[read..]).take_while(|(a, b)| a == b).count();
                self.foreign(id, &piece[same..]);
                return Ok(false);
            }
            read += piece.len();
            sleep(PIECE_PAUSE).await;
        }
        Ok(true)
    }

    /// Notes bytes that came where the rest of a body, or a request after it, was due.
    fn foreign(&self, id: &str, bytes: &[u8]) {
        let got = String::from_utf8_lossy(bytes).into_owned();
        let server = self.registration.plan.id.clone();
        let foreign = Foreign { server, id: id.into(), at: self.field.now(), got };
        self.field.records.borrow_mut().foreign.push(foreign);
    }
}
