//! Plays seeds and tells the figures, or the first breach of each seed that has one.

use std::process::ExitCode;

use getopts::Options;
use pinerelay_smoker::figures::Figures;
use pinerelay_smoker::plan::Plan;
use pinerelay_smoker::world::play;
use thiserror::Error;

#[derive(Debug, Error)]
enum Odd {
    #[error("{0}")]
    Options(#[from] getopts::Fail),
    #[error("--{0}: a whole number from {1} on is wanted")]
    Number(&'static str, u64),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "seeds", "how many seeds are played with faults (default 20)", "N");
    options.optopt("", "seed", "the first of them (default 1)", "N");
    options.optopt("", "cores", "machines of the core (default 3)", "N");
    options.optopt("", "proxies", "proxies (default 11)", "N");
    options.optopt("", "servers", "app servers (default 34)", "N");
    options.optopt("", "seconds", "how long each play lasts (default 40)", "N");
    options.optflag("h", "help", "print this and end");
    options
}

fn plan(found: &getopts::Matches) -> Result<(Plan, u64), Odd> {
    let number = |name: &'static str, or: u64, least: u64| {
        let number = found.opt_str(name).map(|text| text.parse().ok().filter(|n| *n >= least));
        number.unwrap_or(Some(or)).ok_or(Odd::Number(name, least))
    };
    let plan = Plan {
        seed: number("seed", 1, 0)?,
        cores: number("cores", 3, 2)? as usize,
        proxies: number("proxies", 11, 1)? as usize,
        servers: number("servers", 34, 1)? as usize,
        seconds: number("seconds", 40, 20)?,
        faults: true,
        broken: None,
    };
    Ok((plan, number("seeds", 20, 0)?))
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
    let (plan, seeds) = match found.and_then(|found| plan(&found)) {
        Ok(plan) => plan,
        Err(odd) => {
            eprintln!("smoker: {odd}");
            return 2.into();
        }
    };
    let mut broken = 0;
    match play(&Plan { faults: false, ..plan.clone() }) {
        Ok(figures) => println!("without faults\n{figures}\n"),
        Err(breach) => {
            broken += 1;
            println!("without faults: {breach}");
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
    u8::from(broken > 0).into()
}
