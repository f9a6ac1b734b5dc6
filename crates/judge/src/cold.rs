//! Rule 4: all nodes together send a box that has just started no more, in any window of the stated length, than
//! the stated multiple of what it can do in it.

use pinerelay_evidence::{Listed, Micros};

use crate::drains::heard;
use crate::terms::Terms;
use crate::view::{Attempt, Start, View};
use crate::{Breach, Rule};

/// Slack for chance, in attempts of the mean size.
const SLACK: f64 = 3.0;
/// The share of the work that must come from nodes told of the start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

pub(crate) fn judge(terms: &Terms, view: &View, out: &mut Vec<Breach>) -> usize {
    let mut looked_at = 0;
    for (&at_box, starts) in &view.boxes {
        for (n, start) in starts.iter().enumerate() {
            let Some((_, cold)) = start.cold else { continue };
            let until = starts.get(n + 1).map_or(Micros::MAX, |s| s.at).min(start.at + cold);
            let here = |a: &&Attempt| a.at_box == at_box && a.whole >= start.at && a.whole < until;
            let sent: Vec<&Attempt> = view.attempts.iter().filter(here).collect();
            looked_at += 1;
            if let Some(breach) = of_start(terms, view, at_box, start, &sent) {
                out.push(breach);
            }
        }
    }
    looked_at
}

fn of_start(terms: &Terms, view: &View, at_box: u32, start: &Start, sent: &[&Attempt]) -> Option<Breach> {
    let window = terms.tip_after;
    let (mut end, mut sum) = (0, 0.0);
    for (first, a) in sent.iter().enumerate() {
        while end < sent.len() && sent[end].whole < a.whole + window {
            sum += sent[end].work;
            end += 1;
        }
        let count = end - first;
        let budget = terms.fall_multiple * capacity(start, a.whole, a.whole + window);
        let slack = SLACK * sum / count as f64;
        if sum > budget + slack {
            let all = &sent[first..end];
            let told: f64 = all.iter().filter(|a| knew(terms, view, start, a)).map(|a| a.work).sum();
            if told >= TOLD_SHARE * sum {
                let mut nodes: Vec<u32> = all.iter().map(|a| a.node).collect();
                nodes.sort_unstable();
                nodes.dedup();
                let mut b = Breach::new(Rule::Cold, "a cold box was sent more than it can bear", a.whole);
                b = b.at_box(at_box).line(start.at, format!("box {at_box} started cold"));
                let (could, ms) = (budget / terms.fall_multiple / 1e3, sum / 1e3);
                let line = format!(
                    "{count} attempts, {ms:.1} ms of its whole capacity, within {} ms in which it could do \
                     {could:.1} ms: more than {} times as much and the slack",
                    window / 1_000,
                    terms.fall_multiple,
                );
                b = b.line(a.whole, line);
                for &node in &nodes {
                    let part: f64 = all.iter().filter(|a| a.node == node).map(|a| a.work).sum();
                    b = b.line(a.whole, format!("{:.1} ms of it from node {node}", part / 1e3));
                }
                b.nodes = nodes;
                return Some(b);
            }
        }
        sum -= a.work;
    }
    None
}

/// Whether the attempt's node had been told of this start, or it counted as told.
fn knew(terms: &Terms, view: &View, start: &Start, a: &Attempt) -> bool {
    let heard = heard(terms, view, a.node, a.at_box, a.whole);
    heard.iter().any(|&(at, says, _)| says == Listed::Up && at >= start.at)
}

/// What the box can do between two times, in microseconds of its whole capacity when warm.
fn capacity(start: &Start, from: Micros, to: Micros) -> f64 {
    let Some((least, cold)) = start.cold else { return (to - from) as f64 };
    let share = |at: Micros| {
        let age = at.saturating_sub(start.at) as f64 / cold.max(1) as f64;
        (least + (1.0 - least) * age).min(1.0)
    };
    (share(from) + share(to)) / 2.0 * (to - from) as f64
}
