//! Stand-in collect boxes: cores, waiting room, work times, cold starts, connections, keyed repeats, and faults.
//!
//! A box listens at an address of its own for each node, so it knows from which node an attempt came. It begins
//! a request when its last byte has come. Work waits in one line for the next free core; what runs or waits goes
//! on when its node gives it up.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinerelay_evidence::{lock, AttemptId, Micros, Recorder, RequestId, Seen};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::http::{Line, Message, NoMessage};
use crate::lots::{mix, Lots};

/// How long a box that is stopping waits for its connections' tasks to be told.
const WRITE_MOST: Duration = Duration::from_secs(5);
/// A cold box falls over at the stated multiple of its capacity and this slack for chance, in mean attempts.
const SLACK: f64 = 3.0;
/// Dropped repeats are remembered by this many keys at most.
const KEYS_MOST: usize = 1_000_000;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// What a class asks of a box.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The class's name, the first part of the path.
    pub class: String,
    /// Its mean, in milliseconds of one core at speed 1.
    pub mean_ms: f64,
    /// Its coefficient of variation.
    pub cv: f64,
    /// For how long the boxes of a hall drop a repeat; none where the class has no key.
    pub window: Option<Duration>,
}

/// A box's make.
#[derive(Debug, Clone, PartialEq)]
pub struct Make {
    /// Its number.
    pub number: u32,
    /// Its hall.
    pub hall: u32,
    /// Cores.
    pub cores: usize,
    /// Speed of a core.
    pub speed: f64,
    /// How many requests may wait for a core.
    pub room: usize,
    /// How many connections it holds.
    pub connections: usize,
    /// A connection that has stood idle for this long is closed.
    pub idle: Duration,
    /// What the first request on a connection waits for, as for a TLS handshake.
    pub handshake: Duration,
    /// It boots at this share of its capacity,
    pub cold_from: f64,
    /// and is warm after this.
    pub cold: Duration,
    /// Cold, it falls over when it is sent this many times its present capacity,
    pub fall_multiple: f64,
    /// for this long.
    pub tip_after: Duration,
    /// What classes ask of it.
    pub work: Vec<Work>,
    /// The seed of its lots.
    pub seed: u64,
}

impl Make {
    /// Work that it can do when warm, in microseconds a microsecond, of a core at speed 1.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * self.speed
    }
}

/// A fault of a box, while it lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mood {
    /// Above 0 it takes requests and answers none: how many faults want that.
    pub hangs: u32,
    /// The share of requests answered 500 at once.
    pub fails: f64,
    /// The share of requests whose connection is reset once they have come whole.
    pub resets: f64,
    /// The share of answers that are spoilt.
    pub spoils: f64,
    /// Work takes this many times as long.
    pub slow: f64,
}

impl Default for Mood {
    fn default() -> Self {
        Mood { hangs: 0, fails: 0.0, resets: 0.0, spoils: 0.0, slow: 1.0 }
    }
}

/// The keys that the boxes of one hall remember.
#[derive(Debug, Default)]
pub struct Hall(Mutex<HashMap<u64, Instant>>);

impl Hall {
    /// Whether a keyed request is a repeat of one that came within the window; if not, it is remembered.
    fn repeat(&self, key: u64, window: Duration) -> bool {
        let now = Instant::now();
        let mut keys = lock(&self.0);
        if keys.len() >= KEYS_MOST {
            keys.retain(|_, at| at.elapsed() < window);
        }
        match keys.get(&key) {
            Some(&at) if now < at + window => true,
            _ => {
                keys.insert(key, now);
                false
            }
        }
    }
}

struct State {
    mood: Mood,
    draining: bool,
    /// When each core is free.
    free: Vec<Instant>,
    /// Requests running or waiting.
    inside: usize,
    lots: Lots,
    /// Since when it is cold, and what it was sent lately.
    cold_since: Option<Micros>,
    lately: VecDeque<(Micros, f64)>,
}

struct Inner {
    make: Make,
    hall: Arc<Hall>,
    recorder: Recorder,
    state: Mutex<State>,
    open: AtomicUsize,
    /// Changes when the box stops: its connections are reset.
    life: watch::Sender<u64>,
    /// Changes with each mood: what hangs looks up.
    moods: watch::Sender<u64>,
}

