//! Every interleaving of a few stores and calls, to a bound: the stores themselves, disks that sync late, a network that
//! loses, holds up, reorders and doubles words, processes that end and start again, disks that come back empty.
//!
//! A word that stays on the way for ever is a lost one, so losing needs no step of its own.

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
use crate::properties::{ACKNOWLEDGED, CONFLICT, REPAIRED};
use crate::random_walks::{walk, wide};
use crate::scope::{Scope, Step};
use crate::searches::searches;

/// A property's name, and the steps that lead there.
type Found<A = Step> = (&'static str, Vec<A>);

/// What was found, how many states were seen, and to which depth.
fn search(scope: Scope) -> (Vec<Found>, usize, usize) {
    let depth = scope.depth;
    explore(scope, depth)
}

/// The same of any model.
fn explore<M>(model: M, depth: usize) -> (Vec<Found<M::Action>>, usize, usize)
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

fn is_wrong((what, _): &Found) -> bool {
    ![ACKNOWLEDGED, CONFLICT, REPAIRED].contains(what)
}

#[test]
fn no_search_breaks_anything() {
    let long = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let only = std::env::var("DANCE_ONLY").unwrap_or_default();
    let mut broken = Vec::new();
    for scope in searches(long).into_iter().filter(|scope| scope.name.contains(&only)) {
        let (name, meets) = (scope.name, scope.meets.clone());
        let begun = Instant::now();
        let (found, states, depth) = search(scope);
        println!("{name}: {states} states to depth {depth} in {:?}", begun.elapsed());
        for what in &meets {
            assert!(found.iter().any(|(met, _)| met == what), "{name}: {what}");
        }
        for (what, steps) in found.iter().filter(|found| is_wrong(found)) {
            println!("    {what}: {} steps {steps:#?}", steps.len());
            broken.push((name, *what));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn each_defect_is_found() {
    let long = std::env::var("DANCE_SCOPE").is_ok_and(|scope| scope == "long");
    let only = std::env::var("DANCE_ONLY").unwrap_or_default();
    let mut missed = Vec::new();
    for (defect, scope, breaks) in defects() {
        if !format!("{defect:?}").contains(&only) {
            continue;
        }
        if long {
            let (found, ..) = search(scope.clone());
            assert!(!found.iter().any(is_wrong), "without {defect:?}: {found:#?}");
        }
        let begun = Instant::now();
        let (found, states, depth) = search(Scope { defect: Some(defect), ..scope });
        let found: Vec<Found> = found.into_iter().filter(is_wrong).collect();
        println!("{defect:?}: {states} states to depth {depth} in {:?}", begun.elapsed());
        for (what, steps) in &found {
            println!("    {what}: {} steps", steps.len());
        }
        if !found.iter().any(|(what, _)| breaks.contains(what)) {
            missed.push(defect);
        }
    }
    assert!(missed.is_empty(), "{missed:?}");
}

#[test]
fn walks_go_where_searches_do_not_reach() {
    let walks = std::env::var("DANCE_WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    let scope = wide();
    let begun = Instant::now();
    let mut met: BTreeMap<&str, (u64, u64, usize)> = BTreeMap::new();
    for seed in 0..walks {
        for (what, at) in walk(&scope, seed, 200) {
            met.entry(what).or_insert((0, seed, at)).0 += 1;
        }
    }
    println!("{walks} walks in {:?}", begun.elapsed());
    for (what, (times, seed, at)) in &met {
        println!("    {what}: {times} times, first at step {at} of seed {seed}");
    }
    let broken: Vec<_> =
        met.keys().filter(|what| ![ACKNOWLEDGED, CONFLICT, REPAIRED].contains(what)).collect();
    assert!(broken.is_empty(), "{broken:?}");
    for what in [ACKNOWLEDGED, CONFLICT, REPAIRED] {
        assert!(met.contains_key(what), "{what}");
    }
}
