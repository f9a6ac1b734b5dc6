//! How the processes of a node share one limit of file descriptors.

/// The descriptors that one process claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Claim {
    /// The most descriptors that it may have open.
    pub max_descriptors: usize,
    /// Whether it is stopping: its claim is then limited to the descriptors in use and a slack.
    pub leaves: bool,
}

/// The descriptors of `limit` that a process with `used` open descriptors may claim, given the others' claims. Processes that
/// decide one after the other never claim more than the limit together, unless they had more open before: open descriptors are
/// always included in the claim, up to the limit.
pub fn claim(limit: usize, used: usize, leaves: bool, others: &[Claim]) -> usize {
    let free = limit.saturating_sub(others.iter().map(|o| o.max_descriptors).sum());
    let fair_share = limit / (others.len() + 1);
    let wanted = match () {
        () if leaves => used + slack(limit),
        // All others are stopping and have claimed what they need, so this one gets the rest.
        () if others.iter().all(|o| o.leaves) => free,
        // Without any slack, the process would have to close a client connection for each connection to an app server that its
        // requests need.
        () => fair_share.max(used + slack(limit)),
    };
    wanted.min(free).max(used.min(limit))
}

/// The descriptors that all processes may claim together. A starting process opens descriptors before it can claim any, while
/// the others may use all of theirs; an eighth of the limit is reserved for this, enough for two processes starting at once.
pub fn shared(limit: usize) -> usize {
    limit - limit / 8
}

/// The descriptors that a process may claim beyond those in use, for the connections that open requests still need.
pub fn slack(limit: usize) -> usize {
    limit / 16
}

/// The descriptors that a process needs before it starts to serve.
pub fn wanted(limit: usize) -> usize {
    limit / 4
}

/// Whether a process can start to serve with this claim.
pub fn enough(claimed: usize, limit: usize) -> bool {
    claimed >= wanted(limit)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn serving(max_descriptors: usize) -> Claim {
        Claim { max_descriptors, leaves: false }
    }

    #[test]
    fn one_process_claims_all_two_claim_half_each_and_a_successor_gets_the_released_rest() {
        assert_eq!(claim(400, 30, false, &[]), 400);
        // The second starts while the first claims all: nothing is free until the first has read the second's record.
        assert_eq!(claim(400, 0, false, &[serving(400)]), 0);
        assert_eq!(claim(400, 150, false, &[serving(0)]), 200);
        assert_eq!(claim(400, 0, false, &[serving(200)]), 200);
        assert_eq!(claim(400, 250, false, &[serving(0)]), 275, "open descriptors stay claimed");
        assert_eq!(claim(400, 250, false, &[serving(150)]), 250);
        assert_eq!(claim(400, 100, true, &[serving(200)]), 125);
        assert_eq!(claim(400, 140, false, &[Claim { max_descriptors: 125, leaves: true }]), 275);
        assert!(enough(100, 400) && !enough(99, 400));
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]
        /// Any order of claims, starts, stops and exits of up to four processes that keep to their claims.
        #[test]
        fn claims_never_exceed_the_limit_in_any_order(
            steps in prop::collection::vec((0usize..5, 0usize..12, 0usize..8, 0usize..=384), 1..60)
        ) {
            let mut all: Vec<(usize, Claim)> = vec![(0, serving(384))];
            for (draw, exits, stops, uses) in steps {
                let n = draw % (all.len() + 1);
                if n == all.len() {
                    if n < 4 {
                        all.push((0, serving(0)));
                    }
                    continue;
                }
                if exits == 0 && all.len() > 1 {
                    all.remove(n);
                    continue;
                }
                let others: Vec<_> = all.iter().enumerate().filter(|(i, _)| *i != n).map(|(_, p)| p.1).collect();
                let leaves = all[n].1.leaves || stops == 0;
                let used = uses.min(all[n].1.max_descriptors);
                all[n] = (used, Claim { max_descriptors: claim(384, used, leaves, &others), leaves });
                let sum: usize = all.iter().map(|p| p.1.max_descriptors).sum();
                prop_assert!(sum <= 384 && all[n].1.max_descriptors >= used, "{:?}", all);
            }
        }
    }
}
