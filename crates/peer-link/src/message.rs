//! Messages between the gateway's own processes. The order of variants and fields is part of the wire format.

use bincode::{Decode, Encode};
use pinerelay_admission::duty::DutyMessage;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::rollout::RolloutChange;
use pinerelay_config_state::{Item, ItemSet};
pub use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::{Membership, Message as ConsensusMessage};
use pinerelay_rollout::report::{RolloutPermit, RolloutReport};

/// The minimum number of registries that a proxy is linked to. It is linked to all voters, which the duties are distributed
/// over, and to other registries if it reaches fewer voters.
pub const MIN_REGISTRIES_PER_PROXY: usize = 3;

/// The realm of configuration items.
pub const CONFIG_REALM: u8 = 0;
/// The realm of all other items: servers and nodes.
pub const RUNTIME_REALM: u8 = 1;

/// In [`PeerMessage::ConfirmCurrent`], instead of a time: the sender understands items and messages of rollouts. Earlier releases
/// would close a link on which such an item arrives; they ignore this message, or send an answer that is ignored.
pub const UNDERSTANDS_ROLLOUTS: u64 = u64::MAX;

/// In [`PeerMessage::ConfirmCurrent`] from a store, instead of a time: it acknowledges a [`PeerMessage::Replicate`] once the items
/// are durable. Stores of earlier releases ignore that message, and registries of earlier releases ignore this one.
pub const ACKNOWLEDGES_WRITES: u64 = u64::MAX - 1;

/// The program that a process executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Role {
    /// The proxy.
    Proxy,
    /// The registry.
    Registry,
    /// The store of the configuration.
    ConfigStore,
    /// A read-only tool.
    Observer,
}

impl Role {
    /// The program's name, as metrics and tools give it.
    pub fn name(self) -> &'static str {
        match self {
            Role::Proxy => "proxy",
            Role::Registry => "registry",
            Role::ConfigStore => "config_store",
            Role::Observer => "observer",
        }
    }
}

/// Identifies the process at one end of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// The name of its machine.
    pub node: String,
    /// The address of its machine.
    pub ip: String,
    /// Its program.
    pub role: Role,
    /// Differs between processes, also between restarts of the same program.
    pub process_id: u64,
}

/// An operator's call that a registry forwards to a store.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ForwardedCall {
    /// `config.update` with its body.
    Update(Vec<u8>),
    /// `config.read`.
    Read,
    /// `rollouts.start`, or a registry's decision about a rollout.
    ChangeRollout(RolloutChange),
    /// `rollouts.read` of this service.
    ReadRollout(String),
}

impl ForwardedCall {
    /// Whether the call may commit a change.
    pub fn is_change(&self) -> bool {
        matches!(self, ForwardedCall::Update(_) | ForwardedCall::ChangeRollout(_))
    }
}

/// The answer to an operator's call.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CallReply {
    /// The HTTP status.
    pub status: u16,
    /// The body, which is JSON.
    pub body: String,
}

impl CallReply {
    /// The answer to a successful call without a result.
    pub fn ok() -> CallReply {
        CallReply { status: 200, body: "{}".into() }
    }

    /// An error answer with a reason.
    pub fn error(status: u16, reason: &str) -> CallReply {
        let reason = sonic_rs::to_string(reason).unwrap_or_else(|_| "\"\"".into());
        CallReply { status, body: format!("{{\"error\":{reason}}}") }
    }
}

/// The state of a registry, which it sends to all linked processes.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RegistryStatus {
    /// The addresses of the registries that it knows, itself included.
    pub registries: Vec<String>,
    /// The voting core machines, which the duties are distributed over.
    pub voters: Vec<String>,
    /// The epoch of that membership; 0 if unknown.
    pub epoch: u64,
    /// Whether no node acts under the previous epoch any more.
    pub epoch_settled: bool,
    /// The number of proxies that the rates of tenants are divided among.
    pub proxies: u32,
    /// Whether it reaches a majority of the core.
    pub has_majority: bool,
    /// Whether it has the complete configuration.
    pub is_complete: bool,
    /// Whether it has the configuration of a store whose replica was current within the last [`LEASE_DURATION`]. The answer to
    /// [`PeerMessage::ConfirmCurrent`] contains the remaining duration.
    pub is_current: bool,
}

/// The processes that a registry knows.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ProcessList {
    /// The registry itself and the processes that are linked to it.
    pub linked: Vec<Hello>,
    /// Machines of proxies that disconnected without [`PeerMessage::Goodbye`].
    pub missing: Vec<String>,
    /// The voting core machines.
    pub voters: Vec<String>,
}

/// The last heartbeat of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct SeenHeartbeat {
    /// The hash of its item's key.
    pub key_hash: u64,
    /// The time since the heartbeat, in milliseconds.
    pub age_ms: u32,
}

