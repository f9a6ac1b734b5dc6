//! Handles connections of other processes and dispatches their messages by role.

use pinerelay_admission::duty::DutyMessage;
use pinerelay_admission::lease::LeaseRequest;
use pinerelay_admission::Micros;
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::Item;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{
    Hello, PeerMessage, RegistryStatus, Role, ACKNOWLEDGES_WRITES, LEASE_DURATION, UNDERSTANDS_ROLLOUTS,
};

use super::processes::PeerRegistry;
use super::replication::Delivery;
use super::{Output, Registry};

impl Registry {
    /// A connection is up: sends a hello message, as the other end does.
    pub fn connected(&mut self, connection: ConnectionId, out: &mut Vec<Output>) {
        out.push(Output::Send(connection, PeerMessage::Hello(self.config.hello.clone())));
    }

    /// A connection has closed.
    pub fn disconnected(&mut self, now: Micros, connection: ConnectionId, out: &mut Vec<Output>) {
        self.stores.remove(&connection);
        self.last_sync.remove(&connection);
        self.rollout_duty.disconnected(connection);
        self.lease.store_disconnected(connection);
        let Some(hello) = self.remove_peer(connection) else { return };
        self.retry_reads(now, connection, out);
        self.retry_replication(connection, &hello.ip, out);
        let is_linked = self.peers.values().any(|peer| peer.role == hello.role && peer.node == hello.node);
        if hello.role == Role::Registry && !is_linked {
            self.registries.remove(&hello.ip);
            self.registries_heard.remove(&hello.ip);
            self.update_duties(now, out);
        }
    }

    /// Forgets the peer at the other end of a connection.
    fn remove_peer(&mut self, connection: ConnectionId) -> Option<Hello> {
        let hello = self.peers.remove(&connection)?;
        if hello.role == Role::Proxy {
            self.proxies.set.disconnected(&hello.node);
        }
        Some(hello)
    }

