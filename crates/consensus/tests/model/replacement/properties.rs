//! The properties that are checked in every state.

use pinerelay_config_state::{validation, Item, ItemSet};
use pinerelay_consensus::store::LEASE_DURATION;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::{Member, Store};
use stateright::Property;

use super::scopes::Scope;
use super::state::SystemState;
use crate::state::{combinations, holds_item, quorum_size, recovered_items, store_name};

pub const CONSISTENT: &str = "committed items have valid references, and one content per revision";
pub const FRESH_READ: &str = "a read returns the updates that were acknowledged or read before it";
pub const DURABLE: &str = "what is acknowledged is on a quorum of the members' disks";
pub const RECOVERABLE: &str = "every quorum of disks recovers what is acknowledged";
pub const NO_REJECTION: &str = "no update is rejected, as none conflict";
pub const ONE_MEMBERSHIP: &str = "an epoch has one membership";
pub const CURRENT: &str = "a current replica holds what was acknowledged before its confirmed heartbeat";
pub const ONE_REPLY: &str = "a call gets at most one reply";
pub const PAST_EPOCHS_AWARE: &str = "no quorum of a past epoch is unaware of a later epoch";
pub const CHANGE_INTERVAL: &str = "the change interval passes between two changes of the members' names";
pub const PREVIOUS_NAMES: &str =
    "within the change interval a membership names the voters before the last change of names";
pub const COMMIT_QUORUM: &str =
    "a committed batch was accepted by a quorum of its membership, and of the next one";
pub const REPLACED_AFTER_SILENCE: &str = "a replaced member was silent for 2.5 s to an awake proposer";

pub const REPLACED: &str = "a member is replaced by a spare";
pub const REPLACED_TWICE: &str = "members are replaced twice";
pub const REPLACED_RETURNS: &str = "a replaced store runs and knows that it does not vote";
pub const REPLACED_VOTES_AGAIN: &str = "a replaced store votes again";
pub const ACKNOWLEDGED_AFTER_REPLACEMENT: &str = "an update is acknowledged after a replacement";

const REACHABLE: [&str; 5] =
    [REPLACED, REPLACED_TWICE, REPLACED_RETURNS, REPLACED_VOTES_AGAIN, ACKNOWLEDGED_AFTER_REPLACEMENT];

pub fn is_violation(property: &str) -> bool {
    !REACHABLE.contains(&property)
}

/// The items that any store or disk holds as committed, and those of acknowledged updates.
fn committed_items<'a>(scope: &'a Scope, state: &'a SystemState) -> impl Iterator<Item = &'a Item> {
    let disks = state.machines.iter().filter_map(|m| m.disk.as_ref()).flat_map(|persisted| &persisted.items);
    let stores = state.machines.iter().filter_map(|m| m.store.as_ref()).flat_map(|s| s.items().iter());
    disks.chain(stores).chain(scope.items(state.acknowledged))
}

fn consistent(scope: &Scope, state: &SystemState) -> bool {
    let mut all = ItemSet::default();
    all.merge_all(committed_items(scope, state).cloned());
    let one_content = committed_items(scope, state).all(|item| {
        all.get(&item.key).is_some_and(|a| a.version.revision != item.version.revision || a == item)
    });
    one_content && validation::check_references(&all).is_ok()
}

fn durable(scope: &Scope, state: &SystemState) -> bool {
    let disks = state.member_disks();
    let members = state.newest_membership().members.len();
    let disks_with = |item: &Item| {
        let is_pending =
            |persisted: &PersistentState| persisted.pending.iter().any(|batch| batch.items.contains(item));
        disks.iter().filter(|persisted| holds_item(&persisted.items, item) || is_pending(persisted)).count()
    };
    let lost = members - disks.len();
    scope.items(state.acknowledged).all(|item| disks_with(item) + lost >= quorum_size(members))
}

fn recoverable(scope: &Scope, state: &SystemState) -> bool {
    let disks = state.member_disks();
    let required = quorum_size(state.newest_membership().members.len()).min(disks.len());
    combinations(&disks, required).into_iter().all(|set| {
        let items = recovered_items(set.into_iter());
        scope
            .items(state.acknowledged)
            .all(|item| items.get(&item.key).is_some_and(|c| c.version >= item.version))
    })
}

