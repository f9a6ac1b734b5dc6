//! The configuration as the data plane uses it: the route of a request, the tenant of an API key, and the limits in force.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::hash;
use crate::item::{Item, Kind, Version};
use crate::item_set::ItemSet;
use crate::operator_call::LIMITS_NAME;
use crate::resources::{Limits, Route, Service, Tenant};
use crate::rollout::Rollout;

/// The number of shards of the map of API keys. A change copies one shard rather than all keys.
const KEY_SHARDS: usize = 256;

/// The index of an API key's shard.
fn key_shard(api_key: &str) -> usize {
    hash::hash_parts(&[api_key.as_bytes()]) as usize % KEY_SHARDS
}

/// A tenant that names an API key, with the version of its item.
#[derive(Debug, Clone, PartialEq)]
struct Claim {
    version: Version,
    tenant: Arc<Tenant>,
}

/// The tenants that name one API key, the newest first. There are several only while a key moves between tenants.
type Claims = Vec<Claim>;

/// The routing table. Clones share all parts that neither of them has changed since.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoutingTable {
    /// The routes by host, the longest path prefix first.
    routes: HashMap<String, Arc<Vec<Arc<Route>>>>,
    /// All tenants, in the order of their names.
    tenants: Vec<Arc<Tenant>>,
    /// The shards of the map of API keys: none, or [`KEY_SHARDS`].
    api_keys: Vec<Arc<HashMap<String, Claims>>>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on what clients may send.
    pub limits: Limits,
    /// The rollout states by service.
    pub rollouts: BTreeMap<String, Arc<RolloutInForce>>,
}

/// A service's rollout state with the revision of its item.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutInForce {
    /// The revision of the item.
    pub revision: u64,
    /// The rollout state that the item holds.
    pub rollout: Rollout,
}

impl RoutingTable {
    /// The table of all live items. Items that cannot be parsed are left out; validation accepts none.
    pub fn from_items(items: &ItemSet) -> RoutingTable {
        let mut table = RoutingTable::default();
        for item in items.iter().filter(|item| item.key.kind.is_config()) {
            table.insert(item);
        }
        table
    }

    /// Applies a newer item or tombstone without rebuilding the table.
    ///
    /// Once all live items have been applied, the table equals [`RoutingTable::from_items`] of all of them.
    pub fn apply(&mut self, item: &Item) {
        let name = &item.key.name;
        match item.key.kind {
            Kind::Route => self.remove_route(name),
            Kind::Tenant => self.remove_tenant(name),
            Kind::Service => drop(self.services.remove(name)),
            Kind::Limits => self.limits = Limits::default(),
            Kind::Rollout => drop(self.rollouts.remove(name)),
            Kind::Server | Kind::Node => {}
        }
        self.insert(item);
    }

    fn insert(&mut self, item: &Item) {
        let (name, Some(text)) = (&item.key.name, item.value.as_deref()) else { return };
        match item.key.kind {
            Kind::Route => {
                if let Ok(route) = Route::parse(name, text) {
                    self.insert_route(route);
                }
            }
            Kind::Tenant => {
                if let Ok(tenant) = Tenant::parse(name, text) {
                    self.insert_tenant(item.version, tenant);
                }
            }
            Kind::Service => {
                if let Ok(service) = Service::parse(name, text) {
                    self.services.insert(name.clone(), service);
                }
            }
            Kind::Limits if name == LIMITS_NAME => self.limits = Limits::parse(text).unwrap_or_default(),
            Kind::Rollout => {
                if let Some(rollout) = Rollout::decode(text) {
                    let revision = item.version.revision;
                    self.rollouts.insert(name.clone(), Arc::new(RolloutInForce { revision, rollout }));
                }
            }
            Kind::Limits | Kind::Server | Kind::Node => {}
        }
    }

    fn insert_route(&mut self, route: Route) {
        let routes = Arc::make_mut(self.routes.entry(route.host.clone()).or_default());
        let order = |route: &Route| (Reverse(route.path_prefix.len()), route.name.clone());
        let index = routes.partition_point(|other| order(other) < order(&route));
        routes.insert(index, Arc::new(route));
    }

    fn insert_tenant(&mut self, version: Version, tenant: Tenant) {
        let tenant = Arc::new(tenant);
        let index = self.tenants.partition_point(|other| other.name < tenant.name);
        self.tenants.insert(index, tenant.clone());
        self.api_keys.resize_with(KEY_SHARDS, Default::default);
        for key in &tenant.api_keys {
            let shard = Arc::make_mut(&mut self.api_keys[key_shard(key)]);
            insert_claim(shard.entry(key.clone()).or_default(), Claim { version, tenant: tenant.clone() });
        }
    }

    fn remove_route(&mut self, name: &str) {
        let mut hosts = self.routes.iter();
        let Some((host, _)) = hosts.find(|(_, routes)| routes.iter().any(|route| route.name == name)) else {
            return;
        };
        let host = host.clone();
        if let Some(routes) = self.routes.get_mut(&host) {
            Arc::make_mut(routes).retain(|route| route.name != name);
            if routes.is_empty() {
                self.routes.remove(&host);
            }
        }
    }

    fn remove_tenant(&mut self, name: &str) {
        let Some(index) = self.tenant_index(name) else { return };
        for key in &self.tenants.remove(index).api_keys {
            let shard = Arc::make_mut(&mut self.api_keys[key_shard(key)]);
            if let Some(claims) = shard.get_mut(key) {
                claims.retain(|claim| claim.tenant.name != name);
                if claims.is_empty() {
                    shard.remove(key);
                }
            }
        }
        if self.tenants.is_empty() {
            self.api_keys.clear();
        }
    }

    fn tenant_index(&self, name: &str) -> Option<usize> {
        self.tenants.binary_search_by(|tenant| tenant.name.as_str().cmp(name)).ok()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(|routes| routes.len()).sum()
    }

    /// The route of a request: the one of its host with the longest matching prefix. `host` may include a port.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let with_port = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = with_port.map_or(host, |(name, _)| name);
        let routes = self.routes.get(name).or_else(|| self.routes.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The tenant of an API key.
    pub fn tenant_by_key(&self, api_key: &str) -> Option<&Arc<Tenant>> {
        let claims = self.api_keys.get(key_shard(api_key))?.get(api_key)?;
        claims.first().map(|claim| &claim.tenant)
    }

    /// The tenant of a name.
    pub fn tenant_by_name(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenant_index(name).map(|index| &self.tenants[index])
    }

    /// All tenants, in the order of their names.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        &self.tenants
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(|routes| routes.iter())
    }
}

/// Inserts a claim in its order. While a key moves, the table may still have the old item of the tenant that gave it up:
/// the newer version wins.
fn insert_claim(claims: &mut Claims, claim: Claim) {
    let order = |claim: &Claim| (Reverse(claim.version), claim.tenant.name.clone());
    let index = claims.partition_point(|other| order(other) < order(&claim));
    if claims.get(index).is_none_or(|other| other.tenant.name != claim.tenant.name) {
        claims.insert(index, claim);
    }
}
