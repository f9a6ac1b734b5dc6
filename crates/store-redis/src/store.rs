//! The Redis client: executes counter calls over a few connections to one server, and reports every outcome within the
//! call timeout.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::{CountName, Micros, Outcome};
use redis::aio::MultiplexedConnection;
use redis::{AsyncConnectionConfig, ErrorKind, Pipeline, RedisError};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::ledger::{End, Ledger, Ticket, PARTS_PER_UNIT};
use crate::server::Server;

/// The most calls that may be queued and in flight on one connection, so that calls don't pile up without bound while
/// the server does not answer.
const MAX_PENDING_CALLS: usize = 4096;
/// A connection that has not answered a call for this long is closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay after a failed attempt to connect: it doubles from the minimum to the maximum, and half of it is random
/// jitter, so that a thousand nodes don't all connect at once when the server has started.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// The minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Called with the outcome of each call: the counter's name, the outcome and, with [`Outcome::Ok`], the counter's total
/// in units.
pub type OutcomeCallback = Rc<dyn Fn(CountName, Outcome, f64)>;

struct Call {
    name: CountName,
    amount: f64,
    keep_for: Micros,
    made_at: Instant,
    /// The amount is already in the ledger: the reply was lost, and the call is repeated.
    is_retry: bool,
}

/// One connection slot: its queue outlives the single connections.
#[derive(Default)]
struct Channel {
    queue: RefCell<VecDeque<Call>>,
    wake: Notify,
    /// The number of calls that were sent and have no reply yet.
    in_flight: Cell<usize>,
    is_connected: Cell<bool>,
    /// A call was added to any channel while this one had no connection, so it connects even if its queue is empty.
    connect_requested: Cell<bool>,
}

struct Shared {
    server: RefCell<Server>,
    /// The number of moves to another server. Connections made before the latest move are closed.
    moves: Cell<u64>,
    call_timeout: Duration,
    ledger: RefCell<Ledger>,
    /// The prefix of this node's field names.
    incarnation: String,
    created_at: Instant,
    rng_state: Cell<u64>,
    on_outcome: OutcomeCallback,
    /// The number of calls whose outcome has not been reported yet.
    pending: Cell<usize>,
    last_logged: Cell<Option<Instant>>,
}

/// The quota counters in a Redis server. Its tasks run on the current thread's `LocalSet` and end with it.
pub struct RedisStore {
    channels: Vec<Rc<Channel>>,
    shared: Rc<Shared>,
}

impl RedisStore {
    /// Starts the tasks that connect to `server`. A call without a reply after `call_timeout` microseconds has timed
    /// out. `seed` makes this node's field names unique, so it must differ at every start.
    pub fn new(
        server: Server,
        call_timeout: Micros,
        seed: u64,
        on_outcome: OutcomeCallback,
    ) -> Rc<RedisStore> {
        let channels: Vec<Rc<Channel>> = (0..server.connections.max(1)).map(|_| Rc::default()).collect();
        let shared = Rc::new(Shared {
            server: RefCell::new(server),
            moves: Cell::new(0),
            call_timeout: Duration::from_micros(call_timeout.max(1)),
            ledger: RefCell::default(),
            incarnation: format!("{:x}.", seed & 0xffff_ffff_ffff),
            created_at: Instant::now(),
            rng_state: Cell::new(seed | 1),
            on_outcome,
            pending: Cell::new(0),
            last_logged: Cell::new(None),
        });
        for channel in &channels {
            tokio::task::spawn_local(run_channel(channel.clone(), shared.clone()));
        }
        Rc::new(RedisStore { channels, shared })
    }

