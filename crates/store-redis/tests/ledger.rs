//! Idempotent adds: random schedules of lost answers, calls carried out late and out of order, refusals and
//! fail-overs, against a store that does what a Redis would.

use std::collections::BTreeMap;

use mountbend::interface::CountName;
use pinerelay_store_redis::ledger::{End, Ledger, Ticket, Write, PARTS};
use proptest::prelude::*;

const NAME: CountName = CountName(7);
const LIFE: u64 = 60_000_000;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A call, of so many tenths of a unit.
    Call(i32),
    /// One of the calls that are on the way arrives at the store.
    Arrive(usize),
    /// One of the answers that are on the way arrives at the node.
    Answer(usize),
    /// One of the calls that have come is turned away.
    Refuse(usize),
    /// The node waits no longer for one of its calls.
    TimeOut(usize),
    /// All connections end: what is on the way may arrive all the same, and no answer comes.
    Break,
    /// The store falls back to what it held some writes ago.
    FailOver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (-60..90i32).prop_map(Step::Call),
        6 => any::<usize>().prop_map(Step::Arrive),
        6 => any::<usize>().prop_map(Step::Answer),
        1 => any::<usize>().prop_map(Step::Refuse),
        2 => any::<usize>().prop_map(Step::TimeOut),
        1 => Just(Step::Break),
        1 => (1..4usize).prop_map(Step::FailOver),
    ]
}

/// A call as the store gets it, and as the node waits for it.
struct Out {
    writes: Vec<Write>,
    amount: i64,
    ticket: Option<Ticket>,
    /// Its answer, once the store has dealt with it: carried out, or refused.
    dealt: Option<bool>,
    told: bool,
}

#[derive(Default)]
struct Play {
    ledger: Ledger,
    calls: Vec<Out>,
    store: BTreeMap<u32, i64>,
    /// What the store held before each write, the latest last.
    before: Vec<BTreeMap<u32, i64>>,
    /// What the node holds for good, in tenths of a unit.
    granted: i64,
    /// The store has fallen back, and no call made since (from this one on) has come to it.
    fallen: Option<usize>,
}

impl Play {
    fn pick(&self, at: usize, wanted: impl Fn(&Out) -> bool) -> Option<usize> {
        let fit: Vec<usize> = (0..self.calls.len()).filter(|&i| wanted(&self.calls[i])).collect();
        (!fit.is_empty()).then(|| fit[at % fit.len()])
    }

    fn call(&mut self, tenths: i64) {
        // What the node gives back it holds.
        let amount = tenths.max(-self.granted);
        let (writes, ticket) =
            self.ledger.add(0, NAME, amount as f64 / 10.0, LIFE).expect("an amount that fits");
        if amount < 0 {
            self.granted += amount;
        }
        self.calls.push(Out { writes, amount, ticket: Some(ticket), dealt: None, told: false });
    }

    fn arrive(&mut self, i: usize) {
        self.before.push(self.store.clone());
        self.store.extend(self.calls[i].writes.iter().map(|w| (w.field, w.parts)));
        self.calls[i].dealt = Some(true);
        self.fallen = self.fallen.filter(|&since| i < since);
    }

    fn answer(&mut self, i: usize) {
        let call = &mut self.calls[i];
        let done = call.dealt == Some(true);
        if let Some(ticket) = call.ticket.take() {
            self.ledger.end(ticket, End::Answered);
        }
        let (amount, first) = (call.amount, !std::mem::replace(&mut call.told, true));
        match (first, done) {
            (true, true) => self.granted += amount.max(0),
            (true, false) => self.without(amount),
            (false, _) => {}
        }
    }

    /// A lease that did not come, or not in time, is not used and taken back. What was given back stays so: it
    /// goes with the next call.
    fn without(&mut self, amount: i64) {
        if amount > 0 {
            self.ledger.take_back(NAME, amount as f64 / 10.0);
        }
    }

    fn time_out(&mut self, i: usize) {
        self.calls[i].told = true;
        self.without(self.calls[i].amount);
    }

