//! The quota counter: pipelined RESP2 on a few connections, each name always on the same one.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::BytesMut;
use mountbend::interface::{CountName, Event, Micros, Outcome};
use pinerelay_protocol::counter::{decode, encode, Add, InvalidReply, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

use crate::net::ports::{Core, QuotaStore};

/// Calls that may wait on one connection.
const QUEUE_MOST: usize = 4096;
/// A connection on which nothing has come for so many waits, though it owes an answer, is given up and opened
/// anew. Danger: a single connection falls silent while the counter answers on others, and each call on it
/// ends as timed out, for which the node rests from the whole counter. It does harm where every answer takes
/// longer than this: then connections are opened for nothing, four in this time.
const SILENT_WAITS: u32 = 3;

struct Call {
    add: Add,
    made: Instant,
}

#[derive(Default)]
struct Line {
    queue: RefCell<VecDeque<Call>>,
    wake: Notify,
    /// The counter has moved: what is under way ends here, and nothing new begins.
    left: Cell<bool>,
}

/// The counter as this node sees it.
pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    wait: Duration,
    lines: RefCell<Vec<Rc<Line>>>,
    teller: Teller,
}

/// A call that has been put on a connection.
struct Asked {
    name: CountName,
    made: Instant,
    /// Where its last byte stands among all bytes for this connection.
    end: u64,
    /// It has timed out; its answer is still to come and is dropped.
    told: bool,
}

impl Counter {
    /// The counter at this address, if the site has one; a call without an answer by `wait` microseconds has
    /// timed out. It is served from now on. A slow part of the counter holds up only the names that share one
    /// of the `connections` with its own.
    pub fn new(
        address: Option<SocketAddr>,
        wait: Micros,
        connections: usize,
        core: Weak<dyn Core>,
    ) -> Rc<Self> {
        let counter = Rc::new(Counter {
            address: Cell::new(address),
            wait: Duration::from_micros(wait.max(1)),
            lines: RefCell::new(new_lines(connections)),
            teller: Teller { core, open: Rc::default() },
        });
        counter.start();
        counter
    }

    /// Makes further calls at this address. Calls under way on the old one end there; what waits for a
    /// connection goes along.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) == address {
            return;
        }
        let connections = self.lines.borrow().len();
        let old = self.lines.replace(new_lines(connections));
        let mut stranded = Vec::new();
        for (from, to) in old.iter().zip(self.lines.borrow().iter()) {
            let waiting = from.queue.take();
            match address {
                Some(_) => *to.queue.borrow_mut() = waiting,
                None => stranded.extend(waiting),
            }
            from.left.set(true);
            from.wake.notify_one();
        }
        self.start();
        stranded.into_iter().for_each(|call| self.teller.tell(call.add.name, Outcome::ConnectFailed, 0.0));
    }

    fn start(&self) {
        let Some(address) = self.address.get() else { return };
        for line in self.lines.borrow().iter() {
            let (line, wait, teller) = (line.clone(), self.wait, self.teller.clone());
            tokio::task::spawn_local(async move {
                loop {
                    if line.queue.borrow().is_empty() {
                        if line.left.get() {
                            return;
                        }
                        line.wake.notified().await;
                        continue;
                    }
                    if let Some(stream) = connect(&line, &teller, address, wait).await {
                        session(&line, &teller, stream, wait).await;
                    }
                }
            });
        }
    }
}

impl QuotaStore for Counter {
    fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        let line = {
            let lines = self.lines.borrow();
            lines[(name.0 % lines.len() as u64) as usize].clone()
        };
        self.teller.open.set(self.teller.open.get() + 1);
        let full = line.queue.borrow().len() >= QUEUE_MOST;
        match Add::new(name, amount, keep_for) {
            Some(add) if self.address.get().is_some() && !full => {
                line.queue.borrow_mut().push_back(Call { add, made: Instant::now() });
                line.wake.notify_one();
            }
            _ => self.teller.tell(name, Outcome::ConnectFailed, 0.0),
        }
    }

    fn settled(&self) -> bool {
        self.teller.open.get() == 0
    }
}

fn new_lines(connections: usize) -> Vec<Rc<Line>> {
    (0..connections.max(1)).map(|_| Rc::default()).collect()
}

/// Tells the node how calls ended.
#[derive(Clone)]
struct Teller {
    core: Weak<dyn Core>,
    /// Calls whose outcome is still to be told.
    open: Rc<Cell<usize>>,
}

