//! A stand-in edge node that follows a script: correct as long as it is told nothing, and else guilty of just
//! the misdeed that it is told. A judge is proved with it.
//!
//! It is no balancer: it takes boxes in turn, leaves cold ones alone, shares one honest ceiling with its like,
//! and tries again only where that is harmless.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinerelay_evidence::{lock, Recorder};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use crate::http::{Line, Message};
use crate::lots::mix;

/// What it may be told to do wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Misdeed {
    /// Answers some time after the deadline.
    AnswersLate,
    /// Never answers.
    NeverAnswers,
    /// Sends on, and closes the connection with no answer.
    ClosesUnanswered,
    /// Ends the connection within an answer.
    AnswersInPart,
    /// Writes its answer a second time.
    AnswersTwice,
    /// Serves the answer that a box made for the request before.
    ServesAnothers,
    /// Serves what no box made.
    ForgesAnswers,
    /// Refuses, and sends on all the same a moment later.
    SendsOnAfterAnswer,
    /// Sends an unsafe request again after an answer that does not say that it has not run.
    ResendsUnsafe,
    /// Sends an unsafe request to two boxes at once.
    CopiesUnsafe,
    /// Calls an unsafe request refused after its attempt broke.
    RefusesWhatMayHaveRun,
    /// Sends a keyed request that may have run to the other hall.
    KeyedToOtherHall,
    /// Sends a keyed request that may have run again once its window is over.
    KeyedAfterWindow,
    /// Goes on sending to boxes that drain.
    IgnoresDrains,
    /// Goes on sending to boxes that are gone.
    IgnoresRemovals,
    /// Stops sending to boxes that drain 900 ms late.
    DrainsLate,
    /// Sends all to the box that started last.
    FloodsCold,
    /// Sends a cold box all within its first half second, then nothing.
    BurstsCold,
    /// Sends a cold box as much as a warm one, work of the dearest kind first.
    TreatsColdAsWarm,
    /// Knows no ceiling.
    IgnoresCeilings,
    /// Holds the whole ceiling for itself, whatever the other nodes send.
    OwnCeiling,
    /// Takes ceilings for one and a half of what they are.
    CeilingAndAHalf,
}

/// A ceiling's figures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ceiling {
    /// Units a second.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
}

/// The stores of ceilings, which correct nodes share.
#[derive(Debug, Default)]
pub struct Ceilings(Mutex<HashMap<u64, (f64, Instant)>>);

impl Ceilings {
    fn take(&self, biller: u64, units: f64, ceiling: Ceiling) -> bool {
        let now = Instant::now();
        let mut stores = lock(&self.0);
        let store = stores.entry(biller).or_insert((ceiling.burst, now));
        let grown = store.0 + ceiling.rate * (now - store.1).as_secs_f64();
        *store = (grown.min(ceiling.burst), now);
        let has = store.0 >= units;
        if has {
            store.0 -= units;
        }
        has
    }
}

/// How it is made.
#[derive(Debug, Clone)]
pub struct Make {
    /// Its number.
    pub number: u32,
    /// Where its agent of discovery is.
    pub discovery: SocketAddr,
    /// Classes: name, safe, keyed, window.
    pub classes: Vec<(String, bool, bool, Duration)>,
    /// Ceilings, by plan's name.
    pub ceilings: HashMap<String, Ceiling>,
    /// A box is cold for this long.
    pub cold: Duration,
}

#[derive(Debug, Clone)]
struct Known {
    address: SocketAddr,
    hall: String,
    status: String,
    since_ms: u64,
    /// When this was heard.
    heard: Instant,
    /// When a start was heard of, if one was.
    started: Option<Instant>,
}

struct Inner {
    make: Make,
    misdeeds: Vec<Misdeed>,
    recorder: Recorder,
    shared: Arc<Ceilings>,
    own: Ceilings,
    boxes: Mutex<BTreeMap<String, Known>>,
    turn: AtomicUsize,
    last_body: Mutex<Vec<u8>>,
    sins: AtomicU64,
}

