//! The report of a play: a page of plain text.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::field::{Field, QUOTA_PERIOD};
use crate::judge::{most_in_a_window, serves_again, verdict, Finding, Terms, Verdict};
use crate::operator::{GREEDY, REMOVED};
use crate::record::{Micros, Outage, Records, Try};

/// No more breaches of a rule are printed.
const BREACHES: usize = 8;

/// Writes the report.
pub fn write(field: &Field, findings: &[Finding], terms: &Terms) -> String {
    let records = field.records.borrow();
    let mut text = String::new();
    for (at, what) in field.said() {
        let _ = writeln!(text, "{:8.3} s  {what}", at as f64 / 1e6);
    }
    text.push('\n');
    figures(&records, &mut text);
    outages(&records, terms, &mut text);
    text.push('\n');
    for finding in findings {
        let word = match (finding.breaches.len(), finding.looked_at) {
            (0, 0) => "no word",
            (0, _) => "kept",
            _ => "BROKEN",
        };
        let _ = writeln!(text, "{word:8}  {} ({} looked at)", finding.rule.text(), finding.looked_at);
        for breach in finding.breaches.iter().take(BREACHES) {
            let _ = writeln!(text, "            {breach}");
        }
        if finding.breaches.len() > BREACHES {
            let _ = writeln!(text, "            and {} more", finding.breaches.len() - BREACHES);
        }
    }
    text.push_str(match verdict(findings) {
        Verdict::Kept => "\nverdict: all rules kept\n",
        Verdict::Broken => "\nverdict: rules broken\n",
        Verdict::Unproven => "\nverdict: none, since a rule was held against nothing\n",
    });
    text
}

/// How many tries got one of these statuses in each second of the play.
fn by_second<'a>(tries: impl Iterator<Item = &'a Try>, statuses: &[u16]) -> String {
    let mut seconds: BTreeMap<Micros, usize> = BTreeMap::new();
    let with = tries.filter(|t| t.answer.as_ref().is_some_and(|a| statuses.contains(&a.status)));
    with.for_each(|t| *seconds.entry(t.sent / 1_000_000).or_default() += 1);
    let seconds: Vec<String> = seconds.iter().map(|(s, n)| format!("{n} in second {s}")).collect();
    if seconds.is_empty() {
        "none".into()
    } else {
        seconds.join(", ")
    }
}

/// How long it took to serve again after each kill of all processes.
fn outages(records: &Records, terms: &Terms, text: &mut String) {
    let last = records.outages.last();
    let is_cut_off = |outage: &Outage| last.is_some_and(|last| last.killed > outage.killed);
    for outage in &records.outages {
        let after = |at: Option<Micros>| match (at, outage.running) {
            (Some(at), Some(running)) => format!("{:.1} s", at.saturating_sub(running) as f64 / 1e6),
            _ if is_cut_off(outage) => "not before the next kill".into(),
            _ => "never".into(),
        };
        let (ready, serves) = (after(outage.ready), after(serves_again(records, outage, terms)));
        let killed = outage.killed as f64 / 1e6;
        let share = 100.0 * terms.recovery_share;
        let _ = writeln!(
            text,
            "all killed at {killed:.1} s    after all ran again: first proxy ready {ready}, {share:.0}% served {serves}"
        );
    }
}

fn figures(records: &Records, text: &mut String) {
    let share = 100.0 * records.served as f64 / records.wanted.max(1) as f64;
    let _ = writeln!(text, "requests within quotas  {}, {share:.2}% served", records.wanted);
    let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
    for tried in &records.tries {
        let status = tried.answer.as_ref().map_or("none".to_string(), |a| a.status.to_string());
        *statuses.entry(status).or_default() += 1;
    }
    let statuses: Vec<String> = statuses.iter().map(|(s, n)| format!("{s}: {n}")).collect();
    let within = |t: &&Try| t.tenant.as_deref().is_some_and(|tenant| tenant != GREEDY);
    let refused = by_second(records.tries.iter().filter(within), &[429]);
    let _ = writeln!(text, "429 within quotas       {refused}");
    let unsure = |t: &&Try| records.added.contains_key(&t.route) || t.route == REMOVED;
    let owed = records.tries.iter().filter(|t| t.owed && !unsure(t));
    let _ = writeln!(text, "401, 403, 404, owed     {}", by_second(owed, &[401, 403, 404]));
    let _ = writeln!(text, "tries, by answer        {}", statuses.join(", "));
    let away: Vec<String> = records.turned_away.iter().map(|(s, n)| format!("{s}: {n}")).collect();
    let away = if away.is_empty() { "none".into() } else { away.join(", ") };
    let _ = writeln!(text, "servers ran             {}, turned away {away}", records.runs.len());
    if records.early > 0 {
        let (early, behind) = (records.early, records.behind);
        let _ = writeln!(text, "answered on the head    {early}; {behind} requests came behind such a body");
    }
    let asked = records.tries.iter().filter(|t| t.tenant.as_deref() == Some(GREEDY)).count();
    let ran = records.runs.iter().filter(|r| r.tenant.as_deref() == Some(GREEDY)).count();
    let (most, _) = most_in_a_window(records, GREEDY, QUOTA_PERIOD.as_micros() as Micros);
    let _ = writeln!(
        text,
        "beyond its quota        {GREEDY} asked {asked}, ran {ran}, at most {most} in a window"
    );
}
