//! The types of [`Controller`](crate::control::Controller)'s interface: its settings, the events it handles
//! and the actions it emits. No decision is made here.

use std::sync::Arc;

/// A point on the node's clock or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a request. Actions carry the id of the request's event unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub Arc<str>);

impl From<&str> for RequestId {
    fn from(text: &str) -> Self {
        RequestId(text.into())
    }
}

/// Identifies an app server; the same id at every node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ServerId(pub u32);

/// Identifies the customer that a request belongs to, and whose quota it draws on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct CustomerId(pub u64);

/// The key under which the counter service keeps one total.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CountName(pub u64);

/// Whether a request of a class may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Effect {
    /// It may be executed any number of times.
    #[default]
    Safe,
    /// It carries an idempotency key: the servers of one [`Group`] drop a repeat within [`Class::window`].
    Keyed,
    /// It must never be executed twice.
    Unsafe,
}

/// The set of servers that deduplicate a keyed request among themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests: its time limits, whether it may be repeated, and its worth.
#[derive(Debug, Clone, Default)]
pub struct Class {
    /// Latency target: an answer within this time from the client's first try earns the full worth; 0: none.
    pub on_time: Micros,
    /// How long the client waits in total, over all its tries of the request.
    pub deadline: Micros,
    /// Whether a request that may have been executed may be sent again.
    pub effect: Effect,
    /// For keyed classes: which servers drop a repeat.
    pub group: Group,
    /// For keyed classes: for how long after the first attempt was sent they drop it.
    pub window: Micros,
    /// Worth of one request answered on time, before [`Plan::worth_factor`].
    pub credit: f64,
    /// Share of the worth that an answer after `on_time` still earns, from 0 to 1.
    pub late_worth: f64,
    /// The answer is a stream. The controller does not use it.
    pub stream: bool,
}

/// A plan: the quotas of each of its customers, over all nodes together, and what exceeding them costs.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Refill rate of the customer's token bucket, in units per second; 0: no rate quota.
    pub quota_rate: f64,
    /// Capacity of that bucket, in units. It starts full.
    pub burst: f64,
    /// Refill rate of the hard ceiling, in units per second; 0: no ceiling. Under a ceiling a restart of
    /// nodes or of the counter must not grant the burst a second time.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's bucket, in units. The controller does not use it.
    pub ceiling_burst: f64,
    /// How far the ceiling's bucket may go below zero, in units. The controller does not use it.
    pub ceiling_slack: f64,
    /// Most attempts that a customer may have open at once; 0: no concurrency quota.
    pub open_limit: u32,
    /// What serving a request beyond the quota costs, as a share of the request's worth.
    pub excess_cost: f64,
    /// What serving a request beyond the quota earns, as a share of the request's worth.
    pub extra_worth: f64,
    /// Factor on the worth of this plan's requests.
    pub worth_factor: f64,
}

/// What the deployment permits a node to do.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    /// Attempts may be cancelled ([`Action::Cancel`]).
    pub cancel: bool,
    /// Servers may be probed. The controller does not use it: it sends no probes.
    pub probing: bool,
    /// Refusals carry a retry-after time to the client.
    pub retry_after: bool,
    /// The longest retry-after that a client honours.
    pub max_retry_after: Micros,
    /// Most attempts at one request, the first included.
    pub try_limit: u32,
}

/// The shared counter service, which keeps the totals that quotas are accounted by.
#[derive(Debug, Clone, Default)]
pub struct CounterSettings {
    /// Nodes may call it.
    pub allowed: bool,
    /// A call not answered within this time has timed out.
    pub wait: Micros,
}

/// How servers behave after a start, while they are cold.
#[derive(Debug, Clone, Default)]
pub struct ColdStart {
    /// Share of its full capacity that a server has at least when it has just started, from 0 to 1.
    pub cold_from: f64,
    /// Time after its start at which a server has its full capacity at the latest; 0: at once.
    pub cold: Micros,
    /// A cold server crashes when it is sent this many times its capacity for `tip_after`. The controller
    /// does not use either: [`cold_from`](Self::cold_from) and [`cold`](Self::cold) keep it well below.
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub tip_after: Micros,
}

/// The settings of a node, given at its start.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// This node's index among the nodes, from 0.
    pub me: u32,
    /// Number of nodes in the deployment.
    pub nodes: u32,
    /// This node's zone.
    pub zone: u32,
    /// Shortest time between two batches of events. The controller does not use it.
    pub quantum: Micros,
    /// The server list comes only on request: the controller emits [`Action::WatchList`] on a stale or lost
    /// list. Otherwise it emits [`Action::FetchList`] on a stale one.
    pub list_on_request: bool,
    /// Clients mark their retries. The controller does not use it: each request says so itself.
    pub marks_retry: bool,
    /// Most units that one request may draw. The controller does not use it.
    pub largest_units: f64,
    /// A request's true units are known only with its answer. The controller does not use it.
    pub settles_after: bool,
    /// Price of attempts at servers of other zones, per first attempt.
    pub cross_zone_price: f64,
    /// The request classes; requests and events refer to them by index.
    pub classes: Vec<Class>,
    /// The plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// What the node may do.
    pub limits: Limits,
    /// The counter service.
    pub counter: CounterSettings,
    /// Cold starts of servers.
    pub cold_start: ColdStart,
}

