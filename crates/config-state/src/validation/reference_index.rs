//! An index of the references between items, by which the cost of validating a change is proportional to what it touches.

use std::collections::{BTreeSet, HashMap};

use super::references::{exceeds_bounds, references, shared_api_key, unknown_service, References};
use crate::error::ValidationError;
use crate::item::{Item, Kind};

/// The routes that forward to a service, and whether it is live.
#[derive(Debug, Clone, Default)]
struct ServiceUse {
    routes: BTreeSet<String>,
    is_live: bool,
}

impl ServiceUse {
    /// Whether routes forward to the service although it is not live.
    fn is_dangling(&self) -> bool {
        !self.routes.is_empty() && !self.is_live
    }

    fn is_empty(&self) -> bool {
        self.routes.is_empty() && !self.is_live
    }
}

/// References and faults of a set of items. An index over a base holds only the entries that differ from the base.
#[derive(Debug, Clone, Default)]
pub(super) struct ReferenceIndex<'a> {
    base: Option<&'a ReferenceIndex<'a>>,
    /// The tenants that have each API key.
    key_owners: HashMap<String, BTreeSet<String>>,
    /// The use of each service, by its name.
    services: HashMap<String, ServiceUse>,
    /// The number of API keys with several owners, services that are used but not live, and items that cannot be parsed.
    faults: usize,
}

impl<'a> ReferenceIndex<'a> {
    /// An index over a base, equal to it at first.
    pub(super) fn over(base: &'a ReferenceIndex<'a>) -> ReferenceIndex<'a> {
        ReferenceIndex { base: Some(base), faults: base.faults, ..ReferenceIndex::default() }
    }

    /// Whether there are any faults.
    pub(super) fn has_faults(&self) -> bool {
        self.faults > 0
    }

    fn key_owners(&self, key: &str) -> Option<&BTreeSet<String>> {
        self.key_owners.get(key).or_else(|| self.base?.key_owners(key))
    }

    fn service_use(&self, service: &str) -> Option<&ServiceUse> {
        self.services.get(service).or_else(|| self.base?.service_use(service))
    }

    fn change_key(&mut self, key: &str, change: impl FnOnce(&mut BTreeSet<String>)) {
        let from_base = || self.base?.key_owners(key).cloned();
        let mut owners = self.key_owners.remove(key).or_else(from_base).unwrap_or_default();
        self.faults -= usize::from(owners.len() > 1);
        change(&mut owners);
        self.faults += usize::from(owners.len() > 1);
        if !owners.is_empty() || self.base.is_some() {
            self.key_owners.insert(key.into(), owners);
        }
    }

    fn change_service(&mut self, service: &str, change: impl FnOnce(&mut ServiceUse)) {
        let from_base = || self.base?.service_use(service).cloned();
        let mut service_use = self.services.remove(service).or_else(from_base).unwrap_or_default();
        self.faults -= usize::from(service_use.is_dangling());
        change(&mut service_use);
        self.faults += usize::from(service_use.is_dangling());
        if !service_use.is_empty() || self.base.is_some() {
            self.services.insert(service.into(), service_use);
        }
    }

    /// Adds the references of an item.
    pub(super) fn insert(&mut self, item: &Item) {
        self.set_references(item, true);
    }

    /// Replaces the references of the old item of the same key.
    pub(super) fn replace(&mut self, old: Option<&Item>, new: &Item) {
        old.into_iter().for_each(|old| self.set_references(old, false));
        self.set_references(new, true);
    }

    /// Adds the references of an item, or removes them if the item is no longer live.
    fn set_references(&mut self, item: &Item, is_live: bool) {
        let name = &item.key.name;
        if item.key.kind == Kind::Service && item.value.is_some() {
            // Routes may refer to a service whatever its text contains.
            return self.change_service(name, |service_use| service_use.is_live = is_live);
        }
        match references(item) {
            Ok(References::Services(services)) => services.iter().for_each(|service| {
                self.change_service(service, |service_use| {
                    set_member(&mut service_use.routes, name, is_live)
                });
            }),
            Ok(References::ApiKeys(keys)) => keys.iter().for_each(|key| {
                self.change_key(key, |owners| set_member(owners, name, is_live));
            }),
            Err(_) if matches!(item.key.kind, Kind::Route | Kind::Tenant) && !exceeds_bounds(item) => {
                self.faults = if is_live { self.faults + 1 } else { self.faults - 1 };
            }
            Ok(References::None) | Err(_) => {}
        }
    }

    /// A fault among the entries of this index itself, not those of its base.
    pub(super) fn own_fault(&self) -> Option<ValidationError> {
        let mut shared = self.key_owners.values().filter_map(|owners| {
            let mut owners = owners.iter();
            Some((owners.next()?, owners.next()?))
        });
        if let Some((first, second)) = shared.next() {
            return Some(shared_api_key(second, first));
        }
        let mut missing = self.services.iter().filter(|(_, service_use)| !service_use.is_live);
        missing.find_map(|(service, service_use)| Some(unknown_service(service_use.routes.first()?, service)))
    }
}

fn set_member(names: &mut BTreeSet<String>, name: &str, is_member: bool) {
    if is_member {
        names.insert(name.into());
    } else {
        names.remove(name);
    }
}