    /// Adds `amount` units to the counter `name`; a new counter expires after `keep_for` microseconds. The outcome is
    /// reported exactly once, when the call timeout expires at the latest: `Ok` (added, with the total), `Rejected` and
    /// `ConnectFailed` (the amount will not stay in the counter), `TimedOut` (0 or a return, which the next call writes
    /// at the latest), `Error` (added, but the total can't be read).
    pub fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        self.shared.pending.set(self.shared.pending.get() + 1);
        let channel = &self.channels[(name.0 % self.channels.len() as u64) as usize];
        if channel.queue.borrow().len() + channel.in_flight.get() >= MAX_PENDING_CALLS || !amount.is_finite()
        {
            return self.shared.report(name, Outcome::ConnectFailed, 0.0);
        }
        let call = Call { name, amount, keep_for, made_at: Instant::now(), is_retry: false };
        channel.queue.borrow_mut().push_back(call);
        channel.wake.notify_one();
        self.connect_all();
    }

    /// Lets all channels connect: a counter's successor may be assigned to another channel, and its first call, which
    /// may be the last of a node that stops, should not have to wait for a login.
    fn connect_all(&self) {
        for channel in self.channels.iter().filter(|channel| !channel.is_connected.get()) {
            if !channel.connect_requested.replace(true) {
                channel.wake.notify_one();
            }
        }
    }

    /// Whether the outcome of every call has been reported.
    pub fn settled(&self) -> bool {
        self.shared.pending.get() == 0
    }

    /// Sends further calls to another server, over as many connections as before. The first call for each counter there
    /// writes this node's whole share of it.
    pub fn move_to(&self, server: Server) {
        self.shared.server.replace(server);
        self.shared.moves.set(self.shared.moves.get() + 1);
        self.channels.iter().for_each(|channel| channel.wake.notify_one());
    }
}

impl Shared {
    fn report(&self, name: CountName, outcome: Outcome, total: f64) {
        self.pending.set(self.pending.get() - 1);
        (self.on_outcome)(name, outcome, total);
    }

