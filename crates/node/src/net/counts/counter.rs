//! Client of the quota counter: pipelined RESP2 on a few connections, each count name always on the same one.

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

/// Maximum calls queued for one connection.
const MAX_QUEUED_CALLS: usize = 4096;
/// A connection with calls in flight that receives nothing for this many call timeouts is closed and reopened.
/// Danger: if a single connection falls silent while the counter answers on others, each call on it times out, and
/// the node then suspends its calls to the whole counter. Cost: if every answer takes longer than this, connections
/// are reopened to no effect, four in this time.
const MAX_SILENT_WAITS: u32 = 3;

/// A call that waits to be sent, and when it was made.
struct Call {
    add: Add,
    made: Instant,
}

/// The calls queued for one connection, shared with the task that serves it.
#[derive(Default)]
struct Slot {
    queue: RefCell<VecDeque<Call>>,
    wake: Notify,
    /// The counter's address has changed: calls in flight finish here, no new ones are sent.
    retired: Cell<bool>,
}

/// Client of the platform's quota counter.
pub struct Counter {
    address: Cell<Option<SocketAddr>>,
    wait: Duration,
    slots: RefCell<Vec<Rc<Slot>>>,
    reporter: Reporter,
}

/// A call that has been encoded for a connection and has no answer yet.
struct InFlight {
    name: CountName,
    made: Instant,
    /// Offset of the end of the encoded call among all bytes queued for this connection.
    end: u64,
    /// It has been reported as timed out; an answer that still arrives is dropped.
    reported: bool,
}

impl Counter {
    /// Creates the client and starts its connection tasks. `address` is `None` at a site without a counter. A call
    /// that is not answered within `wait` microseconds times out. A slow part of the counter delays only the names
    /// that share one of the `connections` with it.
    pub fn new(
        address: Option<SocketAddr>,
        wait: Micros,
        connections: usize,
        core: Weak<dyn Core>,
    ) -> Rc<Self> {
        let counter = Rc::new(Counter {
            address: Cell::new(address),
            wait: Duration::from_micros(wait.max(1)),
            slots: RefCell::new(new_slots(connections)),
            reporter: Reporter { core, pending: Rc::default() },
        });
        counter.start();
        counter
    }

    /// Sends further calls to this address. Calls in flight finish at the old address; queued calls move to the new
    /// one, or fail as `ConnectFailed` if there is none.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.replace(address) == address {
            return;
        }
        let connections = self.slots.borrow().len();
        let old = self.slots.replace(new_slots(connections));
        let mut stranded = Vec::new();
        for (from, to) in old.iter().zip(self.slots.borrow().iter()) {
            let waiting = from.queue.take();
            match address {
                Some(_) => *to.queue.borrow_mut() = waiting,
                None => stranded.extend(waiting),
            }
            from.retired.set(true);
            from.wake.notify_one();
        }
        self.start();
        stranded
            .into_iter()
            .for_each(|call| self.reporter.report(call.add.name, Outcome::ConnectFailed, 0.0));
    }

    fn start(&self) {
        let Some(address) = self.address.get() else { return };
        for slot in self.slots.borrow().iter() {
            let (slot, wait, reporter) = (slot.clone(), self.wait, self.reporter.clone());
            tokio::task::spawn_local(async move {
                loop {
                    if slot.queue.borrow().is_empty() {
                        if slot.retired.get() {
                            return;
                        }
                        slot.wake.notified().await;
                        continue;
                    }
                    if let Some(stream) = connect(&slot, &reporter, address, wait).await {
                        session(&slot, &reporter, stream, wait).await;
                    }
                }
            });
        }
    }
}

impl QuotaStore for Counter {
    fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        let slot = {
            let slots = self.slots.borrow();
            slots[(name.0 % slots.len() as u64) as usize].clone()
        };
        self.reporter.pending.set(self.reporter.pending.get() + 1);
        let full = slot.queue.borrow().len() >= MAX_QUEUED_CALLS;
        match Add::new(name, amount, keep_for) {
            Some(add) if self.address.get().is_some() && !full => {
                slot.queue.borrow_mut().push_back(Call { add, made: Instant::now() });
                slot.wake.notify_one();
            }
            _ => self.reporter.report(name, Outcome::ConnectFailed, 0.0),
        }
    }

    fn settled(&self) -> bool {
        self.reporter.pending.get() == 0
    }
}

fn new_slots(connections: usize) -> Vec<Rc<Slot>> {
    (0..connections.max(1)).map(|_| Rc::default()).collect()
}

/// Reports the outcomes of calls to the node.
#[derive(Clone)]
struct Reporter {
    core: Weak<dyn Core>,
    /// Number of calls whose outcome has not been reported yet.
    pending: Rc<Cell<usize>>,
}

