//! Operators' calls, which are forwarded to a store.

use std::collections::BTreeMap;

use pinerelay_admission::Micros;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{CallReply, ForwardedCall, PeerMessage};

use super::{Output, Registry, AFTER_CALL_STALL, CALL_STALL, STALL};
use crate::control_call::ControlCall;

/// A call that no store has answered by then gets 503 with the next tick: its caller goes elsewhere after a second.
const CALL_TIMEOUT: Micros = 900_000;
/// No call is forwarded to a store that has been silent for two of its status intervals.
const STORE_TIMEOUT: Micros = 1_200_000;

/// Who waits for the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    /// A caller from outside, whose call came under this number.
    Outside(u64),
    /// This registry itself, which sees by the items what came of it.
    Registry,
}

impl Caller {
    fn answer(self, reply: CallReply, out: &mut Vec<Output>) {
        if let Caller::Outside(call) = self {
            out.push(Output::Answer(call, reply));
        }
    }
}

/// A call that is with a store.
#[derive(Debug)]
struct OpenCall {
    caller: Caller,
    since: Micros,
    /// The connection on which it was forwarded, and on which alone its answer comes.
    store: ConnectionId,
    forwarded: ForwardedCall,
}

/// The calls that are with a store, by the number under which they were forwarded.
#[derive(Debug, Default)]
pub(super) struct ForwardedCalls {
    open: BTreeMap<u64, OpenCall>,
    /// How many were forwarded.
    pub total: u64,
}

impl Registry {
    /// A call from outside, under a number that is returned with the answer.
    pub fn call(&mut self, now: Micros, number: u64, call: ControlCall, out: &mut Vec<Output>) {
        match call {
            ControlCall::Heartbeat { id, heartbeat } => self.on_heartbeat(now, number, &id, heartbeat, out),
            ControlCall::Leave { id } => self.on_leave(now, number, &id, out),
            // The caller of a change may have been rejected elsewhere meanwhile.
            ControlCall::Update(_) | ControlCall::StartRollout(_) if self.may_have_waited(now) => {
                let reply = CallReply::error(503, "the registry has stood still");
                out.push(Output::Answer(number, reply));
            }
            ControlCall::Update(body) => {
                self.forward(now, Caller::Outside(number), ForwardedCall::Update(body), out)
            }
            ControlCall::Read => self.forward(now, Caller::Outside(number), ForwardedCall::Read, out),
            ControlCall::StartRollout(order) => self.start_rollout(now, number, order, out),
            ControlCall::ReadRollout(service) => {
                self.forward(now, Caller::Outside(number), ForwardedCall::ReadRollout(service), out);
            }
        }
    }

    /// Whether a call may have waited here while the process had stalled.
    fn may_have_waited(&self, now: Micros) -> bool {
        now > self.last_tick + CALL_STALL || self.resumed_at.is_some_and(|at| now < at + AFTER_CALL_STALL)
    }

    pub(super) fn forward(
        &mut self,
        now: Micros,
        caller: Caller,
        forwarded: ForwardedCall,
        out: &mut Vec<Output>,
    ) {
        self.calls.total += 1;
        self.forward_to_store(now, caller, now, forwarded, out);
    }

    /// Forwards a call to the machine's own store, or to any other that is heard; with none its caller is answered at once.
    fn forward_to_store(
        &mut self,
        now: Micros,
        caller: Caller,
        since: Micros,
        forwarded: ForwardedCall,
        out: &mut Vec<Output>,
    ) {
        let stores = self.own_store().into_iter().chain(self.reported_stores());
        let heard = { stores }.find(|&store| self.is_heard(now, store));
        let Some(store) = heard else {
            return caller.answer(CallReply::error(503, "no store is reached"), out);
        };
        let number = self.next_number();
        self.calls.open.insert(number, OpenCall { caller, since, store, forwarded: forwarded.clone() });
        out.push(Output::Send(store, PeerMessage::ForwardCall(number, forwarded)));
    }

    /// Whether a store is heard, as far as this process would know.
    fn is_heard(&self, now: Micros, store: ConnectionId) -> bool {
        let has_stalled = now > self.last_tick + STALL;
        has_stalled || self.stores.get(&store).is_some_and(|store| now < store.last_message + STORE_TIMEOUT)
    }

    /// A store has answered a call. Numbers begin anew with each process, so one that is in use here may come from elsewhere.
    pub(super) fn on_call_reply(
        &mut self,
        store: ConnectionId,
        number: u64,
        reply: CallReply,
        out: &mut Vec<Output>,
    ) {
        if self.calls.open.get(&number).is_some_and(|open| open.store == store) {
            if let Some(OpenCall { caller, .. }) = self.calls.open.remove(&number) {
                caller.answer(reply, out);
            }
        }
    }

    /// The connection to a store has gone, and no answer comes on it any more. A read is forwarded to another store.
    ///
    /// An update is not, and its caller is not answered at once, either: the store may still have it, and commit it after
    /// another has rejected it. Its time at the store is over once [`CALL_TIMEOUT`] is over here.
    pub(super) fn forward_reads_again(&mut self, now: Micros, store: ConnectionId, out: &mut Vec<Output>) {
        let is_read = |open: &OpenCall| open.store == store && !open.forwarded.is_change();
        let reads = self.calls.open.iter().filter(|(_, open)| is_read(open));
        let numbers: Vec<u64> = reads.map(|(&number, _)| number).collect();
        for number in numbers {
            if let Some(OpenCall { caller, since, forwarded, .. }) = self.calls.open.remove(&number) {
                self.forward_to_store(now, caller, since, forwarded, out);
            }
        }
    }

    /// Answers calls that no store has answered in time.
    pub(super) fn expire_calls(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = self.calls.open.iter().filter(|(_, open)| now >= open.since + CALL_TIMEOUT);
        let numbers: Vec<u64> = late.map(|(&number, _)| number).collect();
        for number in numbers {
            if let Some(OpenCall { caller, .. }) = self.calls.open.remove(&number) {
                let reply = CallReply::error(503, "the store has not answered in time");
                caller.answer(reply, out);
            }
        }
    }
}
