//! The load: all requests that billers will make, planned ahead from the seed, or read from a capture.

use std::fmt;
use std::path::{Path, PathBuf};

use pinerelay_evidence::Micros;
use pinerelay_standins::billers::Planned;
use pinerelay_standins::lots::{mix, Lots};
use serde::Deserialize;

use crate::scenario::Scenario;
use crate::site::{Site, UNITS};

/// Billers are below 2^33.
const BILLERS: u64 = 1 << 33;
/// A biller that is no odd one uses so much of its quota: from the least to the most; and those near it.
const USAGE: (f64, f64) = (0.2, 0.65);
const NEAR: (f64, f64) = (0.85, 0.98);
const NEAR_SHARE: f64 = 0.15;
/// Odd ones ask for so many times their quota, for long spells or for so long now and then.
const OVER: (f64, f64) = (1.2, 3.9);
const SPIKE: (f64, f64) = (1.5, 7.7);
const SPIKE_S: (f64, f64) = (0.5, 4.4);
const SPIKE_EVERY_S: f64 = 10.0;
/// One node in so many sees more than the others, where the load is uneven.
const CROWDED: usize = 10;

/// Why captured load can't be replayed.
#[derive(Debug)]
pub enum LoadError {
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// A line is not what is wanted.
    Line {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wanted.
        why: String,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            LoadError::Line { path, line, why } => write!(f, "{}:{line}: {why}", path.display()),
        }
    }
}

impl std::error::Error for LoadError {}

/// Plans a scenario's load, in the order of time. The same seed gives the same plan.
pub fn plan(scenario: &Scenario, site: &Site, seed: u64) -> Result<Vec<Planned>, LoadError> {
    if let Some(path) = &scenario.load.replay {
        let text = std::fs::read_to_string(path).map_err(|e| LoadError::Unreadable(path.clone(), e))?;
        return replay(path, &text, scenario, site);
    }
    let mean_units: f64 = UNITS.iter().enumerate().map(|(n, share)| (n + 1) as f64 * share).sum();
    let usage = (USAGE.0 + USAGE.1) / 2.0 * (1.0 - NEAR_SHARE) + (NEAR.0 + NEAR.1) / 2.0 * NEAR_SHARE;
    let mut all = Vec::new();
    for (plan, (name, quota, share)) in site.plans().enumerate() {
        let units = scenario.load.rate * share * mean_units;
        let count = (units / (quota * usage)).round().max(1.0) as u64;
        // What rounding the number of billers took or gave.
        let even = units / (count as f64 * quota * usage);
        for number in 0..count {
            let biller = Biller::new(scenario, seed, plan as u64, number);
            biller.ask(scenario, site, quota * even / mean_units, (plan, name), &mut all);
        }
    }
    all.sort_by_key(|p| (p.at, p.biller));
    Ok(all)
}

struct Biller {
    number: u64,
    usage: f64,
    /// Spikes: from, to, and how many times its quota.
    spikes: Vec<(f64, f64, f64)>,
    spread: u32,
    first: u32,
    lots: Lots,
}

impl Biller {
    fn new(scenario: &Scenario, seed: u64, plan: u64, number: u64) -> Biller {
        let number = mix(&[seed, 0xb111e5, plan, number]) % BILLERS;
        let mut lots = Lots::new(seed, mix(&[number]));
        let kind = lots.share();
        let (over, spiky) = (scenario.load.over, scenario.load.over + scenario.load.spiky);
        let usage = match kind {
            k if k < over => lots.between(OVER.0, OVER.1),
            k if k > 1.0 - NEAR_SHARE => lots.between(NEAR.0, NEAR.1),
            _ => lots.between(USAGE.0, USAGE.1),
        };
        let mut spikes = Vec::new();
        if (over..spiky).contains(&kind) {
            let mut at = lots.span(SPIKE_EVERY_S);
            while at < f64::from(scenario.seconds) {
                let length = lots.between(SPIKE_S.0, SPIKE_S.1);
                spikes.push((at, at + length, lots.between(SPIKE.0, SPIKE.1)));
                at += length + lots.span(SPIKE_EVERY_S);
            }
        }
        let nodes = scenario.fleet.nodes;
        let spread = 2 + (lots.below(3) as u32);
        let mut first = lots.below(nodes as usize) as u32;
        let few = (nodes as usize).div_ceil(CROWDED);
        if scenario.load.uneven > 0.0 && lots.share() < scenario.load.uneven {
            first = lots.below(few) as u32;
        }
        Biller { number, usage, spikes, spread: spread.min(nodes), first, lots }
    }

