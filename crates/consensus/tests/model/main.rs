//! Model check of the consensus: explores every interleaving of a few stores and calls up to a bounded depth. The model runs
//! the real [`pinerelay_consensus::Store`] on disks that sync late, with a network that loses, delays, reorders and
//! duplicates messages, processes that crash and restart, and disks that come back empty.
//!
//! A message that is never delivered is a lost one, so message loss needs no step of its own.

mod defects;
mod execution;
mod properties;
mod random_walks;
mod replacement;
mod scope;
mod searches;
mod shared;
mod state;
mod trace;
mod transitions;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::Instant;

use stateright::{Checker, HasDiscoveries, Model};

use crate::defects::defects;
use crate::properties::{CONFLICT, REPAIRED, TWO_ACKNOWLEDGED};
use crate::random_walks::{random_walk, random_walk_scope};
use crate::scope::{Scope, Step};
use crate::searches::searches;

/// The name of a property, and the trace that violates it or, for a `sometimes` property, reaches it.
type Discovery<A = Step> = (&'static str, Vec<A>);

/// Searches a scope to its depth. Returns the discoveries, the number of unique states, and the depth reached.
fn search(scope: Scope) -> (Vec<Discovery>, usize, usize) {
    let depth = scope.depth;
    explore(scope, depth)
}

/// Breadth-first search of any model to a depth, ended early by a violation. Returns the same as [`search`].
fn explore<M>(model: M, depth: usize) -> (Vec<Discovery<M::Action>>, usize, usize)
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + Debug + Hash + PartialEq + Send + Sync,
    M::Action: Clone + Debug + PartialEq + Send + Sync,
{
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let checker = model
        .checker()
        .threads(threads)
        .target_max_depth(depth)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let found = checker.discoveries().into_iter().map(|(name, path)| (name, path.into_actions())).collect();
    (found, checker.unique_state_count(), checker.max_depth())
}

fn is_violation((property, _): &Discovery) -> bool {
    ![TWO_ACKNOWLEDGED, CONFLICT, REPAIRED].contains(property)
}

#[test]
fn searches_find_no_violation() {
    let long = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let selected = std::env::var("DANCE_ONLY").unwrap_or_default();
    let mut violations = Vec::new();
    for scope in searches(long).into_iter().filter(|scope| scope.name.contains(&selected)) {
        let (name, reaches) = (scope.name, scope.reaches.clone());
        let started_at = Instant::now();
        let (found, states, depth) = search(scope);
        println!("{name}: {states} states to depth {depth} in {:?}", started_at.elapsed());
        for property in &reaches {
            assert!(
                found.iter().any(|(discovered, _)| discovered == property),
                "{name}: {property:?} is not reached"
            );
        }
        for (property, steps) in found.iter().filter(|found| is_violation(found)) {
            println!("    {property}: {} steps {steps:#?}", steps.len());
            violations.push((name, *property));
        }
    }
    assert!(violations.is_empty(), "violations: {violations:?}");
}

#[test]
fn each_defect_is_found() {
    let also_without_defect = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let selected = std::env::var("DANCE_ONLY").unwrap_or_default();
    let mut missed = Vec::new();
    for (defect, scope, expected) in defects() {
        if !format!("{defect:?}").contains(&selected) {
            continue;
        }
        if also_without_defect {
            let (found, ..) = search(scope.clone());
            assert!(!found.iter().any(is_violation), "violation without {defect:?}: {found:#?}");
        }
        let started_at = Instant::now();
        let (found, states, depth) = search(Scope { defect: Some(defect), ..scope });
        let found: Vec<Discovery> = found.into_iter().filter(is_violation).collect();
        println!("{defect:?}: {states} states to depth {depth} in {:?}", started_at.elapsed());
        for (property, steps) in &found {
            println!("    {property}: {} steps", steps.len());
        }
        if !found.iter().any(|(property, _)| expected.contains(property)) {
            missed.push(defect);
        }
    }
    assert!(missed.is_empty(), "defects without a violation: {missed:?}");
}

#[test]
fn random_walks_find_no_violation() {
    let walks = std::env::var("DANCE_WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    let scope = random_walk_scope();
    let started_at = Instant::now();
    let mut discovered: BTreeMap<&str, (u64, u64, usize)> = BTreeMap::new();
    for seed in 0..walks {
        for (property, at) in random_walk(&scope, seed, 200) {
            discovered.entry(property).or_insert((0, seed, at)).0 += 1;
        }
    }
    println!("{walks} walks in {:?}", started_at.elapsed());
    for (property, (times, seed, at)) in &discovered {
        println!("    {property}: {times} times, first at step {at} of seed {seed}");
    }
    let violations: Vec<_> = discovered
        .keys()
        .filter(|property| ![TWO_ACKNOWLEDGED, CONFLICT, REPAIRED].contains(property))
        .collect();
    assert!(violations.is_empty(), "violations: {violations:?}");
    for property in [TWO_ACKNOWLEDGED, CONFLICT, REPAIRED] {
        assert!(discovered.contains_key(property), "{property:?} is not reached");
    }
}
