//! The terminal summary.

use std::fmt::Write;

use pinerelay_judge::Rule;

use super::Report;
use crate::run::Verdict;

/// Breaches that are told in full.
const TOLD: usize = 10;

/// The summary, some thirty lines.
pub fn summary(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write(report, &mut out);
    out
}

fn write(report: &Report, out: &mut String) -> std::fmt::Result {
    let outcome = report.outcome;
    writeln!(out, "{}: {} (seed {})", report.scenario, report.title, report.seed)?;
    let late = outcome.lateness;
    writeln!(
        out,
        "  kit late by {:.1} ms in the median, {:.1} ms at the 99th percentile, {:.1} ms at most",
        late.median as f64 / 1e3,
        late.p99 as f64 / 1e3,
        late.most as f64 / 1e3,
    )?;
    if let Some(judgement) = &outcome.judgement {
        let s = &judgement.service;
        writeln!(
            out,
            "  service {:.3}: whole run {:.3}, worst 10 s {:.3} from {} s, worst class {:.3}, worst plan {:.3}",
            s.figure,
            s.whole.share(),
            s.worst.0,
            s.worst.1,
            s.classes.iter().map(|c| c.worth.share()).fold(1.0, f64::min),
            s.plans.iter().map(|p| p.worth.share()).fold(1.0, f64::min),
        )?;
        writeln!(
            out,
            "  {} requests; {:.2} tries, {:.2} attempts, {:.2} counter calls each; {:.0} units sent on, {:.1}% of \
             them beyond quota",
            s.offered,
            s.tries_each,
            s.attempts_each,
            s.calls_each,
            s.units.0,
            100.0 * s.units.1 / s.units.0.max(1.0),
        )?;
        writeln!(out, "  {:<14} offered  served refused  failed  worth  median     99%", "")?;
        for part in s.classes.iter().chain(&s.plans) {
            writeln!(
                out,
                "  {:<14} {:>7} {:>7} {:>7} {:>7}  {:.3} {:>5.0} ms {:>5.0} ms",
                part.name,
                part.offered,
                part.served,
                part.refused,
                part.failed,
                part.worth.share(),
                part.median_ms,
                part.p99_ms,
            )?;
        }
        for node in &s.nodes {
            writeln!(
                out,
                "  node {}: {} requests, {:.0} us of CPU each, {:.1} MB at most",
                node.node,
                node.requests,
                node.cpu_us,
                node.rss_kib as f64 / 1024.0,
            )?;
        }
        if s.rude.1 > 0 {
            let (left, all) = s.rude;
            writeln!(
                out,
                "  {all} rudenesses, {left} of them left with neither an error nor a close for 3 s"
            )?;
        }
        for &(rule, count) in &judgement.looked_at {
            let broken = judgement.breaches.iter().filter(|b| b.rule == rule).count();
            let says = match (broken, count) {
                (0, 0) => "kept (it was held against nothing)".to_string(),
                (0, _) => format!("kept ({})", held(rule, count)),
                (n, _) => format!("BROKEN {n} times ({})", held(rule, count)),
            };
            writeln!(out, "  {:<24} {says}", rule.to_string())?;
        }
        for breach in judgement.breaches.iter().take(TOLD) {
            writeln!(out, "  {breach}")?;
            for line in &breach.evidence {
                writeln!(out, "      {line}")?;
            }
        }
        if judgement.breaches.len() > TOLD {
            writeln!(out, "  and {} more, in the JSON report", judgement.breaches.len() - TOLD)?;
        }
    }
    match &outcome.verdict {
        Verdict::Kept => writeln!(out, "verdict: all rules kept"),
        Verdict::Broken => writeln!(out, "verdict: rules broken"),
        Verdict::None(why) => writeln!(out, "no verdict: {why}"),
    }
}

fn held(rule: Rule, count: usize) -> String {
    match rule {
        Rule::Answers => format!("{count} tries"),
        Rule::Effects => format!("{count} tries that may not be repeated freely"),
        Rule::Drains => format!("{count} attempts"),
        Rule::Cold => format!("{count} cold starts"),
        Rule::Ceilings => format!("{count} tries under a ceiling"),
    }
}
