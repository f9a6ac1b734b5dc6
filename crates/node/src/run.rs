//! The running node: its parts joined, signals, and the planned stop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::{Event, Settings};
use pinerelay_protocol::classes::ClassTable;
use pinerelay_protocol::request::Rules;
use pinerelay_protocol::settings::Env;
use tokio::net::TcpListener;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::config::{Checked, Config, Running, StartError};
use crate::net::budget::Budget;
use crate::net::clients::Clients;
use crate::net::clock::Clock;
use crate::net::counter::Counter;
use crate::net::discovery::Discovery;
use crate::net::figures::Figures;
use crate::net::handover::Handover;
use crate::net::http::OnWritten;
use crate::net::listen::{inherited, listen};
use crate::net::maintenance::Maintenance;
use crate::net::members::Members;
use crate::net::node::{Node, Peers};
use crate::net::ops::{Ops, CALLERS};
use crate::net::ports::{Core, QuotaStore};
use crate::net::redis;
use crate::net::room::Room;
use crate::net::seats::{enough, Seats};
use crate::net::servers::Servers;
use crate::operator::Operator;
use crate::strict::FileError;
use pinerelay_store_redis::store::RedisStore;

/// Danger: SIGKILL may come as soon as the longest deadline (3 s at most) and 0.7 s after SIGTERM, and what it
/// finds unanswered is lost. What is open this long after SIGTERM has failed; a node stays no longer than the
/// rest, which is for answers still being written.
const PATIENCE_OVER: Duration = Duration::from_millis(300);
const LAST_GRACE: Duration = Duration::from_millis(200);
/// How long clients of a socket that is handed on may use their idle connections after SIGTERM. Danger: closed at once,
/// each close may cross a request; kept for longer, what comes last has too little time for its answer.
const LAST_REQUESTS: Duration = Duration::from_millis(1_000);
/// How long a node waits for its first list before it says that it is ready. It is due within 6 s.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// How often what was learned is left for the next process.
const REMEMBER: Duration = Duration::from_secs(1);
/// How often the set of app servers that are held out is looked at: well within the grace of the rule on drains.
const SHARE_LOOKS: Duration = Duration::from_millis(200);
/// How often a node that stops looks whether all is answered.
const LAST_LOOKS: Duration = Duration::from_millis(10);

/// Runs a node until it has stopped; returns early if it can't start.
pub fn run(path: PathBuf, operator: Option<PathBuf>) -> Result<(), StartError> {
    let front = inherited()?;
    let config = Running::start(&path)?;
    let file = operator;
    let operator = file.as_deref().map(Operator::read).transpose()?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(serve(config, path, operator, file, front))
}

/// Where the shared counts live.
#[derive(Clone)]
enum Store {
    Counter(Rc<Counter>),
    Redis(Rc<RedisStore>),
}

impl Store {
    fn port(&self) -> Rc<dyn QuotaStore> {
        match self {
            Store::Counter(counter) => counter.clone(),
            Store::Redis(redis) => redis.clone(),
        }
    }
}

/// A file for the next process. It is named after the address where clients connect, which both processes share and no
/// other node has.
fn shared_file(listen: SocketAddr, ending: &str) -> Option<PathBuf> {
    let name = format!("pinerelay-{}.{ending}", listen.to_string().replace(':', "-"));
    std::env::var_os("TMPDIR").map(|folder| PathBuf::from(folder).join(name))
}