    /// Its requests; at use 1 it makes `rate` a second.
    fn ask(
        mut self,
        scenario: &Scenario,
        site: &Site,
        rate: f64,
        (plan, name): (usize, &str),
        all: &mut Vec<Planned>,
    ) {
        let shape = &scenario.load.shape;
        let tallest = shape.iter().map(|s| s.1).fold(0.0, f64::max);
        let highest = self.spikes.iter().map(|s| s.2).fold(self.usage, f64::max);
        let surges: Vec<_> = (scenario.load.surge.iter())
            .filter(|s| s.plan == name)
            .map(|s| (s.at.0.as_secs_f64(), (s.at.0 + s.span.0).as_secs_f64(), s.times))
            .collect();
        let surge =
            |at: f64| surges.iter().filter(|s| (s.0..s.1).contains(&at)).map(|s| s.2).product::<f64>();
        let most = rate * tallest * highest * surges.iter().map(|s| s.2.max(1.0)).product::<f64>();
        if most <= 0.0 {
            return;
        }
        let mut at = self.lots.span(1.0 / most);
        while at < f64::from(scenario.seconds) {
            let spike = self.spikes.iter().find(|s| (s.0..s.1).contains(&at)).map(|s| s.2);
            let now = rate * factor(shape, at) * spike.unwrap_or(self.usage) * surge(at);
            if self.lots.share() * most < now {
                let class = draw(site.classes().map(|c| c.1), self.lots.share());
                let units = draw(UNITS.iter().copied(), self.lots.share()) as u32 + 1;
                all.push(Planned {
                    at: (at * 1e6) as Micros,
                    biller: self.number,
                    plan,
                    class,
                    units,
                    spread: self.spread,
                    first: self.first,
                });
            }
            at += self.lots.span(1.0 / most);
        }
    }
}

/// The number of the share that a lot falls in.
fn draw(shares: impl Iterator<Item = f64>, lot: f64) -> usize {
    let mut sum = 0.0;
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        sum += share;
        last = n;
        if lot < sum {
            return n;
        }
    }
    last
}

/// The factor of a shape at a time: straight between its points, level before the first and after the last.
fn factor(shape: &[(f64, f64)], at: f64) -> f64 {
    let after = shape.partition_point(|s| s.0 <= at);
    match (after.checked_sub(1).map(|n| shape[n]), shape.get(after)) {
        (Some((from, a)), Some(&(to, b))) => a + (b - a) * (at - from) / (to - from),
        (Some((_, a)), None) => a,
        (None, Some(&(_, b))) => b,
        (None, None) => 1.0,
    }
}

/// A line of captured load.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Captured {
    t_ms: f64,
    biller: String,
    plan: String,
    class: String,
    units: u32,
}

