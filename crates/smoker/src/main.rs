//! Plays seeds and tells the figures, or the first breach of each seed that has one.

use std::process::ExitCode;

use getopts::Options;
use pinerelay_smoker::check::Invariant;
use pinerelay_smoker::defects;
use pinerelay_smoker::figures::Figures;
use pinerelay_smoker::plan::Plan;
use pinerelay_smoker::scenarios;
use pinerelay_smoker::world::play;
use thiserror::Error;

#[derive(Debug, Error)]
enum Odd {
    #[error("{0}")]
    Options(#[from] getopts::Fail),
    #[error("--{0}: a whole number from {1} on is wanted")]
    Number(&'static str, u64),
    #[error("--scenario: there is no scenario {0}; --scenario list names all")]
    Scenario(String),
    #[error("--defect: there is no defect {0}; --defects names all")]
    Defect(String),
    #[error("--count: there is no invariant {0}")]
    Invariant(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seeds", "how many seeds are played with faults (default 20)", "N");
    options.optopt("", "seed", "the first of them (default 1)", "N");
    options.optopt("", "cores", "machines of the core (default 3)", "N");
    options.optopt("", "spares", "machines that replace one of the core for good (default 0)", "N");
    options.optopt("", "losses", "machines of the core that may be lost at once (default 1)", "N");
    options.optopt("", "proxies", "proxies (default 11)", "N");
    options.optopt("", "servers", "app servers (default 34)", "N");
    options.optopt("", "seconds", "how long each play lasts (default 40)", "N");
    options.optopt("", "scenario", "plays this scenario; list: tells which there are", "NAME");
    options.optopt("", "count", "breaches of these invariants are counted and end no play", "NAMES");
    options.optopt("", "defect", "plays with this defect put in", "NAME");
    options.optflag("", "defects", "puts each defect in, and tells the first seed that finds it");
    options.optflag("h", "help", "print this and end");
    options
}

fn plan(found: &getopts::Matches) -> Result<(Plan, u64), Odd> {
    let number = |name: &'static str, or: u64, least: u64| {
        let number = found.opt_str(name).map(|text| text.parse().ok().filter(|n| *n >= least));
        number.unwrap_or(Some(or)).ok_or(Odd::Number(name, least))
    };
    let counts = found.opt_str("count").unwrap_or_default();
    let counts = counts.split(',').filter(|name| !name.is_empty());
    let counts = counts.map(|name| Invariant::named(name).ok_or(Odd::Invariant(name.into())));
    let counts = counts.collect::<Result<Vec<Invariant>, Odd>>()?;
    let broken = match found.opt_str("defect") {
        Some(name) => Some(defects::named(&name).ok_or(Odd::Defect(name))?),
        None => None,
    };
    let scenario = match found.opt_str("scenario") {
        Some(name) => Some(scenarios::named(&name).ok_or(Odd::Scenario(name))?),
        None => None,
    };
    let plan = Plan {
        seed: number("seed", 1, 0)?,
        cores: number("cores", 3, 2)? as usize,
        spares: number("spares", 0, 0)? as usize,
        losses: number("losses", 1, 1)? as usize,
        proxies: number("proxies", 11, 1)? as usize,
        servers: number("servers", 34, 1)? as usize,
        seconds: number("seconds", scenario.map_or(40, |scenario| scenario.seconds), 20)?,
        faults: true,
        broken,
        scenario,
        counts,
    };
    Ok((plan, number("seeds", 20, 0)?))
}

/// Puts each defect in, and tells the first seed that finds it.
fn defects_found() -> ExitCode {
    let mut missed = 0;
    println!("{:<12} {:<20} {:<14} first seed", "defect", "played", "breaks");
    for defect in &defects::ALL {
        let found = defect.find(0, defects::SEEDS);
        missed += usize::from(found.is_none());
        let (broken, invariant) = (format!("{:?}", defect.broken), format!("{:?}", defect.invariant));
        let found = found.map_or(format!("none of {}", defects::SEEDS), |seed| seed.to_string());
        println!("{broken:<12} {:<20} {invariant:<14} {found}", defect.scenario.unwrap_or("by lot"));
    }
    u8::from(missed > 0).into()
}

fn main() -> ExitCode {
    let found = options().parse(std::env::args().skip(1)).map_err(Odd::from);
    if found.as_ref().is_ok_and(|found| found.opt_present("h")) {
        println!(
            "{}",
            options().usage("smoker: plays a whole gateway under faults\nusage: smoker [OPTIONS]").trim_end()
        );
        return 0.into();
    }
    if found.as_ref().is_ok_and(|found| found.opt_str("scenario").as_deref() == Some("list")) {
        for scenario in &scenarios::ALL {
            println!("{:<20} {}", scenario.name, scenario.text);
        }
        return 0.into();
    }
    if found.as_ref().is_ok_and(|found| found.opt_present("defects")) {
        return defects_found();
    }
    let (plan, seeds) = match found.and_then(|found| plan(&found)) {
        Ok(plan) => plan,
        Err(odd) => {
            eprintln!("smoker: {odd}");
            return 2.into();
        }
    };
    let mut broken = 0;
    if plan.scenario.is_none() && plan.broken.is_none() {
        match play(&Plan { faults: false, ..plan.clone() }) {
            Ok(figures) => println!("without faults\n{figures}\n"),
            Err(breach) => {
                broken += 1;
                println!("without faults: {breach}");
            }
        }
    }
    let mut all = Figures::default();
    for seed in plan.seed..plan.seed + seeds {
        match play(&Plan { seed, ..plan.clone() }) {
            Ok(figures) => all.join(figures),
            Err(breach) => {
                broken += 1;
                println!("{breach}");
                for (at, what, whose) in &breach.trail {
                    println!("  {:>7.3} s  {what} {whose}", *at as f64 / 1e6);
                }
            }
        }
    }
    if seeds > 0 {
        println!("with faults, {seeds} seeds, {broken} of them broken\n{all}");
    }
    u8::from(broken > 0 || !all.broken.is_empty()).into()
}
