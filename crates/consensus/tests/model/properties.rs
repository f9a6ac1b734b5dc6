//! The properties that are checked in every state.

use pinerelay_config_state::{validation, Item, ItemSet};
use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::PersistentState;
use stateright::Property;

use crate::scope::Scope;
use crate::shared::hash_of;
use crate::state::{combinations, holds_item, quorum_size, recovered_items, SystemState};

pub const CONSISTENT: &str = "committed items have valid references, and one content per revision";
pub const FRESH_READ: &str = "a read returns the updates that were acknowledged or read before it";
pub const DURABLE: &str = "what is acknowledged is on a quorum of disks";
pub const RECOVERABLE: &str = "every quorum of disks recovers what is acknowledged";
pub const NO_REJECTED_EFFECT: &str = "a rejected update never takes effect";
pub const ONE_MEMBERSHIP: &str = "an epoch has one membership";
pub const CURRENT: &str = "a current replica holds what was acknowledged before its confirmed heartbeat";
pub const COMPLETE: &str =
    "a replica that is complete again holds what was acknowledged before its disk was lost";
pub const ONE_REPLY: &str = "a call gets at most one reply";
pub const TWO_ACKNOWLEDGED: &str = "two items are acknowledged";
pub const CONFLICT: &str = "an update is rejected";
pub const REPAIRED: &str = "a lost disk is replaced: every member has its disk";

impl Scope {
    /// The items that any store or disk holds as committed, and those of acknowledged updates.
    pub fn committed_items<'a>(&'a self, state: &'a SystemState) -> impl Iterator<Item = &'a Item> {
        let disks = state
            .machines
            .iter()
            .filter_map(|m| m.disk.1.as_ref().as_ref())
            .flat_map(|persisted| &persisted.items);
        let stores = state.machines.iter().filter_map(|m| m.store.as_ref()).flat_map(|s| s.items().iter());
        disks.chain(stores).chain(self.items(state.acknowledged))
    }

    pub fn consistent(&self, state: &SystemState) -> bool {
        let mut all = ItemSet::default();
        all.merge_all(self.committed_items(state).cloned());
        let one_content = self.committed_items(state).all(|item| {
            all.get(&item.key).is_some_and(|a| a.version.revision != item.version.revision || a == item)
        });
        one_content && validation::check_references(&all).is_ok()
    }

    /// Members that have lost their disk count as holding the item.
    pub fn durable(&self, state: &SystemState) -> bool {
        let disks = state.member_disks();
        let disks_with = |item: &Item| {
            let is_pending = |persisted: &PersistentState| {
                persisted.pending.iter().any(|batch| batch.items.contains(item))
            };
            disks
                .iter()
                .filter(|persisted| holds_item(&persisted.items, item) || is_pending(persisted))
                .count()
        };
        let members = state.newest_membership().members.len();
        self.items(state.acknowledged)
            .all(|item| disks_with(item) + state.lost_disks() >= quorum_size(members))
    }

    pub fn recoverable(&self, state: &SystemState) -> bool {
        let disks = state.member_disks();
        // If disks are lost, less than a quorum may be left; then all that are left are taken.
        let required = quorum_size(state.newest_membership().members.len()).min(disks.len());
        combinations(&disks, required).into_iter().all(|set| {
            let items = recovered_items(set.into_iter());
            self.items(state.acknowledged)
                .all(|item| items.get(&item.key).is_some_and(|c| c.version >= item.version))
        })
    }

    pub fn current(&self, state: &SystemState) -> bool {
        state.machines.iter().all(|machine| {
            let Some(store) = &machine.store else { return true };
            // The last heartbeat that a quorum has confirmed.
            let confirmed = machine
                .heartbeats_sent
                .iter()
                .rev()
                .find(|(at, _)| store.is_current(at + LEASE_DURATION - 1));
            confirmed.is_none_or(|(_, acknowledged)| {
                let items: Vec<Item> = store.items().iter().cloned().collect();
                self.items(*acknowledged).all(|item| holds_item(&items, item))
            })
        })
    }

    pub fn complete(&self, state: &SystemState) -> bool {
        state.machines.iter().all(|machine| {
            let store = machine
                .store
                .as_ref()
                .filter(|store| machine.acknowledged_at_wipe != 0 && store.is_complete());
            store.is_none_or(|store| {
                let items: Vec<Item> = store.items().iter().cloned().collect();
                self.items(machine.acknowledged_at_wipe).all(|item| holds_item(&items, item))
            })
        })
    }

    pub fn rejected_without_effect(&self, state: &SystemState) -> bool {
        state.rejected == 0 || {
            let rejected: Vec<&Item> = self.items(state.rejected).collect();
            self.committed_items(state).all(|item| !rejected.contains(&item))
        }
    }
}

/// All properties: first those that must always hold, then those that a search may have to reach.
pub fn all() -> Vec<Property<Scope>> {
    // A property that depends only on the machines and the outcomes of calls is computed once for all states that share
    // them.
    fn memoized(
        scope: &Scope,
        state: &SystemState,
        name: &str,
        condition: fn(&Scope, &SystemState) -> bool,
    ) -> bool {
        let machines: Vec<_> =
            state.machines.iter().map(|m| (m.disk.0, m.store.as_ref().map(|s| s.0))).collect();
        let outcomes = (state.acknowledged, state.rejected, state.epochs.0);
        scope
            .property_results
            .get_or_insert_with(hash_of((name, machines, outcomes)), || condition(scope, state))
    }
    vec![
        Property::always(CONSISTENT, |scope: &Scope, state: &SystemState| {
            memoized(scope, state, CONSISTENT, Scope::consistent)
        }),
        Property::always(FRESH_READ, |_, state: &SystemState| state.violation != Some(FRESH_READ)),
        Property::always(ONE_REPLY, |_, state: &SystemState| state.violation != Some(ONE_REPLY)),
        Property::always(ONE_MEMBERSHIP, |_, state: &SystemState| state.violation != Some(ONE_MEMBERSHIP)),
        Property::always(CURRENT, |scope: &Scope, state: &SystemState| scope.current(state)),
        Property::always(COMPLETE, |scope: &Scope, state: &SystemState| scope.complete(state)),
        Property::always(DURABLE, |scope: &Scope, state: &SystemState| {
            memoized(scope, state, DURABLE, Scope::durable)
        }),
        Property::always(RECOVERABLE, |scope: &Scope, state: &SystemState| {
            memoized(scope, state, RECOVERABLE, Scope::recoverable)
        }),
        Property::always(NO_REJECTED_EFFECT, |scope: &Scope, state: &SystemState| {
            memoized(scope, state, NO_REJECTED_EFFECT, Scope::rejected_without_effect)
        }),
        Property::sometimes(TWO_ACKNOWLEDGED, |scope: &Scope, state: &SystemState| {
            scope.items(state.acknowledged).count() > 1
        }),
        Property::sometimes(CONFLICT, |_, state: &SystemState| state.rejected != 0),
        Property::sometimes(REPAIRED, |scope: &Scope, state: &SystemState| {
            state.budget.wipes < scope.budget.wipes && state.lost_disks() == 0
        }),
    ]
}
