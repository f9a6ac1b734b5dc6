//! Whether requests are served, evenly and in time, and the programs run.

use std::collections::BTreeMap;

use crate::record::{Caller, Try};

use super::recovery::outage_requests;
use super::{seconds, Finding, Rule, Seen, Terms};

/// A request has come to its route's `timeout` once so much of it is over: an answer may be sent a little sooner.
const REACHED: f64 = 0.9;

/// How many tries there were of a group, and how many of them were answered with success.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    tries: usize,
    served: usize,
}

impl Share {
    fn of<'a>(tries: impl Iterator<Item = &'a Try>) -> Share {
        let mut share = Share::default();
        tries.for_each(|tried| share.add(tried));
        share
    }

    fn add(&mut self, tried: &Try) {
        self.tries += 1;
        self.served += usize::from(tried.answer.as_ref().is_some_and(|a| (200..300).contains(&a.status)));
    }

    /// Whether so many were asked that their share says something, and it is too small a part of the others'.
    fn starved(self, others: Share, terms: &Terms) -> bool {
        let enough = self.tries >= terms.group_least && others.tries > 0;
        let ratio = |share: Share| share.served as f64 / share.tries.max(1) as f64;
        enough && ratio(self) < ratio(others) * terms.group_share
    }
}

pub(super) fn served(seen: &Seen, terms: &Terms) -> Finding {
    // What was asked for in an outage, `Recovered` judges.
    let (lost, lost_served) = outage_requests(seen.records, terms);
    let (served, wanted) = (seen.records.served - lost_served, seen.records.wanted - lost);
    let mut breaches = Vec::new();
    let share = served as f64 / wanted.max(1) as f64;
    if wanted > 0 && share < terms.served_least {
        breaches.push(format!("{served} of {wanted} were served"));
    }
    Finding { rule: Rule::Served, looked_at: wanted, breaches }
}

pub(super) fn later_routes(seen: &Seen, terms: &Terms) -> Finding {
    let added = &seen.records.added;
    let since = added.values().min().map(|at| at + terms.apply);
    let owed = || seen.records.tries.iter().filter(|t| t.owed && since.is_some_and(|since| t.sent > since));
    let later = Share::of(owed().filter(|t| added.contains_key(&t.route) && seen.in_force(t, terms)));
    let first = Share::of(owed().filter(|t| seen.always_there(&t.route)));
    let mut breaches = Vec::new();
    if later.starved(first, terms) {
        let (later_tries, first_tries) = (later.tries, first.tries);
        breaches.push(format!(
            "{} of {later_tries} on routes added later were served, {} of {first_tries} on the first ones",
            later.served, first.served
        ));
    }
    Finding { rule: Rule::LaterRoutes, looked_at: later.tries, breaches }
}

/// The groups of which none may be starved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group<'a> {
    Kind(&'a str),
    CallsOfServers(&'a str),
    Tenant(&'a str),
}

pub(super) fn starved(seen: &Seen, terms: &Terms) -> Finding {
    let mut groups: BTreeMap<Group, Share> = BTreeMap::new();
    let mut all = Share::default();
    for tried in seen.records.tries.iter().filter(|t| t.owed && seen.in_force(t, terms)) {
        all.add(tried);
        let kind = match tried.by {
            Caller::Client => Group::Kind(&tried.route),
            Caller::Server => Group::CallsOfServers(&tried.route),
        };
        groups.entry(kind).or_default().add(tried);
        if let Some(tenant) = &tried.tenant {
            groups.entry(Group::Tenant(tenant)).or_default().add(tried);
        }
    }
    let starved = groups.iter().filter(|(_, share)| share.starved(all, terms));
    let breach = |(group, share): (&Group, &Share)| {
        let (tries, all_tries) = (share.tries, all.tries);
        format!("{group:?}: {} of {tries} served, {} of {all_tries} of all", share.served, all.served)
    };
    Finding { rule: Rule::Starved, looked_at: all.tries, breaches: starved.map(breach).collect() }
}

pub(super) fn held(seen: &Seen, terms: &Terms) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for tried in &seen.records.tries {
        let Some(timeout) = seen.records.timeouts.get(&tried.route) else { continue };
        let held = tried.ended.saturating_sub(tried.sent) - seen.stood_still(tried);
        if (held as f64) < *timeout as f64 * REACHED {
            continue;
        }
        looked_at += 1;
        if held > timeout + terms.held_slack {
            let (id, route, held) = (&tried.id, &tried.route, seconds(held));
            let answer = tried.answer.as_ref().map(|a| a.status);
            let timeout = seconds(*timeout);
            breaches.push(format!("{id} on {route} was held {held}, {timeout} may be; answer {answer:?}"));
        }
    }
    Finding { rule: Rule::Held, looked_at, breaches }
}

pub(super) fn ends(seen: &Seen) -> Finding {
    let records = seen.records;
    Finding { rule: Rule::Ends, looked_at: records.watched, breaches: records.ended.clone() }
}
