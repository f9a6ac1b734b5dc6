//! Dispatches control calls, and forwards those of operators to a store.

use std::collections::BTreeMap;

use pinerelay_admission::Micros;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{CallReply, ForwardedCall, PeerMessage};

use super::processes::StoreLink;
use super::{Output, Registry, CALL_REJECT_PERIOD, CALL_STALL_THRESHOLD, STALL_THRESHOLD};
use crate::control_call::ControlCall;

/// A call that no store has answered within this time is answered with 503 at the next tick: its caller retries at another
/// registry after a second.
const CALL_TIMEOUT: Micros = 900_000;
/// Calls are not forwarded to a store that has been silent for this long, which is two of its status intervals.
const STORE_TIMEOUT: Micros = 1_200_000;

/// The origin of a forwarded call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Caller {
    /// An external caller; holds the number that identifies its call.
    External(u64),
    /// This registry itself. It ignores the answer, as it receives the changed items.
    Registry,
}

impl Caller {
    fn answer(self, reply: CallReply, out: &mut Vec<Output>) {
        if let Caller::External(call) = self {
            out.push(Output::Answer(call, reply));
        }
    }
}

/// A call that was forwarded to a store and is not answered yet.
#[derive(Debug)]
struct OpenCall {
    caller: Caller,
    /// When the call arrived; a retry does not change it.
    since: Micros,
    /// The connection on which it was forwarded; answers on other connections are ignored.
    store: ConnectionId,
    forwarded: ForwardedCall,
}

/// The calls that stores have not answered yet.
#[derive(Debug, Default)]
pub(super) struct ForwardedCalls {
    /// By the number under which each was forwarded.
    open: BTreeMap<u64, OpenCall>,
    /// The total number of calls passed to [`Registry::forward`].
    pub total: u64,
}

impl Registry {
    /// Handles a control call. The number identifies it in [`Output::Answer`].
    pub fn call(&mut self, now: Micros, number: u64, call: ControlCall, out: &mut Vec<Output>) {
        match call {
            ControlCall::Heartbeat { id, heartbeat } => self.on_heartbeat(now, number, &id, heartbeat, out),
            ControlCall::Leave { id } => self.on_deregister(now, number, &id, out),
            // The caller may have retried a change at another registry meanwhile, and been rejected there.
            ControlCall::Update(_) | ControlCall::StartRollout(_) if self.may_have_been_queued(now) => {
                let reply = CallReply::error(503, "the registry has stood still");
                out.push(Output::Answer(number, reply));
            }
            ControlCall::Update(body) => {
                self.forward(now, Caller::External(number), ForwardedCall::Update(body), out)
            }
            ControlCall::Read => self.forward(now, Caller::External(number), ForwardedCall::Read, out),
            ControlCall::StartRollout(order) => self.start_rollout(now, number, order, out),
            ControlCall::ReadRollout(service) => {
                self.forward(now, Caller::External(number), ForwardedCall::ReadRollout(service), out);
            }
        }
    }

    /// Whether a call may have been queued here during a stall of the process.
    fn may_have_been_queued(&self, now: Micros) -> bool {
        now > self.last_tick + CALL_STALL_THRESHOLD
            || self.resumed_at.is_some_and(|at| now < at + CALL_REJECT_PERIOD)
    }

    /// Forwards a new call to a store.
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

    /// Forwards a call to the machine's own store, or else to any other responsive store. If there is none, its caller is
    /// answered at once.
    fn forward_to_store(
        &mut self,
        now: Micros,
        caller: Caller,
        since: Micros,
        forwarded: ForwardedCall,
        out: &mut Vec<Output>,
    ) {
        let stores = self.own_store().into_iter().chain(self.reported_stores());
        let responsive = { stores }.find(|&store| self.is_responsive(now, store));
        let Some(store) = responsive else {
            return caller.answer(CallReply::error(503, "no store is reached"), out);
        };
        let number = self.next_number();
        self.calls.open.insert(number, OpenCall { caller, since, store, forwarded: forwarded.clone() });
        out.push(Output::Send(store, PeerMessage::ForwardCall(number, forwarded)));
    }

    /// Whether a store has sent messages lately. After a stall every store is presumed responsive, as messages may be unread.
    fn is_responsive(&self, now: Micros, store: ConnectionId) -> bool {
        let has_stalled = now > self.last_tick + STALL_THRESHOLD;
        let handled_until = self.handled_until(now);
        let is_heard = |store: &StoreLink| handled_until < store.last_message + STORE_TIMEOUT;
        has_stalled || self.stores.get(&store).is_some_and(is_heard)
    }

    /// A store has answered a call. Numbers restart with each process, so a late answer to an earlier process may bear a number
    /// that is in use here: the connection has to match, too.
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

    /// Forwards reads to another store after the connection to theirs has closed.
    ///
    /// A change is neither retried nor answered at once: the store may still commit it after another store has rejected it. The
    /// store has given it up by the end of [`CALL_TIMEOUT`] here.
    pub(super) fn retry_reads(&mut self, now: Micros, store: ConnectionId, out: &mut Vec<Output>) {
        let is_read = |open: &OpenCall| open.store == store && !open.forwarded.is_change();
        let reads = self.calls.open.iter().filter(|(_, open)| is_read(open));
        let numbers: Vec<u64> = reads.map(|(&number, _)| number).collect();
        for number in numbers {
            if let Some(OpenCall { caller, since, forwarded, .. }) = self.calls.open.remove(&number) {
                self.forward_to_store(now, caller, since, forwarded, out);
            }
        }
    }

    /// Rejects calls that no store has answered within [`CALL_TIMEOUT`].
    pub(super) fn expire_calls(&mut self, now: Micros, out: &mut Vec<Output>) {
        let expired = self.calls.open.iter().filter(|(_, open)| now >= open.since + CALL_TIMEOUT);
        let numbers: Vec<u64> = expired.map(|(&number, _)| number).collect();
        for number in numbers {
            if let Some(OpenCall { caller, .. }) = self.calls.open.remove(&number) {
                let reply = CallReply::error(503, "the store has not answered in time");
                caller.answer(reply, out);
            }
        }
    }
}
