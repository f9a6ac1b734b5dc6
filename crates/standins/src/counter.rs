//! A stand-in counter: `INCRTTL` over RESP2, split by name over parts of a stated capacity, with its faults.
//!
//! Each node has an address of its own. An answer comes when the call has had its turn, however late.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use pinerelay_evidence::{lock, Counted, Recorder, Seen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

use crate::lots::{mix, Lots};

/// Connections that it holds of one node; further ones are reset.
pub const CONNECTIONS: usize = 32;
/// A connection that has stood idle for this long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// The longest name, the largest amount, the longest life of a name.
const NAME_MOST: usize = 64;
const AMOUNT_MOST: f64 = 1e9;
const LIFE_MOST: Duration = Duration::from_secs(60);
/// No call is longer than this.
const CALL_MOST: usize = 4096;
/// A part turns a call away that would wait for longer than this for its turn.
const WAIT_MOST: Duration = Duration::from_millis(500);
/// Calls of one connection that wait for their turn; no more are read meanwhile.
const AHEAD_MOST: usize = 4096;

/// A counter's make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Make {
    /// Parts that names are split over.
    pub parts: usize,
    /// Calls a second of all parts together.
    pub calls_a_second: f64,
    /// What a call takes beside that.
    pub delay: Duration,
    /// The seed of its lots.
    pub seed: u64,
}

/// A fault of the counter, while it lasts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mood {
    /// Calls take this many times as long.
    pub slow: f64,
    /// Above 0 calls are taken in and have no turn: how many faults want that.
    pub silent: u32,
    /// Above 0 all calls are turned away.
    pub refuses: u32,
    /// Above 0 new connections are reset at once, and open ones too.
    pub down: u32,
}

impl Default for Mood {
    fn default() -> Self {
        Mood { slow: 1.0, silent: 0, refuses: 0, down: 0 }
    }
}

struct State {
    mood: Mood,
    /// When each part is free.
    free: Vec<Instant>,
    names: HashMap<Vec<u8>, (f64, Instant)>,
    lots: Lots,
}

struct Inner {
    make: Make,
    recorder: Recorder,
    state: Mutex<State>,
    moods: watch::Sender<u64>,
    /// By node: open connections.
    open: Vec<AtomicUsize>,
}

/// A stand-in counter. Dropping it stops it.
pub struct Counter {
    inner: Arc<Inner>,
    addresses: Vec<SocketAddr>,
    accepting: Vec<AbortHandle>,
}

impl Counter {
    /// A counter that knows no names, with an address for each of `nodes` nodes.
    pub async fn start(make: Make, recorder: Recorder, nodes: u32) -> io::Result<Counter> {
        let now = Instant::now();
        let state = State {
            mood: Mood::default(),
            free: vec![now; make.parts.max(1)],
            names: HashMap::new(),
            lots: Lots::new(make.seed, 0xc0),
        };
        let open = (0..nodes).map(|_| AtomicUsize::new(0)).collect();
        let moods = watch::channel(0).0;
        let inner = Arc::new(Inner { make, recorder, state: Mutex::new(state), moods, open });
        let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
        for node in 0..nodes {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            addresses.push(listener.local_addr()?);
            let inner = inner.clone();
            let task = tokio::spawn(async move {
                loop {
                    if let Ok((stream, _)) = listener.accept().await {
                        tokio::spawn(inner.clone().serve(stream, node));
                    }
                }
            });
            accepting.push(task.abort_handle());
        }
        Ok(Counter { inner, addresses, accepting })
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

    /// Loses this share of its names, drawn by lot, with their counts.
    pub fn lose(&self, share: f64) {
        let mut state = lock(&self.inner.state);
        let mut names: Vec<_> = state.names.keys().cloned().collect();
        names.sort();
        for name in names {
            if state.lots.happens(share) {
                state.names.remove(&name);
            }
        }
    }

    /// The total of a name, if it is kept.
    pub fn total(&self, name: &[u8]) -> Option<f64> {
        lock(&self.inner.state).names.get(name).filter(|(_, until)| *until > Instant::now()).map(|n| n.0)
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.accepting.iter().for_each(AbortHandle::abort);
        self.feel(|mood| mood.down += 1);
    }
}

/// A call, read.
#[derive(Debug, PartialEq)]
enum Call {
    Add { name: Vec<u8>, amount: f64, life: Duration },
    Ping,
    Fine,
    Unknown,
}

/// What is to be written once a call has had its turn.
struct Turn {
    at: Instant,
    call: Call,
    busy: bool,
}

/// Counts a connection while it is open.
struct Open(Arc<Inner>, usize);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open[self.1].fetch_sub(1, Ordering::Relaxed);
    }
}