    fn lose_all(&mut self) {
        for i in 0..self.calls.len() {
            if let Some(ticket) = self.calls[i].ticket.take() {
                self.ledger.end(ticket, End::Lost);
                if !self.calls[i].told {
                    self.time_out(i);
                }
            }
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Call(tenths) => self.call(tenths.into()),
            Step::Arrive(at) => {
                if let Some(i) = self.pick(at, |c| c.dealt.is_none()) {
                    self.arrive(i);
                }
            }
            Step::Answer(at) => {
                if let Some(i) = self.pick(at, |c| c.dealt.is_some() && c.ticket.is_some()) {
                    self.answer(i);
                }
            }
            Step::Refuse(at) => {
                if let Some(i) = self.pick(at, |c| c.dealt.is_none() && c.ticket.is_some()) {
                    self.calls[i].dealt = Some(false);
                }
            }
            Step::TimeOut(at) => {
                if let Some(i) = self.pick(at, |c| !c.told) {
                    self.time_out(i);
                }
            }
            Step::Break => self.lose_all(),
            Step::FailOver(writes) => {
                let kept = self.before.len().saturating_sub(writes);
                if let Some(old) = self.before.get(kept).cloned() {
                    self.store = old;
                    self.before.truncate(kept);
                    self.fallen = Some(self.calls.len());
                }
            }
        }
    }

    /// What the store holds, in tenths of a unit.
    fn total(&self) -> f64 {
        self.store.values().sum::<i64>() as f64 / PARTS * 10.0
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_lost_the_total_is_what_was_granted(steps in prop::collection::vec(step(), 1..60)) {
        let mut play = Play::default();
        for step in steps {
            play.play(step);
            // Never under: what the node holds stands in the store, but for what a fail-over has lost until the
            // node's next call.
            prop_assert!(play.fallen.is_some() || play.total() >= play.granted as f64 - 1e-3,
                "{} in the store, {} granted", play.total(), play.granted);
        }
        // One more call that is carried out and answered, and then all that is still on the way, in any order.
        play.lose_all();
        play.call(0);
        let last = play.calls.len() - 1;
        play.arrive(last);
        play.answer(last);
        prop_assert!((play.total() - play.granted as f64).abs() < 1e-3, "{} and {}", play.total(), play.granted);
        while let Some(late) = play.pick(0, |c| c.dealt.is_none()) {
            play.arrive(late);
            prop_assert!((play.total() - play.granted as f64).abs() < 1e-3,
                "{} and {} after a late call", play.total(), play.granted);
        }
    }
}

#[test]
fn a_million_adds_and_give_backs_leave_no_drift() {
    let (mut ledger, mut store, mut exact) = (Ledger::default(), 0i64, 0u64);
    for i in 0..500_000u64 {
        // Thirds and sevenths of a unit: none of them is a whole number of parts.
        let amount = (1 + i % 11) as f64 / if i % 2 == 0 { 3.0 } else { 7.0 };
        exact += (1 + i % 11) * if i % 2 == 0 { 7 } else { 3 };
        for amount in [amount * 2.0, -amount] {
            let (writes, ticket) = ledger.add(0, NAME, amount, LIFE).expect("an amount that fits");
            assert_eq!(writes.len(), 1);
            store = writes[0].parts;
            ledger.end(ticket, End::Answered);
        }
    }
    let exact = exact as f64 / 21.0;
    assert!((store as f64 / PARTS - exact).abs() < 2e-6, "{} and {exact}", store as f64 / PARTS);
}

#[test]
fn amounts_that_are_no_numbers_or_too_large_change_nothing() {
    let mut ledger = Ledger::default();
    for amount in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e10, -1e10] {
        assert!(ledger.add(0, NAME, amount, LIFE).is_none(), "{amount}");
    }
    assert!(ledger.is_empty());
    let (writes, _) = ledger.add(0, NAME, 2.5, LIFE).expect("fits");
    assert_eq!(writes, [Write { field: 0, parts: 2_500_000 }]);
}

#[test]
fn counts_are_forgotten_once_no_call_can_be_out() {
    let mut ledger = Ledger::default();
    for i in 0..1_000u64 {
        ledger.add(i * 1_000_000, CountName(i), 1.0, LIFE).expect("fits");
    }
    assert!((119..=121).contains(&ledger.len()), "{} of 1000, one a second, are held", ledger.len());
}
