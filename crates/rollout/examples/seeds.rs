//! Plays seeds of good and bad versions, and prints how they ended: `cargo run --release -p pinerelay-rollout --example seeds -- 1000`.

use pinerelay_config_state::rollout::Stage;

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{play, Badness, Outcome, Plan, ROLLBACK, SECOND};

/// Seeds if none are named.
const SEEDS: u64 = 100;

const KINDS: [(&str, Badness); 9] = [
    ("good", Badness::None),
    ("errors 0.5", Badness::Errors(0.5)),
    ("errors 0.2", Badness::Errors(0.2)),
    ("slow 0.38 x 8", Badness::Slow(0.38, 8.0)),
    ("slow 0.38 x 4", Badness::Slow(0.38, 4.0)),
    ("slow 0.6 x 3", Badness::Slow(0.6, 3.0)),
    ("one route 0.5", Badness::OneRoute(0.5)),
    ("late 0.4 from 3 s", Badness::Late(0.4, 3 * SECOND)),
    ("late 0.4 from 5 s", Badness::Late(0.4, 5 * SECOND)),
];

/// The value below which a part of the values lie.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len().saturating_sub(1) as f64 * part) as usize;
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
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for (name, badness) in KINDS {
        for (condition, faults, lost_messages) in [("calm", 0.01, 0.0), ("troubled", 0.05, 0.2)] {
            let disturbed = (condition == "troubled").then_some(());
            let plan = |seed| Plan {
                faults,
                lost_messages,
                takeover_every: disturbed.map(|()| 3_700_000),
                restart_every: disturbed.map(|()| 130_000),
                ..Plan::new(seed, badness)
            };
            let outcomes: Vec<Outcome> = (0..seeds).map(|seed| play(plan(seed))).collect();
            println!("{condition:8} {}", summary(name, &outcomes));
        }
    }
}
