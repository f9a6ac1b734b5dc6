//! The running proxy: what it hears, its clients and its servers joined, and its life from start to end.

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
use pinerelay_cells::hash;
use pinerelay_nectar::budget;
use pinerelay_nectar::purse::Admission;
use pinerelay_nectar::terms::Quota;
use pinerelay_propolis::link::{Event, Links, Peer, Wanted};
use pinerelay_propolis::ports;
use pinerelay_propolis::settings::Settings;
use pinerelay_propolis::speech::{Hello, Role, Speech};
use pinerelay_propolis::watch;
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

use crate::hearing::{Hearing, Output};
use crate::hosts::Hosts;
use crate::inlet::{Admits, Inlet};
use crate::services::Services;

/// How often time passes for what is heard: while a request waits for a unit, and else.
const BUSY: Duration = Duration::from_millis(25);
const IDLE: Duration = Duration::from_millis(75);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// The part of the descriptors that clients may hold.
const CLIENTS: f64 = 0.6;
/// Descriptors for links, the listener of readiness and its callers, and files.
const KEPT: usize = 240;
/// After SIGTERM clients may still be sent here: who asks for readiness does so each second, and wants two misses.
const STILL_SENT: Duration = Duration::from_millis(2_700);
/// The process ends so long before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(400);

/// The proxy's parts.
struct Forager {
    hearing: RefCell<Hearing>,
    links: Rc<Links>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    hosts: Rc<Hosts>,
    inlet: RefCell<Weak<Inlet>>,
    zone: String,
    ready: Cell<bool>,
    ending: Cell<bool>,
}

