//! The running proxy: its replica of the state, its clients and its servers joined, and its life from start to shutdown.

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
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, LinkHandle, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, Role};
use pinerelay_rollout::decider::REPORT_INTERVAL;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::front::{Front, Handler};
use pinerelay_traffic::listen::{listen, Gate};
use pinerelay_traffic::room::Room;
use pinerelay_traffic::vigil::Vigil;
use pinerelay_traffic::wire::Wire;
use pinerelay_traffic::Common;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, sleep_until, Instant};

use crate::metrics::{self, MetricSources};
use crate::request_handler::{Admitter, RequestHandler};
use crate::server_pool::ServerPool;
use crate::services::Services;
use crate::subscriber::{Output, Subscriber};

/// The interval of ticks while a request waits for a unit of its quota.
const BUSY_TICK: Duration = Duration::from_millis(25);
/// The interval of ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(75);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The part of the descriptors that clients may hold.
const CLIENT_DESCRIPTORS: f64 = 0.6;
/// Descriptors for links, readiness checks and files.
const RESERVED_DESCRIPTORS: usize = 240;
/// At least one descriptor in so many is not reserved.
const RESERVED_DIVISOR: usize = 4;
/// Connections of readiness checks, with the descriptors that their budget takes for itself.
const READINESS_DESCRIPTORS: usize = 24 + 64;
/// The part of them that is used.
const READINESS_USE: f64 = 0.9;
/// Readiness checks that may wait to be accepted.
const READINESS_BACKLOG: u32 = 64;
/// How long the head of a readiness check may take.
const READINESS_HEADER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the connection of a readiness check may be idle.
const READINESS_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// After SIGTERM clients may still be sent here: readiness is checked each second, and two misses are needed.
const DRAIN_DELAY: Duration = Duration::from_millis(2_700);
/// The process ends so long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// For the last bytes of answers and of the goodbye.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// The proxy's parts.
struct RunningProxy {
    subscriber: RefCell<Subscriber>,
    links: Rc<Links>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    servers: Rc<ServerPool>,
    /// Set once, before anything runs.
    handler: RefCell<Weak<RequestHandler>>,
    settings: Settings,
    next_rollout_report: Cell<Micros>,
    is_ready: Cell<bool>,
    is_shutting_down: Cell<bool>,
}

/// The clients' listener.
struct ClientListener {
    front: Rc<Front<RequestHandler>>,
    gate: Rc<Gate>,
}

/// When a planned shutdown goes on.
#[derive(Debug, Clone, Copy)]
struct Shutdown {
    /// No client is accepted any more.
    stop_accepting: Instant,
    /// The process ends, whatever is left.
    end: Instant,
}

