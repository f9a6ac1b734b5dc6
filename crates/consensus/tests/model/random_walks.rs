//! Walks by lot.

use pinerelay_consensus::Request;
use stateright::Model;

use crate::scope::{Scope, Step};
use crate::searches::{change, searches, tenant};
use crate::state::Left;

/// One walk by lot: which properties were broken or met, and at which step first.
pub fn walk(scope: &Scope, seed: u64, most: usize) -> Vec<(&'static str, usize)> {
    // Walks share little with each other.
    let scope = &scope.clone();
    let mut lot = seed;
    let mut upto = |most: usize| {
        lot = lot.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (pinerelay_config_state::hash::mix64(lot) % most as u64) as usize
    };
    let properties = scope.properties();
    let mut world = scope.init_states().remove(0);
    let mut met: Vec<(&'static str, usize)> = Vec::new();
    for at in 0..most {
        let mut steps = Vec::new();
        scope.actions(&world, &mut steps);
        // Words and syncs more often than the rest.
        let (often, seldom): (Vec<Step>, Vec<Step>) = steps
            .into_iter()
            .partition(|s| matches!(s, Step::Hear { again: false, .. } | Step::Sync(_) | Step::Start(_)));
        let steps = if seldom.is_empty() || !often.is_empty() && upto(8) != 0 { often } else { seldom };
        if steps.is_empty() {
            break;
        }
        let step = steps[upto(steps.len())].clone();
        let Some(next) = scope.next_state(&world, step) else { continue };
        world = next;
        for property in &properties {
            let holds = (property.condition)(scope, &world);
            let told = holds == (property.expectation == stateright::Expectation::Sometimes);
            if told && !met.iter().any(|(name, _)| *name == property.name) {
                met.push((property.name, at));
            }
        }
    }
    met
}

pub fn wide() -> Scope {
    let mut wide = searches(false).remove(0);
    wide.name = "walks";
    wide.cores = 4;
    wide.calls = vec![
        (0, tenant("t1", 1, "k")),
        (1, tenant("t2", 1, "k")),
        (2, tenant("t1", 1, "m")),
        (3, tenant("t3", 1, "n")),
        (1, Request::Read),
        (2, Request::Read),
        (0, change(2, &[(0, 0), (1, 0), (3, 1)])),
        (2, change(2, &[(1, 0), (2, 0), (3, 1)])),
        (1, change(2, &[(0, 0), (1, 0), (2, 2)])),
        (1, change(3, &[(0, 0), (1, 0), (2, 2)])),
        (3, change(3, &[(0, 0), (2, 0), (3, 1)])),
    ];
    wide.left = Left { crashes: 3, wipes: 1, doubles: 2, ticks: 8 };
    wide.jumps = vec![100_000, 400_000];
    wide.late = vec![0, 1, 2, 3];
    wide.digests = true;
    wide
}
