//! Rule 3: once a node has been told that a box drains or is gone, or that it is held out by hand, it sends nothing new
//! there after the grace.

use pinerelay_evidence::{Listed, Micros};

use crate::terms::Terms;
use crate::view::View;
use crate::{time, Breach, Rule, SOCKET_SLACK};

pub(crate) fn judge(terms: &Terms, view: &View, out: &mut Vec<Breach>) -> usize {
    for a in &view.attempts {
        let grace = terms.drain_grace + SOCKET_SLACK;
        let Some(since) = a.first_byte.checked_sub(grace) else { continue };
        let mut breach = |kind: &'static str, at: Micros, why: String| {
            let b = Breach::new(Rule::Drains, kind, a.first_byte);
            let b = b.by(a.node).at_box(a.at_box).of_request(a.id).line(at, why);
            let late = time(a.first_byte - at);
            out.push(b.line(a.first_byte, format!("the first byte of attempt {}, {late} later", a.number)));
        };
        // Whatever the list says meanwhile.
        let by_hand = view.by_hand.get(&(a.node, a.at_box)).map_or(&[][..], |calls| calls);
        let held = by_hand.iter().rev().find(|(at, _)| *at < a.first_byte);
        if let Some(&(at, _)) = held.filter(|(at, out)| *out && *at < since) {
            let why = format!("node {} had said yes to holding box {} out", a.node, a.at_box);
            breach("sent to a box that is held out after the grace", at, why);
            continue;
        }
        let heard = heard(terms, view, a.node, a.at_box, a.first_byte);
        let Some(&(at, says, how)) = heard.iter().rev().find(|(at, ..)| *at < since) else { continue };
        let back = heard.iter().any(|(at, says, _)| *at >= since && *says == Listed::Up);
        if says != Listed::Up && !back {
            let what = if says == Listed::Draining { "draining" } else { "gone" };
            let kind = match says {
                Listed::Draining => "sent to a draining box after the grace",
                _ => "sent to a box that is gone after the grace",
            };
            breach(kind, at, format!("node {} was told that box {} is {what} ({how})", a.node, a.at_box));
        }
    }
    view.attempts.len()
}

/// What a node had heard of a box by a time, in the order of hearing: written to it, or counting as told.
pub(crate) fn heard(
    terms: &Terms,
    view: &View,
    node: u32,
    at_box: u32,
    by: Micros,
) -> Vec<(Micros, Listed, &'static str)> {
    let born = view.life(node, by).map_or(0, |l| l.started);
    let told = view.told.get(&(node, at_box)).into_iter().flatten();
    let told = told.filter(|(at, _)| *at >= born && *at <= by).map(|&(at, says)| (at, says, "written to it"));
    let mut all: Vec<_> = told.collect();
    let held = view.held.get(&(node, at_box)).map_or(&[][..], |h| h);
    for (n, &(at, says)) in held.iter().enumerate() {
        let counts = at.max(born) + terms.told_after;
        // What was superseded before it counted as told was never owed.
        let superseded = held.get(n + 1).is_some_and(|&(next, _)| next <= counts);
        let written = all.iter().any(|&(t, s, _)| s == says && t >= at && t <= counts);
        if counts <= by && !superseded && !written {
            all.push((counts, says, "counting as told"));
        }
    }
    all.sort_by_key(|&(at, ..)| at);
    all
}
