//! A look at all processes: the registries first, then whom they name.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use pinerelay_config_state::ItemSet;
use pinerelay_node_runtime::internal_port;
use pinerelay_peer_link::message::{Hello, Role};
use pinerelay_peer_link::query::{query, ProcessReport, Query, QueryError};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// A process that has not answered by then counts as not reached.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// No more processes are visited.
const MOST: usize = 2_000;
/// No answer to a visit is longer, in bytes.
const ANSWER_MOST: u64 = 32 << 20;

/// Where a process is: its program and its machine.
pub type Place = (Role, Ipv4Addr);

/// All that a look brought.
#[derive(Debug, Default)]
pub struct Look {
    /// By place: what was told, or why nothing was.
    pub seen: BTreeMap<Place, Result<ProcessReport, String>>,
    /// The machines' names, as anybody told them.
    pub names: BTreeMap<Ipv4Addr, String>,
    /// Proxies that have gone without a word, by name.
    pub missing: BTreeSet<String>,
}

/// How far a look goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Depth {
    /// The registries, with their servers.
    Servers,
    /// The registries.
    Registries,
    /// All processes.
    All,
}

/// Looks, beginning at the registries of these machines.
pub async fn look(seeds: &[Ipv4Addr], port: u16, depth: Depth) -> Look {
    let mut found = Look::default();
    let life = u64::from(std::process::id());
    let me = Hello { node: "waggle".into(), ip: String::new(), role: Role::Observer, process_id: life };
    let mut due: BTreeSet<Place> = seeds.iter().map(|ip| (Role::Registry, *ip)).collect();
    while !due.is_empty() {
        let mut visits = JoinSet::new();
        for place in due.into_iter().take(MOST.saturating_sub(found.seen.len())) {
            let offset = match place.0 {
                Role::Proxy => internal_port::PROXY,
                Role::ConfigStore => internal_port::CONFIG_STORE,
                Role::Registry | Role::Observer => internal_port::REGISTRY,
            };
            let address = SocketAddrV4::new(place.1, port.saturating_add(offset));
            let me = me.clone();
            let with_servers = depth == Depth::Servers;
            let question = Query { role: place.0, with_servers, max_bytes: ANSWER_MOST };
            visits.spawn(async move {
                let visited = query(address, &me, question);
                let visited = timeout(PATIENCE, visited).await.unwrap_or(Err(QueryError::TimedOut));
                (place, visited.map_err(|e| e.to_string()).and_then(|told| expected(place.0, told)))
            });
        }
        while let Some(visited) = visits.join_next().await {
            let Ok((place, told)) = visited else { continue };
            found.take(place, told);
        }
        due = found.due(depth);
        if found.seen.len() >= MOST {
            break;
        }
    }
    found
}

fn expected(role: Role, told: ProcessReport) -> Result<ProcessReport, String> {
    if told.hello.role == role {
        Ok(told)
    } else {
        Err(format!("a {:?} is there", told.hello.role))
    }
}

impl Look {
    /// Takes what one visit brought.
    pub fn take(&mut self, place: Place, told: Result<ProcessReport, String>) {
        if let Ok(told) = &told {
            self.names.insert(place.1, told.hello.node.clone());
            for hello in told.process_list.iter().flat_map(|rolled| &rolled.linked) {
                if let Ok(ip) = hello.ip.parse() {
                    self.names.entry(ip).or_insert_with(|| hello.node.clone());
                }
            }
            self.missing.extend(told.process_list.iter().flat_map(|rolled| rolled.missing.clone()));
        }
        self.seen.insert(place, told);
    }

    /// Who was named and not yet visited.
    fn due(&self, depth: Depth) -> BTreeSet<Place> {
        let rolls = self.told(Role::Registry).filter_map(|(_, told)| told.process_list.as_ref());
        let mut named = BTreeSet::new();
        for roll in rolls {
            let linked = roll.linked.iter().map(|hello| (hello.role, &hello.ip));
            // Who votes is there even when nobody is linked to it.
            let core = roll.voters.iter().flat_map(|ip| [(Role::Registry, ip), (Role::ConfigStore, ip)]);
            named.extend(linked.chain(core).filter_map(|(role, ip)| Some((role, ip.parse().ok()?))));
        }
        named.retain(|place: &Place| match place.0 {
            Role::Observer => false,
            Role::Registry => !self.seen.contains_key(place),
            _ => depth == Depth::All && !self.seen.contains_key(place),
        });
        named
    }

    /// The processes of a role that have answered.
    pub fn told(&self, role: Role) -> impl Iterator<Item = (Ipv4Addr, &ProcessReport)> {
        let seen = self.seen.iter().filter(move |(place, _)| place.0 == role);
        seen.filter_map(|((_, ip), told)| Some((*ip, told.as_ref().ok()?)))
    }

    /// The newest of the items that registries told.
    pub fn items(&self) -> ItemSet {
        let mut cells = ItemSet::default();
        for (_, told) in self.told(Role::Registry) {
            cells.merge_all(told.items.iter().cloned());
        }
        cells
    }

    /// Why what the registries said may not be all, one reason each.
    pub fn partial(&self) -> Vec<String> {
        let mut all = Vec::new();
        for ((role, ip), told) in &self.seen {
            match told {
                Err(why) if *role == Role::Registry => {
                    all.push(format!("the registry at {ip} was not reached: {why}"));
                }
                Ok(told) if *role == Role::Registry => {
                    for (figure, why) in [
                        ("registry_majority", "reaches no majority of the core"),
                        ("registry_complete", "has not the whole configuration"),
                    ] {
                        if told.metric(figure) == Some(0.0) {
                            all.push(format!("the registry at {ip} {why}"));
                        }
                    }
                }
                _ => {}
            }
        }
        if self.seen.len() >= MOST {
            all.push(format!("no more than {MOST} processes are asked"));
        }
        all
    }
}