    /// Returns a random number in [0, 1), drawn by xorshift64* and only used for reconnect jitter.
    fn random_unit(&self) -> f64 {
        let mut x = self.rng_state.get();
        x ^= x >> 12;
        x ^= x << 25;
        x ^= x >> 27;
        self.rng_state.set(x);
        (x.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Logs a problem with the server, unless another one was logged within [`LOG_INTERVAL`].
    fn log(&self, what: &str) {
        let now = Instant::now();
        if self.last_logged.get().is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.last_logged.set(Some(now));
            eprintln!("pinerelay: redis {:?}: {what}", self.server.borrow());
        }
    }

    /// Reports a failed call. A lease is reverted in the ledger, so the node's next call writes its fields without it.
    /// A return stays in the ledger and is written by the next call, so it is always reported as
    /// [`Outcome::TimedOut`], not as failed.
    fn report_failure(&self, call: &Call, outcome: Outcome) {
        if call.amount > 0.0 {
            self.ledger.borrow_mut().revert(call.name, call.amount);
            self.report(call.name, outcome, 0.0);
        } else {
            self.report(call.name, Outcome::TimedOut, 0.0);
        }
    }
}

/// Executes a channel's calls, reconnecting as needed, for as long as the store exists.
async fn run_channel(channel: Rc<Channel>, shared: Rc<Shared>) {
    let mut delay = MIN_RECONNECT_DELAY;
    loop {
        if channel.queue.borrow().is_empty() && !channel.connect_requested.get() {
            channel.wake.notified().await;
            continue;
        }
        channel.connect_requested.set(false);
        let moves = shared.moves.get();
        match connect(&channel, &shared).await {
            Ok((connection, driver)) => {
                delay = MIN_RECONNECT_DELAY;
                channel.connect_requested.set(false);
                channel.is_connected.set(true);
                run_connection(&channel, &shared, connection, driver, moves).await;
                channel.is_connected.set(false);
            }
            Err(why) => {
                shared.log(&why);
                let jittered = delay / 2 + delay.mul_f64(shared.random_unit() / 2.0);
                delay = (delay * 2).min(MAX_RECONNECT_DELAY);
                fail_queued_calls(&channel, &shared, Instant::now() + jittered, moves).await;
            }
        }
    }
}

/// Fails all queued calls until it is time to reconnect or the store has moved to another server.
async fn fail_queued_calls(channel: &Channel, shared: &Shared, until: Instant, moves: u64) {
    loop {
        // Only the calls that are queued now, since the callback may queue another one.
        let queued = channel.queue.borrow().len();
        for _ in 0..queued {
            let Some(call) = channel.queue.borrow_mut().pop_front() else { break };
            fail_unsent(shared, &call);
        }
        if shared.moves.get() != moves {
            return;
        }
        tokio::select! {
            _ = sleep_until(until) => return,
            _ = channel.wake.notified() => {}
        }
    }
}

/// Reports a call that was not sent or not repeated.
fn fail_unsent(shared: &Shared, call: &Call) {
    match call.is_retry {
        false => shared.report(call.name, Outcome::ConnectFailed, 0.0),
        true => shared.report_failure(call, Outcome::ConnectFailed),
    }
}

/// Connects, logs in and checks that the server supports the commands that are used. Errors contain no secrets.
async fn connect(
    channel: &Channel,
    shared: &Shared,
) -> Result<(MultiplexedConnection, JoinHandle<()>), String> {
    let made_at = channel.queue.borrow().front().map_or_else(Instant::now, |call| call.made_at);
    let deadline = made_at + shared.call_timeout;
    let server = shared.server.borrow().clone();
    let setup = async {
        let stream = TcpStream::connect((server.host.as_str(), server.port)).await;
        let stream = stream.map_err(|e| format!("cannot connect: {e}"))?;
        let _ = stream.set_nodelay(true);
        // The client's own timeout is off: calls have their own, and replies that arrive after it are still read.
        let config = AsyncConnectionConfig::new().set_response_timeout(None);
        let handshake = MultiplexedConnection::new_with_config(&server.login, stream, config).await;
        let (mut connection, driver) = handshake.map_err(|e| format!("login failed: {}", describe(&e)))?;
        let driver = tokio::task::spawn_local(driver);
        // A server older than 7.0 does not support `PEXPIRE ... NX`. It would execute the other commands of a call, and
        // keep each counter forever.
        let probe = format!("{}:probe", server.prefix);
        let reply =
            redis::cmd("PEXPIRE").arg(probe).arg(1).arg("NX").query_async::<i64>(&mut connection).await;
        match reply {
            Ok(_) => Ok((connection, driver)),
            Err(e) => {
                driver.abort();
                Err(format!("PEXPIRE ... NX (Redis 7.0) is required: {}", describe(&e)))
            }
        }
    };
    timeout_at(deadline, setup).await.unwrap_or_else(|_| Err("connecting timed out".into()))
}

/// Describes an error by its category and the server's error code. The server's text is left out, since it may name
/// users or keys.
fn describe(error: &RedisError) -> String {
    match error.code() {
        Some(code) => format!("{} ({code})", error.category()),
        None => error.category().to_string(),
    }
}

/// Sends the channel's calls over one connection until that ends or the store has moved to another server.
async fn run_connection(
    channel: &Rc<Channel>,
    shared: &Rc<Shared>,
    connection: MultiplexedConnection,
    mut driver: JoinHandle<()>,
    moves: u64,
) {
    // Set by a call that got no reply from the server.
    let broken = Rc::new(Cell::new(false));
    loop {
        if broken.get() || shared.moves.get() != moves {
            break;
        }
        let next = channel.queue.borrow_mut().pop_front();
        if let Some(call) = next {
            if call.made_at + shared.call_timeout <= Instant::now() {
                fail_unsent(shared, &call);
                continue;
            }
            let now = shared.created_at.elapsed().as_micros() as Micros;
            let amount = if call.is_retry { 0.0 } else { call.amount };
            let added = shared.ledger.borrow_mut().add(now, call.name, amount, call.keep_for);
            let Some((writes, ticket)) = added else {
                fail_unsent(shared, &call);
                continue;
            };
            let key = format!("{}:q:{:x}", shared.server.borrow().prefix, call.name.0);
            let mut pipe = redis::pipe();
            pipe.atomic().cmd("HSET").arg(&key);
            for write in &writes {
                pipe.arg(format!("{}{}", shared.incarnation, write.field)).arg(write.parts);
            }
            pipe.ignore().cmd("PEXPIRE").arg(&key).arg((call.keep_for / 1_000).max(1)).arg("NX").ignore();
            pipe.cmd("HVALS").arg(&key);
            channel.in_flight.set(channel.in_flight.get() + 1);
            let request = Request {
                channel: channel.clone(),
                shared: shared.clone(),
                connection: connection.clone(),
                broken: broken.clone(),
                moves,
            };
            tokio::task::spawn_local(request.run(call, pipe, ticket));
            continue;
        }
        tokio::select! {
            _ = channel.wake.notified() => {}
            _ = &mut driver => break,
        }
    }
    // Closes the connection, which ends its calls in flight with an error at once.
    driver.abort();
}

/// What one call needs to be executed on a connection.
struct Request {
    channel: Rc<Channel>,
    shared: Rc<Shared>,
    connection: MultiplexedConnection,
    broken: Rc<Cell<bool>>,
    moves: u64,
}

impl Request {
    async fn run(mut self, call: Call, pipe: Pipeline, ticket: Ticket) {
        let deadline = call.made_at + self.shared.call_timeout;
        let mut reported = false;
        let answer = {
            let reply = pipe.query_async::<(Vec<i64>,)>(&mut self.connection);
            tokio::pin!(reply);
            let mut answer = timeout_at(deadline, &mut reply).await.ok();
            if answer.is_none() {
                // A late reply is not reported any more, but it completes the call in the ledger.
                reported = true;
                self.shared.report_failure(&call, Outcome::ConnectFailed);
                answer =
                    timeout_at(call.made_at + RESPONSE_TIMEOUT.max(self.shared.call_timeout), &mut reply)
                        .await
                        .ok();
            }
            answer
        };
        self.channel.in_flight.set(self.channel.in_flight.get() - 1);
        let lost = match &answer {
            Some(Ok(_)) => false,
            Some(Err(error)) => !is_server_reply(error),
            None => true,
        };
        let end = if lost { End::Lost } else { End::Answered };
        self.shared.ledger.borrow_mut().end(ticket, end);
        if lost {
            self.broken.set(true);
            self.channel.wake.notify_one();
        }
        if reported {
            return;
        }
        match answer {
            Some(Ok((parts,))) => {
                let total: i128 = parts.iter().map(|&p| i128::from(p)).sum();
                self.shared.report(call.name, Outcome::Ok, total as f64 / PARTS_PER_UNIT);
            }
            Some(Err(error)) if error.kind() == ErrorKind::UnexpectedReturnType => {
                self.shared.log(
                    "a counter holds a value that is not an integer: is its key used by another application?",
                );
                self.shared.report(call.name, Outcome::Error, 0.0);
            }
            Some(Err(error)) if !lost => {
                self.shared.log(&format!("call rejected: {}", describe(&error)));
                self.shared.report_failure(&call, Outcome::Rejected);
            }
            // A retry writes the same absolute values, so nothing is counted twice. A call is retried once, on the next
            // connection, and again if the store has moved to another server meanwhile.
            _ if !call.is_retry || self.shared.moves.get() != self.moves => {
                let retry = Call { is_retry: true, ..call };
                self.channel.queue.borrow_mut().push_back(retry);
                self.channel.wake.notify_one();
            }
            _ => self.shared.report_failure(&call, Outcome::ConnectFailed),
        }
    }
}

/// Whether the error is a reply of the server, or an unexpected type of one: the call will not be executed later.
fn is_server_reply(error: &RedisError) -> bool {
    matches!(error.kind(), ErrorKind::Server(_) | ErrorKind::UnexpectedReturnType) || error.code().is_some()
}