impl Teller {
    fn tell(&self, name: CountName, outcome: Outcome, total: f64) {
        self.open.set(self.open.get() - 1);
        if let Some(core) = self.core.upgrade() {
            core.event(Event::CounterReply { name, outcome, total });
        }
    }
}

/// Connects for the calls that wait; what gets no connection in time has not been added.
async fn connect(line: &Line, teller: &Teller, address: SocketAddr, wait: Duration) -> Option<TcpStream> {
    let first = line.queue.borrow().front()?.made;
    let stream = tokio::time::timeout_at(first + wait, TcpStream::connect(address)).await;
    if let Ok(Ok(stream)) = stream {
        let _ = stream.set_nodelay(true);
        return Some(stream);
    }
    // Only the calls that wait now: being told of one may lead to the next.
    let refused = stream.is_ok();
    let waiting = line.queue.borrow().len();
    for _ in 0..waiting {
        let over = line.queue.borrow_mut().pop_front_if(|c| refused || c.made + wait <= Instant::now());
        let Some(call) = over else { break };
        teller.tell(call.add.name, Outcome::ConnectFailed, 0.0);
    }
    None
}

/// Serves calls on one connection until it ends.
#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
async fn session(line: &Line, teller: &Teller, mut stream: TcpStream, wait: Duration) {
    let (mut reader, mut writer) = stream.split();
    let (mut outgoing, mut incoming) = (BytesMut::new(), BytesMut::new());
    let (mut queued, mut written) = (0u64, 0u64);
    let mut asked: VecDeque<Asked> = VecDeque::new();
    // Since when a part of an answer lies there, and whether what came makes no sense.
    let (mut part, mut spoilt): (Option<Instant>, bool) = (None, false);
    let mut heard = Instant::now();
    'open: loop {
        if line.left.get() && asked.iter().all(|a| a.told) {
            return;
        }
        for call in line.queue.borrow_mut().drain(..) {
            let before = outgoing.len();
            encode(&mut outgoing, &call.add);
            queued += (outgoing.len() - before) as u64;
            asked.push_back(Asked { name: call.add.name, made: call.made, end: queued, told: false });
        }
        let overdue = asked.iter().find(|a| !a.told).map(|a| a.made + wait);
        let silent = asked.front().map(|a| a.made.max(heard) + wait * SILENT_WAITS);
        let stuck = part.map(|since| since + wait / 2);
        let next = overdue.into_iter().chain(silent).chain(stuck).min();
        tokio::select! {
            sent = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => match sent {
                Ok(count) if count > 0 => written += count as u64,
                _ => break 'open,
            },
            got = reader.read_buf(&mut incoming) => {
                if !matches!(got, Ok(count) if count > 0) {
                    break 'open;
                }
                heard = Instant::now();
                loop {
                    match decode(&mut incoming) {
                        Ok(Some(reply)) => {
                            let Some(call) = asked.pop_front() else { break 'open };
                            // Danger: a late answer belongs to a call that has been told as timed out.
                            if !call.told {
                                match reply {
                                    Reply::Total(total) => teller.tell(call.name, Outcome::Ok, total),
                                    Reply::Busy => teller.tell(call.name, Outcome::Rejected, 0.0),
                                }
                            }
                        }
                        Ok(None) => break,
                        Err(InvalidReply) => {
                            spoilt = true;
                            break 'open;
                        }
                    }
                }
                part = (!incoming.is_empty()).then(Instant::now);
            },
            _ = line.wake.notified() => {}
            _ = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                let now = Instant::now();
                if stuck.is_some_and(|at| at <= now) {
                    spoilt = true;
                    break 'open;
                }
                if silent.is_some_and(|at| at <= now) {
                    break 'open;
                }
                for call in asked.iter_mut().filter(|a| !a.told && a.made + wait <= now) {
                    call.told = true;
                    teller.tell(call.name, Outcome::TimedOut, 0.0);
                }
            }
        }
    }
    drop(stream);
    // No call is made again here: whether one was added is for the decisions to weigh. Danger: neither a break
    // nor an answer that can't be read is silence; the counter is alive. The call of such an answer was added,
    // all others that were written may have been.
    for (place, call) in asked.into_iter().enumerate().filter(|(_, a)| !a.told) {
        let outcome = match (call.end <= written, spoilt, place) {
            (false, ..) => Outcome::ConnectFailed,
            (true, true, 0) => Outcome::Error,
            (true, ..) => Outcome::Reset,
        };
        teller.tell(call.name, outcome, 0.0);
    }
}