impl Reporter {
    fn report(&self, name: CountName, outcome: Outcome, total: f64) {
        self.pending.set(self.pending.get() - 1);
        if let Some(core) = self.core.upgrade() {
            core.event(Event::CounterReply { name, outcome, total });
        }
    }
}

/// Connects for the queued calls. Calls that get no connection in time are reported as `ConnectFailed`: they were not
/// added.
async fn connect(slot: &Slot, reporter: &Reporter, address: SocketAddr, wait: Duration) -> Option<TcpStream> {
    let first = slot.queue.borrow().front()?.made;
    let stream = tokio::time::timeout_at(first + wait, TcpStream::connect(address)).await;
    if let Ok(Ok(stream)) = stream {
        let _ = stream.set_nodelay(true);
        return Some(stream);
    }
    // Only the calls queued now: reporting an outcome may queue another call.
    let refused = stream.is_ok();
    let waiting = slot.queue.borrow().len();
    for _ in 0..waiting {
        let expired = slot.queue.borrow_mut().pop_front_if(|c| refused || c.made + wait <= Instant::now());
        let Some(call) = expired else { break };
        reporter.report(call.add.name, Outcome::ConnectFailed, 0.0);
    }
    None
}

/// Sends calls and receives their answers on one connection until it closes.
#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
async fn session(slot: &Slot, reporter: &Reporter, mut stream: TcpStream, wait: Duration) {
    let (mut reader, mut writer) = stream.split();
    let (mut outgoing, mut incoming) = (BytesMut::new(), BytesMut::new());
    let (mut queued, mut written) = (0u64, 0u64);
    let mut in_flight: VecDeque<InFlight> = VecDeque::new();
    // When an incomplete answer was last received into, and whether an answer could not be decoded.
    let (mut partial_at, mut corrupt): (Option<Instant>, bool) = (None, false);
    let mut last_received = Instant::now();
    'session: loop {
        if slot.retired.get() && in_flight.iter().all(|a| a.reported) {
            return;
        }
        for call in slot.queue.borrow_mut().drain(..) {
            let before = outgoing.len();
            encode(&mut outgoing, &call.add);
            queued += (outgoing.len() - before) as u64;
            in_flight.push_back(InFlight {
                name: call.add.name,
                made: call.made,
                end: queued,
                reported: false,
            });
        }
        let call_deadline = in_flight.iter().find(|a| !a.reported).map(|a| a.made + wait);
        let silence_deadline = in_flight.front().map(|a| a.made.max(last_received) + wait * MAX_SILENT_WAITS);
        let partial_deadline = partial_at.map(|since| since + wait / 2);
        let next = call_deadline.into_iter().chain(silence_deadline).chain(partial_deadline).min();
        tokio::select! {
            sent = writer.write_buf(&mut outgoing), if !outgoing.is_empty() => match sent {
                Ok(count) if count > 0 => written += count as u64,
                _ => break 'session,
            },
            got = reader.read_buf(&mut incoming) => {
                if !matches!(got, Ok(count) if count > 0) {
                    break 'session;
                }
                last_received = Instant::now();
                loop {
                    match decode(&mut incoming) {
                        Ok(Some(reply)) => {
                            let Some(call) = in_flight.pop_front() else { break 'session };
                            // Danger: a late answer belongs to a call that has already been reported as timed out.
                            if !call.reported {
                                match reply {
                                    Reply::Total(total) => reporter.report(call.name, Outcome::Ok, total),
                                    Reply::Busy => reporter.report(call.name, Outcome::Rejected, 0.0),
                                }
                            }
                        }
                        Ok(None) => break,
                        Err(InvalidReply) => {
                            corrupt = true;
                            break 'session;
                        }
                    }
                }
                partial_at = (!incoming.is_empty()).then(Instant::now);
            },
            _ = slot.wake.notified() => {}
            _ = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                let now = Instant::now();
                if partial_deadline.is_some_and(|at| at <= now) {
                    corrupt = true;
                    break 'session;
                }
                if silence_deadline.is_some_and(|at| at <= now) {
                    break 'session;
                }
                for call in in_flight.iter_mut().filter(|a| !a.reported && a.made + wait <= now) {
                    call.reported = true;
                    reporter.report(call.name, Outcome::TimedOut, 0.0);
                }
            }
        }
    }
    drop(stream);
    // Calls are not retried here: the controller decides what an unknown outcome means. Danger: neither a closed
    // connection nor an undecodable answer is a timeout; the counter is alive. The call with the undecodable answer was
    // added; all others that were written may have been.
    for (index, call) in in_flight.into_iter().enumerate().filter(|(_, a)| !a.reported) {
        let outcome = match (call.end <= written, corrupt, index) {
            (false, ..) => Outcome::ConnectFailed,
            (true, true, 0) => Outcome::Error,
            (true, ..) => Outcome::Reset,
        };
        reporter.report(call.name, outcome, 0.0);
    }
}