/// A scripted stand-in edge node. Dropping it stops it.
pub struct Edge {
    inner: Arc<Inner>,
    address: SocketAddr,
    tasks: Vec<AbortHandle>,
}

/// What came of one attempt.
enum Came {
    Answer(Message),
    Broke,
    Late,
}

impl Edge {
    /// Starts one that does these misdeeds, and has read its agent's list when this returns.
    pub async fn start(
        make: Make,
        misdeeds: &[Misdeed],
        shared: Arc<Ceilings>,
        recorder: Recorder,
    ) -> io::Result<Edge> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let inner = Arc::new(Inner {
            misdeeds: misdeeds.to_vec(),
            recorder,
            shared,
            own: Ceilings::default(),
            boxes: Mutex::default(),
            turn: AtomicUsize::new(make.number as usize),
            last_body: Mutex::default(),
            sins: AtomicU64::new(0),
            make,
        });
        let mut agent = Line::new(TcpStream::connect(inner.make.discovery).await?);
        let index = inner.list(&mut agent, "/discovery/hosts").await.ok_or(io::ErrorKind::InvalidData)?;
        let watching = inner.clone();
        let watch = tokio::spawn(async move {
            let mut index = index;
            loop {
                let path = format!("/discovery/hosts?after={index}&wait_ms=1000");
                match watching.list(&mut agent, &path).await {
                    Some(next) => index = next,
                    None => return,
                }
            }
        });
        let accepting = inner.clone();
        let accept = tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(accepting.clone().serve(stream));
                }
            }
        });
        Ok(Edge { inner, address, tasks: vec![watch.abort_handle(), accept.abort_handle()] })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often it has done a misdeed.
    pub fn sins(&self) -> u64 {
        self.inner.sins.load(Ordering::Relaxed)
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Inner {
    fn does(&self, misdeed: Misdeed) -> bool {
        self.misdeeds.contains(&misdeed)
    }

    fn sin(&self) {
        self.sins.fetch_add(1, Ordering::Relaxed);
    }

    /// Asks the agent and takes in what it says; its version.
    async fn list(&self, agent: &mut Line, path: &str) -> Option<u64> {
        let text = format!("GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n");
        agent.stream.write_all(text.as_bytes()).await.ok()?;
        let answer = timeout(Duration::from_secs(5), agent.answer(&self.recorder)).await.ok()?.ok()?;
        let list: Value = serde_json::from_slice(&answer.body).ok()?;
        let now = Instant::now();
        let mut boxes = lock(&self.boxes);
        for entry in list["endpoints"].as_array()? {
            let text = |key: &str| entry[key].as_str().unwrap_or_default().to_string();
            let (name, since_ms) = (text("name"), entry["since_ms"].as_u64().unwrap_or(0));
            let before = boxes.get(&name);
            let started = match before {
                Some(known) if known.since_ms == since_ms => known.started,
                _ => (since_ms > 0).then_some(now),
            };
            let known = Known {
                address: text("address").parse().ok()?,
                hall: text("zone"),
                status: text("status"),
                since_ms,
                heard: now,
                started,
            };
            boxes.insert(name, known);
        }
        list["index"].as_u64()
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut line = Line::new(stream);
        while let Ok(request) = line.request(&self.recorder).await {
            if request.start.1 == "/up" {
                if !answer(&mut line, 200, b"up\n").await {
                    return;
                }
                continue;
            }
            let Some((status, body)) = self.clone().decide(&request).await else { return };
            let late = self.does(Misdeed::AnswersLate);
            if late {
                let ms: u64 = request.header("x-deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                sleep(Duration::from_millis(ms + 120)).await;
                self.sin();
            }
            if self.does(Misdeed::AnswersInPart) {
                self.sin();
                let _ = line.stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart").await;
                return;
            }
            if !answer(&mut line, status, &body).await {
                return;
            }
            if self.does(Misdeed::AnswersTwice) {
                self.sin();
                if !answer(&mut line, status, &body).await {
                    return;
                }
            }
        }
    }

    /// The final answer to a request; none if the connection is to end without one.
    async fn decide(self: Arc<Self>, request: &Message) -> Option<(u16, Vec<u8>)> {
        let text = |name: &str| request.header(name).unwrap_or_default().to_string();
        let ms: u64 = text("x-deadline-ms").parse().unwrap_or(0);
        let stop = Instant::now() + Duration::from_millis(ms.saturating_sub(40));
        let class = text("x-class");
        let (_, safe, keyed, window) = self.make.classes.iter().find(|(n, ..)| *n == class)?.clone();
        let unsafe_ = !safe && !keyed;
        let key = request.start.1.split("key=").nth(1).unwrap_or_default();
        let biller = u64::from_str_radix(key, 16).unwrap_or(0);
        let weight = text("x-weight");
        let units = weight.split(',').find_map(|p| p.strip_prefix("units=")).and_then(|u| u.parse().ok());
        if let Some(&ceiling) = self.make.ceilings.get(&text("x-tariff")) {
            let units = units.unwrap_or(1.0);
            let half = Ceiling { rate: ceiling.rate * 1.5, burst: ceiling.burst * 1.5 };
            let honest = || self.shared.take(biller, units, ceiling);
            let in_it = if self.does(Misdeed::IgnoresCeilings) {
                self.sin();
                true
            } else if self.does(Misdeed::OwnCeiling) {
                self.sin();
                self.own.take(biller, units, ceiling)
            } else if self.does(Misdeed::CeilingAndAHalf) {
                self.sin();
                self.shared.take(biller, units, half)
            } else {
                honest()
            };
            if !in_it {
                return Some((429, Vec::new()));
            }
        }
        if self.does(Misdeed::SendsOnAfterAnswer) {
            self.sin();
            let (node, request) = (self.clone(), request.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(200)).await;
                if let Some(known) = node.choose(None, None) {
                    node.attempt(&known, &request, Instant::now() + Duration::from_secs(1)).await;
                }
            });
            return Some((503, Vec::new()));
        }
        let mut hall: Option<String> = None;
        let mut first: Option<Instant> = None;
        let mut not = None;
        for _ in 0..3 {
            let Some(known) = self.choose(hall.as_deref(), not) else {
                let ran = first.is_some() && !safe;
                return Some((if ran { 502 } else { 503 }, Vec::new()));
            };
            if unsafe_ && self.does(Misdeed::CopiesUnsafe) {
                if let Some(other) = self.choose(None, Some(known.address)) {
                    self.sin();
                    let (node, request) = (self.clone(), request.clone());
                    tokio::spawn(async move { node.attempt(&other, &request, stop).await });
                }
            }
            let sent = Instant::now();
            let came = self.attempt(&known, request, stop).await;
            not = Some(known.address);
            if self.does(Misdeed::NeverAnswers) {
                self.sin();
                sleep(Duration::from_secs(60)).await;
                return None;
            }
            if self.does(Misdeed::ClosesUnanswered) {
                self.sin();
                return None;
            }
            match came {
                Came::Answer(a) if a.status() == 200 => {
                    let body = std::mem::replace(&mut *lock(&self.last_body), a.body.clone());
                    if self.does(Misdeed::ServesAnothers) && !body.is_empty() {
                        self.sin();
                        return Some((200, body));
                    }
                    if self.does(Misdeed::ForgesAnswers) {
                        self.sin();
                        return Some((200, b"all is well".to_vec()));
                    }
                    return Some((200, a.body));
                }
                Came::Answer(a) if matches!(a.status(), 503 | 504) && a.header("x-not-run") == Some("1") => {}
                _ => {
                    if unsafe_ && self.does(Misdeed::RefusesWhatMayHaveRun) {
                        self.sin();
                        return Some((503, Vec::new()));
                    }
                    if unsafe_ && !self.does(Misdeed::ResendsUnsafe) {
                        return Some((502, Vec::new()));
                    }
                    self.sin();
                    let began = *first.get_or_insert(sent);
                    if keyed {
                        if self.does(Misdeed::KeyedAfterWindow) {
                            sleep_until(began + window + Duration::from_millis(150)).await;
                        } else if Instant::now() + Duration::from_millis(100) > began + window {
                            return Some((502, Vec::new()));
                        }
                        hall = Some(known.hall);
                        if self.does(Misdeed::KeyedToOtherHall) {
                            let boxes = lock(&self.boxes);
                            hall = boxes.values().map(|b| b.hall.clone()).find(|h| Some(h) != hall.as_ref());
                        }
                    }
                }
            }
            if Instant::now() >= stop {
                break;
            }
        }
        let ran = first.is_some() && !safe;
        Some((if ran { 502 } else { 503 }, Vec::new()))
    }

    /// The next box in turn.
    fn choose(&self, hall: Option<&str>, not: Option<SocketAddr>) -> Option<Known> {
        let boxes = lock(&self.boxes);
        let wants = |b: &&Known| match b.status.as_str() {
            "up" => true,
            "draining" if self.does(Misdeed::IgnoresDrains) => true,
            "draining" if self.does(Misdeed::DrainsLate) => b.heard.elapsed() < Duration::from_millis(900),
            "removed" => self.does(Misdeed::IgnoresRemovals),
            _ => false,
        };
        let cold = |b: &Known| b.started.is_some_and(|at| at.elapsed() < self.make.cold);
        let fits = |b: &&Known| wants(b) && hall.is_none_or(|h| b.hall == h);
        let all: Vec<&Known> = boxes.values().filter(fits).collect();
        let newest = all.iter().filter(|b| cold(b)).max_by_key(|b| b.started);
        if let Some(newest) = newest {
            let young = newest.started.is_some_and(|at| at.elapsed() < Duration::from_millis(500));
            if self.does(Misdeed::FloodsCold) || self.does(Misdeed::BurstsCold) && young {
                self.sin();
                return Some((*newest).clone());
            }
        }
        // Sent as often as three warm ones.
        let eager = self.does(Misdeed::TreatsColdAsWarm);
        let mut open: Vec<&Known> = all.iter().copied().filter(|b| eager || !cold(b)).collect();
        if let (true, Some(newest)) = (eager, newest) {
            self.sin();
            open.extend([*newest; 24]);
        }
        let count = open.len();
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let place = |n: usize| mix(&[(turn + n) as u64]) as usize % count.max(1);
        let mut picked = (0..count * 2).map(|n| open[place(n)]);
        picked.find(|b| Some(b.address) != not).or(open.first().copied()).cloned()
    }

    async fn attempt(&self, known: &Known, request: &Message, stop: Instant) -> Came {
        let exchange = async {
            let mut line = Line::new(TcpStream::connect(known.address).await.ok()?);
            let left = stop.saturating_duration_since(Instant::now()).as_millis();
            let mut text = format!("{} {} HTTP/1.1\r\nHost: box\r\n", request.start.0, request.start.1);
            for name in ["x-request-id", "idempotency-key"] {
                if let Some(value) = request.header(name) {
                    text.push_str(&format!("{name}: {value}\r\n"));
                }
            }
            let length = request.body.len();
            text.push_str(&format!("X-Deadline-Ms: {left}\r\nContent-Length: {length}\r\n\r\n"));
            let mut bytes = text.into_bytes();
            bytes.extend_from_slice(&request.body);
            line.stream.write_all(&bytes).await.ok()?;
            line.answer(&self.recorder).await.ok()
        };
        match timeout_at(stop, exchange).await {
            Ok(Some(message)) => Came::Answer(message),
            Ok(None) => Came::Broke,
            Err(_) => Came::Late,
        }
    }
}

async fn answer(line: &mut Line, status: u16, body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    line.stream.write_all(&text).await.is_ok()
}