/// A stand-in box. Dropping it stops it.
pub struct StandinBox {
    inner: Arc<Inner>,
    addresses: Vec<SocketAddr>,
    accepting: Mutex<Vec<tokio::task::AbortHandle>>,
}

impl StandinBox {
    /// A box with an address for each of `nodes` nodes, which it keeps; warm, unless `cold`.
    pub async fn start(
        make: Make,
        hall: Arc<Hall>,
        recorder: Recorder,
        nodes: u32,
        cold: bool,
    ) -> io::Result<StandinBox> {
        let mut listeners = Vec::new();
        // Danger: while a box is down, a connection that goes out from 127.0.0.1 may be given its port there, and
        // it could not start again. So it listens at an address that none goes out from.
        let ip = Ipv4Addr::new(127, 0, 2, (make.number % 250) as u8 + 1);
        for _ in 0..nodes {
            listeners.push(TcpListener::bind((ip, 0)).await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let now = Instant::now();
        let state = State {
            mood: Mood::default(),
            draining: false,
            free: vec![now; make.cores.max(1)],
            inside: 0,
            lots: Lots::new(make.seed, u64::from(make.number)),
            cold_since: None,
            lately: VecDeque::new(),
        };
        let inner = Arc::new(Inner {
            make,
            hall,
            recorder,
            state: Mutex::new(state),
            open: AtomicUsize::new(0),
            life: watch::channel(0).0,
            moods: watch::channel(0).0,
        });
        let new = StandinBox { inner, addresses, accepting: Mutex::default() };
        new.begin(listeners, cold);
        Ok(new)
    }

    fn begin(&self, listeners: Vec<TcpListener>, cold: bool) {
        let make = &self.inner.make;
        let seen = Seen::BoxStarted {
            at_box: make.number,
            hall: make.hall,
            capacity: make.capacity(),
            cold: cold.then_some((make.cold_from, make.cold.as_micros() as Micros)),
        };
        let at = self.inner.recorder.see(seen);
        {
            let mut state = lock(&self.inner.state);
            (state.cold_since, state.draining, state.inside) = (cold.then_some(at), false, 0);
            state.mood = Mood::default();
            state.lately.clear();
            state.free.fill(Instant::now());
        }
        let mut accepting = lock(&self.accepting);
        for (node, listener) in listeners.into_iter().enumerate() {
            let inner = self.inner.clone();
            let task = tokio::spawn(async move {
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => {
                            tokio::spawn(inner.clone().serve(stream, node as u32));
                        }
                        // No descriptor left, say: the kit's lateness will tell.
                        Err(_) => sleep(Duration::from_millis(5)).await,
                    }
                }
            });
            accepting.push(task.abort_handle());
        }
    }

    /// Where it listens for a node.
    pub fn address(&self, node: u32) -> SocketAddr {
        self.addresses[node as usize]
    }

    /// Its make.
    pub fn make(&self) -> &Make {
        &self.inner.make
    }

    /// Changes its mood; what hangs in the old one goes on.
    pub fn feel(&self, change: impl FnOnce(&mut Mood)) {
        change(&mut lock(&self.inner.state).mood);
        self.inner.moods.send_modify(|n| *n += 1);
    }

    /// Whether it turns new requests away.
    pub fn drain(&self, draining: bool) {
        lock(&self.inner.state).draining = draining;
    }

    /// Stops it: connections are reset, new ones refused.
    pub fn stop(&self) {
        let accepting = std::mem::take(&mut *lock(&self.accepting));
        if accepting.is_empty() {
            return;
        }
        accepting.iter().for_each(tokio::task::AbortHandle::abort);
        self.inner.recorder.see(Seen::BoxStopped { at_box: self.inner.make.number });
        self.inner.life.send_modify(|n| *n += 1);
    }

    /// Starts it anew, cold, at its old addresses.
    pub async fn restart(&self) -> io::Result<()> {
        self.stop();
        let mut listeners = Vec::new();
        for &address in &self.addresses {
            listeners.push(listen_again(address).await?);
        }
        self.begin(listeners, true);
        Ok(())
    }

