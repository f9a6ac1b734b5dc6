//! The state machine of the store and its connections: takes events of links and completed writes, and returns messages to send
//! and changes to write. It does no I/O itself.

use std::collections::BTreeMap;

use pinerelay_config_state::anti_entropy::{fits_one_message, SyncPart};
use pinerelay_config_state::error::ValidationErrorKind;
use pinerelay_config_state::operator_call::parse_update;
use pinerelay_config_state::{Item, ItemSet, ValidationError};
use pinerelay_consensus::{
    Input, Message, Micros, Output as StoreOutput, PersistentState, QuorumHealth, Reply, Request, RequestId,
    StateChange, Store, StoreConfig,
};
use pinerelay_peer_link::link::{ConnectionId, KEEPALIVE_INTERVAL};
use pinerelay_peer_link::message::{
    CallReply, ForwardedCall, Hello, PeerMessage, Role, ACKNOWLEDGES_WRITES, CONFIG_REALM,
    UNDERSTANDS_ROLLOUTS,
};

mod acknowledgements;
mod runtime_items;
mod status;

use acknowledgements::Acknowledgements;
use runtime_items::RuntimeItems;
use status::Status;

/// A longer gap between two ticks counts as a stall of the process, in microseconds.
const STALL_THRESHOLD: Micros = 250_000;
/// Changes are rejected for so long after a stall, because they may have been queued during it, in microseconds. Together with
/// the time that a store takes for a call, it is at most the 1 s after which callers retry elsewhere.
const REJECT_AFTER_STALL: Micros = 150_000;

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message on a connection.
    Send(ConnectionId, PeerMessage),
    /// Send the same message on many connections.
    Broadcast(Vec<ConnectionId>, PeerMessage),
    /// Close a connection after a protocol violation.
    Close(ConnectionId),
    /// Write a change after all earlier ones, and call [`StoreService::write_completed`] once it is durable.
    Write {
        /// Identifies the write.
        id: u64,
        /// The change.
        change: StateChange,
    },
}

/// The origin of a forwarded call.
#[derive(Debug, Clone, Copy)]
struct CallOrigin {
    connection: ConnectionId,
    /// The number that the registry gave the call.
    number: u64,
}

/// A store, its connections, and the runtime items that it stores for registries.
pub struct StoreService {
    store: Store,
    /// Items of servers and nodes, from registries.
    runtime: RuntimeItems,
    /// Acknowledgements to registries that wait for the writes of such items.
    acknowledgements: Acknowledgements,
    own_hello: Hello,
    /// The time of day when the process started, in seconds since the Unix epoch.
    started_at: u64,
    /// The processes at the other ends of connections, once their [`Hello`] has arrived.
    peers: BTreeMap<ConnectionId, Hello>,
    /// Forwarded calls in progress.
    calls: BTreeMap<RequestId, CallOrigin>,
    last_call: RequestId,
    /// The number of writes that are not durable yet.
    open_writes: usize,
    sent_status: Option<Status>,
    /// The quorum health that was logged last.
    logged_health: QuorumHealth,
    next_keepalive: Micros,
    last_tick: Micros,
    /// How long messages may have been waiting at the last tick to be handled; 0 if none were.
    backlog: Micros,
    /// The time of the first tick after the last stall.
    resumed_at: Option<Micros>,
    is_shutting_down: bool,
}

impl StoreService {
    /// Creates a store from its stored state. `time_of_day` is the current time in seconds since the Unix epoch; all other times
    /// count from now, in microseconds.
    pub fn new(
        time_of_day: u64,
        own_hello: Hello,
        config: StoreConfig,
        mut state: Option<PersistentState>,
        out: &mut Vec<Output>,
    ) -> StoreService {
        let mut runtime = RuntimeItems::default();
        if let Some(state) = &mut state {
            let items = std::mem::take(&mut state.items).into_iter();
            let (config_items, others): (Vec<Item>, Vec<Item>) =
                items.partition(|item| item.key.kind.is_config());
            state.items = config_items;
            runtime = RuntimeItems::from_stored(others, time_of_day);
        }
        let mut store_outputs = Vec::new();
        let mut service = StoreService {
            store: Store::new(config, state, &mut store_outputs),
            runtime,
            acknowledgements: Acknowledgements::new(),
            own_hello,
            started_at: time_of_day,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            open_writes: 0,
            sent_status: None,
            logged_health: QuorumHealth::default(),
            next_keepalive: 0,
            last_tick: 0,
            backlog: 0,
            resumed_at: None,
            is_shutting_down: false,
        };
        service.convert_outputs(store_outputs, out);
        service
    }

