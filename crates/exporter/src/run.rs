//! The running exporter: looks at all processes, and serves what it saw over HTTP.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pinerelay_node_runtime::internal_port;
use pinerelay_peer_link::message::{Hello, Role};
use pinerelay_peer_link::query::{query, ProcessReport, Query, QueryError};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::alerts::{Alerts, Change};
use crate::page::{self, Own};
use crate::rules::{Rule, Severity};
use crate::watch::{Micros, Place, Watch, EACH};

/// A process that has not answered by then counts as down.
const PATIENCE: Duration = Duration::from_millis(500);
/// No answer to a visit is longer, in bytes: a registry says more than was asked for, but no process so much.
const MOST: u64 = 4 << 20;
/// With rules, all processes are looked at so often.
const LOOK: Duration = Duration::from_micros(EACH);
/// Connections of those who read the figures, and how long one may last.
const READERS: usize = 32;
const READER: Duration = Duration::from_secs(10);
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Runs the exporter until it is told to stop.
pub fn run(
    listen: SocketAddr,
    seeds: Vec<Ipv4Addr>,
    port: u16,
    rules: Vec<Rule>,
) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(listen, seeds, port, rules))
}

/// The exporter.
pub struct Keeper {
    me: Hello,
    port: u16,
    begun: Instant,
    watch: RefCell<Watch>,
    alerts: RefCell<Alerts>,
    own: Cell<Own>,
    /// When the last look began; held while one is under way.
    looked: Mutex<Option<Instant>>,
}

async fn serve(
    listen: SocketAddr,
    seeds: Vec<Ipv4Addr>,
    port: u16,
    rules: Vec<Rule>,
) -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind(listen).await?;
    log::info!("serves figures at {listen}, by {} rules", rules.len());
    let ruled = !rules.is_empty();
    let keeper = Rc::new(Keeper::new(seeds, port, rules));
    tokio::task::spawn_local(accept(listener, keeper.clone()));
    if ruled {
        tokio::task::spawn_local(async move {
            loop {
                keeper.look().await;
                // Who read the figures may have looked since.
                let begun = keeper.looked.lock().await.unwrap_or_else(Instant::now);
                sleep_until(begun + LOOK).await;
            }
        });
    }
    signal(SignalKind::terminate())?.recv().await;
    log::info!("ends as planned");
    Ok(())
}

async fn accept(listener: TcpListener, keeper: Rc<Keeper>) {
    let readers = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if readers.get() >= READERS {
            continue;
        }
        readers.set(readers.get() + 1);
        let (keeper, readers) = (keeper.clone(), readers.clone());
        tokio::task::spawn_local(async move {
            // Who is slow or breaks off asks again.
            let _ = timeout(READER, read(stream, keeper)).await;
            readers.set(readers.get() - 1);
        });
    }
}

async fn read(stream: TcpStream, keeper: Rc<Keeper>) {
    let answer = service_fn(move |request| {
        let keeper = keeper.clone();
        async move { Ok::<_, Infallible>(keeper.answer(request).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
}

impl Keeper {
    /// One that asks these registries first; the internal ports begin with this one.
    pub fn new(seeds: Vec<Ipv4Addr>, port: u16, rules: Vec<Rule>) -> Keeper {
        let me = Hello {
            node: "keeper".into(),
            ip: String::new(),
            role: Role::Observer,
            process_id: u64::from(std::process::id()),
        };
        Keeper {
            me,
            port,
            begun: Instant::now(),
            watch: RefCell::new(Watch::new(seeds)),
            alerts: RefCell::new(Alerts::new(rules)),
            own: Cell::default(),
            looked: Mutex::new(None),
        }
    }

    fn address(&self, (role, ip): Place) -> SocketAddrV4 {
        let program = match role {
            Role::Registry | Role::Observer => internal_port::REGISTRY,
            Role::ConfigStore => internal_port::CONFIG_STORE,
            Role::Proxy => internal_port::PROXY,
        };
        SocketAddrV4::new(ip, self.port.saturating_add(program))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if request.method() != Method::GET || request.uri().path() != "/metrics" {
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        match self.scrape().await {
            Ok(text) => {
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(page::TYPE));
                *response.body_mut() = Full::new(text.into());
            }
            Err(error) => {
                log::error!("the figures can't be written: {error}");
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            }
        }
        response
    }

    /// The figures as text, looked at anew if the last look is old enough.
    pub async fn scrape(&self) -> Result<String, std::fmt::Error> {
        self.look().await;
        let age = self.looked.lock().await.map_or(0.0, |at| at.elapsed().as_secs_f64());
        page::write(&self.watch.borrow(), &self.alerts.borrow(), Own { age, ..self.own.get() })
    }

    /// Asks all processes that may be asked, at once; the rules see what came.
    pub async fn look(&self) {
        let mut looked = self.looked.lock().await;
        if looked.is_some_and(|at| at.elapsed() < LOOK) {
            return;
        }
        let begun = Instant::now();
        *looked = Some(begun);
        // One time for all of the look, so that the next comes no sooner than it may.
        let now = begun.duration_since(self.begun).as_micros() as Micros;
        loop {
            // What registries tell of now is asked in the same look.
            let due = self.watch.borrow_mut().due(now);
            if due.is_empty() {
                break;
            }
            self.ask(now, due).await;
        }
        self.watch.borrow_mut().settle(now);
        let changes = self.alerts.borrow_mut().look(now, &self.watch.borrow().seen());
        changes.iter().for_each(tell);
        let mut own = self.own.get();
        own.looks += 1;
        own.took = begun.elapsed().as_secs_f64();
        self.own.set(own);
    }

    async fn ask(&self, now: Micros, due: Vec<Place>) {
        let mut visits = JoinSet::new();
        for place in due {
            let (address, me) = (self.address(place), self.me.clone());
            let question = Query { role: place.0, with_servers: false, max_bytes: MOST };
            visits.spawn_local(async move {
                let patience = timeout(PATIENCE, query(address, &me, question)).await;
                (place, patience.unwrap_or(Err(QueryError::Unanswered)))
            });
        }
        while let Some(visited) = visits.join_next().await {
            let Ok((place, come)) = visited else { continue };
            self.come(now, place, come);
        }
    }

    fn come(&self, now: Micros, place: Place, come: Result<ProcessReport, QueryError>) {
        let mut own = self.own.get();
        own.asked += 1;
        match come {
            Ok(told) => {
                own.bytes += told.bytes;
                self.watch.borrow_mut().told(now, place, told);
            }
            Err(error) => {
                own.silent += 1;
                log::debug!("the {} at {} has not answered: {error}", place.0.name(), place.1);
                self.watch.borrow_mut().silent(place);
            }
        }
        self.own.set(own);
    }
}

fn tell(change: &Change) {
    let Change { name, group, page, who, .. } = change;
    let severity = match change.severity {
        Severity::Page => "page",
        Severity::Ticket => "ticket",
    };
    if change.raised {
        let who = who.join(", ");
        log::warn!("alert {name} of {group} is raised ({severity}): {who}; see alerts.md#{page}");
    } else {
        log::info!("alert {name} of {group} is cleared");
    }
}