    /// A message has arrived on a connection.
    pub fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match (message, self.peers.get(&connection).cloned()) {
            (PeerMessage::Hello(hello), None) => self.on_hello(now, connection, hello, out),
            // A connection starts with exactly one hello message, and belongs to one process at each end.
            (PeerMessage::Hello(_), Some(_)) | (_, None) => out.push(Output::Close(connection)),
            (PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS), Some(_)) => {
                self.rollout_duty.peer_supports_rollouts(connection);
            }
            (message, Some(peer)) => {
                self.record_message(now, connection, &peer);
                match peer.role {
                    Role::Proxy => self.receive_from_proxy(now, connection, &peer, message, out),
                    Role::Registry => self.receive_from_registry(now, connection, &peer, message, out),
                    Role::ConfigStore => self.receive_from_store(now, connection, &peer, message, out),
                    Role::Observer => self.receive_from_any(now, connection, &peer, message, out),
                }
                self.report_freshness(now, out);
            }
        }
    }

    /// Records when a peer has sent a message.
    fn record_message(&mut self, now: Micros, connection: ConnectionId, peer: &Hello) {
        match peer.role {
            Role::Proxy => self.record_proxy_message(now, &peer.node),
            Role::ConfigStore => self.stores.entry(connection).or_default().last_message = now,
            Role::Registry => self.record_registry_message(now, &peer.ip),
            Role::Observer => {}
        }
    }

    fn receive_from_proxy(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Goodbye => {
                // A planned shutdown: no share has to stay reserved for the proxy.
                self.remove_peer(connection);
                self.proxy_ended(now, &peer.node);
            }
            PeerMessage::LeaseRequests(requests) => {
                self.on_lease_requests(now, connection, peer, requests, out)
            }
            PeerMessage::RolloutReports(reports) => {
                self.on_rollout_reports(now, connection, peer, &reports, out);
            }
            PeerMessage::ConfirmCurrent(asked_at) => {
                out.extend(self.current_confirmation(now, connection, asked_at));
            }
            other => self.receive_from_any(now, connection, peer, other, out),
        }
    }

    fn receive_from_registry(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Replicate { number, items } => {
                self.on_replicate(now, connection, peer, number, items, out);
            }
            PeerMessage::Replicated(number) => self.on_replicated(connection, number, out),
            PeerMessage::HeartbeatsSeen(heartbeats) => self.on_heartbeats_seen(now, &heartbeats),
            PeerMessage::RegistryStatus(status) => self.on_registry_status(peer, status),
            PeerMessage::Duty(message) => self.on_duty(now, peer, message, out),
            other => self.receive_from_any(now, connection, peer, other, out),
        }
    }

    fn receive_from_store(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::KnownProxies(machines) => {
                if peer.ip == self.config.hello.ip {
                    self.on_known_proxies(now, machines);
                }
            }
            PeerMessage::StoreStatus { membership, is_complete, is_current } => {
                self.on_store_status(now, connection, membership, is_complete, is_current, out);
            }
            PeerMessage::Current { asked_at, epoch, digest, lease_left } => {
                self.on_current(now, connection, asked_at, epoch, digest, lease_left);
            }
            PeerMessage::ConfirmCurrent(ACKNOWLEDGES_WRITES) => {
                self.stores.entry(connection).or_default().acknowledges_writes = true;
            }
            PeerMessage::Replicated(number) => self.on_replicated(connection, number, out),
            PeerMessage::CallReply(number, reply) => self.on_call_reply(connection, number, reply, out),
            other => self.receive_from_any(now, connection, peer, other, out),
        }
    }

    /// Handles messages that processes of any role may send.
    fn receive_from_any(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        // An observer must not change items.
        let is_observer = peer.role == Role::Observer;
        match message {
            PeerMessage::Update(items) if !is_observer => {
                self.merge(connection, peer, items, Delivery::CompleteUpdate, out);
            }
            PeerMessage::Digests(digests) => self.on_digests(connection, peer, digests, out),
            PeerMessage::Sync { realm, items, parts } => {
                let items = if is_observer { Vec::new() } else { items };
                self.on_sync(connection, peer, realm, items, &parts, out);
            }
            PeerMessage::ProcessListRequest => {
                out.push(Output::Send(connection, PeerMessage::ProcessList(self.process_list())));
            }
            PeerMessage::MetricsRequest => {
                out.push(Output::Send(connection, PeerMessage::Metrics(self.metrics(now))));
            }
            _ => {}
        }
    }

    /// A process has introduced itself on a connection.
    fn on_hello(&mut self, now: Micros, connection: ConnectionId, hello: Hello, out: &mut Vec<Output>) {
        let role = hello.role;
        let earlier = self.process_ids.insert((role, hello.node.clone()), hello.process_id);
        let is_new_process = earlier != Some(hello.process_id);
        match role {
            Role::Proxy => {
                if earlier.is_some() && is_new_process {
                    self.proxy_ended(now, &hello.node);
                }
                self.proxies.set.connected(&hello.node);
                self.record_proxy_message(now, &hello.node);
            }
            Role::Registry => {
                if is_new_process {
                    self.duties.peer_restarted(now, &hello.ip);
                }
                self.record_registry_message(now, &hello.ip);
            }
            Role::ConfigStore | Role::Observer => {}
        }
        self.peers.insert(connection, hello);
        match role {
            Role::Registry => {
                self.update_duties(now, out);
                out.push(Output::Send(connection, PeerMessage::RegistryStatus(self.status(now))));
                out.push(Output::Send(connection, PeerMessage::Digests(self.digests())));
            }
            Role::Proxy => {
                out.push(Output::Send(connection, PeerMessage::RegistryStatus(self.status(now))));
                self.send_digests_to_proxies(vec![connection], out);
            }
            Role::ConfigStore | Role::Observer => {}
        }
        if role == Role::Registry {
            out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS)));
        }
    }

    fn on_lease_requests(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        requests: Vec<LeaseRequest>,
        out: &mut Vec<Output>,
    ) {
        let grants = self.grant_leases(now, &peer.node, requests);
        out.push(Output::Send(connection, PeerMessage::LeaseGrants(grants)));
    }

    /// Takes part in an anti-entropy exchange: merges the items, and answers the parts unless none of the items was new.
    fn on_sync(
        &mut self,
        connection: ConnectionId,
        peer: &Hello,
        realm: u8,
        items: Vec<Item>,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        self.last_sync.insert(connection, self.last_tick);
        let should_reply =
            items.is_empty() || self.merge(connection, peer, items, Delivery::AntiEntropy, out);
        if should_reply {
            self.send_sync_reply(connection, peer, realm, parts, out);
        }
    }

    /// Merges items that another registry replicates, and acknowledges them if a majority of the core is presumed to be reached.
    fn on_replicate(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        number: u64,
        items: Vec<Item>,
        out: &mut Vec<Output>,
    ) {
        self.merge(connection, peer, items, Delivery::CompleteUpdate, out);
        // The sender relies on the acknowledging registry to reach the proxies.
        if self.presumes_majority(now) {
            out.push(Output::Send(connection, PeerMessage::Replicated(number)));
        }
    }

    /// Another registry has sent its status.
    fn on_registry_status(&mut self, peer: &Hello, status: RegistryStatus) {
        // A registry sends its status only after it has received this process's hello.
        self.duties.peer_introduced(&peer.ip);
        if status.epoch_settled {
            self.duties.epoch_settled(status.epoch);
        }
        let registry = PeerRegistry { proxies: status.proxies, registries: status.registries };
        self.registries.insert(peer.ip.clone(), registry);
    }

    fn on_duty(&mut self, now: Micros, peer: &Hello, message: DutyMessage, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.duties.receive(now, &peer.ip, message, &mut actions);
        self.apply_duty_actions(now, actions, out);
    }

    /// A store has sent its status: updates the voters, and requests a confirmation if the lease needs one.
    fn on_store_status(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        membership: Membership,
        is_complete: bool,
        is_current: bool,
        out: &mut Vec<Output>,
    ) {
        self.stores.entry(connection).or_default().is_complete = Some(is_complete);
        self.compare_with_stores();
        let is_newer = membership.epoch > self.duties.epoch();
        if is_newer {
            self.set_voters(now, membership);
        }
        if is_current && (is_newer || self.lease.needs_renewal(now)) {
            out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(now)));
        }
    }

    /// A store has confirmed that its replica was current when it was asked.
    fn on_current(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        asked_at: u64,
        epoch: u64,
        digest: u64,
        lease_left: u64,
    ) {
        // For duties the epoch counts as confirmed for a full `LEASE_DURATION`, which may outlast the store's own lease:
        // `JOINT_PERIOD` allows for twice `LEASE_DURATION`.
        let duties_until = asked_at.saturating_add(LEASE_DURATION);
        if asked_at <= now && now < duties_until {
            self.duties.epoch_confirmed(epoch, duties_until);
        }
        let current_until = asked_at.saturating_add(lease_left.min(LEASE_DURATION));
        if asked_at <= now && now < current_until {
            self.store_confirmed(connection, digest, current_until);
        }
    }
}
