//! pinerelay: one edge node. Configuration, runtime, signals and the planned stop.
#![forbid(unsafe_code)]

mod net;

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::{Event, Settings};
use mountbend::wire::Env;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, Instant};

use net::budget::Budget;
use net::clients::{Clients, Rules};
use net::counter::Counter;
use net::discovery::{Discovery, List};
use net::node::Node;
use net::servers::Servers;

/// After SIGTERM new connections go on coming for 0.4 s: idle ones are closed after the first span, while
/// what crosses that can still connect anew, and the listener closes after the second.
const IDLE_AFTER: Duration = Duration::from_millis(450);
const DEAF_AFTER: Duration = Duration::from_millis(450);
/// Danger: SIGKILL may come as soon as the longest deadline (3 s at most) and 0.7 s after SIGTERM, and what it
/// finds unanswered is lost. What is open this long after SIGTERM has failed; a node stays no longer than the
/// rest, which is for answers still being written.
const PATIENCE_MOST: Duration = Duration::from_secs(3);
const PATIENCE_OVER: Duration = Duration::from_millis(300);
const LAST_GRACE: Duration = Duration::from_millis(200);
/// How often a node that stops looks whether all is answered.
const LAST_LOOKS: Duration = Duration::from_millis(10);
const BACKLOG: u32 = 1024;

#[derive(Deserialize)]
struct Config {
    listen: String,
    discovery: String,
    #[serde(default)]
    counter: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: List,
    settings: Env,
}

/// What a new configuration may change while the node runs; the rest of it waits for the next start.
#[derive(Deserialize)]
struct Peers {
    discovery: String,
    #[serde(default)]
    counter: Option<String>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// Why the node could not start.
enum StartError {
    NoConfig,
    Unreadable(String, std::io::Error),
    Malformed(serde_json::Error),
    Address(&'static str, String),
    Seed(String),
    Listen(SocketAddr, std::io::Error),
    System(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoConfig => f.write_str("PROXY_CONFIG names no configuration"),
            StartError::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            StartError::Malformed(error) => write!(f, "the configuration is malformed: {error}"),
            StartError::Address(what, text) => write!(f, "{what}: {text:?} is no address"),
            StartError::Seed(text) => write!(f, "seed: {text:?} is no hexadecimal number of 64 bits"),
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::System(error) => write!(f, "cannot start: {error}"),
        }
    }
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinerelay: {error}");
            ExitCode::FAILURE
        }
    }
}

fn address(what: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address(what, text.into()))
}

fn start() -> Result<(), StartError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| StartError::NoConfig)?;
    let config: Config = read(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(StartError::System)?;
    runtime.block_on(serve(config, path))
}

fn read<T: DeserializeOwned>(path: &str) -> Result<T, StartError> {
    let text = std::fs::read(path).map_err(|e| StartError::Unreadable(path.into(), e))?;
    serde_json::from_slice(&text).map_err(StartError::Malformed)
}

async fn serve(config: Config, path: String) -> Result<(), StartError> {
    let at = address("listen", &config.listen)?;
    let discovery = address("discovery", &config.discovery)?;
    let counter = config.counter.as_deref().map(|text| address("counter", text)).transpose()?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Seed(config.seed.clone()))?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::System)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::System)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::System)?;

    let allowed = rlimit::increase_nofile_limit(config.limits.sockets as u64).map_err(StartError::System)?;
    let budget = Budget::new(config.limits.sockets.min(allowed as usize));
    let mut env = config.settings;
    let (zones, kinds) = (std::mem::take(&mut env.zones), std::mem::take(&mut env.kinds));
    let (connect_timeout, conn_idle) = (env.bounds.connect_timeout, env.bounds.conn_idle);
    let patience = Duration::from_micros(env.classes.iter().map(|c| c.deadline).max().unwrap_or(0));
    let rules = Rules::new(&env);
    let settings = Settings::from(env);

    let servers = Servers::new(budget.clone(), connect_timeout, conn_idle);
    let counter = Counter::new(counter.filter(|_| settings.counter.allowed), settings.counter.wait);
    let discovery = Discovery::new(discovery, zones, kinds);
    let try_limit = settings.limits.try_limit;
    let controller = Controller::new(seed, settings);
    let node = Node::new(controller, try_limit, servers, counter.clone(), discovery.clone());
    let listener = listen(at).map_err(|e| StartError::Listen(at, e))?;
    eprintln!("pinerelay: listening on {}", listener.local_addr().map_err(StartError::System)?);
    discovery.start(&node, config.known);
    counter.start(&node);
    tokio::task::spawn_local(reload(hangup, path, node.clone(), discovery, counter.clone()));
    let clients = Clients::new(node.clone(), rules, budget.clone());
    let accepting = tokio::task::spawn_local(clients.clone().accept(listener));

    either(&mut terminate, &mut interrupt).await;
    let last = Instant::now() + patience.min(PATIENCE_MOST) + PATIENCE_OVER;
    node.stop();
    sleep(IDLE_AFTER).await;
    clients.close_idle();
    sleep(DEAF_AFTER).await;
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
async fn reload(
    mut hangup: Signal,
    path: String,
    node: Rc<Node>,
    discovery: Rc<Discovery>,
    counter: Rc<Counter>,
) {
    while hangup.recv().await.is_some() {
        let peers = read::<Peers>(&path).and_then(|peers| {
            let at = address("discovery", &peers.discovery)?;
            Ok((at, peers.counter.as_deref().map(|text| address("counter", text)).transpose()?))
        });
        match peers {
            Ok((at, counts)) => {
                discovery.move_to(&node, at);
                counter.move_to(&node, counts);
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

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