/// A server's state in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MemberState {
    /// In service: it may get new attempts.
    #[default]
    InService,
    /// It finishes what it has and gets no new attempts.
    Draining,
    /// Removed from service.
    Removed,
}

/// An entry of the server list: one server.
#[derive(Debug, Clone, Default)]
pub struct Member {
    /// The server's id.
    pub server: ServerId,
    /// The zone it runs in.
    pub zone: u32,
    /// Its machine type. The controller does not use it.
    pub kind: u32,
    /// The cell it belongs to.
    pub cell: u32,
    /// Whether it is in service.
    pub state: MemberState,
    /// Its capacity relative to the other servers; 1 where unknown.
    pub weight: f64,
    /// When it last started; 0: so long ago that it is warm.
    pub started: Micros,
}

/// What the entries of a server list event are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list: a server that is missing has been removed.
    Complete,
    /// The complete list as this node last stored it, possibly outdated; the controller asks for a new one.
    Stale,
    /// No entries: a call for the list failed or the subscription broke.
    Lost,
}

/// A request that a client has sent to this node.
#[derive(Debug, Clone)]
pub struct NewRequest {
    /// Its id, unique among the node's open requests.
    pub id: RequestId,
    /// The customer whose quota it draws on.
    pub customer: CustomerId,
    /// Index of its class in [`Settings::classes`].
    pub class: usize,
    /// Index of its customer's plan in [`Settings::plans`].
    pub plan: usize,
    /// Units of quota that it draws.
    pub units: f64,
    /// Index of the first of the nodes that the customer's requests come to. The controller does not use it.
    pub first_node: u32,
    /// Number of nodes that the customer's requests come to.
    pub spread: u32,
    /// The client marked it as a retry.
    pub marked_retry: bool,
    /// When the client gives up this try.
    pub due: Micros,
}

/// How an attempt at a server, a probe or a call to the counter ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered successfully.
    Ok,
    /// It was answered with an error; it may have been executed. Counter call: the amount was added, but the
    /// total can't be read.
    Error,
    /// It was rejected without being executed. Counter call: nothing was added.
    Rejected,
    /// No answer came in time; it may have been executed.
    TimedOut,
    /// No connection came up; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// It was cancelled; it may have been executed.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// Progress of an attempt whose request or answer is too long to be buffered and is streamed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The request's body is being sent to the server.
    Sending,
    /// The last byte of the request's body has been sent: from here on the server has the request.
    Sent,
    /// The answer's body is being passed to the client.
    Answering,
}

/// The end of an attempt at a server.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The request that the attempt was for.
    pub id: RequestId,
    /// The attempt's index among the request's attempts, from 0.
    pub attempt: u32,
    /// The server it was sent to. The controller goes by what it sent, not by this.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from sending it to its end.
    pub spent: Micros,
    /// The request has its final answer, so no further attempt is wanted.
    pub finished: bool,
    /// The request's true units, where [`Settings::settles_after`]. The controller does not use it.
    pub final_units: Option<f64>,
}

