//! The adapter: wire messages to events and actions back. It maps and decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};

use mountbend::control::Controller;
use mountbend::interface::{
    Action, CountName, CustomerId, Ended, Event, ListKind, Member, MemberState, Micros, NewRequest, Outcome,
    ServerId,
};
use pinerelay_protocol::settings::Env;

/// Why the adapter stopped.
#[derive(Debug)]
pub enum WireError {
    /// A line that is not the JSON expected.
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What the parser said.
        reason: String,
    },
    /// A message for an instance that was not started.
    NotStarted(String),
    /// A list number that no `Pool` has set up.
    UnknownList(u32),
    /// Reading or writing failed.
    Io(std::io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Malformed { line, reason } => write!(f, "line {line} is malformed: {reason}"),
            WireError::NotStarted(node) => write!(f, "message for {node}, which has not been started"),
            WireError::UnknownList(list) => write!(f, "list {list} has not been set up"),
            WireError::Io(error) => write!(f, "input or output failed: {error}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        WireError::Io(error)
    }
}

#[derive(Deserialize)]
struct Batch {
    time: Micros,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    node_id: String,
    msgs: Vec<Message>,
}

#[derive(Deserialize)]
#[serde(tag = "what")]
enum Message {
    PowerOn {
        salt: u64,
        env: Box<Env>,
    },
    Pool {
        list: u32,
        members: Vec<Entry>,
    },
    Membership {
        how: How,
        #[serde(default)]
        list: u32,
    },
    Knock(Knock),
    Ended(WireEnded),
    Expired {
        xid: String,
    },
    AckFirst {
        xid: String,
    },
    TallyBack {
        book: u64,
        state_code: Code,
        #[serde(default)]
        value: f64,
    },
    ProbeDone {
        server: u32,
        state_code: Code,
    },
    Alarm {
        handle: u64,
    },
    Killed,
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum How {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize, Clone, Copy)]
enum Condition {
    #[serde(rename = "IN")]
    In,
    #[serde(rename = "LAME")]
    Lame,
    #[serde(rename = "OUT")]
    Out,
}

#[derive(Deserialize, Clone)]
struct Entry {
    server: u32,
    #[serde(default)]
    site: u32,
    #[serde(default)]
    family_type: u32,
    #[serde(default)]
    block: u32,
    condition: Condition,
    weight: Option<f64>,
    #[serde(default)]
    last_start: Micros,
}

#[derive(Deserialize)]
struct Knock {
    xid: String,
    #[serde(default)]
    set_start: f64,
    entry_points: Option<f64>,
    #[serde(default)]
    terms: usize,
    #[serde(default)]
    again_by_client: bool,
    quota_units: Option<f64>,
    lane: usize,
    #[serde(default)]
    member: String,
    due: Micros,
}

#[derive(Deserialize)]
struct WireEnded {
    xid: String,
    #[serde(default)]
    spent: Micros,
    #[serde(default)]
    seq_no: u32,
    #[serde(default)]
    finished: bool,
    final_units: Option<f64>,
    state_code: Code,
    server: u32,
}

#[derive(Deserialize, Clone, Copy)]
enum Code {
    Ok,
    Failed,
    QueueFull,
    TimedOut,
    ConnectError,
    ResetByPeer,
    Canceled,
    Ignored,
}

#[derive(Serialize)]
struct Reply<'a> {
    parts: Vec<ReplyPart<'a>>,
}

#[derive(Serialize)]
struct ReplyPart<'a> {
    node_id: &'a str,
    output: Vec<Output>,
}

#[derive(Serialize)]
#[serde(tag = "what")]
enum Output {
    PassOn { xid: String, server: u32, timeout: Micros },
    Bounce { xid: String, not_before_for: Micros },
    EndFailed { xid: String },
    Abandon { xid: String, seq_no: u32 },
    Check { server: u32 },
    Add { book: u64, amount: f64, keep_for: Micros },
    After { handle: u64, from_now: Micros },
    Snapshot,
    Watch { active: bool },
}

impl From<Code> for Outcome {
    fn from(code: Code) -> Self {
        match code {
            Code::Ok => Outcome::Ok,
            Code::Failed => Outcome::Error,
            Code::QueueFull => Outcome::Full,
            Code::TimedOut => Outcome::TimedOut,
            Code::ConnectError => Outcome::ConnectFailed,
            Code::ResetByPeer => Outcome::Reset,
            Code::Canceled => Outcome::Cancelled,
            Code::Ignored => Outcome::Ignored,
        }
    }
}

impl From<How> for ListKind {
    fn from(how: How) -> Self {
        match how {
            How::Incr => ListKind::Changes,
            How::Total => ListKind::Whole,
            How::WarmCopy => ListKind::Stale,
            How::Lost => ListKind::Lost,
        }
    }
}

