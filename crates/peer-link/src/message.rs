//! What the gateway's own processes send each other. The order of variants and fields is part of the encoding on the wire.

use bincode::{Decode, Encode};
use pinerelay_admission::duty::DutyMessage;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::rollout::RolloutChange;
use pinerelay_config_state::{Item, ItemSet};
pub use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::{Membership, Message as ConsensusMessage};
use pinerelay_rollout::report::{RolloutPermit, RolloutReport};

/// The number of registries that a proxy is linked to at least. It is linked to all voters, which duties are spread over, and
/// to others where fewer voters are reached.
pub const MIN_REGISTRIES_PER_PROXY: usize = 3;

/// The realm of the configuration's items.
pub const CONFIG_REALM: u8 = 0;
/// The realm of all other items: servers and nodes.
pub const RUNTIME_REALM: u8 = 1;

/// In [`PeerMessage::ConfirmCurrent`], in place of a time: the sender understands items and messages of rollouts. Earlier releases,
/// which would drop a link on which such an item comes, pass over this question or give an answer that is passed over.
pub const UNDERSTANDS_ROLLOUTS: u64 = u64::MAX;

/// The program that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Role {
    /// The proxy.
    Proxy,
    /// The registry.
    Registry,
    /// The store of the configuration.
    ConfigStore,
    /// A tool that reads and changes nothing.
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

/// The sender of the messages on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// The name of its machine.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// Its program.
    pub role: Role,
    /// Different for each process.
    pub process_id: u64,
}

/// An operator's call that a registry forwards to a store.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ForwardedCall {
    /// `config.update` with its body.
    Update(Vec<u8>),
    /// `config.read`.
    Read,
    /// `rollouts.start`, or what a registry has decided about a rollout.
    ChangeRollout(RolloutChange),
    /// `rollouts.read` of this service.
    ReadRollout(String),
}

impl ForwardedCall {
    /// Whether it changes what is committed.
    pub fn is_change(&self) -> bool {
        matches!(self, ForwardedCall::Update(_) | ForwardedCall::ChangeRollout(_))
    }
}

/// The answer to a call from outside.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CallReply {
    /// The HTTP status.
    pub status: u16,
    /// The body, which is JSON.
    pub body: String,
}

impl CallReply {
    /// The answer to a call that was carried out and returns nothing.
    pub fn ok() -> CallReply {
        CallReply { status: 200, body: "{}".into() }
    }

    /// An answer that tells what is wrong.
    pub fn error(status: u16, reason: &str) -> CallReply {
        let reason = sonic_rs::to_string(reason).unwrap_or_else(|_| "\"\"".into());
        CallReply { status, body: format!("{{\"error\":{reason}}}") }
    }
}

/// The state of a registry, sent now and then to all that are linked to it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RegistryStatus {
    /// The addresses of the registries that it knows, itself included.
    pub registries: Vec<String>,
    /// The core machines that vote, and that duties are spread over.
    pub voters: Vec<String>,
    /// The epoch of that membership; 0 if it is not known.
    pub epoch: u64,
    /// Whether no node acts by the epoch before any more.
    pub epoch_settled: bool,
    /// The number of proxies that share the tenants' rates.
    pub proxies: u32,
    /// Whether it reaches a majority of the core.
    pub has_majority: bool,
    /// Whether it has the complete configuration.
    pub is_complete: bool,
    /// Whether it has what a store had whose replica was current within the last [`LEASE_DURATION`]. For how long that still
    /// counts is the answer to [`PeerMessage::ConfirmCurrent`].
    pub is_current: bool,
}

/// The processes that a registry knows.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ProcessList {
    /// Itself and those that are linked to it.
    pub linked: Vec<Hello>,
    /// Machines of proxies that have gone without a goodbye.
    pub missing: Vec<String>,
    /// The core machines that vote.
    pub voters: Vec<String>,
}

/// A server that has been heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct SeenHeartbeat {
    /// The hash of its item's key.
    pub key_hash: u64,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u32,
}

/// The grant of a lease of quota units.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct TenantGrant {
    /// The tenant.
    pub tenant: String,
    /// What is granted.
    pub grant: LeaseGrant,
}

