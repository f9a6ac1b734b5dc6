//! Which configuration is in force, and which servers are in use.

use std::collections::BTreeSet;

use super::{seconds, Finding, Rule, Seen, Terms};

pub(super) fn in_force(seen: &Seen, terms: &Terms) -> Finding {
    let none = BTreeSet::new();
    let records = seen.records;
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    // What was sent once a change was due in force; that nothing ran is as much of a look as that something did.
    for change in &records.changes {
        let due = change.at + terms.apply;
        looked_at += records.tries.iter().filter(|t| t.route == change.route && t.sent > due).count();
    }
    for run in &records.runs {
        let Some(tried) = seen.tries.get(run.id.as_str()) else { continue };
        let (id, route, service) = (&run.id, &tried.route, &run.service);
        if !records.routes.get(route).unwrap_or(&none).contains(service) {
            breaches.push(format!("{id} on {route} ran at {service}, where no configuration sends it"));
        }
        for change in records.changes.iter().filter(|c| c.route == *route) {
            if tried.sent > change.at + terms.apply && !change.services.contains(service) {
                let (sent, at) = (seconds(tried.sent), seconds(change.at));
                breaches.push(format!("{id}, sent at {sent}, ran at {service}; {route} was changed at {at}"));
            }
        }
    }
    Finding { rule: Rule::InForce, looked_at, breaches }
}

pub(super) fn drained(seen: &Seen, terms: &Terms) -> Finding {
    let records = seen.records;
    let mut breaches = Vec::new();
    for drained in &records.drained {
        let runs = records.runs.iter().filter(|r| r.server == drained.server).map(|r| r.at);
        let late = records.late.iter().filter(|l| l.0 == drained.server).map(|l| l.1);
        for at in runs.chain(late).filter(|&at| at > drained.at + terms.drain_timeout) {
            let (server, left, at) = (&drained.server, seconds(drained.at), seconds(at));
            breaches.push(format!("{server}, acknowledged as leaving at {left}, got a request at {at}"));
        }
    }
    Finding { rule: Rule::Drained, looked_at: records.drained.len(), breaches }
}

pub(super) fn read_back(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    let wanted = &seen.records.acknowledged;
    match &seen.records.read {
        None => breaches.push("nothing was read back".to_string()),
        Some(read) => {
            for (key, fields) in wanted {
                let (list, name) = key;
                match read.get(key) {
                    None => breaches.push(format!("{list} {name} was acknowledged, and is missing")),
                    Some(is) if is != fields => {
                        breaches.push(format!("{list} {name} was sent as {fields:?}, and is {is:?}"));
                    }
                    Some(_) => {}
                }
            }
            for (list, name) in read.keys().filter(|key| !wanted.contains_key(key)) {
                breaches.push(format!("{list} {name} is there, and should not be"));
            }
        }
    }
    Finding { rule: Rule::ReadBack, looked_at: wanted.len(), breaches }
}
