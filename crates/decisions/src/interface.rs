//! What the decision module is given and what it answers: types only, no decisions.

use std::sync::Arc;

/// Microseconds, of the clock or of a span.
pub type Micros = u64;

/// A request's id, given back unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

impl From<&str> for RequestId {
    fn from(word: &str) -> Self {
        RequestId(word.into())
    }
}

/// A server's id, the same at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ServerId(pub u32);

/// The customer a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CustomerId(pub u64);

/// The name of a number kept by the counter service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountName(pub u64);

/// How often a class's effect may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Safe,
    /// Servers of one group drop a repeat within the class's window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of request.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// Answered within this earns full worth.
    pub on_time: Micros,
    /// The client's total wait over all its tries.
    pub deadline: Micros,
    /// Whether it may run again.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long.
    pub window: Micros,
    /// Worth of one request.
    pub credit: f64,
    /// Share of the worth paid for a late answer.
    pub late_worth: f64,
    /// The answer is a stream.
    pub stream: bool,
}

/// A plan: quotas that hold for each customer over all nodes together.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Units a second; 0: no such quota.
    pub quota_rate: f64,
    /// Most units at once; the store starts full.
    pub burst: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Most units of the ceiling's store.
    pub ceiling_burst: f64,
    /// How far the ceiling's store may go below nothing.
    pub ceiling_slack: f64,
    /// Attempts out at once; 0: no such quota.
    pub open_limit: u32,
    /// Share of its worth that a try beyond quota costs.
    pub excess_cost: f64,
    /// Share of its worth that a try beyond quota earns.
    pub extra_worth: f64,
    /// Factor on the worth.
    pub worth_factor: f64,
}

/// What the site permits.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Probes are allowed.
    pub probing: bool,
    /// Clients get the retry-after time.
    pub retry_after: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: Micros,
    /// Most attempts for one request.
    pub try_limit: u32,
}

/// The shared counter service.
#[derive(Debug, Clone, Default)]
pub struct CounterSettings {
    /// Calls are allowed.
    pub allowed: bool,
    /// A call unanswered by then has timed out.
    pub wait: Micros,
}

/// Figures of the rules.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    /// A server boots at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this at the latest.
    pub cold: Micros,
    /// A cold server falls when sent this many times its capacity.
    pub fall_multiple: f64,
    /// For this long.
    pub tip_after: Micros,
}

/// What a node is told at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// This node's number, from 0.
    pub me: u32,
    /// Nodes in all.
    pub nodes: u32,
    /// This node's zone.
    pub zone: u32,
    /// Batches come at most this often.
    pub quantum: Micros,
    /// The server list must be asked for.
    pub list_on_request: bool,
    /// Clients mark their repeats.
    pub marks_retry: bool,
    /// The most units a request counts.
    pub largest_units: f64,
    /// True units arrive with the answer.
    pub settles_after: bool,
    /// Price of attempts that cross zones, per first try.
    pub cross_zone_price: f64,
    /// Classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Limits.
    pub limits: Limits,
    /// Counter service.
    pub counter: CounterSettings,
    /// Rules' figures.
    pub rules: Rules,
}

/// A server's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MemberState {
    /// In service.
    #[default]
    In,
    /// Finishing its work.
    Draining,
    /// Removed.
    Out,
}

/// An entry of the server list.
#[derive(Debug, Clone, Default)]
pub struct Member {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: MemberState,
    /// Its size beside the others', where told; else 1.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started: Micros,
}

/// What a list event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as this node last had it, maybe old.
    Stale,
    /// A call failed or the subscription broke.
    Lost,
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// Its class.
    pub class: usize,
    /// Its plan.
    pub plan: usize,
    /// Units it draws.
    pub units: f64,
    /// First node of the customer's set.
    pub first_node: u32,
    /// Nodes in the customer's set.
    pub spread: u32,
    /// The client marked it as a repeat.
    pub marked_retry: bool,
    /// When the client gives this try up.
    pub due: Micros,
}

/// How an attempt, a probe or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Error answer; may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Ignored,
}

/// How far an attempt has come whose request or answer is too long to be taken in whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The request's body is on its way.
    Sending,
    /// Its last byte has been passed on: from here on the server has the request.
    Sent,
    /// The answer's body is on its way.
    Answering,
}

