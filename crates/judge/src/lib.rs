//! Judges a run of edge nodes by what the stand-ins round them saw on the sockets, and by nothing else: the five
//! rules, and the service that billers got. No I/O; a recording in, a judgement out.
//!
//! The rules are those of the service's brief, with the figures of the settings and the slack that the protocol
//! gives on sockets: each time limit is 50 ms longer, and a ceiling's slack wider by what its rate gives in 150 ms.
#![forbid(unsafe_code)]

mod answers;
mod ceilings;
mod cold;
mod drains;
mod effects;
pub mod service;
pub mod terms;
mod view;

use std::fmt;

use pinerelay_evidence::{Micros, Record};
use serde::Serialize;

use service::Service;
use terms::Terms;
use view::View;

/// Each time limit is this much longer on sockets.
pub const SOCKET_SLACK: Micros = 50_000;
/// A ceiling's slack is wider on sockets by what its rate gives in this time.
pub const CEILING_SPAN: Micros = 150_000;

/// One of the five rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer for each request taken, before its client's time is up, and nothing sent for it after.
    Answers,
    /// No effect twice: nothing resent or refused that may have run, beyond what its class allows.
    Effects,
    /// Nothing new to a box that drains or is gone, once the grace is over.
    Drains,
    /// No cold box sent more than it can bear.
    Cold,
    /// No more sent on for a biller than its ceiling gives.
    Ceilings,
}

impl Rule {
    /// All five.
    pub const ALL: [Rule; 5] = [Rule::Answers, Rule::Effects, Rule::Drains, Rule::Cold, Rule::Ceilings];
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answers => "one final answer",
            Rule::Effects => "no effect twice",
            Rule::Drains => "drains kept",
            Rule::Cold => "no cold box pushed over",
            Rule::Ceilings => "ceilings kept",
        })
    }
}

/// A rule broken, and the evidence of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// In what way, in a few words that are the same for all breaches of this kind.
    pub kind: &'static str,
    /// The nodes that did it.
    pub nodes: Vec<u32>,
    /// The request's id, 16 hex digits, where it is one request's.
    pub request: Option<String>,
    /// The biller, 16 hex digits, where it is one biller's.
    pub biller: Option<String>,
    /// The box, where it is at one box.
    pub at_box: Option<u32>,
    /// When it was broken.
    pub at: Micros,
    /// Lines of evidence, each with its time.
    pub evidence: Vec<String>,
}

impl Breach {
    fn new(rule: Rule, kind: &'static str, at: Micros) -> Self {
        let (nodes, evidence) = (Vec::new(), Vec::new());
        Breach { rule, kind, nodes, request: None, biller: None, at_box: None, at, evidence }
    }

    fn by(mut self, node: u32) -> Self {
        self.nodes.push(node);
        self
    }

    fn of_request(mut self, id: u64) -> Self {
        self.request = Some(hex(id));
        self
    }

    fn of_biller(mut self, biller: u64) -> Self {
        self.biller = Some(hex(biller));
        self
    }

    fn at_box(mut self, at_box: u32) -> Self {
        self.at_box = Some(at_box);
        self
    }

    fn line(mut self, at: Micros, text: impl fmt::Display) -> Self {
        self.evidence.push(format!("{} {text}", time(at)));
        self
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} at {}", self.rule, self.kind, time(self.at))?;
        if let Some(id) = &self.request {
            write!(f, ", request {id}")?;
        }
        if let Some(biller) = &self.biller {
            write!(f, ", biller {biller}")?;
        }
        if let Some(at_box) = self.at_box {
            write!(f, ", box {at_box}")?;
        }
        for node in &self.nodes {
            write!(f, ", node {node}")?;
        }
        Ok(())
    }
}

/// A time of the recording, in seconds.
pub fn time(at: Micros) -> String {
    format!("{}.{:06}s", at / 1_000_000, at % 1_000_000)
}

/// An id or a biller as it stands on the sockets.
pub fn hex(number: u64) -> String {
    format!("{number:016x}")
}

/// What a run comes to.
#[derive(Debug, Clone, Serialize)]
pub struct Judgement {
    /// All breaches, by time.
    pub breaches: Vec<Breach>,
    /// How many things each rule was held against; a rule held against nothing says nothing.
    pub looked_at: Vec<(Rule, usize)>,
    /// The service that billers got.
    pub service: Service,
}

impl Judgement {
    /// Whether this rule was kept.
    pub fn kept(&self, rule: Rule) -> bool {
        self.breaches.iter().all(|b| b.rule != rule)
    }
}

/// Judges a recording, in the order of its times.
pub fn judge(terms: &Terms, records: &[Record]) -> Judgement {
    let view = View::new(records);
    let mut breaches = Vec::new();
    let looked_at = vec![
        (Rule::Answers, answers::judge(terms, &view, &mut breaches)),
        (Rule::Effects, effects::judge(terms, &view, &mut breaches)),
        (Rule::Drains, drains::judge(terms, &view, &mut breaches)),
        (Rule::Cold, cold::judge(terms, &view, &mut breaches)),
        (Rule::Ceilings, ceilings::judge(terms, &view, &mut breaches)),
    ];
    breaches.sort_by(|a, b| (a.at, a.rule, &a.request, a.kind).cmp(&(b.at, b.rule, &b.request, b.kind)));
    Judgement { breaches, looked_at, service: service::count(terms, &view) }
}
