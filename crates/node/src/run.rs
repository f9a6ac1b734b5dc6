//! The running node: its parts joined, signals, and the planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::{Event, Settings};
use pinerelay_protocol::request::Rules;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use crate::config::{Checked, Config, NewPeers, StartError};
use crate::net::budget::Budget;
use crate::net::clients::Clients;
use crate::net::clock::Clock;
use crate::net::counter::Counter;
use crate::net::discovery::Discovery;
use crate::net::members::Members;
use crate::net::node::{Node, Peers};
use crate::net::ports::{Core, QuotaStore};
use crate::net::redis;
use crate::net::servers::Servers;
use crate::operator::Operator;
use crate::strict::FileError;
use pinerelay_store_redis::store::RedisStore;

/// Danger: SIGKILL may come as soon as the longest deadline (3 s at most) and 0.7 s after SIGTERM, and what it
/// finds unanswered is lost. What is open this long after SIGTERM has failed; a node stays no longer than the
/// rest, which is for answers still being written.
const PATIENCE_OVER: Duration = Duration::from_millis(300);
const LAST_GRACE: Duration = Duration::from_millis(200);
/// How often a node that stops looks whether all is answered.
const LAST_LOOKS: Duration = Duration::from_millis(10);

/// Runs a node until it has stopped; returns early if it can't start.
pub fn run(path: PathBuf, operator: Option<PathBuf>) -> Result<(), StartError> {
    let config = Config::read(&path)?;
    let file = operator;
    let operator = file.as_deref().map(Operator::read).transpose()?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(serve(config, path, operator, file))
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

async fn serve(
    config: Config,
    path: PathBuf,
    operator: Operator,
    file: Option<PathBuf>,
) -> Result<(), StartError> {
    let Checked { listen: at, discovery, counter, seed } = config.checked()?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::System)?;

    let allowed = rlimit::increase_nofile_limit(config.limits.sockets as u64).map_err(StartError::System)?;
    let budget = Budget::new(config.limits.sockets.min(allowed as usize), operator.front.client_share);
    let mut env = config.settings;
    let (zones, kinds) = (std::mem::take(&mut env.zones), std::mem::take(&mut env.kinds));
    let (connect_timeout, conn_idle) = (env.bounds.connect_timeout, env.bounds.conn_idle);
    let patience = Duration::from_micros(env.classes.iter().map(|c| c.deadline).max().unwrap_or(0));
    let rules = Rules::new(&env);
    let settings = Settings::from(env);

    let clock = Rc::new(Clock::new());
    let counter_at = counter.filter(|_| settings.counter.allowed);
    let (wait, try_limit) = (settings.counter.wait, settings.limits.try_limit);
    let controller = Controller::new(seed, settings);
    let redis_at = match (&operator.redis, &file) {
        (Some(settings), Some(file)) => Some(redis::server(settings, file)?),
        _ => None,
    };
    let mut joined = None;
    let node = Node::new(controller, try_limit, clock.clone(), |core| {
        let servers = Servers::new(budget.clone(), connect_timeout, conn_idle, clock, core.clone());
        let store = match redis_at {
            Some(server) => Store::Redis(redis::store(server, wait, core.clone())),
            None => {
                Store::Counter(Counter::new(counter_at, wait, operator.counter.connections, core.clone()))
            }
        };
        let members = Members::new(zones, kinds, servers.clone(), core);
        let discovery = Discovery::new(discovery, members);
        joined = Some((servers.clone(), store.clone(), discovery.clone()));
        Peers { upstream: servers, store: store.port(), members: discovery }
    });
    // The closure above has run by now.
    let Some((servers, store, discovery)) = joined else { return Ok(()) };
    let listener = listen(at, operator.front.backlog).map_err(|e| StartError::Listen(at, e))?;
    eprintln!("pinerelay: listening on {}", listener.local_addr().map_err(StartError::System)?);
    discovery.start(config.known);
    tokio::task::spawn_local(reload(hangup, path, file, discovery, store.clone()));
    let clients = Clients::new(node.clone(), servers, rules, budget.clone(), &operator.front);
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));

    either(&mut terminate, &mut interrupt).await;
    let last = Instant::now() + patience.min(operator.stop.patience.0) + PATIENCE_OVER;
    node.stop();
    sleep(operator.stop.idle_after.0).await;
    clients.close_idle();
    sleep(operator.stop.deaf_after.0).await;
    accepting.abort();
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

/// On each SIGHUP reads the configuration again and moves discovery and the counter, or Redis, to where it and the
/// operator's file say, also during a stop. Of a file that can't be used the log says so, and all stays as it was.
async fn reload(
    mut hangup: Signal,
    path: PathBuf,
    file: Option<PathBuf>,
    discovery: Rc<Discovery>,
    store: Store,
) {
    while hangup.recv().await.is_some() {
        match NewPeers::read(&path) {
            Ok(NewPeers { discovery: at, counter: counts }) => {
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

fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
