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
use crate::net::servers::Servers;
use crate::operator::Operator;

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
    let operator = operator.map(|file| Operator::read(&file)).transpose()?.unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(serve(config, path, operator))
}

async fn serve(config: Config, path: PathBuf, operator: Operator) -> Result<(), StartError> {
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
    let mut joined = None;
    let node = Node::new(controller, try_limit, clock.clone(), |core| {
        let servers = Servers::new(budget.clone(), connect_timeout, conn_idle, clock, core.clone());
        let counter = Counter::new(counter_at, wait, operator.counter.connections, core.clone());
        let members = Members::new(zones, kinds, servers.clone(), core);
        let discovery = Discovery::new(discovery, members);
        joined = Some((servers.clone(), counter.clone(), discovery.clone()));
        Peers { upstream: servers, store: counter, members: discovery }
    });
    // The closure above has run by now.
    let Some((servers, counter, discovery)) = joined else { return Ok(()) };
    let listener = listen(at, operator.front.backlog).map_err(|e| StartError::Listen(at, e))?;
    eprintln!("pinerelay: listening on {}", listener.local_addr().map_err(StartError::System)?);
    discovery.start(config.known);
    tokio::task::spawn_local(reload(hangup, path, discovery, counter.clone()));
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
    let over = || !node.waited_for() && budget.clients() == 0 && counter.settled();
    while !over() && Instant::now() < last {
        sleep(LAST_LOOKS).await;
    }
    node.fail_all();
    while !over() && Instant::now() < last + LAST_GRACE {
        sleep(LAST_LOOKS).await;
    }
    Ok(())
}

/// On each SIGHUP reads the configuration again and moves discovery and the counter to where it says, also
/// during a stop. Of a file that is no configuration the log says so, and all stays as it was.
async fn reload(mut hangup: Signal, path: PathBuf, discovery: Rc<Discovery>, counter: Rc<Counter>) {
    while hangup.recv().await.is_some() {
        let peers = NewPeers::read(&path);
        match peers {
            Ok(NewPeers { discovery: at, counter: counts }) => {
                discovery.move_to(at);
                counter.move_to(counts);
            }
            Err(error) => eprintln!("pinerelay: the old configuration stays: {error}"),
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
