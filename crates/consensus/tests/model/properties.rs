//! What every state is judged by.

use pinerelay_config_state::{validation, Item, ItemSet};
use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::PersistentState;
use stateright::Property;

use crate::scope::Scope;
use crate::shared::hash_of;
use crate::state::{choose, holds, quorum, stands, World};

pub const FIT: &str = "what is agreed on fits together, under one number one content";
pub const READ: &str = "a read shows what was known before it";
pub const DURABLE: &str = "what is acknowledged is on a quorum of disks";
pub const SEEN: &str = "every quorum of disks shows what is acknowledged";
pub const REFUSED: &str = "what is refused never takes force";
pub const EPOCH: &str = "an epoch has one membership";
pub const CURRENT: &str = "a copy that is current holds what was acknowledged before it asked";
pub const WHOLE: &str = "a copy that is whole again holds what was acknowledged before its disk was lost";
pub const ONCE: &str = "a call is answered once";
pub const ACKNOWLEDGED: &str = "two are acknowledged";
pub const CONFLICT: &str = "one is refused";
pub const REPAIRED: &str = "a lost disk is made whole";

impl Scope {
    /// All that any store or disk holds for settled, and what was acknowledged.
    pub fn agreed<'a>(&'a self, world: &'a World) -> impl Iterator<Item = &'a Item> {
        let disks =
            world.machines.iter().filter_map(|m| m.disk.1.as_ref().as_ref()).flat_map(|kept| &kept.items);
        let stores = world.machines.iter().filter_map(|m| m.store.as_ref()).flat_map(|s| s.items().iter());
        disks.chain(stores).chain(self.items(world.acknowledged))
    }

    pub fn fit(&self, world: &World) -> bool {
        let mut all = ItemSet::default();
        all.merge_all(self.agreed(world).cloned());
        let one_content = self.agreed(world).all(|item| {
            all.get(&item.key).is_some_and(|a| a.version.revision != item.version.revision || a == item)
        });
        one_content && validation::check_references(&all).is_ok()
    }

    pub fn durable(&self, world: &World) -> bool {
        let disks = world.disks();
        let on = |item: &Item| {
            let pends = |kept: &PersistentState| kept.pending.iter().any(|batch| batch.items.contains(item));
            disks.iter().filter(|kept| holds(&kept.items, item) || pends(kept)).count()
        };
        let all = world.newest().members.len();
        self.items(world.acknowledged).all(|item| on(item) + world.lost() >= quorum(all))
    }

    pub fn seen(&self, world: &World) -> bool {
        let disks = world.disks();
        // With some lost all that are left are asked, at most.
        let enough = quorum(world.newest().members.len()).min(disks.len());
        choose(&disks, enough).into_iter().all(|set| {
            let item_set = stands(set.into_iter());
            self.items(world.acknowledged)
                .all(|item| item_set.get(&item.key).is_some_and(|c| c.version >= item.version))
        })
    }

    pub fn current(&self, world: &World) -> bool {
        world.machines.iter().all(|machine| {
            let Some(store) = &machine.store else { return true };
            // The last digest that a quorum has confirmed.
            let confirmed =
                machine.told.iter().rev().find(|(at, _)| store.is_current(at + LEASE_DURATION - 1));
            confirmed.is_none_or(|(_, known)| {
                let item_set: Vec<Item> = store.items().iter().cloned().collect();
                self.items(*known).all(|item| holds(&item_set, item))
            })
        })
    }

    pub fn whole(&self, world: &World) -> bool {
        world.machines.iter().all(|machine| {
            let store = machine.store.as_ref().filter(|store| machine.lost != 0 && store.is_complete());
            store.is_none_or(|store| {
                let item_set: Vec<Item> = store.items().iter().cloned().collect();
                self.items(machine.lost).all(|item| holds(&item_set, item))
            })
        })
    }

    pub fn refused(&self, world: &World) -> bool {
        world.refused == 0 || {
            let refused: Vec<&Item> = self.items(world.refused).collect();
            self.agreed(world).all(|item| !refused.contains(&item))
        }
    }
}

/// All of them.
pub fn all() -> Vec<Property<Scope>> {
    // What is judged by the machines and the calls' ends alone is judged once for all states that share those.
    fn once(scope: &Scope, world: &World, what: &str, judge: fn(&Scope, &World) -> bool) -> bool {
        let machines: Vec<_> =
            world.machines.iter().map(|m| (m.disk.0, m.store.as_ref().map(|s| s.0))).collect();
        let ends = (world.acknowledged, world.refused, world.epochs.0);
        scope.judged.of(hash_of((what, machines, ends)), || judge(scope, world))
    }
    vec![
        Property::always(FIT, |scope: &Scope, world: &World| once(scope, world, FIT, Scope::fit)),
        Property::always(READ, |_, world: &World| world.wrong != Some(READ)),
        Property::always(ONCE, |_, world: &World| world.wrong != Some(ONCE)),
        Property::always(EPOCH, |_, world: &World| world.wrong != Some(EPOCH)),
        Property::always(CURRENT, |scope: &Scope, world: &World| scope.current(world)),
        Property::always(WHOLE, |scope: &Scope, world: &World| scope.whole(world)),
        Property::always(DURABLE, |scope: &Scope, world: &World| once(scope, world, DURABLE, Scope::durable)),
        Property::always(SEEN, |scope: &Scope, world: &World| once(scope, world, SEEN, Scope::seen)),
        Property::always(REFUSED, |scope: &Scope, world: &World| once(scope, world, REFUSED, Scope::refused)),
        Property::sometimes(ACKNOWLEDGED, |scope: &Scope, world: &World| {
            scope.items(world.acknowledged).count() > 1
        }),
        Property::sometimes(CONFLICT, |_, world: &World| world.refused != 0),
        Property::sometimes(REPAIRED, |scope: &Scope, world: &World| {
            world.left.wipes < scope.left.wipes && world.lost() == 0
        }),
    ]
}