impl Inner {
    async fn serve(self: Arc<Self>, mut stream: TcpStream, node: u32) {
        let before = self.open[node as usize].fetch_add(1, Ordering::Relaxed);
        let _open = Open(self.clone(), node as usize);
        let mut moods = self.moods.subscribe();
        if before >= CONNECTIONS || lock(&self.state).mood.down > 0 {
            let _ = stream.set_zero_linger();
            return;
        }
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut turns: VecDeque<Turn> = VecDeque::new();
        let mut idle_since = Instant::now();
        loop {
            let mood = lock(&self.state).mood;
            if mood.down > 0 {
                let _ = stream.set_zero_linger();
                return;
            }
            let next = turns.front().map(|t| t.at);
            tokio::select! {
                biased;
                _ = moods.changed() => {}
                _ = sleep_until(next.unwrap_or(idle_since)), if next.is_some() && mood.silent == 0 => {
                    let mut text = Vec::new();
                    let now = Instant::now();
                    while let Some(turn) = turns.pop_front_if(|t| t.at <= now) {
                        self.answer(node, turn, &mut text);
                    }
                    if stream.write_all(&text).await.is_err() {
                        return;
                    }
                    idle_since = Instant::now();
                }
                got = stream.read_buf(&mut buffer), if turns.len() < AHEAD_MOST => {
                    if !matches!(got, Ok(count) if count > 0) {
                        return;
                    }
                    idle_since = Instant::now();
                    loop {
                        match parse(&mut buffer) {
                            Ok(Some(call)) => turns.push_back(self.line_up(call, turns.back())),
                            Ok(None) => break,
                            Err(()) => {
                                let _ = stream.write_all(b"-ERR Protocol error\r\n").await;
                                return;
                            }
                        }
                    }
                }
                _ = sleep_until(idle_since + IDLE), if turns.is_empty() => return,
            }
        }
    }

    /// When a call has its turn, behind the one before it on its connection.
    fn line_up(&self, call: Call, before: Option<&Turn>) -> Turn {
        let now = Instant::now();
        let after = before.map_or(now, |t| t.at);
        let Call::Add { name, .. } = &call else { return Turn { at: after, call, busy: false } };
        let mut state = lock(&self.state);
        let Mood { slow, refuses, .. } = state.mood;
        let parts = state.free.len();
        let part = name.iter().fold(0, |sum, &b| mix(&[sum, u64::from(b)])) as usize % parts;
        let span = Duration::from_secs_f64(slow * parts as f64 / self.make.calls_a_second.max(1.0));
        let end = state.free[part].max(now) + span;
        if refuses > 0 || end > now + WAIT_MOST {
            return Turn { at: after, call, busy: true };
        }
        state.free[part] = end;
        Turn { at: (end + self.make.delay.mul_f64(slow)).max(after), call, busy: false }
    }

    fn answer(&self, node: u32, turn: Turn, out: &mut Vec<u8>) {
        match turn.call {
            Call::Ping => out.extend_from_slice(b"+PONG\r\n"),
            Call::Fine => out.extend_from_slice(b"+OK\r\n"),
            Call::Unknown => out.extend_from_slice(b"-ERR unknown command or arguments\r\n"),
            Call::Add { name, amount, life } => {
                let number = std::str::from_utf8(&name).ok().and_then(|n| u64::from_str_radix(n, 16).ok());
                let how = if turn.busy { Counted::Busy } else { Counted::Added };
                self.recorder.see(Seen::Called { node, name: number.unwrap_or(0), amount, how });
                if turn.busy {
                    return out.extend_from_slice(b"-BUSY later\r\n");
                }
                let now = Instant::now();
                let mut state = lock(&self.state);
                let kept = state.names.entry(name).or_insert((0.0, now + life));
                if kept.1 <= now {
                    *kept = (0.0, now + life);
                }
                kept.0 += amount;
                // Seven digits of a total are exact.
                let total = format!("{}", (kept.0 * 1e6).round() / 1e6);
                out.extend_from_slice(format!("${}\r\n{total}\r\n", total.len()).as_bytes());
            }
        }
    }
}