    /// The stored items of servers and nodes.
    pub fn runtime_items(&self) -> &ItemSet {
        self.runtime.items()
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Whether a call is in progress.
    pub fn is_busy(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Whether neither calls nor writes are in progress.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.open_writes == 0
    }

    /// Begins a planned shutdown: further calls are rejected, and peers get a [`PeerMessage::Goodbye`].
    pub fn shut_down(&mut self, out: &mut Vec<Output>) {
        self.is_shutting_down = true;
        out.push(Output::Broadcast(self.peers.keys().copied().collect(), PeerMessage::Goodbye));
    }

    /// Handles a new connection.
    pub fn connected(&mut self, connection: ConnectionId, out: &mut Vec<Output>) {
        out.push(Output::Send(connection, PeerMessage::Hello(self.own_hello.clone())));
    }

    /// Handles the end of a connection: calls from it are cancelled.
    pub fn disconnected(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Output>) {
        self.peers.remove(&connection);
        self.acknowledgements.disconnected(connection);
        let from_connection = self.calls.iter().filter(|(_, origin)| origin.connection == connection);
        let open_calls: Vec<RequestId> = from_connection.map(|(&id, _)| id).collect();
        for id in open_calls {
            self.calls.remove(&id);
            self.step(now, Input::Cancel(id), out);
        }
    }

    /// Handles the completion of a write: its change is durable.
    pub fn write_completed(&mut self, now: Micros, id: u64, out: &mut Vec<Output>) {
        self.open_writes = self.open_writes.saturating_sub(1);
        self.acknowledgements.write_completed(id);
        self.send_acknowledgements(out);
        self.step(now, Input::WriteCompleted { id, succeeded: true }, out);
        self.send_changed_status(now, out);
    }

    /// Advances the time: drives timeouts, detects stalls, and sends keepalives and status. All messages have been handled that
    /// have arrived.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.tick_with_backlog(now, 0, out);
    }

    /// Advances the time, while messages that arrived within the last `backlog` may not have been handled yet.
    pub fn tick_with_backlog(&mut self, now: Micros, backlog: Micros, out: &mut Vec<Output>) {
        self.backlog = backlog;
        self.store.set_backlog(now, backlog);
        if now > self.last_tick + STALL_THRESHOLD {
            self.resumed_at = Some(now);
        }
        self.last_tick = now;
        self.step(now, Input::Tick, out);
        if now < self.next_keepalive {
            return self.send_changed_status(now, out);
        }
        self.next_keepalive = now + KEEPALIVE_INTERVAL.as_micros() as Micros;
        self.send_status(self.status(now), out);
        self.log_quorum_health(now);
        out.push(Output::Broadcast(self.connections_of(Role::ConfigStore), PeerMessage::KeepAlive));
        self.runtime.remove_expired(self.time_of_day(now));
        self.write_runtime_items(out);
    }

