//! Rule 1: each request that a running node has taken gets one final answer in time, made for it, and nothing
//! more is sent for it after that.

use pinerelay_evidence::{Body, Cut, Micros, RudeEnd};

use crate::terms::Terms;
use crate::view::{End, Try, View};
use crate::{time, Breach, Rule, SOCKET_SLACK};

/// A close that crosses a request is seen this soon after it was written: twice what clients and the kit may be late.
const CROSSES_WITHIN: Micros = 100_000;

pub(crate) fn judge(terms: &Terms, view: &View, out: &mut Vec<Breach>) -> usize {
    for t in &view.tries {
        of_try(terms, view, t, out);
    }
    for &(at, id, bytes) in &view.extra {
        let b = Breach::new(Rule::Answers, "more than one answer", at).of_request(id);
        let b = match view.by_id.get(&id).and_then(|&p| view.tries[p].writings.last()) {
            Some(w) => b.by(w.node),
            None => b,
        };
        out.push(b.line(at, format!("{bytes} bytes came after the whole answer, with no request open")));
    }
    for &(at, at_box, node) in &view.strange {
        let b = Breach::new(Rule::Answers, "a request that no client sent", at).by(node).at_box(at_box);
        out.push(b.line(at, "a box got a request under no id that a client had used"));
    }
    for (at, node, kind, end) in &view.rude {
        if *end == RudeEnd::Status(200) {
            let b = Breach::new(Rule::Answers, "served what is no proper request", *at).by(*node);
            out.push(b.line(*at, format!("answered 200 to {kind}")));
        }
    }
    for (&node, lives) in &view.nodes {
        for life in lives {
            if let Some((at, code, false)) = life.ended {
                let b = Breach::new(Rule::Answers, "a node ended by itself", at).by(node);
                out.push(b.line(at, format!("exit code {code:?}, with no signal from the kit")));
            }
        }
    }
    view.tries.len()
}

#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
fn of_try(terms: &Terms, view: &View, t: &Try, out: &mut Vec<Breach>) {
    let (Some(last), Some(due)) = (t.writings.last(), t.due()) else { return };
    let limit = due + terms.answer_slack + SOCKET_SLACK;
    let breach = |kind, at| {
        let mut b = Breach::new(Rule::Answers, kind, at).by(last.node).of_request(t.id).of_biller(t.biller);
        for w in &t.writings {
            b = b.line(w.at, format!("written to node {}, its client waits {} ms", w.node, w.deadline_ms));
        }
        for &a in &t.attempts {
            b = b.line(view.attempts[a].whole, view.attempts[a].tells());
        }
        b
    };
    let answers: Vec<_> = t.ends.iter().filter(|(_, e)| matches!(e, End::Answered { .. })).collect();
    if let [_, (at, _), ..] = answers[..] {
        out.push(breach("more than one answer", *at).line(*at, "a second whole answer"));
    }
    if let Some((at, status, body)) = t.answer() {
        if at > limit {
            let b = breach("answered after the deadline", at);
            out.push(b.line(at, format!("answered {status}, {} after {}", time(at - limit), time(limit))));
        }
        if status == 200 && !made_for(view, t, body) {
            let b = breach("served what no box made for it", at);
            out.push(b.line(at, format!("the body is {body:?}")));
        }
    }
    for (n, &(at, end)) in t.ends.iter().enumerate() {
        let again = t.writings.iter().any(|w| w.crossed && w.at >= at);
        let sent_on = t.attempts.iter().any(|&a| view.attempts[a].first_byte < at);
        if excused(view, t, at) {
            continue;
        }
        match end {
            End::CutOff(Cut::Nothing) if again && !sent_on && crossed(t, at) => {}
            // Its client never had a chance on this connection, and nothing was done: it has failed.
            End::CutOff(Cut::Nothing) if n == 0 && last.first_on_connection && !sent_on => {}
            End::CutOff(Cut::Nothing) => {
                out.push(breach("closed with no answer", at).line(at, "the connection ended with no answer"));
            }
            // A box's broken answer may be passed on broken: its client can tell.
            End::CutOff(Cut::Part) if t.attempts.iter().any(|&a| broken(view, a)) => {}
            End::CutOff(Cut::Part) => {
                out.push(breach("closed within an answer", at).line(at, "the connection ended in an answer"));
            }
            End::GaveUp if terms.unanswered_fails => {}
            End::GaveUp => {
                let line = format!("no whole answer by {} and its slack", time(due));
                out.push(breach("no answer in time", at).line(at, line));
            }
            End::Answered { .. } => {}
        }
    }
    let over = t.ends.last().map(|&(at, _)| at);
    if over.is_none() && view.last > limit + SOCKET_SLACK && !excused(view, t, view.last) {
        out.push(breach("no answer in time", limit).line(limit, "no end of it was ever seen"));
    }
    if let Some(over) = over {
        let late = t.attempts.iter().map(|&a| &view.attempts[a]);
        if let Some(a) = late.filter(|a| a.first_byte > over + SOCKET_SLACK).min_by_key(|a| a.first_byte) {
            let b = breach("sent on after its final answer", a.first_byte).at_box(a.at_box);
            out.push(b.line(over, "its client had its end"));
        }
    }
}

/// Whether a close crossed the request that it ended. What had lain there for longer was taken: it was written whole to a
/// connection that the node's machine held, and no close was on its way.
fn crossed(t: &Try, at: Micros) -> bool {
    let written = t.writings.iter().rev().find(|w| w.at <= at);
    written.is_none_or(|w| at - w.at <= CROSSES_WITHIN)
}

fn broken(view: &View, attempt: usize) -> bool {
    let a = &view.attempts[attempt];
    a.broke.is_some() || a.spoilt
}

/// Whether a 200 answer is one that a box gave to this very request.
fn made_for(view: &View, t: &Try, body: Option<Body>) -> bool {
    let Some(Body::Made { by_request, in_attempt }) = body else { return false };
    by_request == t.id
        && t.attempts.iter().map(|&a| &view.attempts[a]).any(|a| {
            a.number == in_attempt && !a.spoilt && a.replied.is_some_and(|(_, status, _)| status == 200)
        })
}

/// What a node held when it was killed is its client's to retry.
pub(crate) fn excused(view: &View, t: &Try, at: Micros) -> bool {
    t.writings.iter().any(|w| {
        let life = view.life(w.node, w.at);
        let ended = life.and_then(|l| l.ended).map_or(Micros::MAX, |(at, ..)| at);
        life.and_then(|l| l.killed).is_some_and(|killed| {
            // A request written as the signal went out may have been stamped a moment after it.
            at >= killed && w.at <= ended.saturating_add(SOCKET_SLACK)
        })
    })
}