/// Runs a proxy until SIGTERM. It then accepts clients until they are sent elsewhere, and answers all requests that it has
/// taken, within the grace period.
///
/// # Errors
/// If an address or the limit of descriptors cannot be used.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let public = Settings::required_address(&path, "public_http", settings.listen.public_http)?;
    let readiness = Settings::required_address(&path, "readiness", settings.listen.readiness)?;
    let allowed = rlimit::increase_nofile_limit(settings.limits.file_limit as u64)?;
    let descriptors = settings.limits.file_limit.min(allowed as usize);
    let reserved = RESERVED_DESCRIPTORS.min(descriptors / RESERVED_DIVISOR);
    let common = Common {
        budget: Budget::new(descriptors, reserved, CLIENT_DESCRIPTORS),
        room: Room::of(settings.limits.memory_mb),
        vigil: Vigil::new(),
    };
    let (links, events) = Links::new();
    let (proxy, handler) = RunningProxy::new(settings, links, common.clone());
    proxy.listen_for_readiness(listen(readiness.into(), READINESS_BACKLOG)?, &common);
    let own_address = proxy.settings.internal_address(proxy.settings.ip, internal_port::PROXY);
    proxy.links.listen(own_address)?;
    let front = Front::new(handler.clone(), common);
    let gate = Rc::new(Gate::default());
    tokio::task::spawn_local(front.clone().accept(listen(public.into(), BACKLOG)?, gate.clone(), false));
    gate.open();
    log::info!("takes clients at {public}");
    let watching = proxy.clone();
    tokio::task::spawn_local(settings_watch::watch(path, move |settings| {
        log::info!("the settings file has changed");
        watching.subscriber.borrow_mut().set_seeds(seeds(&settings));
    }));
    proxy.event_loop(events, &handler, &ClientListener { front, gate }).await?;
    proxy.services.nodes().iter().for_each(|node| node.fail_all());
    let registries = proxy.subscriber.borrow().connections();
    proxy.links.send_all(registries, &PeerMessage::Goodbye);
    sleep(FLUSH_DELAY).await;
    Ok(())
}

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
        let room = common.room.clone();
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
        let handler = RequestHandler::new(clock, services, servers, room, admitter, process_id);
        proxy.handler.replace(Rc::downgrade(&handler));
        (proxy, handler)
    }

    fn listen_for_readiness(self: &Rc<Self>, listener: tokio::net::TcpListener, common: &Common) {
        let budget = Budget::new(READINESS_DESCRIPTORS, 0, READINESS_USE);
        let front = Front::new(self.clone(), Common { budget, ..common.clone() });
        let gate = Rc::new(Gate::default());
        tokio::task::spawn_local(front.accept(listener, gate.clone(), false));
        gate.open();
    }

    /// Handles events until a planned shutdown has ended.
    async fn event_loop(
        &self,
        mut events: LinkEvents,
        handler: &RequestHandler,
        clients: &ClientListener,
    ) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut links: BTreeMap<String, LinkHandle> = BTreeMap::new();
        let mut next_tick = Instant::now();
        let mut shutdown: Option<Shutdown> = None;
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv(), if shutdown.is_none() => shutdown = Some(self.begin_shutdown(handler)),
                Some(event) = events.recv() => self.on_event(event),
                () = sleep_until(next_tick) => {
                    next_tick = Instant::now() + self.tick();
                    self.update_links(&mut links);
                    if shutdown.is_some_and(|shutdown| clients.has_shut_down(shutdown)) {
                        return Ok(());
                    }
                }
            }
        }
    }

    fn begin_shutdown(&self, handler: &RequestHandler) -> Shutdown {
        log::info!("shuts down as planned");
        self.is_shutting_down.set(true);
        handler.shut_down();
        let now = Instant::now();
        let grace = self.settings.bounds.grace_period.0.saturating_sub(KILL_MARGIN);
        Shutdown { stop_accepting: now + DRAIN_DELAY.min(grace / 2), end: now + grace }
    }

    /// Lets time pass; returns how soon the next tick is due.
    fn tick(&self) -> Duration {
        let has_waiting = self.with_subscriber(|subscriber, now, out| {
            subscriber.tick(now, out);
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

    /// Reports to all registries on the rollouts that are under way.
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

    /// Keeps links to the registries that it has to reach.
    fn update_links(&self, links: &mut BTreeMap<String, LinkHandle>) {
        let wanted = self.subscriber.borrow().wanted_registries();
        links.retain(|ip, _| wanted.contains(ip));
        for ip in wanted {
            let Ok(machine) = ip.parse() else { continue };
            let address = self.settings.internal_address(machine, internal_port::REGISTRY);
            links.entry(ip).or_insert_with(|| self.links.connect(address));
        }
    }

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

    fn with_subscriber<R>(&self, act: impl FnOnce(&mut Subscriber, Micros, &mut Vec<Output>) -> R) -> R {
        let mut outputs = Vec::new();
        let result = act(&mut self.subscriber.borrow_mut(), self.clock.now(), &mut outputs);
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
                Output::Placed { index, proxies } => {
                    self.servers.set_proxies(proxies);
                    self.services.placed(index, proxies);
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

    /// The handler of clients' requests.
    fn request_handler(&self) -> Option<Rc<RequestHandler>> {
        self.handler.borrow().upgrade()
    }

    /// Checks whether it is ready: it has a complete configuration with routes, and servers.
    fn update_readiness(&self) {
        let has_routes = || self.request_handler().is_some_and(|handler| handler.has_routes());
        let is_ready = !self.is_shutting_down.get()
            && self.subscriber.borrow().can_serve()
            && self.services.server_count() > 0
            && has_routes();
        if self.is_ready.replace(is_ready) != is_ready {
            log::info!("is {}", if is_ready { "ready" } else { "not ready" });
        }
    }
}

impl ClientListener {
    /// Goes on with a planned shutdown; returns whether it has ended.
    fn has_shut_down(&self, shutdown: Shutdown) -> bool {
        let now = Instant::now();
        if now >= shutdown.stop_accepting && self.gate.heeded() {
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

/// Answers readiness checks.
impl Handler for RunningProxy {
    type Reply = ReplyBody;

    async fn answer(&self, request: Request<Incoming>, _: &Wire) -> Response<ReplyBody> {
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
