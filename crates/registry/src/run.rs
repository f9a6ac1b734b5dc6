//! Runs the registry: connects its state machine to peer links and to the HTTP listener for control calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::combinators::MapErr;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_admission::Micros;
use pinerelay_config_state::hash;
use pinerelay_node_runtime::internal_port;
use pinerelay_node_runtime::settings::Settings;
use pinerelay_node_runtime::settings_watch;
use pinerelay_peer_link::event_order::{Work, WorkQueue};
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, LinkHandle, Links};
use pinerelay_peer_link::message::{CallReply, Hello, Metric, PeerMessage, Role};
use pinerelay_rollout::decider::RolloutBounds;
use pinerelay_traffic::acceptor::{mark_last_answer, Acceptor, Handler};
use pinerelay_traffic::body_memory::BodyMemoryPool;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::listen::{listen, Gate};
use pinerelay_traffic::raw_head::RawHead;
use pinerelay_traffic::watchdog::Watchdog;
use pinerelay_traffic::Common;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

use crate::call_body::{BodyError, BodyMemory};
use crate::call_counts::CallCounts;
use crate::control_call::{self, ControlCall};
use crate::registry::{Output, Registry, RegistryConfig, RolloutSettings};

/// The interval between ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for the head of an HTTP request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// A caller's connection is closed after being idle for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The time for calls in progress to finish at a planned shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval at which the shutdown checks whether they have finished.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// One part in this many of the file descriptors is reserved, for links and files.
const RESERVED_DESCRIPTORS_DIVISOR: usize = 3;
/// The share of the other descriptors that callers' connections may use.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.9;

/// The name of the guarantee in the settings that baselines are set without an order.
const ROLLOUT_GUARANTEE: &str = "rollout";

/// The state machine with its I/O.
struct RunningRegistry {
    registry: RefCell<Registry>,
    links: Rc<Links>,
    body_memory: Rc<BodyMemory>,
    settings: Settings,
    /// The calls that wait for an answer, by number.
    pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<CallReply>>>,
    /// The number of the last call.
    last_call: Cell<u64>,
    call_counts: RefCell<CallCounts>,
    /// The zero point of the state machine's clock.
    started: Instant,
    is_shutting_down: Cell<bool>,
    /// A reference to this value, for [`CallGuard`].
    this: Weak<RunningRegistry>,
}

/// Runs a registry until SIGTERM, and then for up to 0.8 s while calls in progress are answered.
///
/// # Errors
/// If an address or the limit of descriptors cannot be used.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let control = Settings::required_address(&path, "control", settings.listen.control)?;
    let allowed = rlimit::increase_nofile_limit(settings.limits.file_limit as u64)?;
    let (links, events) = Links::new();
    links.listen(settings.internal_address(settings.ip, internal_port::REGISTRY))?;
    let descriptors = settings.limits.file_limit.min(allowed as usize);
    let running = RunningRegistry::new(links, settings);
    let reserved = descriptors / RESERVED_DESCRIPTORS_DIVISOR;
    let common = Common {
        budget: Budget::new(descriptors, reserved, CALLER_DESCRIPTOR_SHARE),
        body_memory: BodyMemoryPool::for_process(running.settings.limits.memory_mb),
        watchdog: Watchdog::new(),
    };
    let front = Acceptor::new(running.clone(), common);
    let gate = Rc::new(Gate::default());
    tokio::task::spawn_local(front.clone().accept(listen(control.into(), BACKLOG)?, gate.clone(), false));
    gate.open();
    log::info!("listening for control calls on {control}");
    tokio::task::spawn_local(settings_watch::watch(path, |_| log::info!("the settings file has changed")));
    let mut events = running.event_loop(events).await?;
    log::info!("planned shutdown");
    running.is_shutting_down.set(true);
    running.with_registry(|registry, now, out| registry.shut_down(now, out));
    gate.shut();
    front.close_idle();
    let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
    while Instant::now() < deadline && (!running.pending_calls.borrow().is_empty() || front.connections() > 0)
    {
        tokio::select! {
            Some(event) = events.recv() => running.on_event(event),
            () = sleep(SHUTDOWN_CHECK_INTERVAL) => {}
        }
    }
    Ok(())
}