async fn serve(
    config: (Running, Config),
    path: PathBuf,
    operator: Operator,
    file: Option<PathBuf>,
    front: Option<std::net::TcpListener>,
) -> Result<(), StartError> {
    let (running, config) = config;
    let Checked { listen: at, ops: ops_at, discovery, counter, seed } = config.checked()?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::System)?;
    let ops_at = match std::env::var("PROXY_OPS") {
        Ok(text) => Some(text.parse().map_err(|_| StartError::Address("PROXY_OPS", text))?),
        Err(_) => ops_at,
    };

    let allowed = rlimit::increase_nofile_limit(config.limits.sockets as u64).map_err(StartError::System)?;
    let for_ops = if ops_at.is_some() { CALLERS + 1 } else { 0 };
    let sockets = config.limits.sockets.min(allowed as usize);
    let budget = Budget::new(sockets, for_ops, operator.front.client_share);
    let room = Room::of(config.limits.memory_mb);
    let mut env = config.settings;
    let (zones, kinds) = (std::mem::take(&mut env.zones), std::mem::take(&mut env.kinds));
    let (connect_timeout, conn_idle) = (env.bounds.connect_timeout, env.bounds.conn_idle);
    let patience = Rc::new(Cell::new(longest(&env)));
    let mut classes = ClassTable::default();
    let rules = Rules::new(&env, &classes.take(&env.classes));
    let figures = Rc::new(Figures::default());
    env.classes.iter().for_each(|class| figures.name(&class.name));
    let settings = Settings::from(env);

    let clock = Rc::new(Clock::new());
    let counter_at = counter.filter(|_| settings.counter.allowed);
    let (wait, try_limit) = (settings.counter.wait, settings.limits.try_limit);
    let mut controller = Controller::new(seed, settings);
    // Only a process whose socket is handed on is followed by another while it runs.
    let handover = front.as_ref().and_then(|_| shared_file(at, "memory")).map(Handover::new);
    if let Some(memory) = handover.as_ref().and_then(|handover| handover.take(&classes.names())) {
        controller.recall(clock.now(), &memory);
    }
    let redis_at = match (&operator.redis, &file) {
        (Some(settings), Some(file)) => Some(redis::server(settings, file)?),
        _ => None,
    };
    let maintenance = Rc::new(Maintenance::new(ops_at.and_then(|_| shared_file(at, "out"))));
    let mut joined = None;
    let node = Node::new(controller, try_limit, clock.clone(), |core| {
        let sent = figures.clone();
        let on_written: OnWritten = Some(Rc::new(move || sent.sent()));
        let servers = Servers::new(
            budget.clone(),
            connect_timeout,
            conn_idle,
            on_written,
            clock,
            core.clone(),
            room.clone(),
        );
        let store = match redis_at {
            Some(server) => Store::Redis(redis::store(server, wait, core.clone())),
            None => {
                Store::Counter(Counter::new(counter_at, wait, operator.counter.connections, core.clone()))
            }
        };
        let members = Members::new(zones, kinds, maintenance.clone(), servers.clone(), core);
        let discovery = Discovery::new(discovery, members.clone());
        joined = Some((servers.clone(), store.clone(), members, discovery.clone()));
        Peers { upstream: servers, store: store.port(), members: discovery }
    });
    // The closure above has run by now.
    let Some((servers, store, members, discovery)) = joined else { return Ok(()) };
    // Danger: the socket of another is met by the next process; one of its own is closed with this one.
    let handed_on = front.is_some();
    let listener = match front {
        Some(listener) => TcpListener::from_std(listener).map_err(StartError::System)?,
        None => listen(at, operator.front.backlog).map_err(|e| StartError::Listen(at, e))?,
    };
    eprintln!("pinerelay: listening on {}", listener.local_addr().map_err(StartError::System)?);
    discovery.start(config.known);
    let ops = Ops::new(figures.clone(), members.clone(), maintenance.clone());
    if let Some(at) = ops_at {
        let listener = Ops::listen(at).map_err(|e| StartError::Listen(at, e))?;
        eprintln!("pinerelay: operators call at {}", listener.local_addr().map_err(StartError::System)?);
        tokio::task::spawn_local(ops.clone().serve(listener));
        tokio::task::spawn_local(share(maintenance, members));
    }
    let seats = if handed_on { shared_file(at, "x").and_then(|path| sit(path, sockets)) } else { None };
    let clients = Clients::new(
        node.clone(),
        servers.clone(),
        rules,
        budget.clone(),
        figures.clone(),
        room,
        &operator.front,
    );
    let names = Rc::new(RefCell::new(classes.names()));
    let retuned = Retuned {
        running,
        classes,
        names: names.clone(),
        patience: patience.clone(),
        node: node.clone(),
        clients: clients.clone(),
        figures,
    };
    tokio::task::spawn_local(reload(hangup, path, file, discovery.clone(), store.clone(), retuned));
    if let Some(handover) = handover {
        tokio::task::spawn_local(remember(handover, names, node.clone()));
    }
    if let Some(seats) = seats {
        budget.resize(seats.claimed());
        tokio::task::spawn_local(keep_to(seats, budget.clone(), node.clone(), servers));
    }
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));
    let room = budget.clone();
    let ready = move || discovery.heard() && enough(room.allowed(), sockets);
    tokio::task::spawn_local(readiness(ops.clone(), ready));

    either(&mut terminate, &mut interrupt).await;
    let last = Instant::now() + patience.get().min(operator.stop.patience.0) + PATIENCE_OVER;
    node.stop();
    ops.ready(false);
    if handed_on {
        // Danger: what is accepted from here on would be turned back soon, and the next process serves it.
        accepting.abort();
        sleep(LAST_REQUESTS).await;
        clients.close_idle();
    } else {
        sleep(operator.stop.idle_after.0).await;
        clients.close_idle();
        sleep(operator.stop.deaf_after.0).await;
        accepting.abort();
    }
    node.event(Event::Stopping);
    clients.close_idle();
    let over = || !node.waited_for() && budget.clients() == 0 && store.port().settled();
    while !over() && Instant::now() < last {
        sleep(LAST_LOOKS).await;
    }
    node.fail_all();
    while !over() && Instant::now() < last + LAST_GRACE {
        sleep(LAST_LOOKS).await;
    }
    Ok(())
}

