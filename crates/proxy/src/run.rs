//! The proxy process: connects the subscriber, the client listener and the upstream services, from startup to graceful shutdown.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::MapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use pinerelay_admission::lease_cache::{Admission, RequestId};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::retry_budget::{RetryBounds, RetryBudget};
use pinerelay_admission::Micros;
use pinerelay_config_state::hash;
use pinerelay_node_runtime::internal_port;
use pinerelay_node_runtime::settings::Settings;
use pinerelay_node_runtime::settings_watch;
use pinerelay_peer_link::event_order::{Work, WorkQueue};
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, LinkHandle, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, Role};
use pinerelay_rollout::decider::REPORT_INTERVAL;
use pinerelay_traffic::acceptor::{Acceptor, Handler};
use pinerelay_traffic::body_memory::BodyMemoryPool;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::listen::{listen, Gate};
use pinerelay_traffic::raw_head::RawHead;
use pinerelay_traffic::watchdog::Watchdog;
use pinerelay_traffic::Common;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::metrics::{self, MetricSources};
use crate::request_handler::{Admitter, RequestHandler};
use crate::server_pool::ServerPool;
use crate::services::Services;
use crate::subscriber::{Output, Subscriber};

/// Tick interval while a request waits for a quota unit.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// Tick interval while no request waits for a quota unit.
const IDLE_TICK: Duration = Duration::from_millis(75);
/// Listen backlog of the client listener.
const BACKLOG: u32 = 1024;
/// Fraction of the file descriptors that are not reserved which client connections may use.
const CLIENT_DESCRIPTORS: f64 = 0.6;
/// File descriptors reserved for registry links, readiness checks and files.
const RESERVED_DESCRIPTORS: usize = 240;
/// At most the descriptor limit divided by this is reserved.
const RESERVED_DIVISOR: usize = 4;
/// Descriptor budget of the readiness listener, including the descriptors that the budget keeps for itself.
const READINESS_DESCRIPTORS: usize = 24 + 64;
/// Fraction of `READINESS_DESCRIPTORS` available to connections.
const READINESS_USE: f64 = 0.9;
/// Listen backlog of the readiness listener.
const READINESS_BACKLOG: u32 = 64;
/// Timeout for reading the head of a readiness check.
const READINESS_HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle timeout of a readiness connection.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long connections are still accepted after SIGTERM, at most half of the grace period: readiness is checked each second,
/// and it takes two failed checks until clients are sent elsewhere.
const DRAIN_DELAY: Duration = Duration::from_millis(2_700);
/// The process exits this long before the end of the grace period, at which it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Delay before exit, in which the last response bytes and `Goodbye` messages can be flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// The components of the proxy process.
struct RunningProxy {
    subscriber: RefCell<Subscriber>,
    links: Rc<Links>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    servers: Rc<ServerPool>,
    /// Set once during construction, before any event is handled.
    handler: RefCell<Weak<RequestHandler>>,
    settings: Settings,
    /// When the next rollout reports are due, by the proxy's clock.
    next_rollout_report: Cell<Micros>,
    is_ready: Cell<bool>,
    is_shutting_down: Cell<bool>,
}

/// The listener for client connections.
struct ClientListener {
    front: Rc<Acceptor<RequestHandler>>,
    gate: Rc<Gate>,
}

/// The schedule of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
struct Shutdown {
    /// When the listener stops accepting connections.
    stop_accepting: Instant,
    /// When the process exits, even if requests are still open.
    end: Instant,
}

