//! What a look and the configuration come to as lists.

use std::collections::BTreeMap;

use pinerelay_admission::duty::SLICE_COUNT;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{ItemSet, Kind};
use pinerelay_peer_link::message::Role;
use pinerelay_peer_link::query::ProcessReport;

use crate::command::KINDS;
use crate::look::Look;
use crate::table::{Cell, Report, Table};

/// The name of a kind of configuration items.
pub fn kind_name(kind: Kind) -> &'static str {
    KINDS.iter().find(|(_, known)| *known == kind).map_or("other", |(name, _)| *name)
}

fn key_figures(role: Role) -> &'static [&'static str] {
    match role {
        Role::Proxy => &["ready", "servers", "registries", "waiting", "connections", "update_age_seconds"],
        Role::Registry => {
            &["majority", "complete", "duties", "proxies", "servers_ready", "update_age_seconds"]
        }
        Role::ConfigStore => &["complete", "items", "open_writes"],
        Role::Observer => &[],
    }
}

fn zone(role: Role, told: &ProcessReport) -> Option<&str> {
    let begin = format!("{}_info{{zone=\"", role.name());
    told.metrics.iter().find_map(|metric| metric.name.strip_prefix(&begin)?.strip_suffix("\"}"))
}

/// The processes.
pub fn nodes(look: &Look) -> Report {
    let mut table = Table::new("nodes", &["role", "node", "address", "zone", "up", "figures"]);
    let zones: BTreeMap<_, _> = look
        .seen
        .iter()
        .filter_map(|((role, ip), told)| Some((*ip, zone(*role, told.as_ref().ok()?)?)))
        .collect();
    for ((role, ip), told) in &look.seen {
        let figures = match told {
            Ok(told) => {
                let figure = |name: &&str| {
                    let value = told.metric(&format!("{}_{name}", role.name()))?;
                    Some((name.to_string(), value))
                };
                Cell::Figures(key_figures(*role).iter().filter_map(figure).collect())
            }
            Err(why) => why.as_str().into(),
        };
        let node = look.names.get(ip).map(String::as_str);
        let address = Cell::Text(ip.to_string());
        let zone = zones.get(ip).copied();
        let up = Cell::Flag(told.is_ok());
        table.rows.push(vec![role.name().into(), node.into(), address, zone.into(), up, figures]);
    }
    let known: Vec<&String> = look
        .seen
        .keys()
        .filter(|(r, _)| *r == Role::Proxy)
        .filter_map(|(_, ip)| look.names.get(ip))
        .collect();
    for node in look.missing.iter().filter(|node| !known.contains(node)) {
        let gone = "has gone without a word".into();
        let node = node.as_str().into();
        table.rows.push(vec![
            Role::Proxy.name().into(),
            node,
            Cell::None,
            Cell::None,
            Cell::Flag(false),
            gone,
        ]);
    }
    Report { tables: vec![table], missing: look.partial(), ..Report::default() }
}

fn state_name(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "ready",
        ServerState::Draining => "draining",
        ServerState::Lost => "lost",
        ServerState::Gone => "gone",
    }
}

/// The servers: counts by service, then each.
pub fn servers(look: &Look) -> Report {
    let cells = look.items();
    let mut each = Table::new("servers", &["service", "id", "address", "zone", "state", "capacity"]);
    let mut counts: BTreeMap<String, [u64; 3]> = BTreeMap::new();
    let mut unread = 0;
    for (id, value) in cells.live(Kind::Server) {
        let Some(server) = Server::decode(value) else {
            unread += 1;
            continue;
        };
        if server.state == ServerState::Gone {
            continue;
        }
        counts.entry(server.service.clone()).or_default()[server.state as usize] += 1;
        each.rows.push(vec![
            server.service.as_str().into(),
            id.into(),
            Cell::Text(server.address.to_string()),
            server.zone.as_str().into(),
            state_name(server.state).into(),
            Cell::Whole(server.capacity.into()),
        ]);
    }
    each.rows.sort_by_key(|row| match (&row[0], &row[1]) {
        (Cell::Text(service), Cell::Text(id)) => (service.clone(), id.clone()),
        _ => Default::default(),
    });
    let mut services = Table::new("services", &["service", "ready", "draining", "lost"]);
    for (service, counted) in counts {
        let counted = counted.map(Cell::Whole);
        services.rows.push([Cell::Text(service)].into_iter().chain(counted).collect());
    }
    let mut missing = look.partial();
    if unread > 0 {
        missing.push(format!("{unread} servers can't be read: they are of another version"));
    }
    Report { tables: vec![services, each], missing, ..Report::default() }
}

/// The duties of the registries.
pub fn duties(look: &Look) -> Report {
    let mut table = Table::new("duties", &["node", "address", "zone", "majority", "slices"]);
    let mut held = 0;
    for (ip, told) in look.told(Role::Registry) {
        let figure = |name: &str| told.metric(name);
        let slices = figure("registry_duties").map(|n| n as u64);
        held += slices.unwrap_or(0);
        table.rows.push(vec![
            told.hello.node.as_str().into(),
            Cell::Text(ip.to_string()),
            zone(Role::Registry, told).into(),
            figure("registry_majority").map_or(Cell::None, |n| Cell::Flag(n > 0.0)),
            slices.map_or(Cell::None, Cell::Whole),
        ]);
    }
    let mut missing = look.partial();
    if held != SLICE_COUNT as u64 {
        missing.push(format!("the registries that answered hold {held} of {SLICE_COUNT} slices"));
    }
    Report { tables: vec![table], missing, ..Report::default() }
}

/// The items of the configuration.
pub fn items(cells: &ItemSet, of: Option<Kind>) -> Report {
    let mut table = Table::new("items", &["kind", "name", "version"]);
    for item in cells.iter().filter(|item| of.is_none_or(|kind| kind == item.key.kind)) {
        let name = item.key.name.as_str().into();
        table.rows.push(vec![kind_name(item.key.kind).into(), name, Cell::Whole(item.version.revision)]);
    }
    Report { tables: vec![table], ..Report::default() }
}