/// The grant of a lease of quota units.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: String,
    /// The granted lease.
    pub grant: LeaseGrant,
}

/// One metric of a process.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Metric {
    /// The name, optionally followed by labels.
    pub name: String,
    /// Its value.
    pub value: f64,
}

impl Metric {
    /// Creates a metric.
    pub fn new(name: impl Into<String>, value: f64) -> Metric {
        Metric { name: name.into(), value }
    }

    /// A metric that is 1 for true and 0 for false.
    pub fn flag(name: impl Into<String>, value: bool) -> Metric {
        Metric::new(name, f64::from(u8::from(value)))
    }
}

/// A message between processes.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// The first message on each connection, in both directions.
    Hello(Hello),
    /// The sender is about to shut down as planned.
    Goodbye,
    /// Items that the sender believes the receiver lacks or has only in an older version.
    Update(Vec<Item>),
    /// The digests of the sender's items, by realm.
    Digests([u64; 2]),
    /// One step of anti-entropy.
    Sync {
        /// [`CONFIG_REALM`] or [`RUNTIME_REALM`].
        realm: u8,
        /// Items that the sender believes the receiver lacks or has only in an older version.
        items: Vec<Item>,
        /// Digests and entries that the receiver compares with its own items, and requests for items that it sends in its reply.
        parts: Vec<SyncPart>,
    },
    /// Items that must survive a failure of the sender. The receiver acknowledges them by [`PeerMessage::Replicated`].
    Replicate {
        /// Repeated in the acknowledgement.
        number: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// Acknowledges the [`PeerMessage::Replicate`] with this number.
    Replicated(u64),
    /// Heartbeats that the sending registry has received directly from servers.
    HeartbeatsSeen(Vec<SeenHeartbeat>),
    /// The state of the sending registry.
    RegistryStatus(RegistryStatus),
    /// To a proxy: its index among all proxies.
    ProxyPlace {
        /// Its index, from 0.
        index: u32,
        /// The number of proxies.
        proxies: u32,
    },
    /// Keeps a link open on which nothing else is sent.
    KeepAlive,
    /// Between registries: assignment of duties.
    Duty(DutyMessage),
    /// A proxy's requests for leases of quota units.
    LeaseRequests(Vec<LeaseRequest>),
    /// Leases that are granted to a proxy, by tenant.
    LeaseGrants(Vec<TenantGrant>),
    /// Between stores: a message of the consensus protocol.
    Consensus(ConsensusMessage),
    /// The state of the sending store.
    StoreStatus {
        /// The membership of the consensus group.
        membership: Membership,
        /// Whether its replica is complete, or it needs none.
        is_complete: bool,
        /// Whether a quorum has confirmed that its replica contained all committed items at some time within the last
        /// [`LEASE_DURATION`].
        is_current: bool,
    },
    /// To a store or a registry: asks whether its replica is current. Contains the sender's time, which the answer repeats.
    ConfirmCurrent(u64),
    /// Confirms that the sender's replica is current.
    Current {
        /// The time from [`PeerMessage::ConfirmCurrent`].
        asked_at: u64,
        /// The epoch of the membership.
        epoch: u64,
        /// The digest of the configuration's items.
        digest: u64,
        /// The remaining duration of the sender's own lease, in microseconds. The receiver counts it from `asked_at`, so that
        /// its lease ends no later than the sender's.
        lease_left: u64,
    },
    /// A forwarded call, with the number that its reply repeats.
    ForwardCall(u64, ForwardedCall),
    /// The reply to the call with this number.
    CallReply(u64, CallReply),
    /// Requests the receiver's metrics.
    MetricsRequest,
    /// The sender's metrics.
    Metrics(Vec<Metric>),
    /// To a registry: requests its [`ProcessList`].
    ProcessListRequest,
    /// The process list of the sending registry.
    ProcessList(ProcessList),
    /// The machines of all proxies: from a registry to the store on its machine, which persists them, and from that store to a
    /// restarted registry.
    KnownProxies(Vec<String>),
    /// From a proxy to all registries: its observations of the rollouts in progress.
    RolloutReports(Vec<RolloutReport>),
    /// To a proxy: the traffic that it may send to new versions.
    RolloutPermits(Vec<RolloutPermit>),
}

impl PeerMessage {
    /// The first request of anti-entropy to a process whose digest of a realm differs.
    pub fn sync_request(items: &ItemSet, realm: u8) -> PeerMessage {
        PeerMessage::Sync { realm, items: Vec::new(), parts: items.sync_request() }
    }

    /// The reply of anti-entropy to another replica's parts, unless the exchange has ended.
    pub fn sync_reply(items: &ItemSet, realm: u8, peer_parts: &[SyncPart]) -> Option<PeerMessage> {
        let reply = items.sync_reply(peer_parts);
        (!reply.is_empty()).then_some(PeerMessage::Sync { realm, items: reply.items, parts: reply.parts })
    }
}
