//! Whether the gateway serves again after all its processes were killed, and whether the operator is heard.

use crate::record::{Micros, Outage, Records};

use super::{seconds, Finding, Rule, Seen, Terms};

/// The time over which a share of requests is counted, and by which that time is moved.
const WINDOW: Micros = 1_000_000;
const WINDOW_STEP: Micros = 100_000;
/// A window with fewer requests tells nothing.
const WINDOW_LEAST: usize = 10;

/// How many requests were begun in a time, and how many of them were served.
fn share(records: &Records, from: Micros, until: Micros) -> (usize, usize) {
    let within = || records.outcomes.iter().filter(|o| (from..until).contains(&o.begun));
    (within().count(), within().filter(|o| o.served).count())
}

/// When the last request was begun.
fn last(records: &Records) -> Micros {
    records.outcomes.iter().map(|o| o.begun).max().unwrap_or_default()
}

/// When all processes were killed the next time.
fn next_kill(records: &Records, outage: &Outage) -> Option<Micros> {
    records.outages.iter().map(|o| o.killed).filter(|killed| *killed > outage.killed).min()
}

/// When what is judged of an outage ends: with the play, or the next one's begin less the time that clients wait.
fn end(records: &Records, outage: &Outage, terms: &Terms) -> Micros {
    let next = next_kill(records, outage);
    next.map_or(last(records), |killed| killed.saturating_sub(terms.client_wait))
}

/// The begin of the first second after an outage in which nearly all requests are served.
pub fn serves_again(records: &Records, outage: &Outage, terms: &Terms) -> Option<Micros> {
    let end = end(records, outage, terms);
    let mut from = outage.running?;
    while from + WINDOW <= end {
        let (wanted, served) = share(records, from, from + WINDOW);
        if wanted >= WINDOW_LEAST && served as f64 >= wanted as f64 * terms.recovery_share {
            return Some(from);
        }
        from += WINDOW_STEP;
    }
    None
}

/// How many requests were begun in an outage or shortly before it, and how many of these were served all the same.
pub(super) fn outage_requests(records: &Records, terms: &Terms) -> (usize, usize) {
    let times = records.outages.iter().map(|outage| {
        let until = serves_again(records, outage, terms);
        let due = outage.running.unwrap_or(outage.killed) + terms.recovery;
        let until = until.unwrap_or(next_kill(records, outage).unwrap_or(due).min(due));
        (outage.killed.saturating_sub(terms.client_wait), until)
    });
    let times: Vec<(Micros, Micros)> = times.collect();
    let within = |begun: Micros| times.iter().any(|(from, until)| (*from..*until).contains(&begun));
    let lost = || records.outcomes.iter().filter(|o| within(o.begun));
    (lost().count(), lost().filter(|o| o.served).count())
}

pub(super) fn recovered(seen: &Seen, terms: &Terms) -> Finding {
    let records = seen.records;
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for outage in &records.outages {
        let Some(running) = outage.running else { continue };
        let (due, end) = (running + terms.recovery, end(records, outage, terms));
        let mut judged = serves_again(records, outage, terms).is_some_and(|at| at <= due);
        if end > due && outage.ready.is_none_or(|ready| ready > due) {
            judged = true;
            breaches.push(format!("no proxy was ready in time after the kill at {}", seconds(outage.killed)));
        }
        let mut from = due;
        while from + WINDOW <= end {
            judged = true;
            let (wanted, served) = share(records, from, from + WINDOW);
            if wanted >= WINDOW_LEAST && (served as f64) < wanted as f64 * terms.recovery_least {
                let (killed, from) = (seconds(outage.killed), seconds(from));
                breaches.push(format!(
                    "{served} of {wanted} were served in the second from {from} on, after the kill at {killed}"
                ));
            }
            from += WINDOW;
        }
        looked_at += usize::from(judged);
    }
    Finding { rule: Rule::Recovered, looked_at, breaches }
}

pub(super) fn acknowledged(seen: &Seen) -> Finding {
    let records = seen.records;
    Finding { rule: Rule::Acknowledged, looked_at: records.calls, breaches: records.unacknowledged.clone() }
}
