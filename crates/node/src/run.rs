//! Assembles and runs a node.

mod life;
mod retune;
mod store;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::SystemTime;

use mountbend::control::Controller;
use mountbend::interface::Settings;
use pinerelay_protocol::classes::ClassTable;
use pinerelay_protocol::request::Rules;
use pinerelay_succession::claims;
use tokio::net::TcpListener;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

use crate::config::{Checked, Config, RunningConfig, StartError};
use crate::net::body_memory::BodyMemoryPool;
use crate::net::budget::Budget;
use crate::net::clients::listen::{inherited, listen, Gate};
use crate::net::clients::Clients;
use crate::net::clock::Clock;
use crate::net::counts::counter::Counter;
use crate::net::counts::redis;
use crate::net::node::{Node, Peers};
use crate::net::operators::figures::Metrics;
use crate::net::operators::{Ops, MAX_CALLERS};
use crate::net::servers::backoff::Backoff;
use crate::net::servers::discovery::Discovery;
use crate::net::servers::members::Members;
use crate::net::servers::Servers;
use crate::net::succession::learned;
use crate::net::succession::records::SyncResult;
use crate::net::succession::shared::Shared;
use crate::net::watchdog::Watchdog;
use crate::net::Common;
use crate::operator::Operator;
use pinerelay_traffic::acceptor::Acceptor;
use pinerelay_traffic::http::OnWritten;

use life::{run_lifecycle, Parts, Times};
use retune::{longest_deadline, reload, Reloadable};
use store::Store;

/// Runs a node until it has stopped; returns early if it can't start.
pub fn run(path: PathBuf, operator: Option<PathBuf>) -> Result<(), StartError> {
    let inherited_listener = inherited()?;
    let config = RunningConfig::start(&path)?;
    let file = operator;
    let operator = file.as_deref().map(Operator::read).transpose()?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(serve(config, path, operator, file, inherited_listener))
}