fn current(scope: &Scope, state: &SystemState) -> bool {
    state.machines.iter().all(|machine| {
        let Some(store) = &machine.store else { return true };
        // The last heartbeat that a quorum has confirmed.
        let confirmed =
            machine.heartbeats_sent.iter().rev().find(|(at, _)| store.is_current(at + LEASE_DURATION - 1));
        confirmed.is_none_or(|(_, acknowledged)| {
            let items: Vec<Item> = store.items().iter().cloned().collect();
            scope.items(*acknowledged).all(|item| holds_item(&items, item))
        })
    })
}

/// Whether in each past epoch less than a quorum of the members' disks neither knows a later epoch nor has one pending.
fn past_epochs_aware(state: &SystemState) -> bool {
    let newest = state.newest_membership().epoch;
    state.epochs.iter().filter(|(&epoch, _)| epoch < newest).all(|(&epoch, of)| {
        let knows_later = |persisted: &PersistentState| {
            let pending = persisted.pending.iter().filter_map(|batch| batch.membership.as_ref());
            persisted.membership.epoch > epoch || pending.into_iter().any(|next| next.epoch > epoch)
        };
        let members = &of.membership.members;
        let unaware =
            |member: &&Member| state.disk_of(member).is_some_and(|persisted| !knows_later(persisted));
        members.iter().filter(unaware).count() < quorum_size(members.len())
    })
}

/// The running stores that were members once and are not in the newest membership.
fn replaced(state: &SystemState) -> impl Iterator<Item = (usize, &Store)> {
    let names = state.newest_membership().names();
    let was_member = move |me: &usize| {
        let name = store_name(*me);
        !names.contains(&name) && state.epochs.values().any(|of| of.membership.names().contains(&name))
    };
    let running = |me: usize| Some((me, state.machines[me].store.as_ref()?));
    (0..state.machines.len()).filter(was_member).filter_map(running)
}

/// Whether a name was in a membership, was missing in a later one, and is in one after that.
fn votes_again(state: &SystemState) -> bool {
    let mut removed: Vec<String> = Vec::new();
    for of in state.epochs.values() {
        let names = of.membership.names();
        if names.iter().any(|name| removed.contains(name)) {
            return true;
        }
        let earlier = state.epochs.values().filter(|b| b.membership.epoch < of.membership.epoch);
        removed.extend(earlier.flat_map(|b| b.membership.names()).filter(|name| !names.contains(name)));
    }
    false
}

/// All properties: first those that must always hold, then those that a search may have to reach.
pub fn all() -> Vec<Property<Scope>> {
    let mut all: Vec<Property<Scope>> = vec![
        Property::always(FRESH_READ, |_, state: &SystemState| state.violation != Some(FRESH_READ)),
        Property::always(ONE_REPLY, |_, state: &SystemState| state.violation != Some(ONE_REPLY)),
        Property::always(ONE_MEMBERSHIP, |_, state: &SystemState| state.violation != Some(ONE_MEMBERSHIP)),
        Property::always(CHANGE_INTERVAL, |_, state: &SystemState| state.violation != Some(CHANGE_INTERVAL)),
        Property::always(PREVIOUS_NAMES, |_, state: &SystemState| state.violation != Some(PREVIOUS_NAMES)),
        Property::always(COMMIT_QUORUM, |_, state: &SystemState| state.violation != Some(COMMIT_QUORUM)),
        Property::always(REPLACED_AFTER_SILENCE, |_, state: &SystemState| {
            state.violation != Some(REPLACED_AFTER_SILENCE)
        }),
        Property::always(CONSISTENT, consistent),
        Property::always(DURABLE, durable),
        Property::always(RECOVERABLE, recoverable),
        Property::always(CURRENT, current),
        Property::always(NO_REJECTION, |_, state: &SystemState| state.rejected == 0),
        Property::always(PAST_EPOCHS_AWARE, |_, state: &SystemState| past_epochs_aware(state)),
    ];
    all.extend([
        Property::sometimes(REPLACED, |_, state: &SystemState| state.name_changes > 0),
        Property::sometimes(REPLACED_TWICE, |_, state: &SystemState| state.name_changes > 1),
        Property::sometimes(REPLACED_RETURNS, |_, state: &SystemState| {
            replaced(state).any(|(_, store)| store.membership().epoch > 1 && !store.is_voter())
        }),
        Property::sometimes(REPLACED_VOTES_AGAIN, |_, state: &SystemState| votes_again(state)),
        Property::sometimes(ACKNOWLEDGED_AFTER_REPLACEMENT, |_, state: &SystemState| {
            state.acknowledged_after_replacement
        }),
    ]);
    all
}
