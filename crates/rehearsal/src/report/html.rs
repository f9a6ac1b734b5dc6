//! The page: time lines, ceilings and breaches, in one file with no script and nothing fetched.

use std::fmt::Write;

use pinerelay_judge::service::{Biller, Part, Second};

use super::Report;
use crate::run::{Band, Verdict};

const WIDTH: f64 = 960.0;
const LEFT: f64 = 52.0;
const RIGHT: f64 = 12.0;
/// Billers under a ceiling that are drawn: those that came nearest to it.
const DRAWN: usize = 8;
const STYLE: &str = "
body{font:15px/1.45 system-ui,sans-serif;color:#1d2430;background:#fff;max-width:1000px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 6px}p{margin:4px 0}
.verdict{display:inline-block;padding:6px 14px;border-radius:4px;font-weight:600;margin:10px 0}
.kept{background:#d9f0dd;color:#14532d}.broken{background:#fbd9d9;color:#7f1d1d}.none{background:#fdf0cf;color:#713f12}
table{border-collapse:collapse;margin:6px 0}td,th{padding:3px 12px 3px 0;text-align:right;border-bottom:1px solid #e4e7ec}
td:first-child,th:first-child{text-align:left}th{font-weight:600;color:#4b5563}
svg{display:block;margin:4px 0 2px;max-width:100%;height:auto}text{font:11px system-ui,sans-serif;fill:#4b5563}
.key span{margin-right:16px;white-space:nowrap}.key i{display:inline-block;width:12px;height:12px;margin-right:5px;vertical-align:-1px}
details{margin:4px 0}summary{cursor:pointer}pre{margin:4px 0 10px;white-space:pre-wrap;font-size:12px;color:#374151}
";
const SERVED: &str = "#4c9a6a";
const REFUSED: &str = "#e0a83a";
const FAILED: &str = "#c94b4b";
const OFFERED: &str = "#1d2430";
const LINE: &str = "#3b6fb6";
const FAULT: &str = "#8a63b8";

/// The page of a report.
pub fn page(report: &Report) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write(report, &mut out);
    out
}

fn write(report: &Report, out: &mut String) -> std::fmt::Result {
    let outcome = report.outcome;
    let name = escape(report.scenario);
    write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><meta name=\"viewport\" \
         content=\"width=device-width\"><title>Rehearsal {name}</title><style>{STYLE}</style>\
         <h1>Rehearsal: {name}</h1><p>{} Seed {}, {} s of load, version {}.</p>",
        escape(report.title).trim_end_matches('.').to_string() + ".",
        report.seed,
        report.seconds,
        report.version,
    )?;
    let (class, verdict) = match &outcome.verdict {
        Verdict::Kept => ("kept", "All five rules kept".to_string()),
        Verdict::Broken => {
            let count = outcome.judgement.as_ref().map_or(0, |j| j.breaches.len());
            ("broken", format!("Rules broken: {count} breach{}", if count == 1 { "" } else { "es" }))
        }
        Verdict::None(why) => ("none", format!("No verdict: {}", escape(why))),
    };
    write!(out, "<p class=\"verdict {class}\">{verdict}</p>")?;
    let late = outcome.lateness;
    write!(
        out,
        "<p>The kit itself was late by {:.1} ms at the 99th percentile and {:.1} ms at most.</p>",
        late.p99 as f64 / 1e3,
        late.most as f64 / 1e3,
    )?;
    let Some(judgement) = &outcome.judgement else {
        return write!(out, "</html>");
    };
    let s = &judgement.service;
    write!(out, "<h2>Rules</h2><table><tr><th>rule<th>held against<th>breaches</tr>")?;
    for &(rule, count) in &judgement.looked_at {
        let broken = judgement.breaches.iter().filter(|b| b.rule == rule).count();
        write!(out, "<tr><td>{rule}<td>{count}<td>{broken}</tr>")?;
    }
    write!(out, "</table>")?;
    for breach in judgement.breaches.iter().take(100) {
        write!(out, "<details><summary>{}</summary><pre>", escape(&breach.to_string()))?;
        for line in &breach.evidence {
            writeln!(out, "{}", escape(line))?;
        }
        write!(out, "</pre></details>")?;
    }
    write!(
        out,
        "<h2>Service {:.3}</h2><p>Whole run {:.3}, worst 10 s {:.3} (from {} s on). {} requests; {:.2} tries, \
         {:.2} attempts and {:.2} counter calls each. {:.0} units sent on, {:.1}% of them beyond quota.</p>",
        s.figure,
        s.whole.share(),
        s.worst.0,
        s.worst.1,
        s.offered,
        s.tries_each,
        s.attempts_each,
        s.calls_each,
        s.units.0,
        100.0 * s.units.1 / s.units.0.max(1.0),
    )?;
    parts(out, "class", &s.classes)?;
    parts(out, "plan", &s.plans)?;
    let last = s.seconds.iter().rposition(|x| x.offered + x.served + x.refused + x.failed > 0).unwrap_or(0);
    let seconds = &s.seconds[..=last.min(s.seconds.len().saturating_sub(1))];
    write!(out, "<h2>Requests a second</h2>")?;
    key(
        out,
        &[
            (SERVED, "served"),
            (REFUSED, "refused"),
            (FAILED, "failed"),
            (OFFERED, "offered (line)"),
            (FAULT, "faults (bands)"),
        ],
    )?;
    requests(out, seconds, &outcome.bands)?;
    write!(out, "<h2>Boxes listed in service</h2>")?;
    let boxes: Vec<f64> = seconds.iter().map(|x| f64::from(x.boxes)).collect();
    lines(out, 120.0, &[(LINE, &boxes)], None, &outcome.bands)?;
    let billers: Vec<&Biller> = s.billers.iter().filter(|b| b.ceiling.is_some()).collect();
    if !billers.is_empty() {
        write!(out, "<h2>Units a second sent on, against the ceiling</h2>")?;
        ceilings(out, billers, seconds.len(), &outcome.bands)?;
    }
    write!(out, "<h2>Nodes</h2><table><tr><th>node<th>requests<th>CPU a request<th>memory at most</tr>")?;
    for n in &s.nodes {
        let mb = n.rss_kib as f64 / 1024.0;
        write!(out, "<tr><td>{}<td>{}<td>{:.0} us<td>{mb:.1} MB</tr>", n.node, n.requests, n.cpu_us)?;
    }
    write!(out, "</table>")?;
    write!(out, "<h2>Billers with most units beyond quota</h2>")?;
    write!(out, "<table><tr><th>biller<th>plan<th>asked<th>sent on<th>beyond quota</tr>")?;
    for b in s.billers.iter().take(10) {
        let (plan, asked, sent, beyond) = (escape(&b.plan), b.asked, b.sent, b.beyond);
        write!(out, "<tr><td>{}<td>{plan}<td>{asked:.0}<td>{sent:.0}<td>{beyond:.0}</tr>", b.biller)?;
    }
    write!(out, "</table></html>")
}

fn parts(out: &mut String, what: &str, parts: &[Part]) -> std::fmt::Result {
    write!(
        out,
        "<table><tr><th>{what}<th>offered<th>served<th>refused<th>failed<th>worth served<th>median<th>99%</tr>"
    )?;
    for p in parts {
        write!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.3}<td>{:.0} ms<td>{:.0} ms</tr>",
            escape(&p.name),
            p.offered,
            p.served,
            p.refused,
            p.failed,
            p.worth.share(),
            p.median_ms,
            p.p99_ms,
        )?;
    }
    write!(out, "</table>")
}

fn key(out: &mut String, entries: &[(&str, &str)]) -> std::fmt::Result {
    write!(out, "<p class=\"key\">")?;
    for (colour, name) in entries {
        write!(out, "<span><i style=\"background:{colour}\"></i>{name}</span>")?;
    }
    write!(out, "</p>")
}

/// A chart's frame: seconds along, values up.
struct Frame {
    seconds: f64,
    most: f64,
    top: f64,
    height: f64,
}

impl Frame {
    fn x(&self, at: f64) -> f64 {
        LEFT + (at / self.seconds.max(1.0)).clamp(0.0, 1.0) * (WIDTH - LEFT - RIGHT)
    }

    fn y(&self, value: f64) -> f64 {
        self.top + self.height * (1.0 - value / self.most)
    }

    /// Opens the picture, with bands of faults, lines across, and the time along.
    fn open(&self, out: &mut String, bands: &[Band]) -> std::fmt::Result {
        let total = self.top + self.height + 22.0;
        write!(out, "<svg viewBox=\"0 0 {WIDTH} {total:.0}\" width=\"{WIDTH}\" height=\"{total:.0}\">")?;
        for (row, band) in bands.iter().enumerate() {
            let (x, to) = (self.x(band.from), self.x(band.to).max(self.x(band.from) + 2.0));
            let (y, width) = (self.top, to - x);
            let height = self.height;
            write!(
                out,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" fill=\"{FAULT}\" \
                 opacity=\"0.13\"/>"
            )?;
            if self.top > 20.0 {
                // A row for each band's name: those of faults at one time would cover each other.
                let y = 12.0 + 13.0 * row as f64;
                let name = escape(&band.kind.replace('_', " "));
                let anchor = if x > WIDTH * 0.8 { "end" } else { "start" };
                write!(out, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\">{name}</text>")?;
                write!(
                    out,
                    "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" stroke=\"{FAULT}\" \
                     stroke-width=\"0.7\" opacity=\"0.5\"/>",
                    y + 2.0,
                    self.top,
                )?;
            }
        }
        for n in 0..=4 {
            let value = self.most * f64::from(n) / 4.0;
            let y = self.y(value);
            let label = format!("{value:.1}");
            let label = label.trim_end_matches(".0");
            write!(
                out,
                "<line x1=\"{LEFT}\" x2=\"{}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#e4e7ec\"/>\
                 <text x=\"{}\" y=\"{:.1}\" text-anchor=\"end\">{label}</text>",
                WIDTH - RIGHT,
                LEFT - 6.0,
                y + 4.0,
            )?;
        }
        let step = [1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0].into_iter().find(|s| self.seconds / s <= 14.0);
        let step = step.unwrap_or(600.0);
        let mut at = 0.0;
        while at <= self.seconds {
            let (x, y) = (self.x(at), self.top + self.height + 15.0);
            write!(out, "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"middle\">{at:.0} s</text>")?;
            at += step;
        }
        Ok(())
    }

    fn points(&self, values: impl Iterator<Item = f64>) -> String {
        let mut points = String::new();
        for (n, value) in values.enumerate() {
            let _ = write!(points, "{:.1},{:.1} ", self.x(n as f64 + 0.5), self.y(value));
        }
        points
    }
}

/// A round number at or above a value, whose quarters are round too.
fn round_up(value: f64) -> f64 {
    let scale = 10f64.powf(value.max(1.0).log10().floor());
    let round = [1.0, 1.2, 1.6, 2.0, 2.4, 3.2, 4.0, 4.8, 6.0, 8.0, 10.0].into_iter().map(|f| f * scale);
    round.into_iter().find(|r| *r >= value).unwrap_or(value)
}

fn requests(out: &mut String, seconds: &[Second], bands: &[Band]) -> std::fmt::Result {
    let all = |s: &Second| f64::from((s.served + s.refused + s.failed).max(s.offered));
    let most = round_up(seconds.iter().map(all).fold(1.0, f64::max));
    let top = 18.0 + 13.0 * bands.len() as f64;
    let frame = Frame { seconds: seconds.len() as f64, most, top, height: 240.0 };
    frame.open(out, bands)?;
    let width = (frame.x(1.0) - frame.x(0.0) - 1.0).max(1.0);
    for (n, s) in seconds.iter().enumerate() {
        let mut base = 0.0;
        for (colour, count) in [(SERVED, s.served), (REFUSED, s.refused), (FAILED, s.failed)] {
            let (low, high) = (frame.y(base), frame.y(base + f64::from(count)));
            if count > 0 {
                write!(
                    out,
                    "<rect x=\"{:.1}\" y=\"{high:.1}\" width=\"{width:.1}\" height=\"{:.1}\" fill=\"{colour}\"/>",
                    frame.x(n as f64),
                    low - high,
                )?;
            }
            base += f64::from(count);
        }
    }
    let points = frame.points(seconds.iter().map(|s| f64::from(s.offered)));
    write!(
        out,
        "<polyline points=\"{points}\" fill=\"none\" stroke=\"{OFFERED}\" stroke-width=\"1.6\"/></svg>"
    )
}

/// Lines over the seconds, and a level.
fn lines(
    out: &mut String,
    height: f64,
    all: &[(&str, &[f64])],
    level: Option<f64>,
    bands: &[Band],
) -> std::fmt::Result {
    let values = all.iter().flat_map(|(_, values)| values.iter().copied()).chain(level);
    let most = round_up(values.fold(1.0, f64::max));
    let seconds = all.iter().map(|(_, values)| values.len()).max().unwrap_or(1) as f64;
    let frame = Frame { seconds, most, top: 8.0, height };
    frame.open(out, bands)?;
    for (colour, values) in all {
        let points = frame.points(values.iter().copied());
        write!(
            out,
            "<polyline points=\"{points}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.6\"/>"
        )?;
    }
    if let Some(level) = level {
        let (y, to) = (frame.y(level), WIDTH - RIGHT);
        write!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{to}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"{FAILED}\" \
             stroke-dasharray=\"5 4\"/>"
        )?;
    }
    write!(out, "</svg>")
}

fn ceilings(out: &mut String, mut billers: Vec<&Biller>, seconds: usize, bands: &[Band]) -> std::fmt::Result {
    let least = |b: &Biller| b.ceiling.as_ref().map_or(f64::MAX, |c| c.least);
    billers.sort_by(|a, b| least(a).total_cmp(&least(b)));
    let count = billers.len();
    let shown = count.min(DRAWN);
    key(out, &[(LINE, "units sent on"), (FAILED, "the ceiling's rate; above it the store is drawn down")])?;
    write!(out, "<p>The {shown} of {count} billers whose store came nearest to its limit.</p>")?;
    for b in billers.into_iter().take(DRAWN) {
        let Some(ceiling) = &b.ceiling else { continue };
        write!(
            out,
            "<p>Biller {} ({}): the ceiling's store held {:.1} units at the least; it may hold {:.1}.</p>",
            b.biller,
            escape(&b.plan),
            ceiling.least,
            ceiling.allowed,
        )?;
        let values = &ceiling.by_second[..seconds.min(ceiling.by_second.len())];
        lines(out, 80.0, &[(LINE, values)], Some(ceiling.rate), bands)?;
    }
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn round_numbers_are_at_or_above_the_value() {
        let rows = [(0.0, 1.0), (1.0, 1.0), (7.0, 8.0), (11.0, 12.0), (163.0, 200.0), (950.0, 1000.0)];
        for (value, round) in rows {
            assert_eq!(round_up(value), round);
        }
    }

    #[test]
    fn text_from_files_is_no_markup() {
        assert_eq!(escape("a<b>&\"c\""), "a&lt;b&gt;&amp;&quot;c&quot;");
    }
}