/// What happens at a node, as input to its controller.
#[derive(Debug, Clone)]
pub enum Event {
    /// The server list, or changes to it, has arrived.
    Members {
        /// Whether the entries are the complete list or changes to it.
        kind: ListKind,
        /// The entries.
        entries: Vec<Member>,
    },
    /// A client's request has arrived.
    Request(NewRequest),
    /// An answer has begun to stream to the client, so the request can't be sent again.
    Began {
        /// The request's id.
        id: RequestId,
    },
    /// A long request or answer body is being streamed, so the request can't be sent again.
    Streaming {
        /// The request's id.
        id: RequestId,
        /// The attempt's index among the request's attempts, from 0.
        attempt: u32,
        /// How far the attempt has come.
        stage: Stage,
    },
    /// An attempt at a server has ended.
    Ended(Ended),
    /// The client has disconnected or given up: the request needs no answer any more.
    ClientGone {
        /// The request's id.
        id: RequestId,
    },
    /// A call to the counter ([`Action::Count`]) has ended.
    CounterReply {
        /// The key that was added to.
        name: CountName,
        /// `Ok`: the amount was added. `Rejected`, `ConnectFailed`: it was not. `Error`: it was, but the total
        /// can't be read. `Reset`, `TimedOut`: it may have been; after `Reset` the counter is known to be
        /// alive.
        outcome: Outcome,
        /// The total after the call; meaningful with `Ok` only.
        total: f64,
    },
    /// A probe of a server has ended. The controller ignores it.
    Probed {
        /// The server's id.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A timer set by [`Action::Timer`] has expired. Each one runs the controller's periodic work, whatever
    /// its id.
    Timer {
        /// The timer's id.
        id: u64,
    },
    /// The node is shutting down and accepts no more requests: leases go back to the counter.
    Stopping,
    /// The set of nodes, and with it this node's index, has changed.
    NodesChanged {
        /// This node's index among the nodes, from 0.
        me: u32,
        /// Number of nodes in the deployment.
        nodes: u32,
    },
    /// The classes or the attempt limit have been reconfigured. Open requests keep their attempt limit.
    SettingsChanged {
        /// All classes: the existing ones at their indices, then new ones. A shorter table than before is
        /// ignored, and `try_limit` with it.
        classes: Vec<Class>,
        /// Most attempts at one request, the first included.
        try_limit: u32,
    },
}

/// Why a request was not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The servers are judged to be overloaded for a request of its worth.
    Overload,
    /// It arrived too late, or was started too late, for an answer that still has its worth.
    Overdue,
    /// Its customer has as many attempts open as its plan allows, as far as this node can tell.
    ConcurrencyQuota,
    /// Its customer's quota is exhausted, by the counter's last total.
    QuotaExhausted,
    /// A call to the counter is open for this customer, and the requests already waiting use up its units.
    LeasePending,
    /// The counter was not asked or is unavailable, and this node's even share of the quota is exhausted.
    ShareExhausted,
    /// No eligible server became available in time.
    NoServer,
    /// No connection to its server came up.
    NoConnection,
    /// Its server rejected it without executing it, for instance because it is full or draining.
    Rejected,
    /// Its server answered with an error.
    Error,
    /// Its server did not answer in time.
    TimedOut,
    /// The connection to its server broke before the answer was complete.
    Reset,
    /// Its attempt was cancelled, and no other was made.
    Cancelled,
}

impl Reason {
    /// All reasons, each at the index of its discriminant.
    pub const ALL: [Reason; 13] = [
        Reason::Overload,
        Reason::Overdue,
        Reason::ConcurrencyQuota,
        Reason::QuotaExhausted,
        Reason::LeasePending,
        Reason::ShareExhausted,
        Reason::NoServer,
        Reason::NoConnection,
        Reason::Rejected,
        Reason::Error,
        Reason::TimedOut,
        Reason::Reset,
        Reason::Cancelled,
    ];

    /// The reason's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::Overdue => "overdue",
            Reason::ConcurrencyQuota => "places",
            Reason::QuotaExhausted => "spent",
            Reason::LeasePending => "asking",
            Reason::ShareExhausted => "share",
            Reason::NoServer => "no_server",
            Reason::NoConnection => "no_connection",
            Reason::Rejected => "turned_away",
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
            Outcome::Rejected => Reason::Rejected,
            Outcome::TimedOut => Reason::TimedOut,
            Outcome::Reset => Reason::Reset,
            Outcome::Cancelled => Reason::Cancelled,
            // An attempt is left unsent only where it would have been too late.
            Outcome::NotSent => Reason::Overdue,
            Outcome::Ok | Outcome::Error => Reason::Error,
        }
    }
}

/// What a node is to do, as output of its controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt at a server. A request's attempts are numbered from 0 in the order of these actions.
    Send {
        /// The request's id.
        id: RequestId,
        /// The server's id.
        server: ServerId,
        /// Time after which the attempt times out; 0: when the client gives up.
        timeout: Micros,
    },
    /// Answer the client, finally: refused, and a retry is harmless.
    Refuse {
        /// The request's id.
        id: RequestId,
        /// The retry-after time; 0: none is given.
        retry_after: Micros,
        /// Why the request was not served.
        why: Reason,
    },
    /// Answer the client, finally: failed, and the request may have been executed.
    Fail {
        /// The request's id.
        id: RequestId,
        /// Why the request was not served.
        why: Reason,
    },
    /// Cancel an open attempt. Its end comes as [`Event::Ended`] all the same.
    Cancel {
        /// The request's id.
        id: RequestId,
        /// The attempt's index among the request's attempts, from 0.
        attempt: u32,
    },
    /// Check whether a server answers. The controller never emits it.
    Probe {
        /// The server's id.
        server: ServerId,
    },
    /// Add an amount to a total of the counter service; [`Event::CounterReply`] brings the new total.
    Count {
        /// The key of the total.
        name: CountName,
        /// The amount in units: negative gives units back, 0 reads the total.
        amount: f64,
        /// How long the counter keeps a total that this call creates.
        keep_for: Micros,
    },
    /// Set a timer; [`Event::Timer`] brings its id back.
    Timer {
        /// The timer's id.
        id: u64,
        /// Time from now to its expiry.
        after: Micros,
    },
    /// Fetch the complete server list once.
    FetchList,
    /// Subscribe to the server list and its changes.
    WatchList,
}
