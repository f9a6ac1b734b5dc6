//! Judges a play by what its servers, clients and operator saw, and by nothing else. No I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Micros, Records, Run, Try};

/// The figures that the rules are held against.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// How long after its acknowledgement a server that leaves may still be sent requests.
    pub drain_timeout: Micros,
    /// Within this a change is in force.
    pub apply: Micros,
    /// The window of quotas.
    pub quota_period: Micros,
    /// The share by which a window may be over.
    pub quota_overrun: f64,
    /// And the number.
    pub quota_margin: f64,
    /// The share of the requests within quotas that has to be served, as proof that anything is.
    pub served_least: f64,
}

/// What one rule was held against, and how it was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The rule, in a few words.
    pub rule: &'static str,
    /// How many things it was held against; with none, the play says nothing of it.
    pub looked_at: usize,
    /// Each breach in one line.
    pub breaches: Vec<String>,
}

/// What a play says of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Every rule was put to the test, and kept.
    Kept,
    /// A rule was broken.
    Broken,
    /// No rule was broken, and one was held against nothing.
    Unproven,
}

/// The verdict that findings amount to.
pub fn verdict(findings: &[Finding]) -> Verdict {
    if findings.iter().any(|f| !f.breaches.is_empty()) {
        Verdict::Broken
    } else if findings.iter().any(|f| f.looked_at == 0) {
        Verdict::Unproven
    } else {
        Verdict::Kept
    }
}

/// Holds all rules against what was seen.
pub fn judge(records: &Records, terms: &Terms) -> Vec<Finding> {
    let tries: BTreeMap<&str, &Try> = records.tries.iter().map(|t| (t.id.as_str(), t)).collect();
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    vec![
        twice(&tries, &runs),
        refused(&tries, &runs),
        whole(records, &runs),
        asked(records, &tries),
        route(records, &tries, terms),
        drain(records, terms),
        quota(records, terms),
        read_back(records),
        served(records, terms),
        ends(records),
    ]
}

fn ms(at: Micros) -> String {
    format!("{:.3} s", at as f64 / 1e6)
}

fn servers(runs: &[&Run]) -> String {
    runs.iter().map(|r| format!("{} at {}", r.server, ms(r.at))).collect::<Vec<_>>().join(", ")
}

fn twice(tries: &BTreeMap<&str, &Try>, runs: &BTreeMap<&str, Vec<&Run>>) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, runs) in runs {
        if tries.get(id).is_none_or(|t| t.safe) {
            continue;
        }
        looked_at += 1;
        if runs.len() > 1 {
            breaches.push(format!("{id} ran {} times: {}", runs.len(), servers(runs)));
        }
    }
    Finding { rule: "no unsafe request runs twice", looked_at, breaches }
}

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn refused(tries: &BTreeMap<&str, &Try>, runs: &BTreeMap<&str, Vec<&Run>>) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for (id, tried) in tries {
        let Some(answer) = tried.answer.as_ref().filter(|a| PROMISES.contains(&a.status)) else { continue };
        looked_at += 1;
        if let Some(runs) = runs.get(id) {
            let kind = if tried.safe { "safe" } else { "unsafe" };
            breaches.push(format!(
                "{id} ({kind}) was answered {}, and ran: {}",
                answer.status,
                servers(runs)
            ));
        }
    }
    Finding { rule: "nothing answered 408, 421, 429 or 503 has run", looked_at, breaches }
}

fn whole(records: &Records, runs: &BTreeMap<&str, Vec<&Run>>) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for tried in &records.tries {
        let Some(answer) = tried.answer.as_ref().filter(|a| (200..300).contains(&a.status)) else { continue };
        looked_at += 1;
        let same = |run: &&Run| answer.seal.as_ref() == Some(&run.seal) && answer.body == run.body;
        let id = &tried.id;
        if answer.id.as_ref() != Some(id) {
            breaches.push(format!("{id} got an answer for {:?}", answer.id));
        } else if !runs.get(id.as_str()).is_some_and(|runs| runs.iter().any(same)) {
            breaches.push(format!("{id} got a {} whose seal and body no server gave", answer.status));
        }
    }
    Finding { rule: "every 2xx is a server's answer, whole and its own", looked_at, breaches }
}

