//! The judge on what follows a kill of all processes, and on the operator's calls.

use std::ops::Range;

use googletest::prelude::*;
use pinerelay_meadow::judge::{judge, serves_again, Rule, Terms};
use pinerelay_meadow::record::{Micros, Outage, Outcome, Records};

use super::{broken, good, NONE, TERMS};

const SECOND: Micros = 1_000_000;
/// When all processes were killed, and when all ran again: far behind the other tries.
const KILLED: Micros = 100 * SECOND;
pub const RUNNING: Micros = 102 * SECOND;
/// When `recovery` is over, and a second after it.
const DUE: Micros = RUNNING + TERMS.recovery;
const SECOND_LATE: Range<Micros> = DUE + 2 * SECOND..DUE + 3 * SECOND;

/// Records of a play in which all processes were killed.
pub trait WithOutage {
    /// With an outage, and twenty requests a second from it on until five seconds after `recovery`, of which some are served.
    fn with_outage(self, served: impl Fn(Micros) -> bool) -> Records;
}

impl WithOutage for Records {
    fn with_outage(mut self, served: impl Fn(Micros) -> bool) -> Records {
        self.outages = vec![Outage { killed: KILLED, running: Some(RUNNING), ready: Some(RUNNING) }];
        let begins = (KILLED..DUE + 5 * SECOND).step_by(50_000);
        self.outcomes = begins.map(|begun| Outcome { begun, served: served(begun) }).collect();
        self.wanted = 2 + self.outcomes.len();
        self.served = 2 + self.outcomes.iter().filter(|o| o.served).count();
        self
    }
}

#[gtest]
fn after_a_kill_of_all_a_quarter_of_each_second_is_served_once_recovery_is_over() {
    let served = |served: fn(Micros) -> bool| broken(|r| *r = std::mem::take(r).with_outage(served));
    expect_that!(served(|b| b >= RUNNING && !SECOND_LATE.contains(&b)), eq(&[Rule::Recovered]), "none of 20");
    let four = |b| b >= RUNNING && (!SECOND_LATE.contains(&b) || b < SECOND_LATE.start + 200_000);
    expect_that!(served(four), eq(&[Rule::Recovered]), "four of 20");
    let five = |b| b >= RUNNING && (!SECOND_LATE.contains(&b) || b < SECOND_LATE.start + 250_000);
    expect_that!(served(five), eq(&NONE), "five of 20");
    expect_that!(served(|b| b >= DUE), eq(&NONE), "just in time");
    expect_that!(served(|b| b >= DUE + SECOND), eq(&[Rule::Recovered]), "a second late");
    let ready = |ready| broken(|r| r.outages[0].ready = ready);
    expect_that!(ready(None), eq(&[Rule::Recovered]), "no proxy ready");
    expect_that!(ready(Some(DUE + 1)), eq(&[Rule::Recovered]), "ready late");
    expect_that!(ready(Some(DUE)), eq(&NONE), "ready just in time");
}

#[gtest]
fn what_is_lost_outside_an_outage_counts() {
    let lost_from = |from: Micros| {
        broken(|r| {
            r.outcomes.extend((0..60).map(|n| Outcome { begun: from + n, served: false }));
            r.wanted += 60;
        })
    };
    expect_that!(lost_from(KILLED - TERMS.client_wait), eq(&NONE), "a client may still have waited");
    expect_that!(lost_from(KILLED - TERMS.client_wait - 60), eq(&[Rule::Served]), "it may not");
    expect_that!(lost_from(RUNNING + SECOND), eq(&[Rule::Served]), "after it was served again");
    // Killed again before it could serve: what is lost after the second time counts as well.
    let twice = |lost: Range<Micros>| {
        broken(|r| {
            let served = |begun: Micros| begun >= RUNNING + 2 * SECOND && !lost.contains(&begun);
            *r = std::mem::take(r).with_outage(served);
            let running = Some(RUNNING + 2 * SECOND);
            r.outages.push(Outage { killed: RUNNING + SECOND, running, ready: running });
        })
    };
    expect_that!(twice(0..0), eq(&NONE), "what both cost");
    expect_that!(twice(RUNNING + 4 * SECOND..RUNNING + 7 * SECOND), eq(&[Rule::Served]), "and more");
}

#[gtest]
fn the_time_until_nearly_all_are_served_is_told() {
    let again = |served: fn(Micros) -> bool| {
        let records = Records::default().with_outage(served);
        serves_again(&records, &records.outages[0], &TERMS)
    };
    expect_that!(again(|begun| begun >= RUNNING), some(eq(RUNNING)));
    // Eighteen of twenty.
    expect_that!(again(|begun| begun >= RUNNING + SECOND), some(eq(RUNNING + 900_000)));
    expect_that!(again(|_| false), none());
}

#[gtest]
fn a_play_that_ends_before_recovery_says_nothing_of_it() {
    let mut records = good().with_outage(|_| false);
    records.outcomes.retain(|o| o.begun < RUNNING + 5 * SECOND);
    let findings = judge(&records, &TERMS);
    let recovered = findings.iter().find(|f| f.rule == Rule::Recovered).expect("it is a soak");
    expect_that!((recovered.looked_at, recovered.breaches.len()), eq((0, 0)));
    let judged = judge(&records, &Terms { soak: false, ..TERMS });
    expect_that!(judged.iter().any(|f| [Rule::Recovered, Rule::Acknowledged].contains(&f.rule)), eq(false));
}

#[gtest]
fn a_call_of_the_operator_that_nobody_acknowledges_is_found() {
    expect_that!(broken(|r| r.unacknowledged.push("Add(3)".into())), eq(&[Rule::Acknowledged]));
}
