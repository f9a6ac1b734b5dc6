//! Stand-in billers: clients behind a front that deals their requests out among the edge nodes, keep connections,
//! wait as long as they say, honour a time to come back, and try again.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinerelay_evidence::{lock, Body, Cut, Micros, Recorder, RequestId, Seen};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use crate::boxes::made_by;
use crate::http::{Line, Message, NoMessage};
use crate::lots::mix;

/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(1_000);
/// How long past its time and the slack a client still listens, so that what comes late is seen.
const LISTENS: Duration = Duration::from_millis(150);
/// How long a node has for `GET /up`.
const UP: Duration = Duration::from_millis(500);

/// How a class is asked for.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// `GET`, else `POST`.
    pub safe: bool,
    /// With an idempotency key.
    pub keyed: bool,
    /// How long a client waits over all its tries.
    pub deadline: Duration,
}

/// What clients do.
#[derive(Debug, Clone, PartialEq)]
pub struct Habits {
    /// Classes, in the order of their numbers.
    pub classes: Vec<Class>,
    /// Plans' names, in the order of their numbers.
    pub plans: Vec<String>,
    /// How often a client tries again by itself.
    pub retries: u32,
    /// A try is given up after this share of the class's deadline, from the least to the most.
    pub try_share: (f64, f64),
    /// The share of clients that come back when they are told to.
    pub honour: f64,
    /// What the others wait, and those that are not told.
    pub backoff: Duration,
    /// They mark their repeats.
    pub marks_retry: bool,
    /// Grace after the deadline in which an answer still counts.
    pub answer_slack: Duration,
    /// Connections that they keep to one node at most.
    pub connections: usize,
    /// They use the connection that has been idle for longest, and not the one used last.
    pub oldest_first: bool,
    /// How often a biller's busiest node changes.
    pub busiest_for: Duration,
    /// The share of its requests that its busiest node gets, beside its even part of the rest.
    pub busiest_share: f64,
    /// How long the front goes on sending to a node that has died.
    pub notice: Duration,
    /// The seed of all that they draw.
    pub seed: u64,
}

/// A request that a biller is going to make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Planned {
    /// When, in microseconds from the start of the load.
    pub at: Micros,
    /// Who.
    pub biller: u64,
    /// On which plan.
    pub plan: usize,
    /// Of which class.
    pub class: usize,
    /// Units.
    pub units: u32,
    /// How many nodes it may come through, and the first of them.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
}

/// Traffic that goes elsewhere than usual, while it does.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Drift {
    /// The share of requests that go to the busiest node of their biller, whatever else.
    pub gather: f64,
    /// This share of the billers has its traffic at others of its nodes than before; with which turn.
    pub shifted: f64,
    /// How many shifts there have been.
    pub turn: u64,
    /// Every other request of the first class is one of the second.
    pub swapped: Option<(usize, usize)>,
}

struct Place {
    address: Mutex<SocketAddr>,
    in_service: AtomicBool,
    idle: Mutex<Vec<(Line, RequestId)>>,
    open: AtomicUsize,
}

/// How a try ended for its client.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Ended {
    Served,
    Refused(Option<Duration>),
    Failed,
    NotTaken,
}

/// The clients of all billers, and the front before the nodes.
pub struct Crowd {
    habits: Habits,
    recorder: Recorder,
    places: Vec<Place>,
    drift: Mutex<Drift>,
    began: Mutex<Instant>,
    next: AtomicU64,
    out: AtomicUsize,
    /// Tries served, refused, and failed.
    ends: [AtomicU64; 3],
}

impl Crowd {
    /// Clients of nodes at these addresses; the front has taken in none of them yet.
    pub fn new(habits: Habits, recorder: Recorder, nodes: &[SocketAddr]) -> Arc<Crowd> {
        let place = |&address: &SocketAddr| Place {
            address: Mutex::new(address),
            in_service: AtomicBool::new(false),
            idle: Mutex::default(),
            open: AtomicUsize::new(0),
        };
        Arc::new(Crowd {
            places: nodes.iter().map(place).collect(),
            habits,
            recorder,
            drift: Mutex::default(),
            began: Mutex::new(Instant::now()),
            next: AtomicU64::new(1),
            out: AtomicUsize::new(0),
            ends: Default::default(),
        })
    }

