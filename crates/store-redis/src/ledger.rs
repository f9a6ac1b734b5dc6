//! What this node holds in each count, and what a call must write so that an answer that is lost changes nothing.
//! No I/O, no clock: time is passed in.
//!
//! A count is a hash. Each node writes fields of its own alone, and the count's total is the sum of all fields. A
//! call writes *all* of the node's fields with the values that they have from now on, so that to write them twice is
//! to write them once, and what a store has lost comes back with the node's next call.
//!
//! What remains is order. A call without an answer may be carried out at any later time, after calls made since:
//! it must not set a field back. So a field that is out with one value takes no other until all answers to it have
//! come; a call made meanwhile changes a field that is not out, or a new one. A field that is out on a connection
//! that has ended takes no other value ever.

use std::collections::{BTreeMap, VecDeque};

use mountbend::interface::{CountName, Micros};

/// Parts of a unit that amounts are counted in. Danger: a sum of floats drifts; a million leases and give-backs
/// would leave parts of units that nobody holds.
pub const PARTS: f64 = 1e6;
/// The most that one count may hold of a node, in parts, either way: sums of it stay exact as whole numbers and as
/// floats.
const MOST: f64 = 4e15;

/// One value that a call writes: the field's number among the node's own, and the value in parts of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Write {
    /// The field.
    pub field: u32,
    /// Its value.
    pub parts: i64,
}

/// A call that is out. It ends exactly once, through [`Ledger::end`].
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    name: CountName,
    /// How many fields the node had then: a call writes them all.
    fields: usize,
}

/// How a call that is out has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It has been answered, by a total or a refusal: it will not be carried out any more.
    Answered,
    /// Its connection has ended: it may be carried out at any time to come.
    Lost,
}

#[derive(Debug, Default, Clone, Copy)]
struct Field {
    parts: i64,
    /// Calls without an answer that write it.
    out: u32,
    /// One of them was lost.
    fixed: bool,
}

#[derive(Debug, Default)]
struct Count {
    /// What this node is to hold in all.
    parts: i64,
    /// What it is to hold beyond whole parts, under half a part.
    rest: f64,
    fields: Vec<Field>,
}

/// All counts that this node holds something of.
#[derive(Debug, Default)]
pub struct Ledger {
    counts: BTreeMap<CountName, Count>,
    /// When counts may be forgotten, in the order in which they came; once for each.
    ends: VecDeque<(Micros, CountName)>,
}

impl Ledger {
    /// Adds an amount to a count: what a call is to write, and the call's ticket. `None` if the amount is no number
    /// or past what a count may hold; nothing has changed then. A count is kept until twice its life is over, by
    /// when no call of it can be out any more.
    pub fn add(
        &mut self,
        now: Micros,
        name: CountName,
        amount: f64,
        keep_for: Micros,
    ) -> Option<(Vec<Write>, Ticket)> {
        self.forget(now);
        let held = self.counts.get(&name).map_or((0, 0.0), |c| (c.parts, c.rest));
        let exact = amount * PARTS + held.1;
        let parts = exact.round();
        if !parts.is_finite() || (parts + held.0 as f64).abs() > MOST {
            return None;
        }
        let ends = &mut self.ends;
        let count = self.counts.entry(name).or_insert_with(|| {
            ends.push_back((now.saturating_add(keep_for.saturating_mul(2)), name));
            Count::default()
        });
        (count.parts, count.rest) = (held.0 + parts as i64, exact - parts);
        let free = count.fields.iter().position(|f| f.out == 0 && !f.fixed).unwrap_or_else(|| {
            count.fields.push(Field::default());
            count.fields.len() - 1
        });
        let others: i64 =
            count.fields.iter().enumerate().filter(|&(i, _)| i != free).map(|(_, f)| f.parts).sum();
        count.fields[free].parts = count.parts - others;
        let writes = (0u32..).zip(&mut count.fields).map(|(field, f)| {
            f.out += 1;
            Write { field, parts: f.parts }
        });
        let writes: Vec<Write> = writes.collect();
        let fields = writes.len();
        Some((writes, Ticket { name, fields }))
    }

    /// Takes back what a call added: the next call of this count writes the node's fields without it. For what the
    /// node has not used alone. Danger: a give-back that was refused may stand in calls made since; to undo that
    /// too would leave the count under what the node holds until it calls again.
    pub fn take_back(&mut self, name: CountName, amount: f64) {
        let Some(count) = self.counts.get_mut(&name) else { return };
        let exact = count.rest - amount * PARTS;
        if exact.is_finite() {
            count.parts += exact.round() as i64;
            count.rest = exact - exact.round();
        }
    }

    /// A call that was out has ended.
    pub fn end(&mut self, ticket: Ticket, end: End) {
        let Some(count) = self.counts.get_mut(&ticket.name) else { return };
        for f in count.fields.iter_mut().take(ticket.fields) {
            f.out = f.out.saturating_sub(1);
            f.fixed |= end == End::Lost;
        }
    }

    /// How many counts are held.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Danger: names are ever new, and what is held of each would grow without end.
    fn forget(&mut self, now: Micros) {
        while let Some(&(_, name)) = self.ends.front().filter(|&&(until, _)| until < now) {
            self.ends.pop_front();
            self.counts.remove(&name);
        }
    }
}