/// The configuration of the state machine.
fn registry_config(settings: &Settings) -> RegistryConfig {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let process_id = hash::hash_parts(&[settings.node.as_bytes(), &now.as_nanos().to_le_bytes()]);
    let bounds = &settings.bounds;
    RegistryConfig {
        hello: Hello {
            node: settings.node.clone(),
            ip: settings.ip.to_string(),
            role: Role::Registry,
            process_id,
        },
        first_start: settings.first_start,
        time_of_day: now.as_secs(),
        heartbeat_interval: settings.heartbeat.as_micros(),
        quota_bounds: QuotaBounds {
            period: bounds.quota_period.0,
            overrun: bounds.quota_overrun,
            margin: bounds.quota_margin,
        },
        rollouts: RolloutSettings {
            baseline_without_order: settings.guarantees.iter().any(|name| name == ROLLOUT_GUARANTEE),
            bounds: RolloutBounds {
                exposure_share: bounds.exposure_share,
                exposure_margin: bounds.exposure_margin,
                rollback: bounds.rollback.as_micros(),
            },
        },
        seeds: settings.seeds().iter().map(Ipv4Addr::to_string).collect(),
    }
}

impl RunningRegistry {
    fn new(links: Rc<Links>, settings: Settings) -> Rc<RunningRegistry> {
        Rc::new_cyclic(|this| RunningRegistry {
            registry: RefCell::new(Registry::new(0, registry_config(&settings))),
            links,
            body_memory: BodyMemory::of_process(settings.limits.memory_mb),
            settings,
            pending_calls: RefCell::default(),
            last_call: Cell::new(0),
            call_counts: RefCell::default(),
            started: Instant::now(),
            is_shutting_down: Cell::new(false),
            this: this.clone(),
        })
    }