fn asked(records: &Records, tries: &BTreeMap<&str, &Try>) -> Finding {
    let mut breaches = Vec::new();
    for run in &records.runs {
        let (id, server) = (&run.id, &run.server);
        match tries.get(id.as_str()) {
            None => breaches.push(format!("{server} ran {id}, which no client sent")),
            Some(tried) if tried.asked != run.asked => {
                breaches.push(format!("{server} ran {id} as {:?}, sent as {:?}", run.asked, tried.asked));
            }
            Some(tried) if tried.tenant != run.tenant => {
                breaches.push(format!("{server} ran {id} for {:?}, sent by {:?}", run.tenant, tried.tenant));
            }
            Some(_) if run.key => breaches.push(format!("{server} was shown the key of {id}")),
            Some(_) => {}
        }
    }
    let rule = "servers run what clients asked, for the key's owner, and see no key";
    Finding { rule, looked_at: records.runs.len(), breaches }
}

fn route(records: &Records, tries: &BTreeMap<&str, &Try>, terms: &Terms) -> Finding {
    let none = BTreeSet::new();
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    // What was sent once a change was due in force; that nothing ran is as much of a look as that something did.
    for change in &records.changes {
        let due = change.at + terms.apply;
        looked_at += records.tries.iter().filter(|t| t.route == change.route && t.sent > due).count();
    }
    for run in &records.runs {
        let Some(tried) = tries.get(run.id.as_str()) else { continue };
        let (id, route, service) = (&run.id, &tried.route, &run.service);
        if !records.routes.get(route).unwrap_or(&none).contains(service) {
            breaches.push(format!("{id} on {route} ran at {service}, where no configuration sends it"));
        }
        for change in records.changes.iter().filter(|c| c.route == *route) {
            if tried.sent > change.at + terms.apply && !change.services.contains(service) {
                let (sent, at) = (ms(tried.sent), ms(change.at));
                breaches.push(format!("{id}, sent at {sent}, ran at {service}; {route} was changed at {at}"));
            }
        }
    }
    Finding { rule: "a change is in force within its time", looked_at, breaches }
}

fn drain(records: &Records, terms: &Terms) -> Finding {
    let mut breaches = Vec::new();
    for drained in &records.drained {
        let runs = records.runs.iter().filter(|r| r.server == drained.server).map(|r| r.at);
        let late = records.late.iter().filter(|l| l.0 == drained.server).map(|l| l.1);
        for at in runs.chain(late).filter(|&at| at > drained.at + terms.drain_timeout) {
            let (server, left) = (&drained.server, ms(drained.at));
            breaches
                .push(format!("{server}, acknowledged as leaving at {left}, got a request at {}", ms(at)));
        }
    }
    Finding { rule: "no request reaches a drained server", looked_at: records.drained.len(), breaches }
}

fn quota(records: &Records, terms: &Terms) -> Finding {
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for quota in &records.quotas {
        let (name, least) = (&quota.tenant, most_in_a_window(records, &quota.tenant, terms.quota_period));
        let seconds = terms.quota_period as f64 / 1e6;
        let bound = (quota.rate * seconds + quota.burst) * (1.0 + terms.quota_overrun) + terms.quota_margin;
        let runs = records.runs.iter().filter(|r| r.tenant.as_ref() == Some(name)).count();
        let asked = records.tries.iter().filter(|t| t.tenant.as_ref() == Some(name)).count();
        // One that asked for no more than its share puts nothing to the test.
        if asked > runs {
            looked_at += 1;
        }
        if least.0 as f64 > bound {
            let (most, from) = (least.0, ms(least.1));
            breaches.push(format!("{most} of {name} ran in {seconds} s from {from} on; {bound:.1} may"));
        }
    }
    Finding { rule: "no window holds more of a tenant than its quota", looked_at, breaches }
}

