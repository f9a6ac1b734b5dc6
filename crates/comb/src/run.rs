//! The running store: its state machine, its links and its disk joined.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_cells::hash;
use pinerelay_dance::store::Birth;
use pinerelay_propolis::link::{Event, Links, Wanted};
use pinerelay_propolis::ports;
use pinerelay_propolis::settings::Settings;
use pinerelay_propolis::speech::{Hello, Role, Speech};
use pinerelay_propolis::watch;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep_until, Instant};

use crate::desk::{Desk, Output};
use crate::disk::Disk;

/// How often time passes for the state machine: while a call is under way, and else.
const BUSY: Duration = Duration::from_millis(25);
const IDLE: Duration = Duration::from_millis(150);
/// At a planned end calls under way have so long.
const LAST: Duration = Duration::from_millis(600);

/// The store with what it is joined to.
struct Comb {
    desk: Desk,
    links: Rc<Links>,
    disk: Disk,
    zone: String,
    wanted: BTreeMap<String, Wanted>,
    begun: Instant,
}

/// Runs a store until it is told to stop.
pub async fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let folder = settings.data_dir.clone().ok_or("data_dir: a folder is wanted: this role keeps files")?;
    let (disk, kept, mut written) = Disk::open(&folder)?;
    log::info!(
        "begins with {}",
        kept.as_ref().map_or("an empty disk".into(), |k| format!("{} items, turn {}", k.cells.len(), k.at.0))
    );
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = hash::of(&[
        settings.node.as_bytes(),
        &now.as_nanos().to_le_bytes(),
        &std::process::id().to_le_bytes(),
    ]);
    let me = settings.ip.to_string();
    let birth = Birth {
        me: me.clone(),
        life,
        losses: settings.tolerate.machines,
        first: settings.first_start,
        seeds: settings.seeds().iter().map(Ipv4Addr::to_string).collect(),
    };
    let (links, mut events) = Links::new();
    links.listen(ports::at(&settings, settings.ip, ports::COMB))?;
    let hello = Hello { node: settings.node.clone(), ip: me, role: Role::Comb, life };
    let mut first = Vec::new();
    let desk = Desk::new(now.as_secs(), hello, birth, kept, &mut first);
    let mut comb = Comb {
        desk,
        links,
        disk,
        zone: settings.zone.clone(),
        wanted: BTreeMap::new(),
        begun: Instant::now(),
    };
    comb.carry_out(first);
    let mut terminate = signal(SignalKind::terminate())?;
    // Nothing in the file changes while a store runs but its seeds, and by then it knows who votes.
    tokio::task::spawn_local(watch::settings(path, |_| log::info!("the settings file has changed")));
    let mut tick_at = Instant::now();
    let mut end_by: Option<Instant> = None;
    loop {
        comb.reach(&settings);
        if end_by.is_some_and(|by| comb.desk.idle() || Instant::now() >= by) {
            break;
        }
        tokio::select! {
            biased;
            _ = terminate.recv(), if end_by.is_none() => {
                log::info!("ends as planned");
                end_by = Some(Instant::now() + LAST);
                comb.with(|desk, _, out| desk.end(out));
            }
            Some(number) = written.recv() => {
                comb.disk.is_safe(number);
                comb.with(|desk, now, out| desk.written(now, number, out));
            }
            Some(event) = events.recv() => comb.event(event),
            () = sleep_until(tick_at) => {
                comb.with(|desk, now, out| desk.tick(now, out));
                let pause = if comb.desk.busy() { BUSY } else { IDLE };
                tick_at = Instant::now() + pause;
            }
        }
        if comb.desk.busy() {
            tick_at = tick_at.min(Instant::now() + BUSY);
        }
    }
    Ok(())
}

impl Comb {
    /// Keeps links to the stores that it has to reach.
    fn reach(&mut self, settings: &Settings) {
        let others = self.desk.store().others();
        self.wanted.retain(|name, _| others.contains(name));
        for name in others {
            let Ok(machine) = name.parse() else { continue };
            let links = &self.links;
            self.wanted.entry(name).or_insert_with(|| links.want(ports::at(settings, machine, ports::COMB)));
        }
    }

    fn event(&mut self, event: Event) {
        if let Event::Said(peer, Speech::Ask) = &event {
            let mut figures = vec![(format!("comb_info{{zone=\"{}\"}}", self.zone), 1.0)];
            figures.extend(self.desk.figures());
            figures.extend(self.links.told("comb"));
            figures.extend(self.disk.figures());
            return self.links.say(*peer, &Speech::Figures(figures));
        }
        self.with(|desk, now, out| match event {
            Event::Up(peer, _) => desk.up(peer, out),
            Event::Said(peer, speech) => desk.said(now, peer, speech, out),
            Event::Down(peer) => desk.down(now, peer, out),
        });
    }

    fn with(&mut self, act: impl FnOnce(&mut Desk, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(&mut self.desk, self.begun.elapsed().as_micros() as u64, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Say(peer, speech) => self.links.say(peer, &speech),
                Output::SayAll(peers, speech) => self.links.say_all(peers, &speech),
                Output::Cut(peer) => self.links.cut(peer),
                Output::Write(number, change) => self.disk.write(number, change),
            }
        }
    }
}
