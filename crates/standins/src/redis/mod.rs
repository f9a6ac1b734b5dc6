//! A stand-in Redis, written from its public specification: one server, with RESP2 and RESP3, users, databases,
//! strings and hashes that expire, transactions, and the faults of real ones.
//!
//! Each node has an address of its own. Not here yet: replicas, Sentinel, Cluster, scripts.

pub mod resp;
pub mod session;
pub mod store;

use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::BytesMut;
use pinerelay_evidence::lock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, Instant};

use crate::lots::Lots;
use session::{Refusal, Session, Terms, User};
use store::{Ms, Store};

/// A fault of the server, while it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Mood {
    /// Answers come this much later; what they tell of was done at once.
    pub late: Duration,
    /// Above 0 it reads nothing: how many faults want that.
    pub deaf: u32,
    /// What it says in place of carrying commands out.
    pub refusal: Option<Refusal>,
    /// The share of answers that break off in the middle, with their connection.
    pub halves: f64,
    /// The share of answers that are no RESP; their connection stays open.
    pub spoils: f64,
    /// Above 0 all connections are reset, and new ones too.
    pub down: u32,
}

struct State {
    store: Store,
    users: Vec<User>,
    mood: Mood,
    lots: Lots,
    /// How far its clock is ahead of the machine's.
    ahead: Ms,
    snapshot: Store,
    /// How often it has restarted: connections of an earlier life are reset.
    lives: u64,
}

struct Inner {
    state: Mutex<State>,
    began: Instant,
    moods: watch::Sender<u64>,
    sessions: AtomicU64,
    calls: AtomicU64,
}

/// A stand-in Redis. Dropping it stops it.
pub struct Redis {
    inner: Arc<Inner>,
    addresses: Vec<SocketAddr>,
    accepting: Vec<AbortHandle>,
}

impl Redis {
    /// An empty server with these users and an address for each of `nodes` nodes.
    pub async fn start(users: Vec<User>, seed: u64, nodes: u32) -> io::Result<Redis> {
        let state = State {
            store: Store::default(),
            users,
            mood: Mood::default(),
            lots: Lots::new(seed, 0x4ed),
            ahead: 0,
            snapshot: Store::default(),
            lives: 0,
        };
        let inner = Arc::new(Inner {
            state: Mutex::new(state),
            began: Instant::now(),
            moods: watch::channel(0).0,
            sessions: AtomicU64::new(1),
            calls: AtomicU64::new(0),
        });
        let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
        for _ in 0..nodes {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            addresses.push(listener.local_addr()?);
            let inner = inner.clone();
            let task = tokio::spawn(async move {
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => drop(tokio::spawn(inner.clone().serve(stream))),
                        Err(_) => sleep(Duration::from_millis(5)).await,
                    }
                }
            });
            accepting.push(task.abort_handle());
        }
        Ok(Redis { inner, addresses, accepting })
    }

    /// Where it listens for a node.
    pub fn address(&self, node: u32) -> SocketAddr {
        self.addresses[node as usize]
    }

    /// Changes its mood.
    pub fn feel(&self, change: impl FnOnce(&mut Mood)) {
        change(&mut lock(&self.inner.state).mood);
        self.inner.moods.send_modify(|n| *n += 1);
    }

    /// Loses this share of its keys, drawn by lot, as by eviction.
    pub fn evict(&self, share: f64) {
        let mut state = lock(&self.inner.state);
        let State { store, lots, .. } = &mut *state;
        store.evict(|| lots.happens(share));
    }

    /// Keeps what it holds now for a restart from it.
    pub fn save(&self) {
        let mut state = lock(&self.inner.state);
        state.snapshot = state.store.clone();
    }

    /// Restarts: all connections are reset, and it holds what was saved last; nothing, if nothing was.
    pub fn restart(&self) {
        {
            let mut state = lock(&self.inner.state);
            state.store = state.snapshot.clone();
            state.lives += 1;
        }
        self.feel(|_| {});
    }

    /// Puts its clock ahead: what would have expired by then has.
    pub fn jump(&self, by: Duration) {
        lock(&self.inner.state).ahead += by.as_millis() as Ms;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.inner.calls.load(Ordering::Relaxed)
    }

    /// The sum of the whole numbers in a hash of its first database; none if there is no such hash.
    pub fn sum(&self, key: &str) -> Option<i64> {
        let resp::Reply::Array(values) = self.look(&["HVALS", key]) else { return None };
        let whole = |v: &resp::Reply| match v {
            resp::Reply::Bulk(text) => std::str::from_utf8(text).ok()?.parse::<i64>().ok(),
            _ => None,
        };
        (!values.is_empty()).then(|| values.iter().map(whole).sum()).flatten()
    }

    /// What a command on its first database says, as if a client of its own had called.
    pub fn look(&self, words: &[&str]) -> resp::Reply {
        let words: Vec<Vec<u8>> = words.iter().map(|w| w.as_bytes().to_vec()).collect();
        let open = [User::open()];
        let mut state = lock(&self.inner.state);
        let now = self.inner.now(&state);
        let terms = Terms { users: &open, refusal: None, now };
        Session::new(0, &open).call(&mut state.store, &words, &terms)
    }
}

