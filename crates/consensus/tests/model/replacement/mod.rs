//! Members that fall silent and are replaced by a spare store, at the pace of such changes: every timing of a few faults
//! and calls, by rounds of half a second.
//!
//! A store's silence lasts for seconds, so the words of a round are heard in one order; [`crate::searches`] has all orders.

mod execution;
mod properties;
mod scopes;
mod state;
mod transitions;

use std::time::Instant;

use crate::{explore, Found};
use properties::is_wrong;
use scopes::{defects, searches, Scope};

/// What was found, and how many states were seen.
fn search(scope: Scope) -> (Vec<Found<state::Step>>, usize) {
    let (found, states, _) = explore(scope, scopes::DEPTH);
    (found, states)
}

fn asked_for(name: &str) -> bool {
    name.contains(&std::env::var("DANCE_ONLY").unwrap_or_default())
}

#[test]
fn no_replacement_breaks_anything() {
    let long = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let mut broken = Vec::new();
    for scope in searches(long).into_iter().filter(|scope| asked_for(scope.name)) {
        let (name, meets) = (scope.name, scope.meets.clone());
        let begun = Instant::now();
        let (found, states) = search(scope);
        println!("{name}: {states} states in {:?}", begun.elapsed());
        for (what, steps) in found.iter().filter(|(what, _)| is_wrong(what)) {
            println!("    {what}: {} steps {steps:?}", steps.len());
            broken.push((name, *what));
        }
        for what in meets {
            assert!(found.iter().any(|(met, _)| *met == what), "{name}: {what} is not met");
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn each_defect_of_replacement_is_found() {
    let mut missed = Vec::new();
    for (defect, scope, breaks) in defects() {
        if !asked_for(&format!("{defect:?}")) {
            continue;
        }
        let begun = Instant::now();
        let (found, states) = search(Scope { defect: Some(defect), meets: Vec::new(), ..scope });
        println!("{defect:?}: {states} states in {:?}", begun.elapsed());
        for (what, steps) in found.iter().filter(|(what, _)| is_wrong(what)) {
            println!("    {what}: {} steps", steps.len());
        }
        if !found.iter().any(|(what, _)| breaks.contains(what)) {
            missed.push(defect);
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}
