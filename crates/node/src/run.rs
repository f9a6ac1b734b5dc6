//! The running node: its parts joined.

mod heirs;
mod retune;
mod stop;
mod store;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::Settings;
use pinerelay_protocol::classes::ClassTable;
use pinerelay_protocol::request::Rules;
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
use crate::net::redis;
use crate::net::room::Room;
use crate::net::seats::enough;
use crate::net::servers::Servers;
use crate::operator::Operator;

use heirs::{keep_to, remember, share, shared_file, sit};
use retune::{longest, reload, Retuned};
use stop::{stop, Parts};
use store::Store;

/// How long a node waits for its first list before it says that it is ready. It is due within 6 s.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// How often it looks whether it is.
const READY_LOOKS: Duration = Duration::from_millis(10);

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
    let parts = Parts { node, clients, accepting, ops, budget, store: store.port() };
    stop(parts, &operator.stop, patience.get(), handed_on).await;
    Ok(())
}

/// Says that this process takes clients once it knows the app servers and has descriptors to serve with, or has waited long
/// enough for them. Danger: the process before it is stopped upon this word, and the list that a node starts with may be old.
async fn readiness(ops: Rc<Ops>, ready: impl Fn() -> bool) {
    let begun = Instant::now();
    while !ready() && begun.elapsed() < LIST_WAIT {
        sleep(READY_LOOKS).await;
    }
    ops.ready(true);
}

async fn either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