    /// Handles events and ticks until SIGTERM, and returns the receiver of events for the shutdown.
    async fn event_loop(&self, events: LinkEvents) -> io::Result<LinkEvents> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut links: BTreeMap<(String, Role), LinkHandle> = BTreeMap::new();
        let mut work = WorkQueue::new(events);
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv() => return Ok(work.into_events()),
                next = work.next() => match next {
                    Work::Event(event) => self.on_event(event),
                    Work::Tick { backlog } => {
                        self.tick(backlog);
                        self.update_links(&mut links);
                        work.ticked(TICK_INTERVAL);
                    }
                }
            }
        }
    }

    /// Runs the periodic work of the state machine. Messages that arrived within the backlog may not have been handled yet.
    fn tick(&self, backlog: Duration) {
        let backlog = backlog.as_micros() as Micros;
        self.with_registry(|registry, now, out| registry.tick_with_backlog(now, backlog, out));
    }

    /// Opens missing links to the processes that the state machine wants to reach, and closes the others.
    fn update_links(&self, links: &mut BTreeMap<(String, Role), LinkHandle>) {
        let wanted = self.registry.borrow().wanted_links();
        links.retain(|link, _| wanted.contains(link));
        for (ip, role) in wanted {
            let Ok(machine) = ip.parse() else { continue };
            let port = match role {
                Role::ConfigStore => internal_port::CONFIG_STORE,
                Role::Registry | Role::Proxy | Role::Observer => internal_port::REGISTRY,
            };
            let address = self.settings.internal_address(machine, port);
            links.entry((ip, role)).or_insert_with(|| self.links.connect(address));
        }
    }

    /// Passes a link event to the state machine.
    fn on_event(&self, event: LinkEvent) {
        self.with_registry(|registry, now, out| match event {
            LinkEvent::Connected(connection, _) => registry.connected(connection, out),
            LinkEvent::Received(connection, message) => registry.receive(now, connection, message, out),
            LinkEvent::Disconnected(connection) => registry.disconnected(now, connection, out),
        });
    }

    /// Calls the state machine with the current time, and carries out its outputs.
    fn with_registry(&self, operation: impl FnOnce(&mut Registry, Micros, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        let now = self.started.elapsed().as_micros() as Micros;
        operation(&mut self.registry.borrow_mut(), now, &mut outputs);
        for output in outputs {
            match output {
                Output::Send(connection, PeerMessage::Metrics(metrics)) => {
                    self.links.send(connection, &PeerMessage::Metrics(self.all_metrics(metrics)));
                }
                Output::Send(connection, message) => self.links.send(connection, &message),
                Output::Broadcast(connections, message) => self.links.send_all(connections, &message),
                Output::Close(connection) => self.links.close(connection),
                Output::Answer(call, reply) => {
                    if let Some(caller) = self.pending_calls.borrow_mut().remove(&call) {
                        // Sending fails if the caller has disconnected.
                        let _ = caller.send(reply);
                    }
                }
            }
        }
    }

    /// Appends the metrics of calls and links to those of the state machine.
    fn all_metrics(&self, mut metrics: Vec<Metric>) -> Vec<Metric> {
        let zone = &self.settings.zone;
        metrics.push(Metric::new(format!("registry_info{{zone=\"{zone}\"}}"), 1.0));
        metrics.push(Metric::new("registry_open_calls", self.pending_calls.borrow().len() as f64));
        metrics.extend(self.call_counts.borrow().metrics());
        metrics.extend(self.links.metrics(Role::Registry.name()));
        metrics
    }

    /// Reads, parses and executes a request.
    async fn answer_request(&self, request: Request<Incoming>) -> CallReply {
        if self.is_shutting_down.get() {
            return CallReply::error(503, "the registry ends");
        }
        let (head, body) = request.into_parts();
        // The body's memory stays reserved until the call is answered.
        let (body, _permit) = match self.body_memory.read(body).await {
            Ok(read) => read,
            Err(error) => return CallReply::error(status_of(&error), &error.to_string()),
        };
        match control_call::parse(head.method.as_str(), head.uri.path(), head.uri.query(), &body) {
            Ok(call) => self.execute(call).await,
            Err(error) => {
                self.call_counts.borrow_mut().log_unknown_call(&error);
                CallReply::error(error.status(), &error.to_string())
            }
        }
    }

    /// Executes a call. If this is cancelled, as the caller has disconnected, the answer is discarded.
    async fn execute(&self, call: ControlCall) -> CallReply {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let (answer, answered) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, answer);
        self.with_registry(|registry, now, out| registry.call(now, number, call, out));
        let _guard = CallGuard { registry: self.this.clone(), number };
        answered.await.unwrap_or_else(|_| CallReply::error(503, "the registry ends"))
    }
}

/// The HTTP status for a body that was not read.
fn status_of<E>(error: &BodyError<E>) -> u16 {
    match error {
        BodyError::TooLong => 413,
        BodyError::OutOfMemory => 503,
        BodyError::TimedOut => 408,
        BodyError::Connection(_) => 400,
    }
}

/// Removes a waiting call on drop, also if it is cancelled.
struct CallGuard {
    registry: Weak<RunningRegistry>,
    number: u64,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if let Some(registry) = self.registry.upgrade() {
            registry.pending_calls.borrow_mut().remove(&self.number);
        }
    }
}

type ReplyBody = MapErr<Full<Bytes>, fn(Infallible) -> io::Error>;

impl Handler for RunningRegistry {
    type Reply = ReplyBody;

    async fn answer(&self, request: Request<Incoming>, _: &RawHead) -> Response<ReplyBody> {
        let CallReply { status, body } = self.answer_request(request).await;
        self.call_counts.borrow_mut().count(status);
        let never: fn(Infallible) -> io::Error = |never| match never {};
        let mut response = Response::new(Full::new(Bytes::from(body)).map_err(never));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.is_shutting_down.get() || matches!(status, 400 | 408 | 413) {
            mark_last_answer(&mut response);
        }
        response
    }

    fn close_an_idle(&self) -> bool {
        false
    }

    fn head_wait(&self) -> Duration {
        HEADER_TIMEOUT
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(IDLE_TIMEOUT)
    }
}