/// The end of an attempt.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub spent: Micros,
    /// The request has its final answer.
    pub finished: bool,
    /// True units, where settled afterwards.
    pub final_units: Option<f64>,
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Event {
    /// The server list.
    Members {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Member>,
    },
    /// A client's request.
    Request(NewRequest),
    /// A streamed answer has begun.
    Began {
        /// The request.
        id: RequestId,
    },
    /// A long body is passed on, and can't be sent again.
    Streams {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How far it has come.
        stage: Stage,
    },
    /// An attempt ended.
    Ended(Ended),
    /// The client left, or its answer is overdue.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// A counter call ended.
    Counted {
        /// The name.
        name: CountName,
        /// How: `Ok`, `Full`, `ConnectFailed` or `TimedOut`.
        outcome: Outcome,
        /// The total, with `Ok`.
        total: f64,
    },
    /// A probe ended.
    Probed {
        /// The server.
        server: ServerId,
        /// How.
        outcome: Outcome,
    },
    /// A timer is due.
    Timer {
        /// Its number.
        id: u64,
    },
    /// The node is about to end and takes no more requests.
    Stopping,
    /// This node's number among so many has changed.
    Placed {
        /// Its number, from 0.
        me: u32,
        /// Nodes in all.
        nodes: u32,
    },
    /// The settings have changed; open requests keep theirs.
    Retuned {
        /// The classes: those there were, each under its number, and new ones behind them.
        classes: Vec<Class>,
        /// Most attempts for one request.
        try_limit: u32,
    },
}

/// Why a request was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The fleet is taken for full.
    Overload,
    /// It came too late for an answer in time.
    Overdue,
    /// Its customer has as many requests open as its plan allows, by what this node knows.
    Places,
    /// Its customer's quota is spent, as the counter tells.
    Spent,
    /// The counter is being asked for this customer, and what is asked for is taken.
    Asking,
    /// The counter was not asked or is away, and this node's even share is spent.
    Share,
    /// No server that may take it came free in its time.
    NoServer,
    /// No connection to a server came up.
    NoConnection,
    /// The server turned it away: full or draining.
    TurnedAway,
    /// The server answered with an error.
    Error,
    /// The server did not answer in time.
    TimedOut,
    /// The connection broke under the request.
    Reset,
    /// Its attempt was given up, and another came too late.
    Cancelled,
}

impl Reason {
    /// All of them, each at its number.
    pub const ALL: [Reason; 13] = [
        Reason::Overload,
        Reason::Overdue,
        Reason::Places,
        Reason::Spent,
        Reason::Asking,
        Reason::Share,
        Reason::NoServer,
        Reason::NoConnection,
        Reason::TurnedAway,
        Reason::Error,
        Reason::TimedOut,
        Reason::Reset,
        Reason::Cancelled,
    ];

    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Overdue => "overdue",
            Reason::Places => "places",
            Reason::Spent => "spent",
            Reason::Asking => "asking",
            Reason::Share => "share",
            Reason::NoServer => "no_server",
            Reason::NoConnection => "no_connection",
            Reason::TurnedAway => "turned_away",
            Reason::Error => "error",
            Reason::TimedOut => "timed_out",
            Reason::Reset => "reset",
            Reason::Cancelled => "cancelled",
        }
    }
}

impl From<Outcome> for Reason {
    fn from(outcome: Outcome) -> Reason {
        match outcome {
            Outcome::ConnectFailed => Reason::NoConnection,
            Outcome::Full => Reason::TurnedAway,
            Outcome::TimedOut => Reason::TimedOut,
            Outcome::Reset => Reason::Reset,
            Outcome::Cancelled => Reason::Cancelled,
            // An attempt that was not started came too late.
            Outcome::Ignored => Reason::Overdue,
            Outcome::Ok | Outcome::Error => Reason::Error,
        }
    }
}

/// What a node does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; 0: until the client gives up.
        timeout: Micros,
    },
    /// Final answer: refused, a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long to stay away; 0: no advice.
        retry_after: Micros,
        /// Why.
        why: Reason,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        why: Reason,
    },
    /// Give up an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Add to a count.
    Count {
        /// The name.
        name: CountName,
        /// The amount.
        amount: f64,
        /// How long a new name is kept.
        keep_for: Micros,
    },
    /// Set a timer.
    Timer {
        /// Its number.
        id: u64,
        /// Time from now.
        after: Micros,
    },
    /// Fetch the whole server list once.
    FetchList,
    /// Subscribe to list changes.
    WatchList,
}
