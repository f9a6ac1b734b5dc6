//! The store on its sockets: calls made on a few connections to one Redis, each answered within its time.

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

use crate::ledger::{End, Ledger, Ticket, PARTS};
use crate::server::Server;

/// Calls that may wait and be out on one connection. Danger: a store that does not answer, and calls that are kept
/// until it does.
const QUEUE_MOST: usize = 4096;
/// A connection that owes an answer for so long is given up.
const SILENT: Duration = Duration::from_secs(5);
/// The pause after a connection could not be made: it doubles from the first to the last, and a random half of it
/// keeps nodes from coming back in step. Danger: a thousand nodes that connect at once as a store has started.
const REST: Duration = Duration::from_millis(50);
const REST_MOST: Duration = Duration::from_secs(5);
/// How often the log may tell of the same store.
const LOG_EVERY: Duration = Duration::from_secs(10);

/// Who is told how calls ended: the count's name, the outcome and, with [`Outcome::Ok`], its total in units.
pub type Tell = Rc<dyn Fn(CountName, Outcome, f64)>;

struct Call {
    name: CountName,
    amount: f64,
    keep_for: Micros,
    made: Instant,
    /// It stands in the ledger already: its answer was lost, and it is asked again.
    again: bool,
}

#[derive(Default)]
struct Line {
    queue: RefCell<VecDeque<Call>>,
    wake: Notify,
    /// Calls on the connection that have no answer yet.
    out: Cell<usize>,
}

struct Shared {
    server: RefCell<Server>,
    /// Counts the moves to another store: a connection of an earlier one ends.
    moves: Cell<u64>,
    wait: Duration,
    ledger: RefCell<Ledger>,
    /// What this node's fields begin with.
    incarnation: String,
    began: Instant,
    random: Cell<u64>,
    tell: Tell,
    /// Calls whose outcome is still to be told.
    open: Cell<usize>,
    logged: Cell<Option<Instant>>,
}

/// A Redis as store of the counts. Its tasks run on the current thread's local set and end with it.
pub struct RedisStore {
    lines: Vec<Rc<Line>>,
    shared: Rc<Shared>,
}

impl RedisStore {
    /// A store on this server. A call without an answer by `wait` microseconds has timed out; `seed` makes this
    /// node's fields its own, and must differ from start to start.
    pub fn new(server: Server, wait: Micros, seed: u64, tell: Tell) -> Rc<RedisStore> {
        let lines: Vec<Rc<Line>> = (0..server.connections.max(1)).map(|_| Rc::default()).collect();
        let shared = Rc::new(Shared {
            server: RefCell::new(server),
            moves: Cell::new(0),
            wait: Duration::from_micros(wait.max(1)),
            ledger: RefCell::default(),
            incarnation: format!("{:x}.", seed & 0xffff_ffff_ffff),
            began: Instant::now(),
            random: Cell::new(seed | 1),
            tell,
            open: Cell::new(0),
            logged: Cell::new(None),
        });
        for line in &lines {
            tokio::task::spawn_local(serve(line.clone(), shared.clone()));
        }
        Rc::new(RedisStore { lines, shared })
    }

    /// Adds `amount` units to a name that, if new, is kept for `keep_for` microseconds. Told once, at the wait's
    /// end at the latest: `Ok` (added; the total), `Full` and `ConnectFailed` (nothing of it will stand in the
    /// store), `TimedOut` (it will, or was nothing), `Error` (it was added, but the total can't be read).
    pub fn add(&self, name: CountName, amount: f64, keep_for: Micros) {
        self.shared.open.set(self.shared.open.get() + 1);
        let line = &self.lines[(name.0 % self.lines.len() as u64) as usize];
        if line.queue.borrow().len() + line.out.get() >= QUEUE_MOST || !amount.is_finite() {
            return self.shared.told(name, Outcome::ConnectFailed, 0.0);
        }
        let call = Call { name, amount, keep_for, made: Instant::now(), again: false };
        line.queue.borrow_mut().push_back(call);
        line.wake.notify_one();
    }

    /// Whether the outcome of every call has been told.
    pub fn settled(&self) -> bool {
        self.shared.open.get() == 0
    }

    /// Makes further calls at another server, on as many connections as before. What this node holds in its counts
    /// goes along: the first call of each there writes it.
    pub fn move_to(&self, server: Server) {
        self.shared.server.replace(server);
        self.shared.moves.set(self.shared.moves.get() + 1);
        self.lines.iter().for_each(|line| line.wake.notify_one());
    }
}

