//! The running registry: its state machine, its links, and the calls from outside.

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
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use pinerelay_cells::hash;
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::link::{Event, Links, Wanted};
use pinerelay_propolis::ports;
use pinerelay_propolis::settings::Settings;
use pinerelay_propolis::speech::{Answered, Hello, Role, Speech};
use pinerelay_propolis::watch;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::front::{last, Front, Handler};
use pinerelay_traffic::listen::{listen, Gate};
use pinerelay_traffic::room::Room;
use pinerelay_traffic::vigil::Vigil;
use pinerelay_traffic::wire::Wire;
use pinerelay_traffic::Common;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until, Instant};

use crate::bodies::{Bodies, Untaken};
use crate::dispatch::{self, Call};
use crate::registry::{error, Birth, Output, Registry};

/// How often time passes for the state machine.
const TICK: Duration = Duration::from_millis(100);
/// How long a head may take.
const HEAD_WAIT: Duration = Duration::from_secs(3);
/// How long a caller's connection may stand idle.
const IDLE_WAIT: Duration = Duration::from_secs(30);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// At a planned end calls under way have so long.
const LAST: Duration = Duration::from_millis(800);

/// The registry with what it is joined to.
struct Scout {
    registry: RefCell<Registry>,
    links: Rc<Links>,
    bodies: Rc<Bodies>,
    zone: String,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Answered>>>,
    last_call: Cell<u64>,
    begun: Instant,
    ending: Cell<bool>,
    me: Weak<Scout>,
}

/// Runs a registry until it is told to stop.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let control = Settings::listens(&path, "control", settings.listen.control)?;
    let allowed = rlimit::increase_nofile_limit(settings.limits.file_limit as u64)?;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = hash::of(&[settings.node.as_bytes(), &now.as_nanos().to_le_bytes()]);
    let me = settings.ip.to_string();
    let bounds = &settings.bounds;
    let birth = Birth {
        hello: Hello { node: settings.node.clone(), ip: me.clone(), role: Role::Scout, life },
        first: settings.first_start,
        wall: now.as_secs(),
        heartbeat: settings.heartbeat.micros(),
        bounds: Bounds {
            period: bounds.quota_period.0,
            overrun: bounds.quota_overrun,
            margin: bounds.quota_margin,
        },
        seeds: settings.seeds().iter().map(Ipv4Addr::to_string).collect(),
    };
    let (links, mut events) = Links::new();
    links.listen(ports::at(&settings, settings.ip, ports::SCOUT))?;
    let scout = Rc::new_cyclic(|me| Scout {
        registry: RefCell::new(Registry::new(0, birth)),
        links: links.clone(),
        bodies: Bodies::of(settings.limits.memory_mb),
        zone: settings.zone.clone(),
        calls: RefCell::default(),
        last_call: Cell::new(0),
        begun: Instant::now(),
        ending: Cell::new(false),
        me: me.clone(),
    });
    // The links hold some descriptors, and files a few.
    let descriptors = settings.limits.file_limit.min(allowed as usize);
    let common = Common {
        budget: Budget::new(descriptors, descriptors / 3, 0.9),
        room: Room::of(settings.limits.memory_mb),
        vigil: Vigil::new(),
    };
    let front = Front::new(scout.clone(), common);
    let gate = Rc::new(Gate::default());
    tokio::task::spawn_local(front.clone().accept(listen(control.into(), BACKLOG)?, gate.clone(), false));
    gate.open();
    log::info!("takes calls at {control}");
    tokio::task::spawn_local(watch::settings(path, |_| log::info!("the settings file has changed")));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut wanted: BTreeMap<(String, Role), Wanted> = BTreeMap::new();
    let mut tick_at = Instant::now();
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            Some(event) = events.recv() => scout.event(event),
            () = sleep_until(tick_at) => {
                tick_at = Instant::now() + TICK;
                scout.with(|registry, now, out| registry.tick(now, out));
                let reach = scout.registry.borrow().wanted();
                wanted.retain(|link, _| reach.contains(link));
                for link in reach {
                    let Ok(machine) = link.0.parse() else { continue };
                    let port = if link.1 == Role::Comb { ports::COMB } else { ports::SCOUT };
                    let address = ports::at(&settings, machine, port);
                    wanted.entry(link).or_insert_with(|| links.want(address));
                }
            }
        }
    }
    log::info!("ends as planned");
    scout.ending.set(true);
    scout.with(|registry, now, out| registry.leave_all(now, out));
    gate.shut();
    front.close_idle();
    let by = Instant::now() + LAST;
    while Instant::now() < by && (!scout.calls.borrow().is_empty() || front.connections() > 0) {
        tokio::select! {
            Some(event) = events.recv() => scout.event(event),
            () = sleep(Duration::from_millis(20)) => {}
        }
    }
    Ok(())
}

