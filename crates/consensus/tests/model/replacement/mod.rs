//! Model check of the replacement of silent members by spare stores, and of the interval between such changes: explores
//! every timing of a few faults and calls, in rounds of half a second.
//!
//! A member is replaced after seconds of silence, so the messages of a round are delivered in one order only;
//! [`crate::searches`] explores all orders.

mod execution;
mod properties;
mod scopes;
mod state;
mod transitions;

use std::time::Instant;

use crate::{explore, Discovery};
use properties::is_violation;
use scopes::{defects, searches, Scope};

/// Searches a scope. Returns the discoveries and the number of unique states.
fn search(scope: Scope) -> (Vec<Discovery<state::Step>>, usize) {
    let (found, states, _) = explore(scope, scopes::DEPTH);
    (found, states)
}

/// Whether `DANCE_ONLY` selects this scope or defect.
fn is_selected(name: &str) -> bool {
    name.contains(&std::env::var("DANCE_ONLY").unwrap_or_default())
}

#[test]
fn replacement_searches_find_no_violation() {
    let long = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let mut violations = Vec::new();
    for scope in searches(long).into_iter().filter(|scope| is_selected(scope.name)) {
        let (name, reaches) = (scope.name, scope.reaches.clone());
        let started_at = Instant::now();
        let (found, states) = search(scope);
        println!("{name}: {states} states in {:?}", started_at.elapsed());
        for (property, steps) in found.iter().filter(|(property, _)| is_violation(property)) {
            println!("    {property}: {} steps {steps:?}", steps.len());
            violations.push((name, *property));
        }
        for property in reaches {
            assert!(
                found.iter().any(|(discovered, _)| *discovered == property),
                "{name}: {property:?} is not reached"
            );
        }
    }
    assert!(violations.is_empty(), "violations: {violations:?}");
}

#[test]
fn each_replacement_defect_is_found() {
    let mut missed = Vec::new();
    for (defect, scope, expected) in defects() {
        if !is_selected(&format!("{defect:?}")) {
            continue;
        }
        let started_at = Instant::now();
        let (found, states) = search(Scope { defect: Some(defect), reaches: Vec::new(), ..scope });
        println!("{defect:?}: {states} states in {:?}", started_at.elapsed());
        for (property, steps) in found.iter().filter(|(property, _)| is_violation(property)) {
            println!("    {property}: {} steps", steps.len());
        }
        if !found.iter().any(|(property, _)| expected.contains(property)) {
            missed.push(defect);
        }
    }
    assert!(missed.is_empty(), "defects without a violation: {missed:?}");
}