impl From<&Entry> for Member {
    fn from(e: &Entry) -> Self {
        Member {
            server: ServerId(e.server),
            zone: e.site,
            kind: e.family_type,
            cell: e.block,
            state: match e.condition {
                Condition::In => MemberState::In,
                Condition::Lame => MemberState::Draining,
                Condition::Out => MemberState::Out,
            },
            weight: e.weight.unwrap_or(1.0),
            started: e.last_start,
        }
    }
}

fn event(message: Message, lists: &BTreeMap<u32, Vec<Member>>) -> Result<Option<Event>, WireError> {
    Ok(Some(match message {
        Message::Membership { how: How::Lost, .. } => {
            Event::Members { kind: ListKind::Lost, entries: Vec::new() }
        }
        Message::Membership { how, list } => Event::Members {
            kind: how.into(),
            entries: lists.get(&list).ok_or(WireError::UnknownList(list))?.clone(),
        },
        Message::Knock(k) => Event::Request(NewRequest {
            id: k.xid.as_str().into(),
            customer: CustomerId(u64::from_str_radix(&k.member, 16).unwrap_or_default()),
            class: k.lane,
            plan: k.terms,
            units: k.quota_units.unwrap_or(1.0),
            first_node: k.set_start as u32,
            spread: k.entry_points.unwrap_or(0.0) as u32,
            marked_retry: k.again_by_client,
            due: k.due,
        }),
        Message::Ended(e) => Event::Ended(Ended {
            id: e.xid.as_str().into(),
            attempt: e.seq_no,
            server: ServerId(e.server),
            outcome: e.state_code.into(),
            spent: e.spent,
            finished: e.finished,
            final_units: e.final_units,
        }),
        Message::Expired { xid } => Event::Gone { id: xid.as_str().into() },
        Message::AckFirst { xid } => Event::Began { id: xid.as_str().into() },
        Message::TallyBack { book, state_code, value } => {
            Event::Counted { name: CountName(book), outcome: state_code.into(), total: value }
        }
        Message::ProbeDone { server, state_code } => {
            Event::Probed { server: ServerId(server), outcome: state_code.into() }
        }
        Message::Alarm { handle } => Event::Timer { id: handle },
        Message::PowerOn { .. } | Message::Pool { .. } | Message::Killed | Message::Unknown => {
            return Ok(None)
        }
    }))
}

fn output(action: Action) -> Output {
    match action {
        Action::Send { id, server, timeout } => {
            Output::PassOn { xid: id.0.to_string(), server: server.0, timeout }
        }
        Action::Refuse { id, retry_after, .. } => {
            Output::Bounce { xid: id.0.to_string(), not_before_for: retry_after }
        }
        Action::Fail { id, .. } => Output::EndFailed { xid: id.0.to_string() },
        Action::Cancel { id, attempt } => Output::Abandon { xid: id.0.to_string(), seq_no: attempt },
        Action::Probe { server } => Output::Check { server: server.0 },
        Action::Count { name, amount, keep_for } => Output::Add { book: name.0, amount, keep_for },
        Action::Timer { id, after } => Output::After { handle: id, from_now: after },
        Action::FetchList => Output::Snapshot,
        Action::WatchList => Output::Watch { active: true },
    }
}

/// Reads batches line by line, lets each instance's module decide, and writes one reply a batch.
pub fn run(input: impl BufRead, mut out: impl Write) -> Result<(), WireError> {
    let mut nodes: BTreeMap<String, Controller> = BTreeMap::new();
    let mut lists: BTreeMap<u32, Vec<Member>> = BTreeMap::new();
    let mut actions = Vec::new();
    for (index, line) in input.lines().enumerate() {
        let line = line?;
        let batch: Batch = serde_json::from_str(&line)
            .map_err(|e| WireError::Malformed { line: index + 1, reason: e.to_string() })?;
        let mut replies: Vec<(String, Vec<Output>)> = Vec::new();
        for part in batch.parts {
            for message in part.msgs {
                match message {
                    Message::PowerOn { salt, env } => {
                        nodes.insert(part.node_id.clone(), Controller::new(salt, (*env).into()));
                    }
                    Message::Pool { list, members } => {
                        lists.insert(list, members.iter().map(Member::from).collect());
                    }
                    Message::Killed => {
                        nodes.remove(&part.node_id);
                        actions.clear();
                    }
                    other => {
                        let Some(event) = event(other, &lists)? else { continue };
                        let node = nodes
                            .get_mut(&part.node_id)
                            .ok_or_else(|| WireError::NotStarted(part.node_id.clone()))?;
                        node.handle(batch.time, event, &mut actions);
                    }
                }
            }
            let outputs: Vec<Output> = actions.drain(..).map(output).collect();
            if !outputs.is_empty() {
                replies.push((part.node_id, outputs));
            }
        }
        let parts = replies.iter_mut().map(|(id, o)| ReplyPart { node_id: id, output: std::mem::take(o) });
        serde_json::to_writer(&mut out, &Reply { parts: parts.collect() })
            .map_err(|e| WireError::Io(e.into()))?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}