/// The longest deadline of any class.
fn longest(env: &Env) -> Duration {
    Duration::from_micros(env.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
}

/// Says that this process takes clients once it knows the app servers and has descriptors to serve with, or has waited long enough for them. Danger: the
/// process before it is stopped upon this word, and the list that a node starts with may be old.
async fn readiness(ops: Rc<Ops>, ready: impl Fn() -> bool) {
    let begun = Instant::now();
    while !ready() && begun.elapsed() < LIST_WAIT {
        sleep(LAST_LOOKS).await;
    }
    ops.ready(true);
}

/// A seat among the processes that share this address and its limit of descriptors. Without one this process keeps to the
/// limit as if it were alone.
fn sit(path: PathBuf, limit: usize) -> Option<Seats> {
    let seats = Seats::take(path, limit);
    seats
        .map_err(|error| eprintln!("pinerelay: descriptors are not shared with a next process: {error}"))
        .ok()
}

/// Holds no more than the seat allows; what is idle beyond that is closed.
async fn keep_to(seats: Seats, budget: Rc<Budget>, node: Rc<Node>, servers: Rc<Servers>) {
    let apply = |most| {
        budget.resize(most);
        // A client's connection ends a moment after it is told to.
        let (all, clients) = budget.excess();
        let closed = (0..all).take_while(|_| servers.close_an_idle()).count();
        let _told = (0..clients.max(all - closed)).take_while(|_| budget.close_an_idle_client()).count();
    };
    seats.keep(|| (budget.held(), node.stopping()), apply).await;
}

/// Looks again and again which app servers the other process of an upgrade was told to hold out or let back.
async fn share(maintenance: Rc<Maintenance>, members: Rc<Members>) {
    loop {
        sleep(SHARE_LOOKS).await;
        if maintenance.refresh() {
            members.reconsider();
        }
    }
}

/// Leaves what the node has learned for the process that may take over, again and again until it stops: that one starts
/// before this one hears of it.
async fn remember(handover: Handover, names: Rc<RefCell<Vec<String>>>, node: Rc<Node>) {
    let mut failed = false;
    while !node.stopping() {
        sleep(REMEMBER).await;
        let left = handover.leave(names.borrow().clone(), node.memory());
        if let (Err(error), false) = (&left, failed) {
            eprintln!("pinerelay: the next process will have to learn anew: {error}");
        }
        failed = left.is_err();
    }
}

/// What new settings change in a running node.
struct Retuned {
    running: Running,
    classes: ClassTable,
    names: Rc<RefCell<Vec<String>>>,
    patience: Rc<Cell<Duration>>,
    node: Rc<Node>,
    clients: Rc<Clients>,
    figures: Rc<Figures>,
}

impl Retuned {
    /// Takes classes and attempts; all else in the settings waits for the next start.
    fn take(&mut self, env: &Env) {
        let numbers = self.classes.take(&env.classes);
        self.names.replace(self.classes.names());
        env.classes.iter().for_each(|class| self.figures.name(&class.name));
        self.node.retune(self.classes.all(), env.bounds.try_limit);
        self.clients.retune(Rules::new(env, &numbers));
        self.patience.set(self.patience.get().max(longest(env)));
    }
}

/// On each SIGHUP reads the configuration again, takes the classes and attempts of its settings, and moves discovery and
/// the counter, or Redis, to where it and the operator's file say, also during a stop. Of a file that can't be used the
/// log says so, and all stays as it was.
async fn reload(
    mut hangup: Signal,
    path: PathBuf,
    file: Option<PathBuf>,
    discovery: Rc<Discovery>,
    store: Store,
    mut retuned: Retuned,
) {
    while hangup.recv().await.is_some() {
        let next = retuned.running.next(&path);
        retuned.figures.reloaded(next.is_ok());
        match next {
            Ok((running, config, Checked { discovery: at, counter: counts, .. })) => {
                retuned.running = running;
                retuned.take(&config.settings);
                discovery.move_to(at);
                if let Store::Counter(counter) = &store {
                    counter.move_to(counts);
                }
            }
            Err(error) => eprintln!("pinerelay: the old configuration stays: {error}"),
        }
        let Some(file) = &file else { continue };
        let moved = Operator::read(file).and_then(|new| match (&store, &new.redis) {
            (Store::Redis(redis), Some(settings)) => {
                redis.move_to(redis::server(settings, file)?);
                Ok(())
            }
            (Store::Counter(_), None) => Ok(()),
            _ => {
                let why = "from the counter to Redis or back the node goes by a restart only".to_string();
                Err(FileError::Refused { path: file.clone(), key: "redis".into(), why })
            }
        });
        if let Err(error) = moved {
            eprintln!("pinerelay: the old store stays: {error}");
        }
    }
}

async fn either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