    /// Whether it serves.
    pub fn running(&self) -> bool {
        !lock(&self.accepting).is_empty()
    }
}

/// Listens at an address that was in use a moment ago: the task that held it may not have ended yet.
async fn listen_again(address: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = 0;
    loop {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        match socket.bind(address).and_then(|()| socket.listen(1024)) {
            Ok(listener) => return Ok(listener),
            Err(error) if tries >= 200 => return Err(error),
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
        tries += 1;
    }
}

impl Drop for StandinBox {
    fn drop(&mut self) {
        self.stop();
    }
}

/// How a box deals with a request.
enum Deal {
    /// Turned away, never to run.
    Away(u16),
    /// Answered 500 at once.
    Fail,
    /// Taken, and no answer while the mood lasts.
    Hang,
    /// Its connection is reset once its work is done.
    Reset(Instant),
    /// Done at this time; with a spoilt answer, or a good one.
    Work(Instant, bool),
    /// A repeat that is dropped, and answered as the first was.
    Repeat,
}

/// Counts a connection while it is open.
struct Open(Arc<Inner>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Inner {
    async fn serve(self: Arc<Self>, stream: TcpStream, node: u32) {
        let mut life = self.life.subscribe();
        let full = self.open.fetch_add(1, Ordering::Relaxed) >= self.make.connections;
        let _open = Open(self.clone());
        let mut line = Line::new(stream);
        let mut new = true;
        loop {
            let request = tokio::select! {
                biased;
                _ = life.changed() => return reset(&line),
                request = line.request(&self.recorder) => request,
                _ = sleep(self.make.idle), if !line.begun() => return,
            };
            let request = match request {
                Ok(request) => request,
                // A box closes on what it can't read.
                Err(NoMessage::Closed | NoMessage::Broken | NoMessage::Malformed) => return,
            };
            let wait = if std::mem::take(&mut new) { self.make.handshake } else { Duration::ZERO };
            tokio::select! {
                biased;
                // An attempt under way ends with its connection; its own future records that.
                keep = self.handle(&mut line, &request, node, full, wait, life.clone()) => match keep {
                    true if !full => {}
                    _ => return,
                },
            }
        }
    }

    /// Serves one request; false if the connection is of no further use.
    async fn handle(
        &self,
        line: &mut Line,
        request: &Message,
        node: u32,
        full: bool,
        handshake: Duration,
        mut life: watch::Receiver<u64>,
    ) -> bool {
        let path = request.start.1.split('?').next().unwrap_or_default();
        let class = path.split('/').nth(1).unwrap_or_default();
        if class == "alive" || path == "/metrics/load" {
            let status = if lock(&self.state).draining { 503 } else { 200 };
            return write(line, &head(status, "", 0), b"").await;
        }
        let Some(id) = request.header("x-request-id") else {
            return write(line, &head(404, "", 0), b"").await;
        };
        let Some(id) = number(id) else {
            self.recorder.see(Seen::Strange { at_box: self.make.number, node });
            return write(line, &head(400, "", 0), b"").await;
        };
        let Some(place) = self.make.work.iter().position(|w| w.class == class) else {
            self.recorder.see(Seen::Strange { at_box: self.make.number, node });
            return write(line, &head(400, "", 0), b"").await;
        };
        let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
        let key = request.header("idempotency-key").and_then(number);
        let work = self.work_of(id, place);
        let at = self.recorder.see(Seen::Arrived {
            attempt,
            id,
            at_box: self.make.number,
            node,
            first_byte: request.first_byte,
            key,
            work: work / self.make.capacity(),
        });
        if self.pushed_over(at, work / self.make.capacity()) {
            reset(line);
            self.recorder.see(Seen::Broke { attempt, by_box: true });
            return false;
        }
        let deadline: Option<u64> = request.header("x-deadline-ms").and_then(|v| v.parse().ok());
        let deal = self.deal(place, key, work, full, deadline, handshake);
        let end = match deal {
            Deal::Away(status) => {
                self.recorder.see(Seen::Replied { attempt, status, not_run: true, spoilt: false });
                return write(line, &head(status, "X-Not-Run: 1\r\n", 0), b"").await;
            }
            Deal::Fail => {
                self.recorder.see(Seen::Replied { attempt, status: 500, not_run: false, spoilt: false });
                return write(line, &head(500, "", 0), b"").await;
            }
            Deal::Hang => {
                let mut moods = self.moods.subscribe();
                while lock(&self.state).mood.hangs > 0 {
                    let by_box = tokio::select! {
                        biased;
                        _ = life.changed() => { reset(line); Some(true) }
                        _ = line.ended() => Some(false),
                        _ = moods.changed() => None,
                    };
                    if let Some(by_box) = by_box {
                        self.recorder.see(Seen::Broke { attempt, by_box });
                        return false;
                    }
                }
                // Woken up: it works on what it had taken, unless another of the hall has had its repeat meanwhile.
                if self.repeats(place, key) {
                    Deal::Repeat
                } else {
                    let (end, _) = self.line_up(work, Duration::ZERO);
                    Deal::Work(end, false)
                }
            }
            other => other,
        };
        let (until, spoilt, resets, runs) = match end {
            Deal::Work(until, spoilt) => (until, spoilt, false, true),
            Deal::Reset(until) => (until, false, true, true),
            _ => (Instant::now(), false, false, false),
        };
        let ended = tokio::select! {
            biased;
            _ = life.changed() => { reset(line); Some(true) }
            _ = sleep_until(until) => None,
            _ = line.ended() => Some(false),
        };
        if let Some(by_box) = ended {
            self.recorder.see(Seen::Broke { attempt, by_box });
            if !by_box && runs {
                // What runs or waits goes on, unless the box itself ends.
                tokio::select! {
                    biased;
                    _ = life.changed() => {}
                    _ = sleep_until(until) => { self.recorder.see(Seen::Ran { attempt, id }); }
                }
            }
            self.leave(runs);
            return false;
        }
        self.leave(runs);
        if runs {
            self.recorder.see(Seen::Ran { attempt, id });
        } else {
            self.recorder.see(Seen::Dropped { attempt, id });
        }
        if resets {
            reset(line);
            self.recorder.see(Seen::Broke { attempt, by_box: true });
            return false;
        }
        self.recorder.see(Seen::Replied { attempt, status: 200, not_run: false, spoilt });
        if spoilt {
            let kind = lock(&self.state).lots.below(SPOILT.len());
            let _ = timeout(WRITE_MOST, line.stream.write_all(SPOILT[kind])).await;
            // It stays open, and is of no further use.
            tokio::select! {
                _ = life.changed() => {}
                _ = line.ended() => {}
            }
            return false;
        }
        let body = made(id, attempt);
        let keep = write(line, &head(200, "", body.len()), &body).await;
        if !keep {
            self.recorder.see(Seen::Broke { attempt, by_box: false });
        }
        keep
    }

    /// The same request asks for the same work wherever and however often it comes.
    fn work_of(&self, id: RequestId, place: usize) -> f64 {
        let work = &self.make.work[place];
        work.mean_ms * 1e3 * Lots::new(mix(&[id, 0x3077]), 0).factor(work.cv)
    }

    fn deal(
        &self,
        place: usize,
        key: Option<u64>,
        work: f64,
        full: bool,
        deadline: Option<u64>,
        handshake: Duration,
    ) -> Deal {
        let mood = {
            let mut state = lock(&self.state);
            if state.mood.hangs > 0 {
                return Deal::Hang;
            }
            if full || state.draining || state.inside >= self.make.cores + self.make.room {
                return Deal::Away(503);
            }
            if deadline == Some(0) {
                return Deal::Away(504);
            }
            let mood = state.mood;
            if state.lots.happens(mood.fails) {
                return Deal::Fail;
            }
            mood
        };
        if self.repeats(place, key) {
            return Deal::Repeat;
        }
        let (end, lot) = self.line_up(work, handshake);
        match lot {
            lot if lot < mood.resets => Deal::Reset(end),
            lot => Deal::Work(end, lot < mood.resets + mood.spoils),
        }
    }

    /// Whether the hall drops it as a repeat; if not, its key is remembered.
    fn repeats(&self, place: usize, key: Option<u64>) -> bool {
        let keyed = self.make.work[place].window.zip(key);
        keyed.is_some_and(|(window, key)| self.hall.repeat(key, window))
    }

    /// Puts work in the line for a core; when it will be done, and a lot for what then goes wrong.
    fn line_up(&self, work: f64, handshake: Duration) -> (Instant, f64) {
        let now = self.recorder.now();
        let mut state = lock(&self.state);
        state.inside += 1;
        let warmth = state.cold_since.map_or(1.0, |since| self.warmth(since, now));
        let span = Duration::from_secs_f64(work * state.mood.slow / (self.make.speed * warmth) / 1e6);
        let from = Instant::now() + handshake;
        let lot = state.lots.share();
        let end = match state.free.iter_mut().min() {
            Some(core) => {
                *core = (*core).max(from) + span;
                *core
            }
            None => from + span,
        };
        (end, lot)
    }

    fn leave(&self, ran: bool) {
        if ran {
            let mut state = lock(&self.state);
            state.inside = state.inside.saturating_sub(1);
        }
    }

    fn warmth(&self, since: Micros, now: Micros) -> f64 {
        let age = now.saturating_sub(since) as f64 / (self.make.cold.as_micros() as f64).max(1.0);
        (self.make.cold_from + (1.0 - self.make.cold_from) * age).min(1.0)
    }

    /// Whether a cold box falls over with what has just come; all that comes presses on it, also what it turns
    /// away.
    fn pushed_over(&self, now: Micros, work: f64) -> bool {
        let window = self.make.tip_after.as_micros() as Micros;
        let mut state = lock(&self.state);
        let Some(since) = state.cold_since else { return false };
        if self.warmth(since, now) >= 1.0 {
            state.cold_since = None;
            return false;
        }
        state.lately.push_back((now, work));
        while state.lately.front().is_some_and(|(at, _)| at + window <= now) {
            state.lately.pop_front();
        }
        let sum: f64 = state.lately.iter().map(|(_, w)| w).sum();
        let mean = sum / state.lately.len().max(1) as f64;
        let can = self.make.fall_multiple * self.warmth(since, now) * window as f64;
        let falls = sum > can + SLACK * mean;
        drop(state);
        if falls {
            self.recorder.see(Seen::BoxFell { at_box: self.make.number });
            lock(&self.state).mood.hangs += 1;
            self.life.send_modify(|n| *n += 1);
        }
        falls
    }
}

/// Answers that can't be read or don't end.
const SPOILT: [&[u8]; 5] = [
    b"\x00\xff\x13noise that is no answer\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Part: \xff\xfe without an end",
    b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nContent-Length: 7\r\n\r\nlengths that do not fit",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nit keeps coming",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
];

fn head(status: u16, headers: &str, length: usize) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Gateway Timeout",
    };
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n\r\n")
}

