//! What every state is judged by.

use pinerelay_config_state::{validation, Item, ItemSet};
use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::{Member, Store};
use stateright::Property;

use super::scopes::Scope;
use super::state::World;
use crate::state::{choose, holds, name, quorum, stands};

pub const FIT: &str = "what is agreed on fits together, under one number one content";
pub const READ: &str = "a read shows what was known before it";
pub const DURABLE: &str = "what is acknowledged is on a quorum of the members' disks";
pub const SEEN: &str = "every quorum of disks shows what is acknowledged";
pub const REFUSED: &str = "nothing is refused where nothing clashes";
pub const EPOCH: &str = "an epoch has one membership";
pub const CURRENT: &str = "a copy that is current holds what was acknowledged before it asked";
pub const ONCE: &str = "a call is answered once";
pub const MEET: &str = "no quorum of a past epoch knows of nothing later";
pub const PACED: &str = "the members' names change no sooner than the pace after the change before";
pub const BEFORE: &str =
    "for the time of the pace a membership names those that voted before the last change of names";
pub const VOTES: &str = "what is agreed on was put on the disks of a quorum of its members, and of the next";
pub const SILENT: &str = "who gives way to another was not heard by an awake proposer for 2.5 s";

pub const REPLACED: &str = "a member is replaced by a spare";
pub const TWICE: &str = "two are replaced";
pub const BACK: &str = "one that was replaced runs and knows that it does not vote";
pub const AGAIN: &str = "one that was replaced votes again";
pub const AFTER: &str = "an order is acknowledged after a replacement";

const MET: [&str; 5] = [REPLACED, TWICE, BACK, AGAIN, AFTER];

pub fn is_wrong(what: &str) -> bool {
    !MET.contains(&what)
}

/// All that any store or disk holds for settled, and what was acknowledged.
fn agreed<'a>(scope: &'a Scope, world: &'a World) -> impl Iterator<Item = &'a Item> {
    let disks = world.machines.iter().filter_map(|m| m.disk.as_ref()).flat_map(|kept| &kept.items);
    let stores = world.machines.iter().filter_map(|m| m.store.as_ref()).flat_map(|s| s.items().iter());
    disks.chain(stores).chain(scope.items(world.acknowledged))
}

fn fit(scope: &Scope, world: &World) -> bool {
    let mut all = ItemSet::default();
    all.merge_all(agreed(scope, world).cloned());
    let one_content = agreed(scope, world).all(|item| {
        all.get(&item.key).is_some_and(|a| a.version.revision != item.version.revision || a == item)
    });
    one_content && validation::check_references(&all).is_ok()
}

fn durable(scope: &Scope, world: &World) -> bool {
    let disks = world.disks();
    let members = world.newest().members.len();
    let on = |item: &Item| {
        let pends = |kept: &PersistentState| kept.pending.iter().any(|batch| batch.items.contains(item));
        disks.iter().filter(|kept| holds(&kept.items, item) || pends(kept)).count()
    };
    let lost = members - disks.len();
    scope.items(world.acknowledged).all(|item| on(item) + lost >= quorum(members))
}

fn seen(scope: &Scope, world: &World) -> bool {
    let disks = world.disks();
    let enough = quorum(world.newest().members.len()).min(disks.len());
    choose(&disks, enough).into_iter().all(|set| {
        let item_set = stands(set.into_iter());
        scope
            .items(world.acknowledged)
            .all(|item| item_set.get(&item.key).is_some_and(|c| c.version >= item.version))
    })
}

fn current(scope: &Scope, world: &World) -> bool {
    world.machines.iter().all(|machine| {
        let Some(store) = &machine.store else { return true };
        // The last digest that a quorum has confirmed.
        let confirmed = machine.told.iter().rev().find(|(at, _)| store.is_current(at + LEASE_DURATION - 1));
        confirmed.is_none_or(|(_, known)| {
            let item_set: Vec<Item> = store.items().iter().cloned().collect();
            scope.items(*known).all(|item| holds(&item_set, item))
        })
    })
}

/// Of each past epoch: whether every quorum of its members' disks knows, or has pending, a later one.
fn meet(world: &World) -> bool {
    let newest = world.newest().epoch;
    world.epochs.iter().filter(|(&epoch, _)| epoch < newest).all(|(&epoch, of)| {
        let later = |kept: &PersistentState| {
            let pends = kept.pending.iter().filter_map(|batch| batch.membership.as_ref());
            kept.membership.epoch > epoch || pends.into_iter().any(|next| next.epoch > epoch)
        };
        let members = &of.membership.members;
        let unaware = |member: &&Member| world.disk_of(member).is_some_and(|kept| !later(kept));
        members.iter().filter(unaware).count() < quorum(members.len())
    })
}

/// Those who voted once and do not by the newest membership that is known.
fn replaced(world: &World) -> impl Iterator<Item = (usize, &Store)> {
    let names = world.newest().names();
    let once = move |me: &usize| {
        let name = name(*me);
        !names.contains(&name) && world.epochs.values().any(|of| of.membership.names().contains(&name))
    };
    let running = |me: usize| Some((me, world.machines[me].store.as_ref()?));
    (0..world.machines.len()).filter(once).filter_map(running)
}

fn votes_again(world: &World) -> bool {
    let mut gone: Vec<String> = Vec::new();
    for of in world.epochs.values() {
        let names = of.membership.names();
        if names.iter().any(|name| gone.contains(name)) {
            return true;
        }
        let before = world.epochs.values().filter(|b| b.membership.epoch < of.membership.epoch);
        gone.extend(before.flat_map(|b| b.membership.names()).filter(|name| !names.contains(name)));
    }
    false
}

/// All of them.
pub fn all() -> Vec<Property<Scope>> {
    let mut all: Vec<Property<Scope>> = vec![
        Property::always(READ, |_, world: &World| world.wrong != Some(READ)),
        Property::always(ONCE, |_, world: &World| world.wrong != Some(ONCE)),
        Property::always(EPOCH, |_, world: &World| world.wrong != Some(EPOCH)),
        Property::always(PACED, |_, world: &World| world.wrong != Some(PACED)),
        Property::always(BEFORE, |_, world: &World| world.wrong != Some(BEFORE)),
        Property::always(VOTES, |_, world: &World| world.wrong != Some(VOTES)),
        Property::always(SILENT, |_, world: &World| world.wrong != Some(SILENT)),
        Property::always(FIT, fit),
        Property::always(DURABLE, durable),
        Property::always(SEEN, seen),
        Property::always(CURRENT, current),
        Property::always(REFUSED, |_, world: &World| world.refused == 0),
        Property::always(MEET, |_, world: &World| meet(world)),
    ];
    all.extend([
        Property::sometimes(REPLACED, |_, world: &World| world.renames > 0),
        Property::sometimes(TWICE, |_, world: &World| world.renames > 1),
        Property::sometimes(BACK, |_, world: &World| {
            replaced(world).any(|(_, store)| store.membership().epoch > 1 && !store.is_voter())
        }),
        Property::sometimes(AGAIN, |_, world: &World| votes_again(world)),
        Property::sometimes(AFTER, |_, world: &World| world.taken_since),
    ]);
    all
}
