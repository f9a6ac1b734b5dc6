//! Formats a snapshot and the configuration as tables.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use pinerelay_admission::duty::SLICE_COUNT;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{ItemSet, Kind};
use pinerelay_peer_link::message::Role;
use pinerelay_peer_link::process_address::ProcessAddress;
use pinerelay_peer_link::query::ProcessReport;

use crate::command::KINDS;
use crate::report::{Cell, Report, Table};
use crate::snapshot::{ProcessAnswer, Snapshot};

/// The name of a kind of configuration items, as `items` accepts it.
pub fn kind_name(kind: Kind) -> &'static str {
    KINDS.iter().find(|(_, known)| *known == kind).map_or("other", |(name, _)| *name)
}

/// The metrics that are listed for a role, without the role's prefix.
fn key_metrics(role: Role) -> &'static [&'static str] {
    match role {
        Role::Proxy => &["ready", "servers", "registries", "waiting", "connections", "update_age_seconds"],
        Role::Registry => {
            &["majority", "complete", "duties", "proxies", "servers_ready", "update_age_seconds"]
        }
        Role::ConfigStore => &["complete", "items", "open_writes"],
        Role::Observer => &[],
    }
}

/// Returns the zone that a process reports in its `info` metric.
fn zone_of(role: Role, report: &ProcessReport) -> Option<&str> {
    let prefix = format!("{}_info{{zone=\"", role.name());
    report.metrics.iter().find_map(|metric| metric.name.strip_prefix(&prefix)?.strip_suffix("\"}"))
}

/// Returns the key metrics of a process, or why it has not answered.
fn metrics_cell(role: Role, answer: &ProcessAnswer) -> Cell {
    match answer {
        Ok(report) => {
            let metric = |name: &&str| {
                let value = report.metric(&format!("{}_{name}", role.name()))?;
                Some((name.to_string(), value))
            };
            Cell::Metrics(key_metrics(role).iter().filter_map(metric).collect())
        }
        Err(error) => Cell::Text(error.to_string()),
    }
}

/// Lists the processes.
pub fn nodes(snapshot: &Snapshot) -> Report {
    let mut table = Table::new("nodes", &["role", "node", "address", "zone", "up", "metrics"]);
    let zone = |(process, answer): (&ProcessAddress, &'_ ProcessAnswer)| {
        let zone = zone_of(process.role, answer.as_ref().ok()?)?;
        Some((process.ip, zone.to_string()))
    };
    let zones: BTreeMap<Ipv4Addr, String> = snapshot.answers.iter().filter_map(zone).collect();
    for (process, answer) in &snapshot.answers {
        let node = snapshot.node_names.get(&process.ip).map(String::as_str);
        table.rows.push(vec![
            process.role.name().into(),
            node.into(),
            Cell::Text(process.ip.to_string()),
            zones.get(&process.ip).map(String::as_str).into(),
            Cell::Flag(answer.is_ok()),
            metrics_cell(process.role, answer),
        ]);
    }
    table.rows.extend(missing_proxy_rows(snapshot));
    Report { tables: vec![table], missing: snapshot.gaps(), ..Report::default() }
}

/// Returns a row for each proxy that disappeared without a planned shutdown and was not queried.
fn missing_proxy_rows(snapshot: &Snapshot) -> Vec<Vec<Cell>> {
    let proxies = snapshot.answers.keys().filter(|process| process.role == Role::Proxy);
    let listed: Vec<&String> = proxies.filter_map(|process| snapshot.node_names.get(&process.ip)).collect();
    let missing = snapshot.missing_proxies.iter().filter(|node| !listed.contains(node));
    missing
        .map(|node| {
            let reason = "disappeared without a planned shutdown".into();
            let role = Role::Proxy.name().into();
            vec![role, node.as_str().into(), Cell::None, Cell::None, Cell::Flag(false), reason]
        })
        .collect()
}

fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Lost => "lost",
        ServerState::Gone => "gone",
    }
}

