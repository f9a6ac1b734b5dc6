//! Simulates rollouts of good and bad versions over many seeds, and prints a summary of the outcomes:
//! `cargo run --release -p pinerelay-rollout --example seeds -- 1000`.

use pinerelay_config_state::rollout::Stage;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{simulate, Defect, Outcome, Plan, ROLLBACK, SECOND};

/// The number of seeds if none is given on the command line.
const DEFAULT_SEEDS: u64 = 100;

const CASES: [(&str, Defect); 9] = [
    ("good", Defect::None),
    ("errors 0.5", Defect::Errors(0.5)),
    ("errors 0.2", Defect::Errors(0.2)),
    ("slow 0.38 x 8", Defect::Slow(0.38, 8.0)),
    ("slow 0.38 x 4", Defect::Slow(0.38, 4.0)),
    ("slow 0.6 x 3", Defect::Slow(0.6, 3.0)),
    ("one route 0.5", Defect::OneRoute(0.5)),
    ("late 0.4 from 3 s", Defect::Late(0.4, 3 * SECOND)),
    ("late 0.4 from 5 s", Defect::Late(0.4, 5 * SECOND)),
];

/// Returns the quantile of the values at a fraction from 0 to 1.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len().saturating_sub(1) as f64 * fraction) as usize;
    values.get(index).copied().unwrap_or(0.0)
}

fn summary(name: &str, outcomes: &[Outcome]) -> String {
    let count =
        |matches: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|outcome| matches(outcome)).count();
    let finished = count(&|outcome| outcome.stage == Some(Stage::Finished));
    let reverted = count(&|outcome| outcome.stage == Some(Stage::Reverted));
    let over = count(&|outcome| outcome.exposed > outcome.exposure_bound());
    let late = count(&|outcome| outcome.stopped_after() > ROLLBACK);
    let mut used: Vec<f64> =
        outcomes.iter().map(|outcome| outcome.exposed as f64 / outcome.exposure_bound() as f64).collect();
    let mut stops: Vec<f64> = outcomes.iter().map(|outcome| outcome.stopped_after() as f64 / 1e6).collect();
    let mut ends: Vec<f64> =
        outcomes.iter().filter_map(|outcome| outcome.ended_at).map(|at| at as f64 / 1e6).collect();
    format!(
        "{name:18} finished {finished}, reverted {reverted}, over exposure {over}, stopped too late {late}; exposure used {:.2} (most {:.2}); \
         stopped after {:.2} s (most {:.2}); ended at {:.1} s (most {:.1})",
        quantile(&mut used, 0.5),
        quantile(&mut used, 1.0),
        quantile(&mut stops, 0.5),
        quantile(&mut stops, 1.0),
        quantile(&mut ends, 0.5),
        quantile(&mut ends, 1.0),
    )
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    for (name, defect) in CASES {
        for (condition, faults, lost_messages) in [("calm", 0.01, 0.0), ("troubled", 0.05, 0.2)] {
            let disturbances = (condition == "troubled").then_some(());
            let plan = |seed| Plan {
                faults,
                lost_messages,
                takeover_every: disturbances.map(|()| 3_700_000),
                restart_every: disturbances.map(|()| 130_000),
                ..Plan::new(seed, defect)
            };
            let outcomes: Vec<Outcome> = (0..seeds).map(|seed| simulate(plan(seed))).collect();
            println!("{condition:8} {}", summary(name, &outcomes));
        }
    }
}