    /// Asks a node whether it is up, and takes it in if so.
    pub async fn greet(&self, node: u32) -> bool {
        let place = &self.places[node as usize];
        let address = *lock(&place.address);
        let asked = async {
            let mut line = Line::new(TcpStream::connect(address).await?);
            line.stream
                .write_all(b"GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                .await?;
            let answer = line.answer(&self.recorder).await;
            Ok::<_, io::Error>(answer.is_ok_and(|a| a.status() == 200))
        };
        let up = matches!(timeout(UP, asked).await, Ok(Ok(true)));
        if up {
            self.recorder.see(Seen::NodeUp { node });
            place.in_service.store(true, Ordering::Relaxed);
        }
        up
    }

    /// The front has noticed that a node is gone.
    pub fn leave_out(&self, node: u32) {
        self.places[node as usize].in_service.store(false, Ordering::Relaxed);
        lock(&self.places[node as usize].idle).clear();
    }

    /// How long the front takes to notice.
    pub fn notice(&self) -> Duration {
        self.habits.notice
    }

    /// Where a node listens.
    pub fn address(&self, node: u32) -> SocketAddr {
        *lock(&self.places[node as usize].address)
    }

    /// A node listens elsewhere from now on.
    pub fn moved(&self, node: u32, address: SocketAddr) {
        *lock(&self.places[node as usize].address) = address;
    }

    /// Changes where traffic goes.
    pub fn drift(&self, change: impl FnOnce(&mut Drift)) {
        change(&mut lock(&self.drift));
    }

    /// How many requests are open.
    pub fn open(&self) -> usize {
        self.out.load(Ordering::Relaxed)
    }

    /// Tries served, refused, and failed so far.
    pub fn ends(&self) -> [u64; 3] {
        [0, 1, 2].map(|n| self.ends[n].load(Ordering::Relaxed))
    }

    /// Begins the load: times of requests count from here.
    pub fn begin(&self) -> Instant {
        let now = Instant::now();
        *lock(&self.began) = now;
        now
    }

    /// The node that the front sends a biller's request to at this time, if any is in service.
    fn choose(&self, planned: &Planned, lot: u64) -> Option<u32> {
        let nodes = self.places.len() as u32;
        let spread = planned.spread.clamp(1, nodes);
        let drift = *lock(&self.drift);
        let share = |salt: u64| mix(&[lot, salt]) as f64 / u64::MAX as f64;
        let at = lock(&self.began).elapsed();
        let span = self.habits.busiest_for.as_secs_f64().max(0.1);
        let phase = (mix(&[planned.biller, 1]) as f64 / u64::MAX as f64) * span;
        let epoch = ((at.as_secs_f64() + phase) / span) as u64;
        let shifts = (mix(&[planned.biller, drift.turn, 2]) as f64 / u64::MAX as f64) < drift.shifted;
        let turn = if shifts { drift.turn } else { 0 };
        let busiest = if drift.gather > 0.0 && share(3) < drift.gather {
            Some((mix(&[planned.biller, 4]) % u64::from(spread)) as u32)
        } else if share(5) < self.habits.busiest_share {
            Some(((mix(&[planned.biller, epoch, 6]) + turn) % u64::from(spread)) as u32)
        } else {
            None
        };
        let place = busiest.unwrap_or((mix(&[lot, 7]) % u64::from(spread)) as u32);
        let of_set = (0..spread).map(|n| (planned.first + (place + n) % spread) % nodes);
        let mut all = of_set.chain(0..nodes);
        all.find(|&n| self.places[n as usize].in_service.load(Ordering::Relaxed))
    }

    /// Makes a request, with its repeats; over once its client has its last answer or gives up.
    pub async fn ask(self: Arc<Self>, mut planned: Planned) {
        self.out.fetch_add(1, Ordering::Relaxed);
        let swapped = lock(&self.drift).swapped;
        if let Some((_, to)) = swapped.filter(|s| s.0 == planned.class && planned.at.is_multiple_of(2)) {
            planned.class = to;
        }
        let class = &self.habits.classes[planned.class];
        let began = Instant::now();
        let mut first = None;
        for attempt in 0..=self.habits.retries {
            let id = mix(&[self.habits.seed, 0x1d, self.next.fetch_add(1, Ordering::Relaxed)]);
            let first_id = *first.get_or_insert(id);
            let lot = |salt: u64| mix(&[id, salt]) as f64 / u64::MAX as f64;
            let left = class.deadline.saturating_sub(began.elapsed());
            let (least, most) = self.habits.try_share;
            let wait = class.deadline.mul_f64(least + (most - least) * lot(1)).min(left);
            let ended = self.one(&planned, id, first_id, wait, attempt > 0).await;
            let place = match ended {
                Ended::Served => 0,
                Ended::Refused(_) => 1,
                Ended::Failed | Ended::NotTaken => 2,
            };
            self.ends[place].fetch_add(1, Ordering::Relaxed);
            let pause = match ended {
                Ended::Served => break,
                Ended::Refused(Some(told)) if lot(2) < self.habits.honour => told,
                Ended::Refused(_) | Ended::NotTaken => self.habits.backoff,
                // What may have run is asked for again only where that is harmless.
                Ended::Failed if class.safe => self.habits.backoff,
                Ended::Failed => break,
            };
            if began.elapsed() + pause + Duration::from_millis(20) >= class.deadline {
                break;
            }
            if attempt < self.habits.retries {
                sleep(pause).await;
            }
        }
        self.out.fetch_sub(1, Ordering::Relaxed);
    }

    async fn one(
        &self,
        planned: &Planned,
        id: RequestId,
        first: RequestId,
        wait: Duration,
        repeat: bool,
    ) -> Ended {
        let due = Instant::now() + wait;
        let not_taken = |node| {
            let &Planned { biller, plan, class, units, .. } = planned;
            let units = f64::from(units);
            self.recorder.see(Seen::NotTaken { id, first, node, biller, plan, class, units });
            Ended::NotTaken
        };
        let Some(node) = self.choose(planned, id) else { return not_taken(u32::MAX) };
        let mut crossed = false;
        loop {
            let Some((mut line, kept)) = self.line(node, crossed).await else { return not_taken(node) };
            let left = due.saturating_duration_since(Instant::now());
            let text = self.text(planned, id, first, left, repeat);
            if line.stream.write_all(text.as_bytes()).await.is_err() {
                self.gone(node);
                // Not a byte may have been read: once more, on a new connection.
                if kept.is_some() && !crossed {
                    crossed = true;
                    continue;
                }
                return not_taken(node);
            }
            let &Planned { biller, plan, class, units, .. } = planned;
            self.recorder.see(Seen::Sent {
                id,
                first,
                node,
                biller,
                plan,
                class,
                units: f64::from(units),
                deadline_ms: left.as_millis() as u64,
                key: self.habits.classes[class].keyed.then(|| key_of(first)),
                first_on_connection: kept.is_none(),
                crossed,
            });
            let until = due + self.habits.answer_slack + LISTENS;
            let answer = timeout_at(until, line.answer(&self.recorder)).await;
            let how = if line.begun() { Cut::Part } else { Cut::Nothing };
            match answer {
                Ok(Ok(answer)) => return self.answered(node, line, id, &answer),
                Ok(Err(NoMessage::Closed)) => {
                    self.recorder.see(Seen::CutOff { id, how: Cut::Nothing });
                    self.gone(node);
                    if kept.is_some() && !crossed {
                        crossed = true;
                        continue;
                    }
                    return Ended::Failed;
                }
                Ok(Err(_)) => {
                    self.recorder.see(Seen::CutOff { id, how: Cut::Part });
                    self.gone(node);
                    return Ended::Failed;
                }
                Err(_) => {
                    self.recorder.see(Seen::GaveUp { id, how });
                    self.gone(node);
                    return Ended::Failed;
                }
            }
        }
    }

    fn answered(&self, node: u32, line: Line, id: RequestId, answer: &Message) -> Ended {
        let status = answer.status();
        let seconds = answer.header("retry-after").and_then(|v| v.parse::<f64>().ok());
        let told = seconds.filter(|s| s.is_finite() && *s >= 0.0).map(Duration::from_secs_f64);
        let body = (status == 200).then(|| match made_by(&answer.body) {
            Some((by_request, in_attempt)) => Body::Made { by_request, in_attempt },
            None => Body::Foreign,
        });
        let retry_after_ms = told.map(|t| t.as_millis() as u64);
        self.recorder.see(Seen::Answered { id, status, retry_after_ms, body });
        if line.begun() {
            self.recorder.see(Seen::Extra { id, bytes: 1 });
            self.gone(node);
        } else if answer.closes() {
            self.gone(node);
        } else {
            let mut idle = lock(&self.places[node as usize].idle);
            if idle.len() < self.habits.connections {
                idle.push((line, id));
            } else {
                drop(idle);
                self.gone(node);
            }
        }
        match status {
            200 => Ended::Served,
            429 | 503 => Ended::Refused(told),
            _ => Ended::Failed,
        }
    }

    /// A kept connection, with the request answered last on it, or a new one.
    async fn line(&self, node: u32, new: bool) -> Option<(Line, Option<RequestId>)> {
        let place = &self.places[node as usize];
        let kept = || {
            let mut idle = lock(&place.idle);
            match idle.len() {
                0 => None,
                _ if new => None,
                _ if self.habits.oldest_first => Some(idle.remove(0)),
                _ => idle.pop(),
            }
        };
        while let Some((mut line, last)) = kept() {
            match line.unasked() {
                Some(0) => return Some((line, Some(last))),
                Some(bytes) => {
                    self.recorder.see(Seen::Extra { id: last, bytes });
                    self.gone(node);
                }
                None => self.gone(node),
            }
        }
        let address = *lock(&place.address);
        let stream = timeout(CONNECT, TcpStream::connect(address)).await.ok()?.ok()?;
        place.open.fetch_add(1, Ordering::Relaxed);
        Some((Line::new(stream), None))
    }

    fn gone(&self, node: u32) {
        self.places[node as usize].open.fetch_sub(1, Ordering::Relaxed);
    }

    /// How many connections are open to a node.
    pub fn connections(&self, node: u32) -> usize {
        self.places[node as usize].open.load(Ordering::Relaxed)
    }

    fn text(
        &self,
        planned: &Planned,
        id: RequestId,
        first: RequestId,
        left: Duration,
        repeat: bool,
    ) -> String {
        let class = &self.habits.classes[planned.class];
        let &Planned { biller, units, spread, first: first_node, .. } = planned;
        let plan = &self.habits.plans[planned.plan];
        let name = &class.name;
        let method = if class.safe { "GET" } else { "POST" };
        let mut extra = String::new();
        if repeat && self.habits.marks_retry {
            extra.push_str("X-Retry: 1\r\n");
        }
        if class.keyed {
            extra.push_str(&format!("Idempotency-Key: {:016x}\r\n", key_of(first)));
        }
        let body = if class.safe { String::new() } else { format!("units={units};slip={first:016x}") };
        if !class.safe {
            extra.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        format!(
            "{method} /{name}?key={biller:016x} HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {id:016x}\r\n\
             X-Class: {name}\r\nX-Tariff: {plan}\r\nX-Deadline-Ms: {}\r\n\
             X-Weight: units={units},spread={spread},first={first_node}\r\n{extra}\r\n{body}",
            left.as_millis(),
        )
    }
}

/// A request and its repeats bear one key.
fn key_of(first: RequestId) -> u64 {
    mix(&[first, 0x6b])
}
