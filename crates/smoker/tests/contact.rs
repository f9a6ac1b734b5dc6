//! For how long a proxy has been without a current registry, and from when on it may serve unconfirmed.

use googletest::prelude::*;
use pinerelay_smoker::check::{Invariant, Ledger, CONTACT, UNCONFIRMED};
use pinerelay_smoker::contact::Contact;
use pinerelay_smoker::look::LOOK;
use pinerelay_smoker::plan::{Micros, SECOND};

const PROXY: usize = 7;
const BEGUN: Micros = 5 * SECOND;
const CONNECTION: usize = 3;
const OTHER_CONNECTION: usize = 4;

/// Looks at it from one moment to another while it runs and these connections lead to current registries.
fn pass(contact: &mut Contact, from: Micros, to: Micros, current: &[usize]) {
    (from..to).step_by(LOOK as usize).for_each(|now| contact.look(now, 0, current));
}

#[gtest]
fn a_contact_counts_once_it_has_lasted() {
    let mut contact = Contact::new(1, BEGUN);
    pass(&mut contact, BEGUN, 8 * SECOND, &[]);
    expect_that!(contact.alone(8 * SECOND), eq(8 * SECOND - BEGUN));
    // Two short ones, one after the other, are no long one.
    pass(&mut contact, 8 * SECOND, 10 * SECOND, &[CONNECTION]);
    pass(&mut contact, 10 * SECOND, 12 * SECOND, &[OTHER_CONNECTION]);
    expect_that!(contact.alone(12 * SECOND), eq(12 * SECOND - BEGUN));
    pass(&mut contact, 12 * SECOND, 12 * SECOND + CONTACT, &[OTHER_CONNECTION]);
    let last = 12 * SECOND + CONTACT - LOOK;
    expect_that!(contact.alone(last), eq(CONTACT));
    pass(&mut contact, 12 * SECOND + CONTACT, 30 * SECOND, &[]);
    expect_that!(contact.alone(30 * SECOND), eq(30 * SECOND - last + CONTACT));
}

#[gtest]
fn after_a_standstill_it_is_counted_anew() {
    let frozen = |span| {
        let mut contact = Contact::new(1, BEGUN);
        let until = 8 * SECOND + span;
        (8 * SECOND..until).step_by(LOOK as usize).for_each(|now| contact.look(now, until, &[CONNECTION]));
        pass(&mut contact, until, 12 * SECOND, &[]);
        contact.alone(12 * SECOND)
    };
    expect_that!(frozen(SECOND / 2), eq(12 * SECOND - BEGUN));
    expect_that!(frozen(SECOND), eq(12 * SECOND - 9 * SECOND));
}

#[gtest]
fn who_serves_unconfirmed_too_soon_is_found() {
    let broken = |alone| {
        let mut ledger = Ledger::default();
        ledger.unconfirmed(PROXY, alone);
        ledger.breach.map(|(invariant, _)| invariant)
    };
    expect_that!(broken(UNCONFIRMED - 1), some(eq(Invariant::Unconfirmed)));
    expect_that!(broken(UNCONFIRMED), none());
}