/// Writes an answer in one piece; false if the connection broke.
async fn write(line: &mut Line, head: &str, body: &[u8]) -> bool {
    let mut text = Vec::with_capacity(head.len() + body.len());
    text.extend_from_slice(head.as_bytes());
    text.extend_from_slice(body);
    matches!(timeout(WRITE_MOST, line.stream.write_all(&text)).await, Ok(Ok(())))
}

/// Has the connection end with a reset and not a close.
fn reset(line: &Line) {
    // Where that can't be had, it ends with a close.
    let _ = line.stream.set_zero_linger();
}

/// A number of 16 hex digits.
fn number(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// The body that a box makes for a request in an attempt: both, and a filler that depends on them.
pub fn made(id: RequestId, attempt: AttemptId) -> Vec<u8> {
    let length = 64 + (mix(&[id]) % 448) as usize;
    let mut body = format!("{id:016x} {attempt:016x} ").into_bytes();
    body.extend((0..length).map(|n| b'a' + ((mix(&[attempt]) as usize + n) % 26) as u8));
    body
}

/// Reads a body back: the request and the attempt, if it is whole and a box made it.
pub fn made_by(body: &[u8]) -> Option<(RequestId, AttemptId)> {
    let text = std::str::from_utf8(body.get(..33)?).ok()?;
    let (id, attempt) = text.split_once(' ')?;
    let (id, attempt) = (number(id)?, number(attempt)?);
    (made(id, attempt) == body).then_some((id, attempt))
}