/// One metric of a process.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Metric {
    /// Its name; may end with labels.
    pub name: String,
    /// Its value.
    pub value: f64,
}

impl Metric {
    /// A metric of this name.
    pub fn new(name: impl Into<String>, value: f64) -> Metric {
        Metric { name: name.into(), value }
    }

    /// A metric that is 1 if something holds, and 0 otherwise.
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
    /// Items that are newer or unknown, as far as the sender knows.
    Update(Vec<Item>),
    /// The digests of the sender's items, by realm.
    Digests([u64; 2]),
    /// Anti-entropy.
    Sync {
        /// [`CONFIG_REALM`] or [`RUNTIME_REALM`].
        realm: u8,
        /// Items that are newer or unknown, as far as the sender knows.
        items: Vec<Item>,
        /// What to compare or send next.
        parts: Vec<SyncPart>,
    },
    /// Items that must not get lost with the sender. [`PeerMessage::Replicated`] of the same number is expected.
    Replicate {
        /// Returned.
        number: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// The receiver holds them.
    Replicated(u64),
    /// Servers that the sending registry has heard itself.
    HeartbeatsSeen(Vec<SeenHeartbeat>),
    /// The state of the sending registry.
    RegistryStatus(RegistryStatus),
    /// To a proxy: its place among all of them.
    ProxyPlace {
        /// Its index, from 0.
        index: u32,
        /// The number of proxies.
        proxies: u32,
    },
    /// The sender is alive, and has nothing else to send.
    KeepAlive,
    /// Between registries: who has which duties.
    Duty(DutyMessage),
    /// A proxy's requests for leases of quota units.
    LeaseRequests(Vec<LeaseRequest>),
    /// What is granted, tenant by tenant.
    LeaseGrants(Vec<TenantGrant>),
    /// Between stores.
    Consensus(ConsensusMessage),
    /// The state of the sending store.
    StoreStatus {
        /// The voting stores.
        membership: Membership,
        /// Its replica is complete, or it needs none.
        is_complete: bool,
        /// A quorum has confirmed that its replica held all that was committed at a moment of the last [`LEASE_DURATION`].
        is_current: bool,
    },
    /// To a store or a registry: is your replica current? The sender's time is returned.
    ConfirmCurrent(u64),
    /// It is.
    Current {
        /// As in the question.
        asked_at: u64,
        /// The epoch of the membership.
        epoch: u64,
        /// The digest of the configuration's items.
        digest: u64,
        /// What was left of the sender's own lease, in microseconds. The receiver counts it from when it asked, so that its
        /// lease ends no later than the one that it comes from.
        lease_left: u64,
    },
    /// A call that is forwarded under a number.
    ForwardCall(u64, ForwardedCall),
    /// The answer to the call of a number.
    CallReply(u64, CallReply),
    /// Requests the receiver's metrics.
    MetricsRequest,
    /// The sender's metrics.
    Metrics(Vec<Metric>),
    /// To a registry: requests the processes that it knows.
    ProcessListRequest,
    /// The processes that the sending registry knows.
    ProcessList(ProcessList),
    /// The machines of all proxies: from a registry to the store of its machine, which keeps them, and from that store to a
    /// registry that has started.
    KnownProxies(Vec<String>),
    /// From a proxy to all registries: what it has seen of the rollouts that are under way.
    RolloutReports(Vec<RolloutReport>),
    /// To a proxy: what it may send to new versions.
    RolloutPermits(Vec<RolloutPermit>),
}

impl PeerMessage {
    /// The first request of anti-entropy to a process whose digest of a realm differs.
    pub fn sync_request(items: &ItemSet, realm: u8) -> PeerMessage {
        PeerMessage::Sync { realm, items: Vec::new(), parts: items.sync_request() }
    }

    /// The reply of anti-entropy to another replica's parts, unless the exchange has ended.
    pub fn sync_reply(items: &ItemSet, realm: u8, theirs: &[SyncPart]) -> Option<PeerMessage> {
        let reply = items.sync_reply(theirs);
        (!reply.is_empty()).then_some(PeerMessage::Sync { realm, items: reply.items, parts: reply.parts })
    }
}