/// Runs the proxy until SIGTERM. It then keeps accepting connections until clients are sent elsewhere, and completes the requests
/// that it has accepted, within the grace period.
///
/// # Errors
/// If a listen address is missing or cannot be bound, or the file descriptor limit cannot be raised.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let public = Settings::required_address(&path, "public_http", settings.listen.public_http)?;
    let readiness = Settings::required_address(&path, "readiness", settings.listen.readiness)?;
    let raised_limit = rlimit::increase_nofile_limit(settings.limits.file_limit as u64)?;
    let descriptors = settings.limits.file_limit.min(raised_limit as usize);
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / RESERVED_DIVISOR);
    let common = Common {
        budget: Budget::new(descriptors, reserved, CLIENT_DESCRIPTORS),
        body_memory: BodyMemoryPool::for_process(settings.limits.memory_mb),
        watchdog: Watchdog::new(),
    };
    let (links, events) = Links::new();
    let (proxy, handler) = RunningProxy::new(settings, links, common.clone());
    proxy.listen_for_readiness(listen(readiness.into(), READINESS_BACKLOG)?, &common);
    let own_address = proxy.settings.internal_address(proxy.settings.ip, internal_port::PROXY);
    proxy.links.listen(own_address)?;
    let front = Acceptor::new(handler.clone(), common);
    let gate = Rc::new(Gate::default());
    tokio::task::spawn_local(front.clone().accept(listen(public.into(), BACKLOG)?, gate.clone(), false));
    gate.open();
    log::info!("accepting client connections on {public}");
    let watcher = proxy.clone();
    tokio::task::spawn_local(settings_watch::watch(path, move |settings| {
        log::info!("settings file changed");
        watcher.subscriber.borrow_mut().set_seeds(seeds(&settings));
    }));
    proxy.event_loop(events, &handler, &ClientListener { front, gate }).await?;
    proxy.services.nodes().iter().for_each(|node| node.fail_all());
    let registries = proxy.subscriber.borrow().connections();
    proxy.links.send_all(registries, &PeerMessage::Goodbye);
    sleep(FLUSH_DELAY).await;
    Ok(())
}

/// The addresses of the seed registries.
fn seeds(settings: &Settings) -> Vec<String> {
    settings.seeds().iter().map(Ipv4Addr::to_string).collect()
}

impl RunningProxy {
    fn new(settings: Settings, links: Rc<Links>, common: Common) -> (Rc<RunningProxy>, Rc<RequestHandler>) {
        let clock = Rc::new(Clock::new());
        let process_id = hash::hash_parts(&[settings.node.as_bytes(), &clock.now().to_le_bytes()]);
        let (node, ip) = (settings.node.clone(), settings.ip.to_string());
        let hello = Hello { node, ip, role: Role::Proxy, process_id };
        let bounds = RetryBounds {
            window: settings.bounds.retry_window.0,
            ratio: settings.bounds.retry_ratio,
            extra: settings.bounds.retry_extra,
        };
        let memory_pool = common.body_memory.clone();
        let servers = ServerPool::new(common, RetryBudget::new(bounds));
        let services = Services::new(clock.clone(), servers.clone(), &settings.zone, process_id);
        let proxy = Rc::new(RunningProxy {
            subscriber: RefCell::new(Subscriber::new(clock.now(), hello, seeds(&settings))),
            links,
            clock: clock.clone(),
            services: services.clone(),
            servers: servers.clone(),
            handler: RefCell::new(Weak::new()),
            settings,
            next_rollout_report: Cell::new(0),
            is_ready: Cell::new(false),
            is_shutting_down: Cell::new(false),
        });
        let admitter: Weak<dyn Admitter> = Rc::downgrade(&(proxy.clone() as Rc<dyn Admitter>));
        let handler = RequestHandler::new(clock, services, servers, memory_pool, admitter, process_id);
        proxy.handler.replace(Rc::downgrade(&handler));
        (proxy, handler)
    }

    /// Starts the listener for readiness checks, with a descriptor budget of its own.
    fn listen_for_readiness(self: &Rc<Self>, listener: tokio::net::TcpListener, common: &Common) {
        let budget = Budget::new(READINESS_DESCRIPTORS, 0, READINESS_USE);
        let front = Acceptor::new(self.clone(), Common { budget, ..common.clone() });
        let gate = Rc::new(Gate::default());
        tokio::task::spawn_local(front.accept(listener, gate.clone(), false));
        gate.open();
    }