impl Scout {
    fn event(&self, event: Event) {
        self.with(|registry, now, out| match event {
            Event::Up(peer, _) => registry.up(peer, out),
            Event::Said(peer, speech) => registry.said(now, peer, speech, out),
            Event::Down(peer) => registry.down(now, peer, out),
        });
    }

    fn with(&self, act: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(&mut self.registry.borrow_mut(), self.begun.elapsed().as_micros() as u64, &mut out);
        for output in out {
            match output {
                Output::Say(peer, Speech::Figures(mut figures)) => {
                    figures.push((format!("scout_info{{zone=\"{}\"}}", self.zone), 1.0));
                    figures.push(("scout_calls_open".into(), self.calls.borrow().len() as f64));
                    figures.extend(self.links.told("scout"));
                    self.links.say(peer, &Speech::Figures(figures));
                }
                Output::Say(peer, speech) => self.links.say(peer, &speech),
                Output::SayAll(peers, speech) => self.links.say_all(peers, &speech),
                Output::Cut(peer) => self.links.cut(peer),
                Output::Answer(call, answered) => {
                    if let Some(caller) = self.calls.borrow_mut().remove(&call) {
                        // One that has gone is not waiting.
                        let _ = caller.send(answered);
                    }
                }
            }
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Answered {
        if self.ending.get() {
            return error(503, "the registry ends");
        }
        let (head, body) = request.into_parts();
        // Danger: what it holds is free once the call is answered, and no sooner.
        let (body, _held) = match self.bodies.take(body).await {
            Ok(taken) => taken,
            Err(Untaken::Long) => return error(413, "the body is over 8 MiB"),
            Err(Untaken::Full) => return error(503, "other calls hold too much"),
            Err(Untaken::Late) => return error(408, "the body has not come in time"),
            Err(Untaken::Unread(_)) => return error(400, "the body is not whole"),
        };
        match dispatch::read(head.method.as_str(), head.uri.path(), head.uri.query(), &body) {
            Ok(call) => self.call(call).await,
            Err((status, why)) => error(status, &why),
        }
    }

    async fn call(&self, call: Call) -> Answered {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let (answer, answered) = oneshot::channel();
        self.calls.borrow_mut().insert(number, answer);
        self.with(|registry, now, out| registry.call(now, number, call, out));
        let _open = Open { scout: self.me.clone(), number };
        answered.await.unwrap_or_else(|_| error(503, "the registry ends"))
    }
}

/// A call whose caller waits; dropped, he does not any more.
struct Open {
    scout: Weak<Scout>,
    number: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(scout) = self.scout.upgrade() {
            scout.calls.borrow_mut().remove(&self.number);
        }
    }
}

type Reply = MapErr<Full<Bytes>, fn(Infallible) -> io::Error>;

impl Handler for Scout {
    type Reply = Reply;

    async fn answer(&self, request: Request<Incoming>, _: &Wire) -> Response<Reply> {
        let Answered { status, body } = self.serve(request).await;
        let never: fn(Infallible) -> io::Error = |never| match never {};
        let mut response = Response::new(Full::new(Bytes::from(body)).map_err(never));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.ending.get() || matches!(status, 400 | 408 | 413) {
            last(&mut response);
        }
        response
    }

    fn close_an_idle(&self) -> bool {
        false
    }

    fn head_wait(&self) -> Duration {
        HEAD_WAIT
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(IDLE_WAIT)
    }
}
