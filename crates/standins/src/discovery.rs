//! Stand-in discovery: the list of boxes, and for each node an agent that hears of changes late and tells them.
//!
//! Each agent has versions of its own. One that has moved takes no new connection at the old address and closes
//! the open ones after 1.5 s.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pinerelay_evidence::{lock, Listed, Recorder, Seen};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout_at, Instant};

use crate::http::Line;

/// The longest that a watch waits.
const WAIT_MOST: Duration = Duration::from_secs(60);
/// How long open connections to an agent's old address stay open.
const OLD_STAYS: Duration = Duration::from_millis(1_500);

/// A box as the list names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The box.
    pub number: u32,
    /// Its name on the sockets.
    pub name: String,
    /// Where it listens, for each node.
    pub addresses: Vec<SocketAddr>,
    /// Its hall.
    pub hall: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its size beside the others'.
    pub weight: f64,
    /// What is said of it.
    pub says: Listed,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub since_ms: u64,
}

impl Entry {
    fn value(&self, node: u32) -> Value {
        let status = match self.says {
            Listed::Up => "up",
            Listed::Draining => "draining",
            Listed::Removed => "removed",
        };
        json!({
            "name": self.name, "address": self.addresses[node as usize].to_string(), "zone": self.hall,
            "type": self.kind, "group": self.cell, "status": status, "weight": self.weight,
            "since_ms": self.since_ms,
        })
    }
}

struct State {
    index: u64,
    /// What it has heard, and at which of its versions.
    entries: BTreeMap<u32, (u64, Entry)>,
    /// Changes that it has not been sent while discovery is down.
    missed: Vec<Entry>,
    silent: bool,
    lateness: Duration,
    address: SocketAddr,
    accepting: Option<AbortHandle>,
}

struct Agent {
    node: u32,
    recorder: Recorder,
    state: Mutex<State>,
    news: watch::Sender<u64>,
    /// Changes when it moves.
    place: watch::Sender<u64>,
}

/// Stand-in discovery. Dropping it stops it.
pub struct Discovery {
    agents: Vec<Arc<Agent>>,
}

impl Discovery {
    /// Discovery with an agent for each of `nodes` nodes, which all know these boxes.
    pub async fn start(recorder: Recorder, nodes: u32, entries: &[Entry]) -> io::Result<Discovery> {
        let mut agents = Vec::new();
        for node in 0..nodes {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let state = State {
                index: 1,
                entries: entries.iter().map(|e| (e.number, (1, e.clone()))).collect(),
                missed: Vec::new(),
                silent: false,
                lateness: Duration::ZERO,
                address: listener.local_addr()?,
                accepting: None,
            };
            let agent = Arc::new(Agent {
                node,
                recorder: recorder.clone(),
                state: Mutex::new(state),
                news: watch::channel(0).0,
                place: watch::channel(0).0,
            });
            for entry in entries {
                recorder.see(Seen::Held { node, at_box: entry.number, says: entry.says });
            }
            agent.clone().listen(listener);
            agents.push(agent);
        }
        Ok(Discovery { agents })
    }

    /// Where a node finds its agent.
    pub fn address(&self, node: u32) -> SocketAddr {
        lock(&self.agents[node as usize].state).address
    }

    /// The whole list as a node's agent has it, in the form of the protocol.
    pub fn list(&self, node: u32) -> Value {
        self.agents[node as usize].whole(false)
    }

    /// Says something new of a box; each agent hears of it after its lateness.
    pub fn say(&self, entry: &Entry) {
        for agent in &self.agents {
            let lateness = lock(&agent.state).lateness;
            if lateness.is_zero() {
                agent.hear(entry.clone());
                continue;
            }
            let (agent, entry) = (agent.clone(), entry.clone());
            tokio::spawn(async move {
                sleep(lateness).await;
                agent.hear(entry);
            });
        }
    }

    /// How long changes take to the agents from now on.
    pub fn late(&self, lateness: Duration) {
        self.agents.iter().for_each(|a| lock(&a.state).lateness = lateness);
    }

    /// Whether discovery is down: agents are silent, and are sent nothing; what they missed comes with its end.
    pub fn silent(&self, silent: bool) {
        for agent in &self.agents {
            let missed = {
                let mut state = lock(&agent.state);
                state.silent = silent;
                if silent {
                    Vec::new()
                } else {
                    std::mem::take(&mut state.missed)
                }
            };
            missed.into_iter().for_each(|entry| agent.hear(entry));
            agent.news.send_modify(|n| *n += 1);
        }
    }

