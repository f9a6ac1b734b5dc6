//! What clients are answered, held against what servers did and gave.

use super::{seconds, servers, Finding, Rule, Seen};

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Statuses that tell a client that it may not do this.
const DENIALS: [u16; 3] = [401, 403, 404];

pub(super) fn twice(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, runs) in &seen.runs {
        if seen.tries.get(id).is_none_or(|t| t.safe) {
            continue;
        }
        looked_at += 1;
        if runs.len() > 1 {
            breaches.push(format!("{id} ran {} times: {}", runs.len(), servers(runs)));
        }
    }
    Finding { rule: Rule::Twice, looked_at, breaches }
}

pub(super) fn refused(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, tried) in &seen.tries {
        let Some(answer) = tried.answer.as_ref().filter(|a| PROMISES.contains(&a.status)) else { continue };
        looked_at += 1;
        if let Some(runs) = seen.runs.get(id) {
            let kind = if tried.safe { "safe" } else { "unsafe" };
            let (status, servers) = (answer.status, servers(runs));
            breaches.push(format!("{id} ({kind}) was answered {status}, and ran: {servers}"));
        }
    }
    Finding { rule: Rule::Refused, looked_at, breaches }
}

pub(super) fn whole(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for tried in &seen.records.tries {
        let Some(answer) = tried.answer.as_ref().filter(|a| (200..300).contains(&a.status)) else { continue };
        looked_at += 1;
        let id = &tried.id;
        let runs = seen.runs.get(id.as_str()).map(Vec::as_slice).unwrap_or_default();
        let sealed = runs.iter().find(|run| answer.seal.as_ref() == Some(&run.seal));
        if answer.id.as_ref() != Some(id) {
            breaches.push(format!("{id} got an answer for {:?}", answer.id));
        } else if sealed.is_none_or(|run| answer.body != run.body) {
            breaches.push(format!("{id} got a {} whose seal and body no server gave", answer.status));
        } else if sealed.is_some_and(|run| !(200..300).contains(&run.status)) {
            breaches.push(format!("{id} got a {} where the server had failed", answer.status));
        }
    }
    Finding { rule: Rule::Whole, looked_at, breaches }
}

pub(super) fn sealed_status(seen: &Seen) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for tried in &seen.records.tries {
        let Some(answer) = tried.answer.as_ref().filter(|a| !(200..300).contains(&a.status)) else {
            continue;
        };
        let Some(seal) = &answer.seal else { continue };
        looked_at += 1;
        let (id, status) = (&tried.id, answer.status);
        match seen.records.sealed.get(seal) {
            None => breaches.push(format!("{id} got a {status} with seal {seal}, which no server gave")),
            Some(given) if *given != status => {
                breaches.push(format!("{id} got a {status} with seal {seal}, which was a {given}"));
            }
            Some(_) if answer.id.as_ref() != Some(id) => {
                breaches.push(format!("{id} got a sealed {status} for {:?}", answer.id));
            }
            Some(_) => {}
        }
    }
    Finding { rule: Rule::SealedStatus, looked_at, breaches }
}

pub(super) fn denied(seen: &Seen) -> Finding {
    let allowed = |route: &str| seen.always_there(route);
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for tried in seen.records.tries.iter().filter(|t| t.owed && allowed(&t.route)) {
        looked_at += 1;
        let answer = tried.answer.as_ref().filter(|a| DENIALS.contains(&a.status) && a.seal.is_none());
        if let Some(answer) = answer {
            let (id, route, sent) = (&tried.id, &tried.route, seconds(tried.sent));
            let (status, tenant) = (answer.status, &tried.tenant);
            breaches.push(format!("{id} on {route} of {tenant:?}, sent at {sent}, got {status}"));
        }
    }
    Finding { rule: Rule::Denied, looked_at, breaches }
}
