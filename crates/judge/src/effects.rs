//! Rule 2: nothing that may have run is sent again, or called refused, beyond what its class allows.

use pinerelay_evidence::Micros;

use crate::terms::{Effect, Terms};
use crate::view::{Attempt, End, View};
use crate::{answers, Breach, Rule, SOCKET_SLACK};

pub(crate) fn judge(terms: &Terms, view: &View, out: &mut Vec<Breach>) -> usize {
    let mut looked_at = 0;
    for t in &view.tries {
        let Some(class) = terms.classes.get(t.class).filter(|c| c.effect != Effect::Safe) else { continue };
        looked_at += 1;
        // What a killed process had sent on, and its client sent once more to another process of that node: nobody is left
        // who could have known.
        if t.ends.iter().any(|&(at, end)| matches!(end, End::CutOff(_)) && answers::excused(view, t, at))
            && t.writings.iter().any(|w| w.crossed)
        {
            continue;
        }
        let breach = |kind, at: Micros, a: &Attempt| {
            let mut b = Breach::new(Rule::Effects, kind, at).by(a.node).of_request(t.id).of_biller(t.biller);
            for &n in &t.attempts {
                b = b.line(view.attempts[n].whole, view.attempts[n].tells());
            }
            b
        };
        let attempts: Vec<&Attempt> = t.attempts.iter().map(|&a| &view.attempts[a]).collect();
        for (n, b) in attempts.iter().enumerate() {
            let doubtful = attempts[..n].iter().find(|a| a.may_have_run(b.first_byte));
            let Some(a) = doubtful else { continue };
            let kind = match class.effect {
                Effect::Unsafe => "an unsafe request sent again that may have run",
                Effect::Keyed if view.hall(a.at_box) != view.hall(b.at_box) => {
                    "a keyed request that may have run sent to another hall"
                }
                Effect::Keyed if b.first_byte > a.first_byte + class.window + SOCKET_SLACK => {
                    "a keyed request that may have run sent again after its window"
                }
                _ => continue,
            };
            out.push(breach(kind, b.first_byte, b).at_box(b.at_box));
        }
        if let Some((at, status @ (429 | 503), _)) = t.answer() {
            if let Some(a) = attempts.iter().find(|a| a.whole < at && a.may_have_run(at)) {
                let b = breach("refused though it may have run", at, a).at_box(a.at_box);
                out.push(b.line(at, format!("its client was answered {status}")));
            }
        }
        let ran: Vec<_> = attempts.iter().filter(|a| a.ran.is_some()).collect();
        if let [_, again, ..] = ran[..] {
            let b = breach("an effect that happened twice", again.ran.unwrap_or_default(), again);
            out.push(b.at_box(again.at_box));
        }
    }
    looked_at
}