    /// Handles a message from a connection.
    pub fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match (message, self.peers.get(&connection).cloned()) {
            (PeerMessage::Hello(hello), None) => self.on_hello(connection, hello, out),
            // A second hello: each end of a connection belongs to one process only.
            (PeerMessage::Hello(_), Some(_)) => return out.push(Output::Close(connection)),
            (_, None) => out.push(Output::Close(connection)),
            (message, Some(peer)) => self.dispatch(now, connection, &peer, message, out),
        }
        self.send_changed_status(now, out);
    }

    fn on_hello(&mut self, connection: ConnectionId, hello: Hello, out: &mut Vec<Output>) {
        if hello.role == Role::Registry {
            // The reserved number tells the registry that this store understands rollouts; it asks for no confirmation.
            let rollouts_announcement = PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS);
            out.push(Output::Send(connection, rollouts_announcement));
            out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(ACKNOWLEDGES_WRITES)));
            self.sent_status = None;
            if hello.ip == self.own_hello.ip {
                let proxies = PeerMessage::KnownProxies(self.runtime.proxies().to_vec());
                out.push(Output::Send(connection, proxies));
            }
        }
        self.peers.insert(connection, hello);
    }

    fn dispatch(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match (peer.role, message) {
            (Role::ConfigStore, PeerMessage::Consensus(message)) => {
                self.step(now, Input::Message { from: peer.ip.clone(), message }, out);
            }
            (Role::Registry, PeerMessage::KnownProxies(machines)) => self.on_known_proxies(peer, machines),
            (Role::Registry, PeerMessage::Sync { realm, items, parts }) => {
                self.on_sync(now, connection, peer, realm, items, &parts, out);
            }
            (Role::Registry, PeerMessage::Update(items)) => {
                self.merge(now, &peer.ip, items, out);
            }
            (Role::Registry, PeerMessage::Replicate { number, items }) => {
                self.on_replicate(now, connection, number, items, out);
            }
            (Role::Registry, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS)) => {}
            (Role::Registry, PeerMessage::ConfirmCurrent(asked_at)) => {
                self.on_confirm_current(now, connection, asked_at, out);
            }
            (Role::Registry, PeerMessage::ForwardCall(number, call)) => {
                self.on_call(now, CallOrigin { connection, number }, call, out);
            }
            _ => {}
        }
    }

    fn on_known_proxies(&mut self, peer: &Hello, machines: Vec<String>) {
        if peer.ip == self.own_hello.ip {
            self.runtime.set_proxies(machines);
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the fields of one message and where it came from")]
    fn on_sync(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        realm: u8,
        items: Vec<Item>,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        // A registry may have committed items that this store has missed. The exchange ends once it brings nothing new.
        let continues = items.is_empty() || self.merge(now, &peer.ip, items, out);
        let own_items = if realm == CONFIG_REALM { self.store.items() } else { self.runtime.items() };
        let reply = PeerMessage::sync_reply(own_items, realm, parts).filter(|_| continues);
        out.extend(reply.map(|reply| Output::Send(connection, reply)));
    }

    /// Writes runtime items, and acknowledges them once they are durable. Configuration items are not accepted this way.
    fn on_replicate(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        number: u64,
        mut items: Vec<Item>,
        out: &mut Vec<Output>,
    ) {
        items.retain(|item| !item.key.kind.is_config());
        self.runtime.merge(items, self.time_of_day(now));
        self.write_runtime_items(out);
        self.acknowledgements.wait(connection, number);
        self.send_acknowledgements(out);
    }

    /// Acknowledges the replicated items that have become durable.
    fn send_acknowledgements(&mut self, out: &mut Vec<Output>) {
        let durable = self.acknowledgements.take_durable().into_iter();
        out.extend(
            durable.map(|(connection, number)| Output::Send(connection, PeerMessage::Replicated(number))),
        );
    }

    /// Answers with the remaining duration of the lease, if the replica is current.
    fn on_confirm_current(
        &self,
        now: Micros,
        connection: ConnectionId,
        asked_at: u64,
        out: &mut Vec<Output>,
    ) {
        if self.store.is_current(now) {
            let (epoch, digest) = (self.store.membership().epoch, self.store.items().digest());
            let lease_left = self.store.lease_left(now);
            let current = PeerMessage::Current { asked_at, epoch, digest, lease_left };
            out.push(Output::Send(connection, current));
        }
    }

    fn on_call(&mut self, now: Micros, origin: CallOrigin, call: ForwardedCall, out: &mut Vec<Output>) {
        match self.to_request(now, call) {
            Ok(request) => {
                self.last_call += 1;
                self.calls.insert(self.last_call, origin);
                self.step(now, Input::Request { id: self.last_call, request }, out);
            }
            Err(reply) => {
                out.push(Output::Send(origin.connection, PeerMessage::CallReply(origin.number, reply)));
            }
        }
    }

    /// Converts a call to a request, or returns the reply if the call is rejected immediately.
    fn to_request(&self, now: Micros, call: ForwardedCall) -> Result<Request, CallReply> {
        if self.is_shutting_down {
            return Err(CallReply::error(503, "the store ends"));
        }
        // The caller may have retried the change elsewhere meanwhile and been rejected, so it must not be executed now.
        if call.is_change() && self.may_have_waited(now) {
            return Err(CallReply::error(503, "the store has stood still"));
        }
        Ok(match call {
            ForwardedCall::Update(body) => {
                let items = parse_update(&body).map_err(|error| CallReply::error(400, &error.to_string()))?;
                Request::Update(items)
            }
            ForwardedCall::Read => Request::Read,
            ForwardedCall::ChangeRollout(change) => Request::ChangeRollout(change),
            ForwardedCall::ReadRollout(service) => Request::ReadRollout(service),
        })
    }

    /// Whether a message that is handled now may have been queued for long, or during a stall of the process.
    fn may_have_waited(&self, now: Micros) -> bool {
        now + self.backlog > self.last_tick + STALL_THRESHOLD
            || self.resumed_at.is_some_and(|at| now < at + REJECT_AFTER_STALL)
    }

    /// Merges items from a registry; returns whether any of them was new. A server's leaving is written at once: a loss of all
    /// memory would otherwise undo it after its acknowledgement.
    fn merge(&mut self, now: Micros, from: &str, items: Vec<Item>, out: &mut Vec<Output>) -> bool {
        let (config_items, others): (Vec<_>, Vec<_>) =
            items.into_iter().partition(|item| item.key.kind.is_config());
        let has_new_runtime_items = self.runtime.merge(others, self.time_of_day(now));
        if self.runtime.has_unwritten_leaving() {
            self.write_runtime_items(out);
        }
        let digest = self.store.items().digest();
        if !config_items.is_empty() {
            let message = Message::Update(config_items);
            self.step(now, Input::Message { from: from.into(), message }, out);
        }
        has_new_runtime_items || self.store.items().digest() != digest
    }

    /// Writes the runtime items that have arrived since the last time.
    fn write_runtime_items(&mut self, out: &mut Vec<Output>) {
        if let Some(change) = self.runtime.take_unwritten() {
            self.open_writes += 1;
            out.push(Output::Write { id: self.acknowledgements.next_write(), change });
        }
    }

    fn time_of_day(&self, now: Micros) -> u64 {
        self.started_at + now / 1_000_000
    }

    fn connections_of(&self, role: Role) -> Vec<ConnectionId> {
        let of_role = self.peers.iter().filter(|(_, hello)| hello.role == role);
        of_role.map(|(&connection, _)| connection).collect()
    }

    fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.store.step(now, input, &mut outputs);
        self.convert_outputs(outputs, out);
    }

    fn convert_outputs(&mut self, outputs: Vec<StoreOutput>, out: &mut Vec<Output>) {
        for output in outputs {
            match output {
                StoreOutput::Send { to, message } => self.send_to_store(&to, message, out),
                StoreOutput::Write { id, change } => {
                    self.open_writes += 1;
                    out.push(Output::Write { id, change });
                }
                StoreOutput::Reply { id, reply } => {
                    let Some(CallOrigin { connection, number }) = self.calls.remove(&id) else { continue };
                    let reply = PeerMessage::CallReply(number, to_call_reply(reply));
                    out.push(Output::Send(connection, reply));
                }
                StoreOutput::Committed(items) => self.send_committed(items, out),
            }
        }
    }

    /// Sends a message on the newest connection to another store.
    fn send_to_store(&self, to: &str, message: Message, out: &mut Vec<Output>) {
        let connection =
            self.peers.iter().rfind(|(_, hello)| hello.role == Role::ConfigStore && hello.ip == to);
        if let Some((&connection, _)) = connection {
            out.push(Output::Send(connection, PeerMessage::Consensus(message)));
        }
    }

    /// Sends committed items to all registries, or only the digests if the items do not fit one message: a large message would
    /// delay those behind it, so registries then fetch the items by anti-entropy.
    fn send_committed(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        let message = if fits_one_message(&items) {
            PeerMessage::Update(items)
        } else {
            PeerMessage::Digests(self.digests())
        };
        out.push(Output::Broadcast(self.connections_of(Role::Registry), message));
    }
}

fn to_call_reply(reply: Reply) -> CallReply {
    match reply {
        Reply::Acknowledged => CallReply::ok(),
        Reply::Text(body) => CallReply { status: 200, body },
        Reply::Rejected(error) => CallReply::error(http_status(&error), &error.to_string()),
        Reply::Unknown => CallReply::error(503, "no majority of the stores has answered in time"),
    }
}

/// The HTTP status for a rejected request.
fn http_status(error: &ValidationError) -> u16 {
    match error.kind {
        ValidationErrorKind::Invalid => 400,
        ValidationErrorKind::NotFound => 404,
        ValidationErrorKind::Conflict => 409,
    }
}