    /// Has a node's agent move; its new address.
    pub async fn move_agent(&self, node: u32) -> io::Result<SocketAddr> {
        let agent = &self.agents[node as usize];
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        {
            let mut state = lock(&agent.state);
            if let Some(old) = state.accepting.take() {
                old.abort();
            }
            // Versions of the new one have nothing to do with the old one's.
            let shift = state.index + 1_000;
            state.index += shift;
            state.entries.values_mut().for_each(|(index, _)| *index += shift);
            state.address = address;
        }
        agent.place.send_modify(|n| *n += 1);
        agent.clone().listen(listener);
        Ok(address)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        for agent in &self.agents {
            if let Some(task) = lock(&agent.state).accepting.take() {
                task.abort();
            }
            agent.place.send_modify(|n| *n += 1);
        }
    }
}

impl Agent {
    fn listen(self: Arc<Self>, listener: TcpListener) {
        let agent = self.clone();
        let task = tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    let agent = agent.clone();
                    tokio::spawn(async move {
                        let mut place = agent.place.subscribe();
                        let moved = async {
                            // An agent that is gone has moved as well.
                            let _ = place.changed().await;
                            sleep(OLD_STAYS).await;
                        };
                        tokio::select! {
                            () = agent.serve(stream) => {}
                            () = moved => {}
                        }
                    });
                }
            }
        });
        lock(&self.state).accepting = Some(task.abort_handle());
    }

    fn hear(&self, entry: Entry) {
        {
            let mut state = lock(&self.state);
            if state.silent {
                return state.missed.push(entry);
            }
            state.index += 1;
            let index = state.index;
            let (at_box, says) = (entry.number, entry.says);
            state.entries.insert(entry.number, (index, entry));
            self.recorder.see(Seen::Held { node: self.node, at_box, says });
        }
        self.news.send_modify(|n| *n += 1);
    }

    fn whole(&self, tells: bool) -> Value {
        let state = lock(&self.state);
        let listed: Vec<_> =
            state.entries.values().map(|(_, e)| e).filter(|e| e.says != Listed::Removed).collect();
        if tells {
            // What is no more on a whole list is told as gone.
            state.entries.values().for_each(|(_, e)| self.tell(e));
        }
        let endpoints: Vec<_> = listed.iter().map(|e| e.value(self.node)).collect();
        json!({"index": state.index, "snapshot": true, "endpoints": endpoints})
    }

    fn tell(&self, e: &Entry) {
        self.recorder.see(Seen::Told { node: self.node, at_box: e.number, says: e.says });
    }

    /// What has changed since a version; none if nothing has.
    fn changes(&self, after: u64) -> Option<Value> {
        let state = lock(&self.state);
        // A version that it never gave: whoever asks has it from another agent.
        if after > state.index {
            drop(state);
            return Some(self.whole(true));
        }
        let changed: Vec<_> =
            state.entries.values().filter(|(index, _)| *index > after).map(|(_, e)| e).collect();
        if changed.is_empty() {
            return None;
        }
        changed.iter().for_each(|e| self.tell(e));
        let endpoints: Vec<_> = changed.iter().map(|e| e.value(self.node)).collect();
        Some(json!({"index": state.index, "snapshot": false, "endpoints": endpoints}))
    }

    async fn serve(&self, stream: TcpStream) {
        let mut line = Line::new(stream);
        let mut news = self.news.subscribe();
        while let Ok(request) = line.request(&self.recorder).await {
            let target = request.start.1.as_str();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let number = |name: &str| {
                let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse::<u64>().ok())
            };
            if path != "/discovery/hosts" || request.start.0 != "GET" {
                if !write(&mut line, 404, "").await {
                    return;
                }
                continue;
            }
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(WAIT_MOST);
            let until = Instant::now() + wait;
            let body = loop {
                news.borrow_and_update();
                if !lock(&self.state).silent {
                    let Some(after) = number("after") else { break self.whole(true) };
                    match self.changes(after) {
                        Some(body) => break body,
                        None if Instant::now() >= until => {
                            let index = lock(&self.state).index;
                            break json!({"index": index, "snapshot": false, "endpoints": []});
                        }
                        None => {}
                    }
                    let _ = timeout_at(until, news.changed()).await;
                    continue;
                }
                // Down: it is silent until it hears again, or its caller has gone.
                tokio::select! {
                    heard = news.changed() => if heard.is_err() { return },
                    _ = line.ended() => return,
                }
            };
            if !write(&mut line, 200, &body.to_string()).await {
                return;
            }
        }
    }
}

async fn write(line: &mut Line, status: u16, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    line.stream.write_all(text.as_bytes()).await.is_ok()
}