impl Shared {
    fn told(&self, name: CountName, outcome: Outcome, total: f64) {
        self.open.set(self.open.get() - 1);
        (self.tell)(name, outcome, total);
    }

    /// A random number of [0, 1): xorshift64*, for pauses alone.
    fn lot(&self) -> f64 {
        let mut x = self.random.get();
        x ^= x >> 12;
        x ^= x << 25;
        x ^= x >> 27;
        self.random.set(x);
        (x.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn log(&self, what: &str) {
        let now = Instant::now();
        if self.logged.get().is_none_or(|at| now >= at + LOG_EVERY) {
            self.logged.set(Some(now));
            eprintln!("pinerelay: redis {:?}: {what}", self.server.borrow());
        }
    }

    /// The node is told that a call did not succeed. What it would have leased is taken back and so never stands
    /// in the store. What it gave back goes with the next call; of it, it may only be said that it may yet be.
    fn not_added(&self, call: &Call, outcome: Outcome) {
        if call.amount > 0.0 {
            self.ledger.borrow_mut().take_back(call.name, call.amount);
            self.told(call.name, outcome, 0.0);
        } else {
            self.told(call.name, Outcome::TimedOut, 0.0);
        }
    }
}

/// One connection after the other, for as long as the store lasts.
async fn serve(line: Rc<Line>, shared: Rc<Shared>) {
    let mut rest = REST;
    loop {
        if line.queue.borrow().is_empty() {
            line.wake.notified().await;
            continue;
        }
        let moves = shared.moves.get();
        match connect(&line, &shared).await {
            Ok((connection, driver)) => {
                rest = REST;
                session(&line, &shared, connection, driver, moves).await;
            }
            Err(why) => {
                shared.log(&why);
                let pause = rest / 2 + rest.mul_f64(shared.lot() / 2.0);
                rest = (rest * 2).min(REST_MOST);
                refuse(&line, &shared, Instant::now() + pause, moves).await;
            }
        }
    }
}

/// Turns calls away until it is time to connect again, or the store has moved.
async fn refuse(line: &Line, shared: &Shared, until: Instant, moves: u64) {
    loop {
        // Only the calls that wait now: being told of one may lead to the next.
        let waiting = line.queue.borrow().len();
        for _ in 0..waiting {
            let Some(call) = line.queue.borrow_mut().pop_front() else { break };
            give_up(shared, &call);
        }
        if shared.moves.get() != moves {
            return;
        }
        tokio::select! {
            _ = sleep_until(until) => return,
            _ = line.wake.notified() => {}
        }
    }
}

/// A call that was not sent, or not again.
fn give_up(shared: &Shared, call: &Call) {
    match call.again {
        false => shared.told(call.name, Outcome::ConnectFailed, 0.0),
        true => shared.not_added(call, Outcome::ConnectFailed),
    }
}

/// Connects, says who we are, and asks whether the server knows what we need. What goes wrong is told in words that
/// hold no secret.
async fn connect(line: &Line, shared: &Shared) -> Result<(MultiplexedConnection, JoinHandle<()>), String> {
    let made = line.queue.borrow().front().map_or_else(Instant::now, |call| call.made);
    let until = made + shared.wait;
    let server = shared.server.borrow().clone();
    let all = async {
        let stream = TcpStream::connect((server.host.as_str(), server.port)).await;
        let stream = stream.map_err(|e| format!("no connection: {e}"))?;
        let _ = stream.set_nodelay(true);
        // Calls have a time of their own, and answers that come after it are waited for.
        let config = AsyncConnectionConfig::new().set_response_timeout(None);
        let made = MultiplexedConnection::new_with_config(&server.login, stream, config).await;
        let (mut connection, driver) = made.map_err(|e| format!("it does not let us in: {}", words(&e)))?;
        let driver = tokio::task::spawn_local(driver);
        // Danger: a server older than 7.0 does not know NX here. It would carry the rest of a call out, and keep
        // each count for ever.
        let probe = format!("{}:probe", server.prefix);
        let knows =
            redis::cmd("PEXPIRE").arg(probe).arg(1).arg("NX").query_async::<i64>(&mut connection).await;
        match knows {
            Ok(_) => Ok((connection, driver)),
            Err(e) => {
                driver.abort();
                Err(format!("PEXPIRE ... NX (Redis 7.0) is wanted: {}", words(&e)))
            }
        }
    };
    timeout_at(until, all).await.unwrap_or_else(|_| Err("no connection in time".into()))
}

/// What an error says: its kind and, of a server's answer, the code, which names no user and no key.
fn words(error: &RedisError) -> String {
    match error.code() {
        Some(code) => format!("{} ({code})", error.category()),
        None => error.category().to_string(),
    }
}

/// Makes calls on one connection until it ends or the store has moved.
async fn session(
    line: &Rc<Line>,
    shared: &Rc<Shared>,
    connection: MultiplexedConnection,
    mut driver: JoinHandle<()>,
    moves: u64,
) {
    // Set by a call when the connection is no good any more.
    let spent = Rc::new(Cell::new(false));
    loop {
        if spent.get() || shared.moves.get() != moves {
            break;
        }
        let next = line.queue.borrow_mut().pop_front();
        if let Some(call) = next {
            if call.made + shared.wait <= Instant::now() {
                give_up(shared, &call);
                continue;
            }
            let now = shared.began.elapsed().as_micros() as Micros;
            let amount = if call.again { 0.0 } else { call.amount };
            let added = shared.ledger.borrow_mut().add(now, call.name, amount, call.keep_for);
            let Some((writes, ticket)) = added else {
                give_up(shared, &call);
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
            line.out.set(line.out.get() + 1);
            let ask = Ask {
                line: line.clone(),
                shared: shared.clone(),
                connection: connection.clone(),
                spent: spent.clone(),
                moves,
            };
            tokio::task::spawn_local(ask.run(call, pipe, ticket));
            continue;
        }
        tokio::select! {
            _ = line.wake.notified() => {}
            _ = &mut driver => break,
        }
    }
    // Ends the connection: calls that are out on it are told so at once.
    driver.abort();
}

struct Ask {
    line: Rc<Line>,
    shared: Rc<Shared>,
    connection: MultiplexedConnection,
    spent: Rc<Cell<bool>>,
    moves: u64,
}

impl Ask {
    async fn run(mut self, call: Call, pipe: Pipeline, ticket: Ticket) {
        let until = call.made + self.shared.wait;
        let mut told = false;
        let answer = {
            let asked = pipe.query_async::<(Vec<i64>,)>(&mut self.connection);
            tokio::pin!(asked);
            let mut answer = timeout_at(until, &mut asked).await.ok();
            if answer.is_none() {
                // What comes later is not told any more, but a field that is out is free again then.
                told = true;
                self.shared.not_added(&call, Outcome::ConnectFailed);
                answer = timeout_at(call.made + SILENT.max(self.shared.wait), &mut asked).await.ok();
            }
            answer
        };
        self.line.out.set(self.line.out.get() - 1);
        let lost = match &answer {
            Some(Ok(_)) => false,
            Some(Err(error)) => !answered(error),
            None => true,
        };
        let end = if lost { End::Lost } else { End::Answered };
        self.shared.ledger.borrow_mut().end(ticket, end);
        if lost {
            self.spent.set(true);
            self.line.wake.notify_one();
        }
        if told {
            return;
        }
        match answer {
            Some(Ok((parts,))) => {
                let total: i128 = parts.iter().map(|&p| i128::from(p)).sum();
                self.shared.told(call.name, Outcome::Ok, total as f64 / PARTS);
            }
            Some(Err(error)) if error.kind() == ErrorKind::UnexpectedReturnType => {
                self.shared.log("a count holds what is no number: is its key used by others?");
                self.shared.told(call.name, Outcome::Error, 0.0);
            }
            Some(Err(error)) if !lost => {
                self.shared.log(&format!("it refuses: {}", words(&error)));
                self.shared.not_added(&call, Outcome::Rejected);
            }
            // To ask again counts nothing twice. Once, and on another connection; a store that moved is asked there.
            _ if !call.again || self.shared.moves.get() != self.moves => {
                let again = Call { again: true, ..call };
                self.line.queue.borrow_mut().push_back(again);
                self.line.wake.notify_one();
            }
            _ => self.shared.not_added(&call, Outcome::ConnectFailed),
        }
    }
}

/// Whether this is an answer of the server: the call has been dealt with, and will not be any more.
fn answered(error: &RedisError) -> bool {
    matches!(error.kind(), ErrorKind::Server(_) | ErrorKind::UnexpectedReturnType) || error.code().is_some()
}
