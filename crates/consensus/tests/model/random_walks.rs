//! Random walks through the state space, deeper than the exhaustive searches.

use pinerelay_consensus::Request;
use stateright::Model;

use crate::scope::{Scope, Step};
use crate::searches::{change_membership, searches, tenant};
use crate::state::Budget;

/// One random walk of at most `max_steps` steps. Returns which properties were violated or reached, each with the step at
/// which it was first.
pub fn random_walk(scope: &Scope, seed: u64, max_steps: usize) -> Vec<(&'static str, usize)> {
    // A clone has empty caches: walks share few states with each other.
    let scope = &scope.clone();
    let mut random_state = seed;
    let mut random_below = |bound: usize| {
        random_state = random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (pinerelay_config_state::hash::mix64(random_state) % bound as u64) as usize
    };
    let properties = scope.properties();
    let mut state = scope.init_states().remove(0);
    let mut discovered: Vec<(&'static str, usize)> = Vec::new();
    for step_number in 0..max_steps {
        let mut steps = Vec::new();
        scope.actions(&state, &mut steps);
        // Deliveries, syncs and starts are chosen more often than the other steps.
        let (frequent, rare): (Vec<Step>, Vec<Step>) = steps.into_iter().partition(|s| {
            matches!(s, Step::Deliver { duplicate: false, .. } | Step::Sync(_) | Step::Start(_))
        });
        let steps =
            if rare.is_empty() || !frequent.is_empty() && random_below(8) != 0 { frequent } else { rare };
        if steps.is_empty() {
            break;
        }
        let step = steps[random_below(steps.len())].clone();
        let Some(next) = scope.next_state(&state, step) else { continue };
        state = next;
        for property in &properties {
            let satisfied = (property.condition)(scope, &state);
            let discovered_now = satisfied == (property.expectation == stateright::Expectation::Sometimes);
            if discovered_now && !discovered.iter().any(|(name, _)| *name == property.name) {
                discovered.push((property.name, step_number));
            }
        }
    }
    discovered
}

/// A scope with more calls and a larger budget than the exhaustive searches can cover.
pub fn random_walk_scope() -> Scope {
    let mut scope = searches(false).remove(0);
    scope.name = "random walks";
    scope.machine_count = 4;
    scope.calls = vec![
        (0, tenant("t1", 1, "k")),
        (1, tenant("t2", 1, "k")),
        (2, tenant("t1", 1, "m")),
        (3, tenant("t3", 1, "n")),
        (1, Request::Read),
        (2, Request::Read),
        (0, change_membership(2, &[(0, 0), (1, 0), (3, 1)])),
        (2, change_membership(2, &[(1, 0), (2, 0), (3, 1)])),
        (1, change_membership(2, &[(0, 0), (1, 0), (2, 2)])),
        (1, change_membership(3, &[(0, 0), (1, 0), (2, 2)])),
        (3, change_membership(3, &[(0, 0), (2, 0), (3, 1)])),
    ];
    scope.budget = Budget { crashes: 3, wipes: 1, duplications: 2, ticks: 8 };
    scope.clock_advances = vec![100_000, 400_000];
    scope.delayed_sync = vec![0, 1, 2, 3];
    scope.background_messages = true;
    scope
}