/// Runs a proxy until it is told to stop.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let public = Settings::listens(&path, "public_http", settings.listen.public_http)?;
    let readiness = Settings::listens(&path, "readiness", settings.listen.readiness)?;
    let allowed = rlimit::increase_nofile_limit(settings.limits.file_limit as u64)?;
    let descriptors = settings.limits.file_limit.min(allowed as usize);
    let clock = Rc::new(Clock::new());
    let life = hash::of(&[settings.node.as_bytes(), &clock.now().to_le_bytes()]);
    let hello = Hello { node: settings.node.clone(), ip: settings.ip.to_string(), role: Role::Forager, life };
    let common = Common {
        budget: Budget::new(descriptors, KEPT.min(descriptors / 4), CLIENTS),
        room: Room::of(settings.limits.memory_mb),
        vigil: Vigil::new(),
    };
    let bounds = &settings.bounds;
    let tries = budget::Bounds {
        window: bounds.retry_window.0,
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
    };
    let hosts = Hosts::new(common.clone(), budget::Budget::new(tries));
    let services = Services::new(clock.clone(), hosts.clone(), &settings.zone, life);
    let (links, mut events) = Links::new();
    let seeds = |settings: &Settings| settings.seeds().iter().map(Ipv4Addr::to_string).collect::<Vec<_>>();
    let forager = Rc::new(Forager {
        hearing: RefCell::new(Hearing::new(clock.now(), hello, seeds(&settings))),
        links: links.clone(),
        clock: clock.clone(),
        services: services.clone(),
        hosts: hosts.clone(),
        inlet: RefCell::new(Weak::new()),
        zone: settings.zone.clone(),
        ready: Cell::new(false),
        ending: Cell::new(false),
    });
    let admits: Weak<dyn Admits> = Rc::downgrade(&(forager.clone() as Rc<dyn Admits>));
    let inlet = Inlet::new(clock, services, hosts, common.room.clone(), admits, life);
    forager.inlet.replace(Rc::downgrade(&inlet));
    let asked = Common { budget: Budget::new(24 + 64, 0, 0.9), ..common.clone() };
    let asked = Front::new(forager.clone(), asked);
    let open = Rc::new(Gate::default());
    tokio::task::spawn_local(asked.accept(listen(readiness.into(), 64)?, open.clone(), false));
    open.open();
    links.listen(ports::at(&settings, settings.ip, ports::FORAGER))?;
    let front = Front::new(inlet.clone(), common);
    let gate = Rc::new(Gate::default());
    tokio::task::spawn_local(front.clone().accept(listen(public.into(), BACKLOG)?, gate.clone(), false));
    gate.open();
    log::info!("takes clients at {public}");
    let reseeded = forager.clone();
    tokio::task::spawn_local(watch::settings(path, move |settings| {
        log::info!("the settings file has changed");
        reseeded.hearing.borrow_mut().reseed(seeds(&settings));
    }));
    let mut terminate = signal(SignalKind::terminate())?;
    let mut wanted: BTreeMap<String, Wanted> = BTreeMap::new();
    let mut tick_at = Instant::now();
    // When the listener closes, and when the process ends at the latest.
    let mut stop: Option<(Instant, Instant)> = None;
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv(), if stop.is_none() => {
                log::info!("ends as planned");
                forager.ending.set(true);
                inlet.end();
                let now = Instant::now();
                let grace = settings.bounds.grace_period.0.saturating_sub(BEFORE_KILL);
                stop = Some((now + STILL_SENT.min(grace / 2), now + grace));
            }
            Some(event) = events.recv() => forager.event(event),
            () = sleep_until(tick_at) => {
                let waits = forager.with(|hearing, now, out| {
                    hearing.tick(now, out);
                    hearing.purse.waiting() > 0
                });
                tick_at = Instant::now() + if waits { BUSY } else { IDLE };
                forager.look();
                let named = forager.hearing.borrow().wanted();
                wanted.retain(|ip, _| named.contains(ip));
                for ip in named {
                    let Ok(machine) = ip.parse() else { continue };
                    let address = ports::at(&settings, machine, ports::SCOUT);
                    wanted.entry(ip).or_insert_with(|| links.want(address));
                }
                if let Some((deaf, end)) = stop {
                    let now = Instant::now();
                    if now >= deaf && gate.heeded() {
                        gate.shut();
                        front.close_idle();
                    }
                    if now >= end || now > deaf && front.connections() == 0 {
                        break;
                    }
                }
            }
        }
    }
    forager.services.nodes().iter().for_each(|node| node.fail_all());
    forager.links.say_all(wanted_peers(&forager), &Speech::Bye);
    // For the last bytes of answers and of the farewell.
    sleep(Duration::from_millis(30)).await;
    Ok(())
}

fn wanted_peers(forager: &Forager) -> Vec<Peer> {
    forager.hearing.borrow().peers()
}

impl Forager {
    fn event(&self, event: Event) {
        if let Event::Said(peer, Speech::Ask) = &event {
            return self.links.say(*peer, &Speech::Figures(self.figures()));
        }
        self.with(|hearing, now, out| match event {
            Event::Up(peer, _) => hearing.up(peer, out),
            Event::Said(peer, speech) => hearing.said(now, peer, speech, out),
            Event::Down(peer) => hearing.down(peer),
        });
    }

    fn with<R>(&self, act: impl FnOnce(&mut Hearing, u64, &mut Vec<Output>) -> R) -> R {
        let mut out = Vec::new();
        let result = act(&mut self.hearing.borrow_mut(), self.clock.now(), &mut out);
        let inlet = self.inlet.borrow().upgrade();
        for output in out {
            match output {
                Output::Say(peer, speech) => self.links.say(peer, &speech),
                Output::Cut(peer) => self.links.cut(peer),
                Output::Configured(table) => inlet.iter().for_each(|inlet| inlet.configure(table.clone())),
                Output::Server(id, server) => self.services.server(&id, server.as_ref()),
                Output::Admitted(id, admission) => {
                    inlet.iter().for_each(|inlet| inlet.admitted(id, admission));
                }
                Output::Placed(me, nodes) => {
                    self.hosts.nodes.set(nodes.max(1) as usize);
                    self.services.placed(me, nodes);
                }
            }
        }
        result
    }