#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
async fn serve(
    config: (RunningConfig, Config),
    path: PathBuf,
    operator: Operator,
    file: Option<PathBuf>,
    inherited_listener: Option<std::net::TcpListener>,
) -> Result<(), StartError> {
    let (running, config) = config;
    let Checked { listen: at, ops: ops_at, discovery, counter, seed } = config.checked()?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    let terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let interrupt = signal(SignalKind::interrupt()).map_err(StartError::System)?;
    let ops_at = match std::env::var("PROXY_OPS") {
        Ok(text) => Some(text.parse().map_err(|_| StartError::Address("PROXY_OPS", text))?),
        Err(_) => ops_at,
    };

    let allowed = rlimit::increase_nofile_limit(config.limits.sockets as u64).map_err(StartError::System)?;
    let operator_descriptors = if ops_at.is_some() { MAX_CALLERS + 1 } else { 0 };
    let sockets = config.limits.sockets.min(allowed as usize);
    let handed_on = inherited_listener.is_some();
    // A process with a listening socket of its own runs alone.
    let claimable = if handed_on { claims::shared(sockets) } else { sockets };
    let budget = Budget::new(claimable, operator_descriptors, operator.front.client_share);
    let body_pool = BodyMemoryPool::for_process(config.limits.memory_mb);
    let mut env = config.settings;
    let (zones, kinds) = (std::mem::take(&mut env.zones), std::mem::take(&mut env.kinds));
    let (connect_timeout, conn_idle) = (env.bounds.connect_timeout, env.bounds.conn_idle);
    let max_deadline = Rc::new(Cell::new(longest_deadline(&env)));
    let mut classes = ClassTable::default();
    let rules = Rules::new(&env, &classes.assign_numbers(&env.classes));
    let metrics = Rc::new(Metrics::default());
    env.classes.iter().for_each(|class| metrics.register_class(&class.name));
    let settings = Settings::from(env);

    let clock = Rc::new(Clock::new());
    let counter_at = counter.filter(|_| settings.counter.allowed);
    let (wait, try_limit) = (settings.counter.wait, settings.limits.try_limit);
    let backoff = settings.list_on_request.then(|| Backoff::new(seed));
    let mut controller = Controller::new(seed, settings);
    let (shared, first_sync) = shared(at, claimable, handed_on || ops_at.is_some());
    let shared = Rc::new(shared);
    // Only a process with an inherited socket takes over from another while both run.
    let handed_over = shared.learned().cloned().filter(|_| handed_on);
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis();
    if let Some(memory) =
        handed_over.and_then(|handed_over| learned::import(handed_over, &classes.names(), now as u64))
    {
        controller.restore(clock.now(), &memory);
    }
    let redis_at = match (&operator.redis, &file) {
        (Some(settings), Some(file)) => Some(redis::server(settings, file)?),
        _ => None,
    };
    let common = Common { budget: budget.clone(), body_memory: body_pool, watchdog: Watchdog::new() };
    let mut joined = None;
    let node = Node::new(controller, try_limit, clock.clone(), |core| {
        let sent = metrics.clone();
        let on_written: OnWritten = Some(Rc::new(move || sent.sent()));
        let servers =
            Servers::new(common.clone(), connect_timeout, conn_idle, on_written, clock, core.clone());
        let store = match redis_at {
            Some(server) => Store::Redis(redis::store(server, wait, core.clone())),
            None => {
                Store::Counter(Counter::new(counter_at, wait, operator.counter.connections, core.clone()))
            }
        };
        let members = Members::new(zones, kinds, shared.clone(), servers.clone(), core);
        let discovery = Discovery::new(discovery, members.clone(), backoff);
        joined = Some((servers.clone(), store.clone(), members, discovery.clone()));
        Peers { upstream: servers, store: store.port(), members: discovery }
    });
    // The closure above has run by now.
    let Some((servers, store, members, discovery)) = joined else { return Ok(()) };
    // Danger: an inherited socket stays open for the next process; its own socket is closed when this process ends.
    let listener = match inherited_listener {
        Some(listener) => TcpListener::from_std(listener).map_err(StartError::System)?,
        None => listen(at, operator.front.backlog).map_err(|e| StartError::Listen(at, e))?,
    };
    eprintln!("pinerelay: listening on {}", listener.local_addr().map_err(StartError::System)?);
    discovery.start(config.known);
    let ops = Ops::new(metrics.clone(), members.clone(), shared.clone());
    if let Some(at) = ops_at {
        let listener = Ops::listen(at).map_err(|e| StartError::Listen(at, e))?;
        eprintln!("pinerelay: operators call at {}", listener.local_addr().map_err(StartError::System)?);
        tokio::task::spawn_local(ops.clone().serve(listener));
    }
    let clients =
        Clients::new(node.clone(), servers.clone(), rules, metrics.clone(), common.clone(), &operator.front);
    let names = Rc::new(RefCell::new(classes.names()));
    let reloadable = Reloadable {
        running,
        classes,
        names: names.clone(),
        max_deadline: max_deadline.clone(),
        node: node.clone(),
        clients: clients.clone(),
        metrics,
    };
    tokio::task::spawn_local(reload(hangup, path, file, discovery.clone(), store.clone(), reloadable));
    let gate = Rc::new(Gate::default());
    let acceptor = Acceptor::new(clients, common.clone());
    tokio::task::spawn_local(acceptor.clone().accept(listener, gate.clone(), handed_on));
    let store = store.port();
    let parts = Parts {
        node,
        acceptor,
        gate,
        ops,
        budget,
        servers,
        members,
        discovery,
        store,
        shared,
        names,
        watchdog: common.watchdog,
    };
    let longest = || max_deadline.get();
    let times = Times { planned: &operator.stop, longest: &longest, limit: claimable, handed_on };
    run_lifecycle(parts, times, first_sync, terminate, interrupt).await;
    Ok(())
}

/// Joins the processes that share this address if there can be any, that is if it takes operators' calls or its socket is
/// handed on. If joining fails, the process keeps to its limits as if it were alone.
fn shared(listen: SocketAddr, limit: usize, wanted: bool) -> (Shared, SyncResult) {
    let alone = || (Shared::alone(), Shared::sync_alone(limit));
    let folder = std::env::var_os("TMPDIR").filter(|_| wanted);
    let Some(folder) = folder else { return alone() };
    Shared::join(Path::new(&folder), listen, limit).unwrap_or_else(|error| {
        eprintln!("pinerelay: succession: nothing is shared with a next process: {error}");
        alone()
    })
}
