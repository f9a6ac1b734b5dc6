//! Rule 5: for a biller under a hard ceiling all nodes together send on no more than the ceiling gives.

use std::collections::BTreeMap;

use pinerelay_evidence::Micros;

use crate::terms::{Plan, Terms};
use crate::view::View;
use crate::{Breach, Rule, CEILING_SPAN};

/// How many sends before the one that passed the ceiling are told as evidence.
const TOLD: usize = 5;

/// A try sent on: when, its units, from which node, and its id.
type Send = (Micros, f64, u32, u64);

pub(crate) fn judge(terms: &Terms, view: &View, out: &mut Vec<Breach>) -> usize {
    let mut sends: BTreeMap<(u64, usize), Vec<Send>> = BTreeMap::new();
    for t in &view.tries {
        let Some(&first) = t.attempts.first() else { continue };
        if terms.plans.get(t.plan).is_some_and(|p| p.ceiling_rate > 0.0) {
            let a = &view.attempts[first];
            sends.entry((t.biller, t.plan)).or_default().push((a.whole, t.units, a.node, t.id));
        }
    }
    let looked_at = sends.values().map(Vec::len).sum();
    for ((biller, plan), mut sends) in sends {
        sends.sort_by_key(|s| s.0);
        out.extend(of_biller(&terms.plans[plan], biller, &sends));
    }
    looked_at
}

fn of_biller(plan: &Plan, biller: u64, sends: &[Send]) -> Option<Breach> {
    let slack = plan.ceiling_slack + plan.ceiling_rate * CEILING_SPAN as f64 / 1e6;
    let (mut store, mut at) = (plan.ceiling_burst, 0);
    let mut full_at = 0;
    for (n, &(now, units, ..)) in sends.iter().enumerate() {
        store += plan.ceiling_rate * (now - at) as f64 / 1e6;
        if store >= plan.ceiling_burst {
            (store, full_at) = (plan.ceiling_burst, n);
        }
        (store, at) = (store - units, now);
        // Danger: sums of many fractions are not exact.
        if store < -slack - 1e-6 {
            let since = &sends[full_at..=n];
            let sum: f64 = since.iter().map(|s| s.1).sum();
            let mut nodes: Vec<u32> = since.iter().map(|s| s.2).collect();
            nodes.sort_unstable();
            nodes.dedup();
            let mut b = Breach::new(Rule::Ceilings, "more sent on than the ceiling gives", now);
            b = b.of_biller(biller);
            let line = format!(
                "{sum} units in {} tries since the store was last full; it gives {} at once and {} a second, with a \
                 slack of {slack:.2}, and is {:.2} below nothing",
                since.len(),
                plan.ceiling_burst,
                plan.ceiling_rate,
                -store,
            );
            b = b.line(since[0].0, line);
            for &(at, units, node, id) in &sends[n.saturating_sub(TOLD)..=n] {
                b = b.line(at, format!("{units} units from node {node}, request {}", crate::hex(id)));
            }
            b.nodes = nodes;
            return Some(b);
        }
    }
    None
}