/// Takes one whole call off the buffer, if it holds one; an error if what is there is no RESP2 array.
fn parse(buffer: &mut BytesMut) -> Result<Option<Call>, ()> {
    let mut at = 0;
    let Some(count) = header(buffer, &mut at, b'*')? else { return Ok(None) };
    if count == 0 || count > 16 {
        return Err(());
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(length) = header(buffer, &mut at, b'$')? else { return Ok(None) };
        if length > CALL_MOST {
            return Err(());
        }
        let Some(word) = buffer.get(at..at + length + 2) else { return Ok(None) };
        if !word.ends_with(b"\r\n") {
            return Err(());
        }
        words.push(word[..length].to_vec());
        at += length + 2;
    }
    buffer.advance(at);
    let word = |n: usize| words.get(n).and_then(|w: &Vec<u8>| std::str::from_utf8(w).ok());
    let name = word(0).unwrap_or_default().to_ascii_uppercase();
    Ok(Some(match name.as_str() {
        "PING" => Call::Ping,
        "CLIENT" | "SELECT" => Call::Fine,
        "INCRTTL" if words.len() == 4 => {
            let amount = word(2).and_then(|w| w.parse::<f64>().ok()).filter(|a| a.abs() <= AMOUNT_MOST);
            let life = word(3).and_then(|w| w.parse::<u64>().ok()).filter(|&l| l > 0);
            let named = (1..=NAME_MOST).contains(&words[1].len());
            match (amount, life) {
                (Some(amount), Some(life)) if named => {
                    let life = Duration::from_millis(life).min(LIFE_MOST);
                    Call::Add { name: words.swap_remove(1), amount, life }
                }
                _ => Call::Unknown,
            }
        }
        _ => Call::Unknown,
    }))
}

/// Reads a line of a mark and a number.
fn header(buffer: &[u8], at: &mut usize, mark: u8) -> Result<Option<usize>, ()> {
    let rest = &buffer[*at..];
    if rest.first().is_some_and(|&b| b != mark) {
        return Err(());
    }
    let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
        return if rest.len() > 16 { Err(()) } else { Ok(None) };
    };
    let number = std::str::from_utf8(&rest[1..end]).ok().and_then(|n| n.parse().ok()).ok_or(())?;
    *at += end + 2;
    Ok(Some(number))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_taken_whole_and_what_is_none_is_refused() {
        let mut buffer = BytesMut::from(
            &b"*4\r\n$7\r\nINCRTTL\r\n$2\r\nab\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n*1\r\n$4\r\npi"[..],
        );
        let add = Call::Add { name: b"ab".to_vec(), amount: -2.5, life: Duration::from_secs(4) };
        assert_eq!(parse(&mut buffer), Ok(Some(add)));
        assert_eq!(parse(&mut buffer), Ok(None));
        buffer.extend_from_slice(b"ng\r\n");
        assert_eq!(parse(&mut buffer), Ok(Some(Call::Ping)));
        for odd in ["*4\r\n$7\r\nINCRTTL\r\n$1\r\na\r\n$3\r\nNaN\r\n$1\r\n1\r\n", "*1\r\n$3\r\nGET\r\n"] {
            assert_eq!(parse(&mut BytesMut::from(odd)), Ok(Some(Call::Unknown)), "{odd:?}");
        }
        for bad in ["GET / HTTP/1.1\r\n", "*0\r\n", "*x\r\n", "*1\r\n$2\r\nabc\r\n", "*1\r\n:2\r\n"] {
            assert_eq!(parse(&mut BytesMut::from(bad)), Err(()), "{bad:?}");
        }
    }
}