    /// Handles link events and ticks until a graceful shutdown has completed.
    async fn event_loop(
        &self,
        events: LinkEvents,
        handler: &RequestHandler,
        clients: &ClientListener,
    ) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut links: BTreeMap<String, LinkHandle> = BTreeMap::new();
        let mut work = WorkQueue::new(events);
        let mut shutdown: Option<Shutdown> = None;
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv(), if shutdown.is_none() => shutdown = Some(self.begin_shutdown(handler)),
                next = work.next() => match next {
                    Work::Event(event) => self.on_event(event),
                    Work::Tick { backlog } => {
                        let interval = self.tick(backlog);
                        self.update_links(&mut links);
                        if shutdown.is_some_and(|shutdown| clients.continue_shutdown(shutdown)) {
                            return Ok(());
                        }
                        work.ticked(interval);
                    }
                }
            }
        }
    }

    /// Starts a graceful shutdown: the proxy is no longer ready, and responses close their connections.
    fn begin_shutdown(&self, handler: &RequestHandler) -> Shutdown {
        log::info!("graceful shutdown started");
        self.is_shutting_down.set(true);
        handler.shut_down();
        let now = Instant::now();
        let grace = self.settings.bounds.grace_period.0.saturating_sub(KILL_MARGIN);
        Shutdown { stop_accepting: now + DRAIN_DELAY.min(grace / 2), end: now + grace }
    }

    /// Runs the periodic work; returns the delay until the next tick. Messages that arrived within the backlog may not have been
    /// handled yet.
    fn tick(&self, backlog: Duration) -> Duration {
        let backlog = backlog.as_micros() as Micros;
        let has_waiting = self.with_subscriber(|subscriber, now, out| {
            subscriber.tick_with_backlog(now, backlog, out);
            subscriber.leases().waiting() > 0
        });
        self.report_rollouts();
        self.update_readiness();
        if has_waiting {
            BUSY_TICK
        } else {
            IDLE_TICK
        }
    }

    /// Reports on the rollouts in progress to all linked registries, every `REPORT_INTERVAL`.
    fn report_rollouts(&self) {
        if self.clock.now() < self.next_rollout_report.get() {
            return;
        }
        self.next_rollout_report.set(self.clock.now() + REPORT_INTERVAL);
        let reports = self.services.rollout_reports();
        if !reports.is_empty() {
            let registries = self.subscriber.borrow().connections();
            self.links.send_all(registries, &PeerMessage::RolloutReports(reports));
        }
    }

    /// Connects to the registries that the subscriber wants, and drops the links to all others.
    fn update_links(&self, links: &mut BTreeMap<String, LinkHandle>) {
        let wanted_ips = self.subscriber.borrow().wanted_registries();
        links.retain(|ip, _| wanted_ips.contains(ip));
        for ip in wanted_ips {
            let Ok(machine) = ip.parse() else { continue };
            let address = self.settings.internal_address(machine, internal_port::REGISTRY);
            links.entry(ip).or_insert_with(|| self.links.connect(address));
        }
    }

    /// Handles a link event; requests for metrics are answered here.
    fn on_event(&self, event: LinkEvent) {
        if let LinkEvent::Received(connection, PeerMessage::MetricsRequest) = event {
            return self.links.send(connection, &PeerMessage::Metrics(self.metrics()));
        }
        self.with_subscriber(|subscriber, now, out| match event {
            LinkEvent::Connected(connection, _) => subscriber.connected(connection, out),
            LinkEvent::Received(connection, message) => subscriber.receive(now, connection, message, out),
            LinkEvent::Disconnected(connection) => subscriber.disconnected(connection),
        });
    }

    /// Runs an operation on the subscriber, and carries out the effects that it returns.
    fn with_subscriber<R>(
        &self,
        operation: impl FnOnce(&mut Subscriber, Micros, &mut Vec<Output>) -> R,
    ) -> R {
        let mut outputs = Vec::new();
        let result = operation(&mut self.subscriber.borrow_mut(), self.clock.now(), &mut outputs);
        let handler = self.request_handler();
        for output in outputs {
            match output {
                Output::Send(connection, message) => self.links.send(connection, &message),
                Output::Close(connection) => self.links.close(connection),
                Output::Configured(table) => {
                    handler.iter().for_each(|handler| handler.set_routing_table(table.clone()));
                }
                Output::ServerChanged(id, server) => self.services.server_changed(&id, server.as_ref()),
                Output::Decided(decision) => handler.iter().for_each(|handler| handler.decided(decision)),
                Output::Permitted(permits) => self.services.permit(permits),
                Output::PositionChanged { index, proxies } => {
                    self.servers.set_proxies(proxies);
                    self.services.set_position(index, proxies);
                }
            }
        }
        result
    }

    fn metrics(&self) -> Vec<Metric> {
        let handler = self.request_handler();
        metrics::collect(&MetricSources {
            now: self.clock.now(),
            zone: &self.settings.zone,
            is_ready: self.is_ready.get(),
            subscriber: &self.subscriber.borrow(),
            services: &self.services,
            servers: &self.servers,
            links: &self.links,
            handler: handler.as_deref(),
        })
    }

    /// The handler of client requests; `None` after it was dropped.
    fn request_handler(&self) -> Option<Rc<RequestHandler>> {
        self.handler.borrow().upgrade()
    }

    /// Updates readiness: the proxy is ready while it has a usable configuration with routes, knows a server, and is not shutting down.
    fn update_readiness(&self) {
        let has_routes = || self.request_handler().is_some_and(|handler| handler.has_routes());
        let is_ready = !self.is_shutting_down.get()
            && self.subscriber.borrow().can_serve()
            && self.services.server_count() > 0
            && has_routes();
        if self.is_ready.replace(is_ready) != is_ready {
            log::info!("proxy is {}", if is_ready { "ready" } else { "not ready" });
        }
    }
}