impl Drop for Redis {
    fn drop(&mut self) {
        self.accepting.iter().for_each(AbortHandle::abort);
        self.feel(|mood| mood.down += 1);
    }
}

/// Answers to calls that came together: when they go out, and whether their connection ends with them.
struct Answers {
    due: Instant,
    bytes: Vec<u8>,
    last: bool,
}

/// How much is read at once: some tens of calls, so that a pipeline is taken in whole.
const READ: usize = 16 * 1024;

impl Inner {
    fn now(&self, state: &State) -> Ms {
        // Not 0 at its start: times before it can be told.
        1_000_000 + self.began.elapsed().as_millis() as Ms + state.ahead
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut moods = self.moods.subscribe();
        let _ = stream.set_nodelay(true);
        let (mut session, life) = {
            let state = lock(&self.state);
            (Session::new(self.sessions.fetch_add(1, Ordering::Relaxed), &state.users), state.lives)
        };
        let mut buffer = BytesMut::with_capacity(READ);
        // Answers that are late hold up neither calls nor each other: all wait side by side, in order.
        let mut waiting: VecDeque<Answers> = VecDeque::new();
        loop {
            let (deaf, over) = {
                let state = lock(&self.state);
                (state.mood.deaf > 0, state.mood.down > 0 || state.lives != life)
            };
            if over {
                let _ = stream.set_zero_linger();
                return;
            }
            let due = waiting.front().map(|a| a.due);
            let closing = waiting.back().is_some_and(|a| a.last);
            tokio::select! {
                biased;
                _ = moods.changed() => {}
                _ = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    let Some(answers) = waiting.pop_front() else { continue };
                    if stream.write_all(&answers.bytes).await.is_err() || answers.last {
                        return;
                    }
                }
                got = stream.read_buf(&mut buffer), if !deaf && !closing => {
                    if !matches!(got, Ok(count) if count > 0) {
                        return;
                    }
                    waiting.push_back(self.answer_all(&mut session, &mut buffer));
                    buffer.reserve(READ);
                }
            }
        }
    }

    /// Answers the calls that have come whole.
    fn answer_all(&self, session: &mut Session, buffer: &mut BytesMut) -> Answers {
        let mut out = Vec::new();
        let mut late = Duration::ZERO;
        let mut cut = false;
        loop {
            match resp::call(buffer) {
                Ok(Some(words)) => {
                    let mut state = lock(&self.state);
                    let now = self.now(&state);
                    let State { store, users, mood, lots, .. } = &mut *state;
                    let terms = Terms { users, refusal: mood.refusal, now };
                    let reply = session.call(store, &words, &terms);
                    self.calls.fetch_add(1, Ordering::Relaxed);
                    late = late.max(mood.late);
                    let before = out.len();
                    if lots.happens(mood.spoils) {
                        out.extend_from_slice(b"\x00?no answer at all\r\n");
                    } else {
                        reply.write(session.version, &mut out);
                    }
                    if lots.happens(mood.halves) {
                        out.truncate(before + (out.len() - before) / 2);
                        cut = true;
                    }
                    if cut || session.over {
                        break;
                    }
                }
                Ok(None) => break,
                Err(error) => {
                    out.extend_from_slice(format!("-ERR Protocol error: {}\r\n", error.0).as_bytes());
                    cut = true;
                    break;
                }
            }
        }
        Answers { due: Instant::now() + late, bytes: out, last: cut || session.over }
    }
}