    /// Looks whether it is ready: it has a whole configuration, and servers.
    fn look(&self) {
        let ready = !self.ending.get()
            && self.hearing.borrow().whole()
            && self.services.servers() > 0
            && self
                .inlet
                .borrow()
                .upgrade()
                .is_some_and(|inlet| inlet.table.load().as_ref().is_some_and(|table| !table.is_empty()));
        if self.ready.replace(ready) != ready {
            log::info!("is {}", if ready { "ready" } else { "not ready" });
        }
    }

    fn figures(&self) -> Vec<(String, f64)> {
        let (opened, sent, spoilt) = self.hosts.figures();
        let hearing = self.hearing.borrow();
        let [refused, stranded] = hearing.purse.refused();
        let tries = self.hosts.tries.borrow();
        let [further, denied] = tries.counts();
        let behind = hearing.behind(self.clock.now());
        let mut all = vec![
            (format!("forager_info{{zone=\"{}\"}}", self.zone), 1.0),
            ("forager_connections".to_string(), self.hosts.clients() as f64),
            ("forager_news_age_seconds".to_string(), behind as f64 / 1e6),
            ("forager_quota_refused_total".to_string(), refused as f64),
            ("forager_quota_stranded_total".to_string(), stranded as f64),
            ("forager_further_tries_total".to_string(), further as f64),
            ("forager_further_denied_total".to_string(), denied as f64),
            ("forager_further_used_ratio".to_string(), tries.used(self.clock.now(), self.hosts.nodes.get())),
            ("forager_ready".to_string(), f64::from(u8::from(self.ready.get()))),
            ("forager_configuration_unconfirmed".to_string(), f64::from(u8::from(hearing.unconfirmed()))),
            ("forager_servers".to_string(), self.services.servers() as f64),
            ("forager_registries".to_string(), hearing.linked() as f64),
            ("forager_waiting".to_string(), hearing.purse.waiting() as f64),
            ("forager_connections_opened_total".to_string(), opened as f64),
            ("forager_sent_total".to_string(), sent as f64),
            ("forager_spoilt_total".to_string(), spoilt as f64),
        ];
        all.extend(self.links.told("forager"));
        if let Some(inlet) = self.inlet.borrow().upgrade() {
            let statuses = inlet.figures.statuses.borrow();
            all.extend(
                statuses.iter().map(|(s, n)| (format!("forager_answers_total{{status=\"{s}\"}}"), *n as f64)),
            );
            let reasons = inlet.figures.unserved.borrow();
            let reasons = reasons.iter();
            all.extend(
                reasons.map(|(r, n)| (format!("forager_unserved_total{{reason=\"{r}\"}}"), *n as f64)),
            );
            let breaches = inlet.figures.breaches.borrow();
            let breaches = breaches.iter();
            all.extend(
                breaches
                    .map(|(b, n)| (format!("forager_forward_breaches_total{{check=\"{b}\"}}"), *n as f64)),
            );
            let [with, without] = inlet.figures.deferred.get();
            all.push(("forager_deferred_total".into(), with as f64));
            all.push(("forager_beyond_total".into(), without as f64));
        }
        all
    }
}

impl Admits for Forager {
    fn arrive(&self, tenant: &str, quota: Quota, id: u64) -> Admission {
        self.with(|hearing, now, out| {
            let admission = hearing.purse.arrive(now, tenant, quota, id);
            hearing.ask(now, out);
            admission
        })
    }

    fn gone(&self, tenant: &str, id: u64) {
        self.hearing.borrow_mut().purse.gone(tenant, id);
    }
}

type Reply = MapErr<Full<Bytes>, fn(Infallible) -> io::Error>;

/// Who asks whether the node is ready is answered here.
impl Handler for Forager {
    type Reply = Reply;

    async fn answer(&self, request: Request<Incoming>, _: &Wire) -> Response<Reply> {
        let status = match (request.method(), request.uri().path(), self.ready.get()) {
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
        Duration::from_secs(2)
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(Duration::from_secs(10))
    }
}