/// The number of servers of a service in each state.
#[derive(Default)]
struct ServiceCounts {
    ready: u64,
    draining: u64,
    lost: u64,
}

impl ServiceCounts {
    fn add(&mut self, state: ServerState) {
        match state {
            ServerState::Ready => self.ready += 1,
            ServerState::Draining => self.draining += 1,
            ServerState::Lost => self.lost += 1,
            ServerState::Gone => {}
        }
    }
}

/// Lists the number of servers by service and state, then each server.
pub fn servers(snapshot: &Snapshot) -> Report {
    let items = snapshot.items();
    let decoded = items.live(Kind::Server).map(|(id, value)| (id, Server::decode(value)));
    let mut known: Vec<(&str, Server)> = Vec::new();
    let mut unreadable = 0;
    for (id, server) in decoded {
        match server {
            Some(server) if server.state == ServerState::Gone => {}
            Some(server) => known.push((id, server)),
            None => unreadable += 1,
        }
    }
    known.sort_by(|(first_id, first), (second_id, second)| {
        (&first.service, first_id).cmp(&(&second.service, second_id))
    });
    let mut missing = snapshot.gaps();
    if unreadable > 0 {
        missing.push(format!("{unreadable} servers cannot be decoded: they have another format version"));
    }
    Report { tables: vec![services_table(&known), servers_table(&known)], missing, ..Report::default() }
}

fn services_table(servers: &[(&str, Server)]) -> Table {
    let mut counts: BTreeMap<&str, ServiceCounts> = BTreeMap::new();
    for (_, server) in servers {
        counts.entry(&server.service).or_default().add(server.state);
    }
    let mut table = Table::new("services", &["service", "ready", "draining", "lost"]);
    for (service, ServiceCounts { ready, draining, lost }) in counts {
        let counts = [ready, draining, lost].map(Cell::Integer);
        table.rows.push([service.into()].into_iter().chain(counts).collect());
    }
    table
}

fn servers_table(servers: &[(&str, Server)]) -> Table {
    let mut table = Table::new("servers", &["service", "id", "address", "zone", "state", "capacity"]);
    for (id, server) in servers {
        table.rows.push(vec![
            server.service.as_str().into(),
            (*id).into(),
            Cell::Text(server.address.to_string()),
            server.zone.as_str().into(),
            state_name(server.state).into(),
            Cell::Integer(server.capacity.into()),
        ]);
    }
    table
}

/// Lists the number of slices for which each registry has the duty.
pub fn duties(snapshot: &Snapshot) -> Report {
    let mut table = Table::new("duties", &["node", "address", "zone", "majority", "slices"]);
    let mut assigned = 0;
    for (ip, report) in snapshot.reports(Role::Registry) {
        let slices = report.metric("registry_duties").map(|count| count as u64);
        assigned += slices.unwrap_or(0);
        let has_majority = report.metric("registry_majority").map(|value| value > 0.0);
        table.rows.push(vec![
            report.hello.node.as_str().into(),
            Cell::Text(ip.to_string()),
            zone_of(Role::Registry, report).into(),
            has_majority.map_or(Cell::None, Cell::Flag),
            slices.map_or(Cell::None, Cell::Integer),
        ]);
    }
    let mut missing = snapshot.gaps();
    if assigned != SLICE_COUNT as u64 {
        missing.push(format!("the registries that answered hold {assigned} of {SLICE_COUNT} slices"));
    }
    Report { tables: vec![table], missing, ..Report::default() }
}

/// Lists the configuration items of one kind, or of all kinds.
pub fn items(items: &ItemSet, kind: Option<Kind>) -> Report {
    let mut table = Table::new("items", &["kind", "name", "version"]);
    for item in items.iter().filter(|item| kind.is_none_or(|kind| kind == item.key.kind)) {
        let name = item.key.name.as_str().into();
        let revision = Cell::Integer(item.version.revision);
        table.rows.push(vec![kind_name(item.key.kind).into(), name, revision]);
    }
    Report { tables: vec![table], ..Report::default() }
}
