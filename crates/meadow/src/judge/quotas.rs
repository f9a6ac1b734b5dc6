//! What tenants run, held against their quotas.

use crate::record::{Micros, Records};

use super::{seconds, Finding, Rule, Seen, Terms};

pub(super) fn quota(seen: &Seen, terms: &Terms) -> Finding {
    let records = seen.records;
    let mut breaches = Vec::new();
    let mut looked_at = 0;
    for quota in &records.quotas {
        let name = &quota.tenant;
        let (most, from) = most_in_a_window(records, name, terms.quota_period);
        let period = terms.quota_period as f64 / 1e6;
        let bound = (quota.rate * period + quota.burst) * (1.0 + terms.quota_overrun) + terms.quota_margin;
        let runs = records.runs.iter().filter(|r| r.tenant.as_ref() == Some(name)).count();
        let asked = records.tries.iter().filter(|t| t.tenant.as_ref() == Some(name)).count();
        // One that asked for no more than its share puts nothing to the test.
        if asked > runs {
            looked_at += 1;
        }
        if most as f64 > bound {
            let from = seconds(from);
            breaches.push(format!("{most} of {name} ran in {period} s from {from} on; {bound:.1} may"));
        }
    }
    Finding { rule: Rule::Quota, looked_at, breaches }
}

/// The most requests of a tenant that ran in any window, and where that window begins.
pub fn most_in_a_window(records: &Records, tenant: &str, period: Micros) -> (usize, Micros) {
    let of = records.runs.iter().filter(|r| r.tenant.as_deref() == Some(tenant));
    let mut times: Vec<Micros> = of.map(|r| r.at).collect();
    times.sort_unstable();
    let mut most = (0, 0);
    let mut first = 0;
    for (n, &at) in times.iter().enumerate() {
        while times[first] + period < at {
            first += 1;
        }
        if n + 1 - first > most.0 {
            most = (n + 1 - first, times[first]);
        }
    }
    most
}
