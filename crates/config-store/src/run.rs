//! The event loop of the store: connects its state machine to links and disk.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pinerelay_config_state::hash;
use pinerelay_consensus::{Micros, StoreConfig};
use pinerelay_node_runtime::internal_port;
use pinerelay_node_runtime::settings::Settings;
use pinerelay_node_runtime::settings_watch;
use pinerelay_peer_link::event_order::{Work, WorkQueue};
use pinerelay_peer_link::link::{ConnectionId, LinkEvent, LinkEvents, LinkHandle, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, Role};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;

use crate::disk::{Disk, OpenedDisk};
use crate::service::{Output, StoreService};

/// The interval of ticks while a call is in progress.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// The interval of ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(150);
/// How long a planned shutdown waits for calls and writes in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(600);

/// The state of the event loop.
struct RunningStore {
    service: StoreService,
    links: Rc<Links>,
    disk: Disk,
    settings: Settings,
    /// Links to other stores, by address.
    store_links: BTreeMap<String, LinkHandle>,
    started: Instant,
}

/// Runs a store until SIGTERM. Calls and writes in progress are completed first, for at most 0.6 s.
///
/// # Errors
/// If the settings name no folder, if the database cannot be opened, or if the links' address cannot be bound.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let folder = settings
        .data_dir
        .clone()
        .ok_or("data_dir: missing, but the configuration store needs a folder for its database")?;
    let OpenedDisk { disk, state, completed } = Disk::open(&folder)?;
    match &state {
        Some(state) => {
            log::info!("starting with {} items, accepted round {}", state.items.len(), state.accepted.round)
        }
        None => log::info!("starting with an empty database"),
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let process_id = hash::hash_parts(&[
        settings.node.as_bytes(),
        &now.as_nanos().to_le_bytes(),
        &std::process::id().to_le_bytes(),
    ]);
    let ip = settings.ip.to_string();
    let config = StoreConfig {
        name: ip.clone(),
        process_id,
        tolerated_losses: settings.tolerate.machines,
        first_start: settings.first_start,
        seeds: settings.seeds().iter().map(Ipv4Addr::to_string).collect(),
    };
    let (links, events) = Links::new();
    links.listen(settings.internal_address(settings.ip, internal_port::CONFIG_STORE))?;
    let hello = Hello { node: settings.node.clone(), ip, role: Role::ConfigStore, process_id };
    let mut outputs = Vec::new();
    let service = StoreService::new(now.as_secs(), hello, config, state, &mut outputs);
    let store_links = BTreeMap::new();
    let mut store = RunningStore { service, links, disk, settings, store_links, started: Instant::now() };
    store.apply_outputs(outputs);
    // Changed settings need no action: a running store uses none of them but the seeds, and it knows the voters by then.
    tokio::task::spawn_local(settings_watch::watch(path, |_| log::info!("the settings file has changed")));
    store.event_loop(events, completed).await
}

impl RunningStore {
    async fn event_loop(
        mut self,
        events: LinkEvents,
        mut completed: UnboundedReceiver<u64>,
    ) -> Result<(), Box<dyn Error>> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut work = WorkQueue::new(events);
        let mut shutdown_deadline: Option<Instant> = None;
        loop {
            self.update_links();
            if shutdown_deadline.is_some_and(|deadline| self.service.is_idle() || Instant::now() >= deadline)
            {
                return Ok(());
            }
            tokio::select! {
                biased;
                _ = terminate.recv(), if shutdown_deadline.is_none() => {
                    log::info!("received SIGTERM, shutting down");
                    shutdown_deadline = Some(Instant::now() + SHUTDOWN_TIMEOUT);
                    self.with_service(|service, _, out| service.shut_down(out));
                }
                Some(id) = completed.recv() => {
                    self.disk.completed(id);
                    self.with_service(|service, now, out| service.write_completed(now, id, out));
                }
                next = work.next() => match next {
                    Work::Event(event) => self.on_event(event),
                    Work::Tick { backlog } => {
                        self.tick(backlog);
                        work.ticked(IDLE_TICK);
                    }
                }
            }
            if self.service.is_busy() {
                work.tick_within(BUSY_TICK);
            }
        }
    }

    /// Runs the periodic work of the state machine. Messages that arrived within the backlog may not have been handled yet.
    fn tick(&mut self, backlog: Duration) {
        let backlog = backlog.as_micros() as Micros;
        self.with_service(|service, now, out| service.tick_with_backlog(now, backlog, out));
    }

    /// Connects to new peers of the consensus group, and closes the links to former ones.
    fn update_links(&mut self) {
        let peers = self.service.store().peers();
        self.store_links.retain(|name, _| peers.contains(name));
        for name in peers {
            let Ok(machine) = name.parse() else { continue };
            let address = self.settings.internal_address(machine, internal_port::CONFIG_STORE);
            self.store_links.entry(name).or_insert_with(|| self.links.connect(address));
        }
    }

    fn on_event(&mut self, event: LinkEvent) {
        if let LinkEvent::Received(connection, PeerMessage::MetricsRequest) = event {
            return self.send_metrics(connection);
        }
        self.with_service(|service, now, out| match event {
            LinkEvent::Connected(connection, _) => service.connected(connection, out),
            LinkEvent::Received(connection, message) => service.receive(now, connection, message, out),
            LinkEvent::Disconnected(connection) => service.disconnected(now, connection, out),
        });
    }

    fn send_metrics(&self, connection: ConnectionId) {
        let zone = &self.settings.zone;
        let mut metrics = vec![Metric::new(format!("config_store_info{{zone=\"{zone}\"}}"), 1.0)];
        metrics.extend(self.service.metrics());
        metrics.extend(self.links.metrics(Role::ConfigStore.name()));
        metrics.extend(self.disk.metrics());
        self.links.send(connection, &PeerMessage::Metrics(metrics));
    }

    /// Calls the state machine with the time since the start, and applies its outputs.
    fn with_service(&mut self, call: impl FnOnce(&mut StoreService, Micros, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        call(&mut self.service, self.started.elapsed().as_micros() as Micros, &mut outputs);
        self.apply_outputs(outputs);
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(connection, message) => self.links.send(connection, &message),
                Output::Broadcast(connections, message) => self.links.send_all(connections, &message),
                Output::Close(connection) => self.links.close(connection),
                Output::Write { id, change } => self.disk.write(id, change),
            }
        }
    }
}