impl ClientListener {
    /// Advances a graceful shutdown; returns whether it has completed.
    fn continue_shutdown(&self, shutdown: Shutdown) -> bool {
        let now = Instant::now();
        if now >= shutdown.stop_accepting && self.gate.is_acknowledged() {
            self.gate.shut();
            self.front.close_idle();
        }
        now >= shutdown.end || now > shutdown.stop_accepting && self.front.connections() == 0
    }
}

impl Admitter for RunningProxy {
    fn admit(&self, tenant: &str, quota: Quota, id: RequestId) -> Admission {
        self.with_subscriber(|subscriber, now, out| subscriber.admit(now, tenant, quota, id, out))
    }

    fn cancel(&self, tenant: &str, id: RequestId) {
        self.subscriber.borrow_mut().cancel(tenant, id);
    }
}

type ReplyBody = MapErr<Full<Bytes>, fn(Infallible) -> io::Error>;

/// Serves readiness checks.
impl Handler for RunningProxy {
    type Reply = ReplyBody;

    async fn answer(&self, request: Request<Incoming>, _: &RawHead) -> Response<ReplyBody> {
        let status = match (request.method(), request.uri().path(), self.is_ready.get()) {
            (&Method::GET, "/-/ready", true) => StatusCode::OK,
            (&Method::GET, "/-/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        let never: fn(Infallible) -> io::Error = |never| match never {};
        let mut response = Response::new(Full::new(Bytes::new()).map_err(never));
        *response.status_mut() = status;
        response
    }

    fn close_an_idle(&self) -> bool {
        false
    }

    fn head_wait(&self) -> Duration {
        READINESS_HEADER_TIMEOUT
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(READINESS_IDLE_TIMEOUT)
    }
}
