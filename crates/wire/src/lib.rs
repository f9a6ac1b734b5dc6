//! The simulator adapter: hosts the controllers of simulated nodes. It maps the simulator's JSON messages to
//! [`Event`]s and [`Action`]s back to JSON, one line per batch, and makes no decisions of its own.
//!
//! The names of variants and fields of `Message` and `Output` are the wire format.

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

/// An error that stops the adapter.
#[derive(Debug)]
pub enum WireError {
    /// A line is not valid JSON, or not a batch.
    Malformed {
        /// The line's number, from 1.
        line: usize,
        /// The parser's error message.
        reason: String,
    },
    /// A message names a node for which no `PowerOn` has come.
    NotStarted(String),
    /// A `Membership` refers to a list that no `Pool` has defined.
    UnknownList(u32),
    /// Reading the input or writing the output failed.
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

/// One line of input: the messages to all nodes at one time.
#[derive(Deserialize)]
struct Batch {
    time: Micros,
    parts: Vec<Part>,
}

/// The messages to one node, in order.
#[derive(Deserialize)]
struct Part {
    node_id: String,
    msgs: Vec<Message>,
}

/// A message of the simulator.
#[derive(Deserialize)]
#[serde(tag = "what")]
enum Message {
    /// The node starts, with the seed `salt` and the settings `env`.
    PowerOn { salt: u64, env: Box<Env> },
    /// Defines the server list number `list`, for later `Membership` messages to any node.
    Pool { list: u32, members: Vec<Entry> },
    /// The server list or changes to it arrive at the node: [`Event::Members`] with the entries of `list`.
    Membership {
        how: How,
        #[serde(default)]
        list: u32,
    },
    /// A client's request arrives: [`Event::Request`].
    Knock(Knock),
    /// An attempt has ended: [`Event::Ended`].
    Ended(WireEnded),
    /// The client has given up the request: [`Event::ClientGone`].
    Expired { xid: String },
    /// The answer has begun to stream to the client: [`Event::Began`].
    AckFirst { xid: String },
    /// A counter call has ended: [`Event::CounterReply`] for the total `book`, which is `value` now.
    TallyBack {
        book: u64,
        state_code: Code,
        #[serde(default)]
        value: f64,
    },
    /// A probe has ended: [`Event::Probed`].
    ProbeDone { server: u32, state_code: Code },
    /// A timer has expired: [`Event::Timer`].
    Alarm { handle: u64 },
    /// The node is killed and loses its state.
    Killed,
    /// Any other message; ignored.
    #[serde(other)]
    Unknown,
}

/// What the entries of a `Membership` are: see [`ListKind`].
#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
enum How {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

/// A server's state: see [`MemberState`].
#[derive(Deserialize, Clone, Copy)]
enum Condition {
    #[serde(rename = "IN")]
    In,
    #[serde(rename = "LAME")]
    Lame,
    #[serde(rename = "OUT")]
    Out,
}

/// An entry of the server list: see [`Member`].
#[derive(Deserialize, Clone)]
struct Entry {
    server: u32,
    /// The server's zone.
    #[serde(default)]
    site: u32,
    /// The server's machine type.
    #[serde(default)]
    family_type: u32,
    /// The server's cell.
    #[serde(default)]
    block: u32,
    condition: Condition,
    weight: Option<f64>,
    #[serde(default)]
    last_start: Micros,
}

/// A client's request: see [`NewRequest`].
#[derive(Deserialize)]
struct Knock {
    /// The request's id.
    xid: String,
    /// The first node of the customer's set.
    #[serde(default)]
    set_start: f64,
    /// The number of nodes in that set.
    entry_points: Option<f64>,
    /// Index of the plan.
    #[serde(default)]
    terms: usize,
    /// Whether the client marked it as a retry.
    #[serde(default)]
    again_by_client: bool,
    quota_units: Option<f64>,
    /// Index of the class.
    lane: usize,
    /// The customer's id, hexadecimal.
    #[serde(default)]
    member: String,
    due: Micros,
}

/// The end of an attempt: see [`mountbend::interface::Ended`].
#[derive(Deserialize)]
struct WireEnded {
    /// The request's id.
    xid: String,
    #[serde(default)]
    spent: Micros,
    /// The attempt's index among the request's attempts.
    #[serde(default)]
    seq_no: u32,
    #[serde(default)]
    finished: bool,
    final_units: Option<f64>,
    state_code: Code,
    server: u32,
}

/// How an attempt, a probe or a counter call ended: see [`Outcome`].
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

/// One line of output: the actions of all nodes for one batch.
#[derive(Serialize)]
struct Reply<'a> {
    parts: Vec<ReplyPart<'a>>,
}

/// The actions of one node, in order.
#[derive(Serialize)]
struct ReplyPart<'a> {
    node_id: &'a str,
    output: Vec<Output>,
}