/// The most requests of a tenant that ran in any window, and where that window begins.
pub fn most_in_a_window(records: &Records, tenant: &str, period: Micros) -> (usize, Micros) {
    let of = records.runs.iter().filter(|r| r.tenant.as_deref() == Some(tenant));
    let mut times: Vec<Micros> = of.map(|r| r.at).collect();
    times.sort_unstable();
    let mut most = (0, 0);
    let mut first = 0;
    for (n, &at) in times.iter().enumerate() {
        while times[first] + period < at {
            first += 1;
        }
        if n + 1 - first > most.0 {
            most = (n + 1 - first, times[first]);
        }
    }
    most
}

fn read_back(records: &Records) -> Finding {
    let mut breaches = Vec::new();
    let wanted = &records.acknowledged;
    match &records.read {
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
    Finding { rule: "the read-back is what was acknowledged", looked_at: wanted.len(), breaches }
}

fn served(records: &Records, terms: &Terms) -> Finding {
    let mut breaches = Vec::new();
    let share = records.served as f64 / records.wanted.max(1) as f64;
    if records.wanted > 0 && share < terms.served_least {
        breaches.push(format!("{} of {} were served", records.served, records.wanted));
    }
    Finding { rule: "requests within quotas are served", looked_at: records.wanted, breaches }
}

fn ends(records: &Records) -> Finding {
    let rule = "programs end when told, with 0, within the grace period";
    Finding { rule, looked_at: records.watched, breaches: records.ended.clone() }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::record::{Answer, Change, Drained, Quota};

    const TERMS: Terms = Terms {
        drain_timeout: 1_000_000,
        apply: 2_000_000,
        quota_period: 2_000_000,
        quota_overrun: 0.1,
        quota_margin: 1.0,
        served_least: 0.9,
    };

    fn tried(id: &str, status: u16) -> Try {
        let answer = Answer {
            status,
            id: Some(id.into()),
            seal: Some(format!("seal {id}")),
            body: format!("body {id}"),
        };
        Try {
            id: id.into(),
            route: "r".into(),
            safe: false,
            tenant: Some("t".into()),
            asked: "POST /r".into(),
            sent: 100,
            answer: Some(answer),
        }
    }

    fn run(id: &str, at: Micros) -> Run {
        Run {
            id: id.into(),
            server: "i".into(),
            service: "s".into(),
            at,
            tenant: Some("t".into()),
            key: false,
            asked: "POST /r".into(),
            seal: format!("seal {id}"),
            body: format!("body {id}"),
        }
    }

    /// A play in which every rule is put to the test, and kept.
    fn good() -> Records {
        let item = (("routes".to_string(), "r".to_string()), BTreeMap::from([("a".into(), "1".into())]));
        let late = Try { sent: 5_000_000, ..tried("b", 200) };
        let s = || BTreeSet::from(["s".to_string()]);
        Records {
            tries: vec![tried("a", 200), late, tried("c", 429)],
            runs: vec![run("a", 200), run("b", 5_000_100)],
            drained: vec![Drained { server: "j".into(), at: 0 }],
            routes: BTreeMap::from([("r".into(), s())]),
            changes: vec![Change { route: "r".into(), services: s(), at: 0 }],
            quotas: vec![Quota { tenant: "t".into(), rate: 1.0, burst: 0.0 }],
            acknowledged: BTreeMap::from([item.clone()]),
            read: Some(BTreeMap::from([item])),
            wanted: 2,
            served: 2,
            watched: 1,
            ..Records::default()
        }
    }

    /// Which rules are broken, by their place in the list, in a play that was good but for this.
    fn broken(spoil: impl FnOnce(&mut Records)) -> Vec<usize> {
        let mut records = good();
        spoil(&mut records);
        let findings = judge(&records, &TERMS);
        findings.iter().enumerate().filter(|(_, f)| !f.breaches.is_empty()).map(|(n, _)| n).collect()
    }

    #[gtest]
    fn a_good_play_keeps_all() {
        let findings = judge(&good(), &TERMS);
        expect_that!(verdict(&findings), eq(Verdict::Kept), "{findings:?}");
    }

    #[gtest]
    fn each_rule_is_broken_by_what_breaks_it_alone() {
        expect_that!(broken(|r| r.runs.push(run("a", 300))), eq(&[0]), "ran twice");
        expect_that!(broken(|r| r.runs.push(run("c", 300))), eq(&[1]), "refused and ran");
        let seal = |r: &mut Records| r.runs[0].seal = "other".into();
        expect_that!(broken(seal), eq(&[2]), "another seal");
        let body = |r: &mut Records| r.tries[0].answer.as_mut().expect("one").body.truncate(3);
        expect_that!(broken(body), eq(&[2]), "half a body");
        let id = |r: &mut Records| r.tries[0].answer.as_mut().expect("one").id = Some("b".into());
        expect_that!(broken(id), eq(&[2]), "another's answer");
        expect_that!(broken(|r| r.runs.push(run("z", 300))), eq(&[3]), "nobody's");
        expect_that!(broken(|r| r.runs[0].asked = "GET /r".into()), eq(&[3]), "changed");
        expect_that!(broken(|r| r.runs[0].tenant = None), eq(&[3]), "another's");
        expect_that!(broken(|r| r.runs[0].key = true), eq(&[3]), "the key");
        expect_that!(broken(|r| r.routes.clear()), eq(&[4]), "never a route");
        expect_that!(broken(|r| r.changes[0].services.clear()), eq(&[4]), "an old route");
        expect_that!(broken(|r| r.drained[0].server = "i".into()), eq(&[5]), "run late");
        expect_that!(broken(|r| r.late.push(("j".into(), 1_000_001))), eq(&[5]), "turned away late");
        expect_that!(broken(|r| r.read = None), eq(&[7]), "not read");
        expect_that!(broken(|r| r.read = Some(BTreeMap::new())), eq(&[7]), "missing");
        expect_that!(broken(|r| r.acknowledged.clear()), eq(&[7]), "dropped, and there");
        let older = |r: &mut Records| r.acknowledged.values_mut().for_each(BTreeMap::clear);
        expect_that!(broken(older), eq(&[7]), "another value");
        expect_that!(broken(|r| r.served = 1), eq(&[8]), "served too few");
        expect_that!(broken(|r| r.ended.push("scout-1".into())), eq(&[9]), "ended unasked");
    }

    #[gtest]
    fn a_quota_is_held_in_every_sliding_window() {
        // (1 x 2 + 0) x 1.1 + 1 = 3.2 in two seconds.
        let with = |times: &[Micros]| {
            let times = times.to_vec();
            broken(move |r| {
                for (n, at) in times.into_iter().enumerate() {
                    r.tries.push(tried(&format!("q{n}"), 200));
                    r.runs.push(run(&format!("q{n}"), at));
                }
            })
        };
        let none: [usize; 0] = [];
        expect_that!(with(&[9_000_000, 10_000_000, 11_000_000]), eq(&none), "three");
        expect_that!(with(&[9_500_000, 10_000_000, 11_400_000, 11_500_000]), eq(&[6]), "four in exactly one");
        expect_that!(
            with(&[9_499_999, 10_000_000, 11_400_000, 11_500_000]),
            eq(&none),
            "four in a wider one"
        );
    }

    #[gtest]
    fn within_the_times_that_are_given_nothing_is_broken() {
        let none: [usize; 0] = [];
        expect_that!(broken(|r| r.late.push(("j".into(), 1_000_000))), eq(&none));
        let early = |r: &mut Records| {
            r.changes[0].services.clear();
            r.tries[1].sent = 2_000_000;
        };
        expect_that!(broken(early), eq(&none));
        let repeated = |r: &mut Records| {
            r.tries[0].safe = true;
            r.runs.push(run("a", 300));
        };
        expect_that!(broken(repeated), eq(&none), "safe requests may run again");
    }

    #[gtest]
    fn what_was_held_against_nothing_is_not_kept() {
        let mut records = good();
        records.drained.clear();
        expect_that!(verdict(&judge(&records, &TERMS)), eq(Verdict::Unproven));
        records.runs.push(run("a", 300));
        expect_that!(verdict(&judge(&records, &TERMS)), eq(Verdict::Broken));
    }
}
