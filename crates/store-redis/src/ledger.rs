//! This node's share of each counter, and the idempotent writes that add to it. No I/O and no clock: the caller
//! passes the time in.
//!
//! A counter is a Redis hash. Each node writes only its own fields, and the counter's total is the sum of all fields.
//! Every call writes *all* of the node's fields with their new absolute values, so a call can be repeated after a lost
//! reply, and data that the store has lost is restored by the node's next call.
//!
//! Calls can be executed out of order: one without a reply may be executed after calls made later, and must not reset
//! a field to an older value. A field with a write in flight therefore keeps its value until all those writes have
//! been answered; a call made meanwhile changes a field without a write in flight, or adds a field. A field whose
//! write was in flight when its connection ended is never changed again.

use std::collections::{BTreeMap, VecDeque};

use mountbend::interface::{CountName, Micros};

/// Amounts are stored as integers, in parts of a unit. A sum of floats would drift: after a million leases and
/// returns, the counter would contain fractions of units that no node holds.
pub const PARTS_PER_UNIT: f64 = 1e6;
/// The largest absolute value of one node's share of a counter, in parts. Sums up to this value are exact both as
/// integers and as floats.
const MAX_PARTS: f64 = 4e15;

/// One field that a call writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Write {
    /// The field's index among this node's fields.
    pub field: u32,
    /// The new value, in parts of a unit.
    pub parts: i64,
}

/// A call in flight. It is completed exactly once, by [`Ledger::end`].
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    name: CountName,
    /// The number of fields that the call writes: all that the node had when it was made.
    field_count: usize,
}

/// How a call in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The server replied with a total or an error: the call will not be executed later.
    Answered,
    /// No reply came, so the call may still be executed at any later time.
    Lost,
}

#[derive(Debug, Default, Clone, Copy)]
struct Field {
    parts: i64,
    /// The number of calls in flight that write this field.
    in_flight: u32,
    /// A call that writes this field was lost: its value must never change again.
    frozen: bool,
}

#[derive(Debug, Default)]
struct Count {
    /// This node's share: the sum that its fields are to have.
    parts: i64,
    /// The rounding remainder of the share, at most half a part.
    remainder: f64,
    fields: Vec<Field>,
}

/// This node's share of every counter that it has added to.
#[derive(Debug, Default)]
pub struct Ledger {
    counts: BTreeMap<CountName, Count>,
    /// When each counter may be removed, in order of creation; one entry per counter.
    expiries: VecDeque<(Micros, CountName)>,
}

impl Ledger {
    /// Adds an amount to a counter. Returns the fields to write and the ticket of the call, or `None`, with nothing
    /// changed, if the amount is not finite or the share would be out of range. A counter is kept for twice its
    /// lifetime `keep_for`, after which none of its calls can be in flight.
    pub fn add(
        &mut self,
        now: Micros,
        name: CountName,
        amount: f64,
        keep_for: Micros,
    ) -> Option<(Vec<Write>, Ticket)> {
        self.remove_expired(now);
        let current = self.counts.get(&name).map_or((0, 0.0), |c| (c.parts, c.remainder));
        let exact = amount * PARTS_PER_UNIT + current.1;
        let parts = exact.round();
        if !parts.is_finite() || (parts + current.0 as f64).abs() > MAX_PARTS {
            return None;
        }
        let expiries = &mut self.expiries;
        let count = self.counts.entry(name).or_insert_with(|| {
            expiries.push_back((now.saturating_add(keep_for.saturating_mul(2)), name));
            Count::default()
        });
        (count.parts, count.remainder) = (current.0 + parts as i64, exact - parts);
        let free = count.fields.iter().position(|f| f.in_flight == 0 && !f.frozen).unwrap_or_else(|| {
            count.fields.push(Field::default());
            count.fields.len() - 1
        });
        let others: i64 =
            count.fields.iter().enumerate().filter(|&(i, _)| i != free).map(|(_, f)| f.parts).sum();
        count.fields[free].parts = count.parts - others;
        let writes = (0u32..).zip(&mut count.fields).map(|(field, f)| {
            f.in_flight += 1;
            Write { field, parts: f.parts }
        });
        let writes: Vec<Write> = writes.collect();
        let field_count = writes.len();
        Some((writes, Ticket { name, field_count }))
    }

    /// Subtracts what a call added: the next call for this counter writes the node's fields without it. Only for leased
    /// units that the node has not used. A rejected return must not be reverted: calls made since may include it, and
    /// reverting it would leave the counter below what the node holds until its next call.
    pub fn revert(&mut self, name: CountName, amount: f64) {
        let Some(count) = self.counts.get_mut(&name) else { return };
        let exact = count.remainder - amount * PARTS_PER_UNIT;
        if exact.is_finite() {
            count.parts += exact.round() as i64;
            count.remainder = exact - exact.round();
        }
    }

    /// Completes a call in flight.
    pub fn end(&mut self, ticket: Ticket, end: End) {
        let Some(count) = self.counts.get_mut(&ticket.name) else { return };
        for f in count.fields.iter_mut().take(ticket.field_count) {
            f.in_flight = f.in_flight.saturating_sub(1);
            f.frozen |= end == End::Lost;
        }
    }

    /// The number of counters.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether there are no counters.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Removes expired counters. New names keep being created, so the map would grow without bound otherwise.
    fn remove_expired(&mut self, now: Micros) {
        while let Some(&(_, name)) = self.expiries.front().filter(|&&(expiry, _)| expiry < now) {
            self.expiries.pop_front();
            self.counts.remove(&name);
        }
    }
}