fn replay(path: &Path, text: &str, scenario: &Scenario, site: &Site) -> Result<Vec<Planned>, LoadError> {
    let mut all = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let wrong = |why: String| LoadError::Line { path: path.to_path_buf(), line: n + 1, why };
        let c: Captured = serde_json::from_str(line).map_err(|e| wrong(e.to_string()))?;
        let biller = Some(&c.biller)
            .filter(|b| b.len() == 16)
            .and_then(|b| u64::from_str_radix(b, 16).ok())
            .filter(|b| *b < BILLERS)
            .ok_or_else(|| {
                wrong(format!("biller: 16 hex digits below 2^33 are wanted, not {:?}", c.biller))
            })?;
        let plan = site.plans().position(|p| p.0 == c.plan);
        let plan = plan.ok_or_else(|| wrong(format!("plan: {:?} does not exist", c.plan)))?;
        let class = site.classes().position(|k| k.0 == c.class);
        let class = class.ok_or_else(|| wrong(format!("class: {:?} does not exist", c.class)))?;
        if !(1..=4).contains(&c.units) {
            return Err(wrong(format!("units: 1 to 4 are wanted, not {}", c.units)));
        }
        if !(c.t_ms >= 0.0 && c.t_ms < f64::from(scenario.seconds) * 1e3) {
            let why = format!(
                "t_ms: a time within the {} s of the load is wanted, not {}",
                scenario.seconds, c.t_ms
            );
            return Err(wrong(why));
        }
        let nodes = u64::from(scenario.fleet.nodes);
        let spread = (2 + mix(&[biller, 1]) % 3).min(nodes) as u32;
        let first = (mix(&[biller, 2]) % nodes) as u32;
        let at = (c.t_ms * 1e3) as Micros;
        all.push(Planned { at, biller, plan, class, units: c.units, spread, first });
    }
    all.sort_by_key(|p| (p.at, p.biller));
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(name: &str) -> Scenario {
        Scenario::bundled(name).expect("bundled").expect("valid")
    }

    #[test]
    fn a_seed_gives_the_same_load_and_another_seed_another() {
        let scenario = scenario("calm");
        let site = Site::new(&scenario);
        let load = |seed| plan(&scenario, &site, seed).expect("a plan");
        assert_eq!(load(4), load(4));
        assert_ne!(load(4), load(5));
    }

    #[test]
    fn a_load_has_its_rate_inside_quotas_and_its_shape() {
        let mut scenario = scenario("calm");
        scenario.seconds = 200;
        scenario.load.shape = vec![(0.0, 1.0), (99.9, 1.0), (100.1, 0.5)];
        (scenario.load.over, scenario.load.spiky) = (0.0, 0.0);
        let site = Site::new(&scenario);
        let load = plan(&scenario, &site, 11).expect("a plan");
        let (early, late): (Vec<&Planned>, Vec<_>) = load.iter().partition(|p| p.at < 100_000_000);
        let (early, late) = (early.len() as f64 / 100.0, late.len() as f64 / 100.0);
        assert!((early / 170.0 - 1.0).abs() < 0.12, "{early} a second");
        assert!((late / early - 0.5).abs() < 0.05, "{late} after {early}");
        assert!(load.windows(2).all(|w| w[0].at <= w[1].at));
    }

    #[test]
    fn an_uneven_load_gathers_at_the_first_nodes_and_is_as_large() {
        let mut scenario = scenario("whole-fleet");
        let site = Site::new(&scenario);
        let mut part = |uneven: f64| {
            scenario.load.uneven = uneven;
            let load = plan(&scenario, &site, 3).expect("a plan");
            let few = load.iter().filter(|p| p.first < scenario.fleet.nodes / 10).count();
            (load.len() as f64, few as f64 / load.len() as f64)
        };
        let (even, uneven) = (part(0.0), part(0.5));
        assert!((uneven.0 / even.0 - 1.0).abs() < 0.2, "{even:?} {uneven:?}");
        assert!(even.1 < 0.25 && uneven.1 > 0.4, "{even:?} {uneven:?}");
    }

    #[test]
    fn captured_load_is_replayed_and_what_is_wrong_with_it_is_named_by_line() {
        let scenario = scenario("calm");
        let site = Site::new(&scenario);
        let line = |t: &str, biller: &str, plan: &str, units: u32| {
            format!("{{\"t_ms\":{t},\"biller\":\"{biller}\",\"plan\":\"{plan}\",\"class\":\"bill-lookup\",\"units\":{units}}}\n")
        };
        let biller = "00000000000000ab";
        let good = line("12.5", biller, "business", 2) + "\n" + &line("3", biller, "basic", 1);
        let load = replay(Path::new("c.jsonl"), &good, &scenario, &site).expect("a load");
        let seen: Vec<_> = load.iter().map(|p| (p.at, p.biller, p.plan, p.units)).collect();
        assert_eq!(seen, [(3_000, 0xab, 0, 1), (12_500, 0xab, 2, 2)]);
        let rows = [
            (line("1", "ab", "basic", 1), "c.jsonl:1: biller: 16 hex digits"),
            (line("1", biller, "gold", 1), "c.jsonl:1: plan: \"gold\" does not exist"),
            (line("1", biller, "basic", 5), "c.jsonl:1: units: 1 to 4"),
            (
                line("1", biller, "basic", 1) + &line("20000", biller, "basic", 1),
                "c.jsonl:2: t_ms: a time within the 20 s",
            ),
            ("{\"t_ms\": 1}\n".into(), "c.jsonl:1: missing field `biller`"),
        ];
        for (text, wanted) in rows {
            let error = replay(Path::new("c.jsonl"), &text, &scenario, &site).expect_err(&text).to_string();
            assert!(error.contains(wanted), "{error:?} lacks {wanted:?}");
        }
    }
}
