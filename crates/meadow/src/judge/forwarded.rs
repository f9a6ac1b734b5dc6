//! What servers are handed, held against what clients sent.

use crate::record::{Micros, Run, Try};

use super::{distinct_servers, seconds, servers, Finding, Rule, Seen, Terms};

/// No more of a text is shown.
const SHOWN: usize = 60;

/// The beginning of a text, and how long it is.
fn shown(text: &str) -> String {
    match text.char_indices().nth(SHOWN) {
        None => format!("{text:?}"),
        Some((end, _)) => format!("{:?}... ({} bytes)", &text[..end], text.len()),
    }
}

/// How a run differs from what was sent.
fn difference(tried: &Try, run: &Run) -> Option<String> {
    let (id, server) = (&run.id, &run.server);
    if tried.line != run.line {
        return Some(format!("{server} ran {id} as {}, sent as {}", shown(&run.line), shown(&tried.line)));
    }
    if let Some(payload) = run.payload.as_ref().filter(|payload| **payload != tried.payload) {
        let (ran, sent) = (shown(payload), shown(&tried.payload));
        return Some(format!("{server} ran {id} with the body {ran}, sent as {sent}"));
    }
    if tried.tenant != run.tenant {
        return Some(format!("{server} ran {id} for {:?}, sent by {:?}", run.tenant, tried.tenant));
    }
    run.key.then(|| format!("{server} was shown the key of {id}"))
}

pub(super) fn asked(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    for run in &seen.records.runs {
        match seen.tries.get(run.id.as_str()) {
            None => breaches.push(format!("{} ran {}, which no client sent", run.server, run.id)),
            Some(tried) => breaches.extend(difference(tried, run)),
        }
    }
    for (server, at) in &seen.records.nameless {
        breaches.push(format!("{server} got a request without an id at {}", seconds(*at)));
    }
    Finding { rule: Rule::Asked, looked_at: seen.records.runs.len(), breaches }
}

pub(super) fn rest_of_body(seen: &Seen) -> Finding {
    let breach = |f: &crate::record::Foreign| {
        let (server, id, at, got) = (&f.server, &f.id, seconds(f.at), shown(&f.got));
        format!("{server} got, at {at}, where the rest of the body of {id} was due: {got}")
    };
    let breaches = seen.records.foreign.iter().map(breach).collect();
    Finding { rule: Rule::RestOfBody, looked_at: seen.records.early, breaches }
}

pub(super) fn tenant_kept(seen: &Seen, terms: &Terms) -> Finding {
    let watched = |sent: Micros| {
        let restarts = &seen.records.restarts;
        restarts.iter().any(|&at| (at..at + terms.restart_watch).contains(&sent))
    };
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for run in &seen.records.runs {
        let tried = seen.tries.get(run.id.as_str()).filter(|t| watched(t.sent));
        let Some((tried, tenant)) = tried.and_then(|t| Some((t, t.tenant.as_ref()?))) else { continue };
        looked_at += 1;
        if run.tenant.is_none() {
            let (id, server, sent) = (&run.id, &run.server, seconds(tried.sent));
            breaches.push(format!("{server} ran {id} of {tenant}, sent at {sent}, for nobody"));
        }
    }
    Finding { rule: Rule::TenantKept, looked_at, breaches }
}

pub(super) fn attempts(seen: &Seen, terms: &Terms) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, runs) in &seen.runs {
        let Some(tried) = seen.tries.get(id) else { continue };
        let Some(&most) = seen.records.retries.get(&tried.route) else { continue };
        let all = distinct_servers(runs);
        if all.len() < 2 {
            continue;
        }
        looked_at += 1;
        if all.iter().filter(|server| !seen.records.crashed.contains(**server)).count() > most {
            let (route, on) = (&tried.route, servers(runs));
            breaches.push(format!("{id} on {route} ran on more than {most} servers: {on}"));
        }
    }
    if breaches.len() <= terms.attempts_slack {
        breaches.clear();
    }
    Finding { rule: Rule::Attempts, looked_at, breaches }
}

pub(super) fn deadline_handed(seen: &Seen, terms: &Terms) -> Finding {
    let slack = terms.deadline_slack;
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, runs) in &seen.runs {
        let Some(tried) = seen.tries.get(id) else { continue };
        let mut first: Option<(Micros, Micros)> = None;
        for run in runs {
            looked_at += 1;
            let (server, at) = (&run.server, seconds(run.at));
            let Some(handed) = run.handed else {
                breaches.push(format!("{server} got {id} at {at} with no time"));
                continue;
            };
            if handed > tried.wait + slack {
                let (handed, wait) = (seconds(handed), seconds(tried.wait));
                breaches.push(format!("{server} was handed {handed} for {id}, whose client gave {wait}"));
            }
            let end = run.at + handed;
            let (first_at, first_end) = *first.get_or_insert((run.at, end));
            let due = first_end.max(tried.sent + tried.wait) + slack;
            let late = seen.stalled(first_at, run.at);
            if run.at > first_at + slack + late && end > due + late {
                let (end, due) = (seconds(end), seconds(due));
                breaches.push(format!("{server} got {id} once more at {at} until {end}; {due} may be"));
            }
        }
    }
    Finding { rule: Rule::DeadlineHanded, looked_at, breaches }
}