/// An action of a node.
#[derive(Serialize)]
#[serde(tag = "what")]
enum Output {
    /// [`Action::Send`].
    PassOn { xid: String, server: u32, timeout: Micros },
    /// [`Action::Refuse`], with the retry-after time.
    Bounce { xid: String, not_before_for: Micros },
    /// [`Action::Fail`].
    EndFailed { xid: String },
    /// [`Action::Cancel`] of the attempt number `seq_no`.
    Abandon { xid: String, seq_no: u32 },
    /// [`Action::Probe`].
    Check { server: u32 },
    /// [`Action::Count`] for the total `book`.
    Add { book: u64, amount: f64, keep_for: Micros },
    /// [`Action::Timer`].
    After { handle: u64, from_now: Micros },
    /// [`Action::FetchList`].
    Snapshot,
    /// [`Action::WatchList`].
    Watch { active: bool },
}

impl From<Code> for Outcome {
    fn from(code: Code) -> Self {
        match code {
            Code::Ok => Outcome::Ok,
            Code::Failed => Outcome::Error,
            Code::QueueFull => Outcome::Rejected,
            Code::TimedOut => Outcome::TimedOut,
            Code::ConnectError => Outcome::ConnectFailed,
            Code::ResetByPeer => Outcome::Reset,
            Code::Canceled => Outcome::Cancelled,
            Code::Ignored => Outcome::NotSent,
        }
    }
}

impl From<How> for ListKind {
    fn from(how: How) -> Self {
        match how {
            How::Incr => ListKind::Changes,
            How::Total => ListKind::Complete,
            How::WarmCopy => ListKind::Stale,
            How::Lost => ListKind::Lost,
        }
    }
}

impl From<&Entry> for Member {
    fn from(entry: &Entry) -> Self {
        Member {
            server: ServerId(entry.server),
            zone: entry.site,
            kind: entry.family_type,
            cell: entry.block,
            state: match entry.condition {
                Condition::In => MemberState::InService,
                Condition::Lame => MemberState::Draining,
                Condition::Out => MemberState::Removed,
            },
            weight: entry.weight.unwrap_or(1.0),
            started: entry.last_start,
        }
    }
}

/// The controller's event for a message; none for a message that the adapter handles itself or ignores.
fn event_of(message: Message, lists: &BTreeMap<u32, Vec<Member>>) -> Result<Option<Event>, WireError> {
    Ok(Some(match message {
        Message::Membership { how: How::Lost, .. } => {
            Event::Members { kind: ListKind::Lost, entries: Vec::new() }
        }
        Message::Membership { how, list } => Event::Members {
            kind: how.into(),
            entries: lists.get(&list).ok_or(WireError::UnknownList(list))?.clone(),
        },
        Message::Knock(request) => Event::Request(NewRequest {
            id: request.xid.as_str().into(),
            customer: CustomerId(u64::from_str_radix(&request.member, 16).unwrap_or_default()),
            class: request.lane,
            plan: request.terms,
            units: request.quota_units.unwrap_or(1.0),
            first_node: request.set_start as u32,
            spread: request.entry_points.unwrap_or(0.0) as u32,
            marked_retry: request.again_by_client,
            due: request.due,
        }),
        Message::Ended(end) => Event::Ended(Ended {
            id: end.xid.as_str().into(),
            attempt: end.seq_no,
            server: ServerId(end.server),
            outcome: end.state_code.into(),
            spent: end.spent,
            finished: end.finished,
            final_units: end.final_units,
        }),
        Message::Expired { xid } => Event::ClientGone { id: xid.as_str().into() },
        Message::AckFirst { xid } => Event::Began { id: xid.as_str().into() },
        Message::TallyBack { book, state_code, value } => {
            Event::CounterReply { name: CountName(book), outcome: state_code.into(), total: value }
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

/// The simulator's message for an action.
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

/// Reads batches line by line, passes each message to its node's controller, and writes one reply line per batch.
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
                        let Some(event) = event_of(other, &lists)? else { continue };
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
        let parts = replies
            .iter_mut()
            .map(|(id, messages)| ReplyPart { node_id: id, output: std::mem::take(messages) });
        serde_json::to_writer(&mut out, &Reply { parts: parts.collect() })
            .map_err(|e| WireError::Io(e.into()))?;
        out.write_all(b"\n")?;
        out.flush()?;
    }
    Ok(())
}
