//! The configuration as traffic needs it: which route a request takes, whose key it carries, and what limits hold.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

use crate::call::{Unfit, LIMITS};
use crate::hash;
use crate::item::{Cells, Item, Kind, Version};
use crate::json;
use crate::span;

/// How much longer than its route's time-out an aim must not be.
const AIM_OVER: Duration = Duration::from_secs(60);

/// What a route lets happen to its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// They may run more than once.
    Safe,
    /// At most once for each try of a client.
    Unsafe,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it is for.
    pub host: String,
    /// What its paths begin with: from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteType,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Within this an answer earns its full worth.
    pub target: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u64,
    /// To how many servers one try may be sent.
    pub retries: u64,
    /// Needs no key.
    pub public: bool,
    /// Where it leads: services and their weights, whose sum is over 0.
    pub services: Vec<(String, f64)>,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which goes before the route's, if it has one.
    pub priority: Option<u64>,
    /// Requests a second, over all nodes; 0: no limit.
    pub rate: f64,
    /// On top of the rate.
    pub burst: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where its servers tell of their health.
    pub health_path: String,
    /// Connections that one of its servers accepts, of all callers together; 0: not told.
    pub max_conns: u64,
}

/// What clients may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Of a head, in bytes.
    pub header_bytes: u64,
    /// Of a body, in bytes.
    pub body_bytes: u64,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may stand idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reads fields of an item's text, and says which one is at fault.
struct Fields {
    item: String,
    value: Value,
}

impl Fields {
    fn of(kind: Kind, name: &str, text: &[u8]) -> Result<Fields, Unfit> {
        let item = format!("{kind:?} {name}");
        let value = json::parse(text, &json::STORED).map_err(|e| Unfit::new(&item, e.to_string()))?;
        Ok(Fields { item, value })
    }

    fn wrong(&self, field: &str, why: &str) -> Unfit {
        Unfit::new(format!("{}/{field}", self.item), why)
    }

    fn get(&self, field: &str) -> Option<&Value> {
        self.value.get(field).filter(|v| !v.is_null())
    }

    fn text(&self, field: &str) -> Result<Option<&str>, Unfit> {
        let text = |v: &Value| v.as_str().is_none();
        match self.get(field) {
            Some(value) if text(value) => Err(self.wrong(field, "a text is wanted")),
            value => Ok(value.and_then(|v| v.as_str())),
        }
    }

    fn needed(&self, field: &str) -> Result<&str, Unfit> {
        let text = self.text(field)?.filter(|text| !text.is_empty());
        text.ok_or_else(|| self.wrong(field, "a text that is not empty is wanted"))
    }

    fn span(&self, field: &str) -> Result<Option<Duration>, Unfit> {
        let Some(text) = self.text(field)? else { return Ok(None) };
        let time = span::parse(text);
        time.map(Some).ok_or_else(|| self.wrong(field, "a time such as 1500ms or 2.5s is wanted"))
    }

    fn number(&self, field: &str, default: f64) -> Result<f64, Unfit> {
        let Some(value) = self.get(field) else { return Ok(default) };
        let number = value.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        number.ok_or_else(|| self.wrong(field, "a number from 0 on is wanted"))
    }

    fn whole(&self, field: &str, default: u64) -> Result<u64, Unfit> {
        let Some(value) = self.get(field) else { return Ok(default) };
        value.as_u64().ok_or_else(|| self.wrong(field, "a whole number from 0 on is wanted"))
    }

    fn flag(&self, field: &str) -> Result<bool, Unfit> {
        let Some(value) = self.get(field) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.wrong(field, "true or false is wanted"))
    }
}

impl Route {
    /// Reads a route's text.
    pub fn read(name: &str, text: &[u8]) -> Result<Route, Unfit> {
        let fields = Fields::of(Kind::Route, name, text)?;
        let prefix = fields.needed("path_prefix")?;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return Err(fields.wrong("path_prefix", "a path from slash to slash is wanted"));
        }
        let kind = match fields.needed("route_type")? {
            "safe" => RouteType::Safe,
            "unsafe" => RouteType::Unsafe,
            _ => return Err(fields.wrong("route_type", "safe or unsafe is wanted")),
        };
        let timeout = fields.span("timeout")?.filter(|t| !t.is_zero());
        let timeout = timeout.ok_or_else(|| fields.wrong("timeout", "a time over 0 is wanted"))?;
        let target = fields.span("target")?.unwrap_or(timeout);
        if target >= timeout + AIM_OVER {
            return Err(fields.wrong("target", "it must not exceed the time-out by a minute or more"));
        }
        Ok(Route {
            name: name.into(),
            host: fields.needed("host")?.to_ascii_lowercase(),
            prefix: prefix.into(),
            kind,
            timeout,
            target,
            priority: fields.whole("priority", 0)?,
            retries: fields.whole("retries", 1)?.max(1),
            public: fields.flag("public")?,
            services: services(&fields)?,
        })
    }
}

fn services(fields: &Fields) -> Result<Vec<(String, f64)>, Unfit> {
    let Some(split) = fields.get("traffic_split") else {
        return Ok(vec![(fields.needed("service")?.into(), 1.0)]);
    };
    let wrong = |why| fields.wrong("traffic_split", why);
    let list = split.as_array().ok_or_else(|| wrong("a list of services and weights is wanted"))?;
    let mut all = Vec::new();
    for part in list.iter() {
        let service = part.get("service").and_then(|v| v.as_str()).filter(|name| !name.is_empty());
        let weight = part.get("weight").and_then(|v| v.as_f64()).filter(|w| w.is_finite() && *w >= 0.0);
        match (service, weight) {
            (Some(service), Some(weight)) => all.push((service.to_string(), weight)),
            _ => return Err(wrong("each part has a service and a weight from 0 on")),
        }
    }
    if all.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err(wrong("weights with a sum over 0 are wanted"));
    }
    Ok(all)
}

impl Tenant {
    /// Reads a tenant's text.
    pub fn read(name: &str, text: &[u8]) -> Result<Tenant, Unfit> {
        let fields = Fields::of(Kind::Tenant, name, text)?;
        let keys = match fields.get("api_keys") {
            None => Vec::new(),
            Some(list) => {
                let wrong = || fields.wrong("api_keys", "a list of keys is wanted");
                let key = |v: &Value| v.as_str().filter(|key| !key.is_empty()).map(String::from);
                let list = list.as_array().ok_or_else(wrong)?;
                list.iter().map(|v| key(v).ok_or_else(wrong)).collect::<Result<_, _>>()?
            }
        };
        Ok(Tenant {
            name: name.into(),
            keys,
            priority: fields.get("priority").map(|_| fields.whole("priority", 0)).transpose()?,
            rate: fields.number("rate_per_s", 0.0)?,
            burst: fields.number("burst", 0.0)?,
        })
    }
}

impl Service {
    /// Reads a service's text.
    pub fn read(name: &str, text: &[u8]) -> Result<Service, Unfit> {
        let fields = Fields::of(Kind::Service, name, text)?;
        Ok(Service {
            name: name.into(),
            health_path: fields.text("health_path")?.unwrap_or("/health").into(),
            max_conns: fields.whole("max_conns", 0)?,
        })
    }
}

impl Limits {
    /// Reads the text of the limits.
    pub fn read(text: &[u8]) -> Result<Limits, Unfit> {
        let fields = Fields::of(Kind::Limits, LIMITS, text)?;
        let or = Limits::default();
        Ok(Limits {
            header_bytes: fields.whole("max_header_bytes", or.header_bytes)?,
            body_bytes: fields.whole("max_body_bytes", or.body_bytes)?,
            header_timeout: fields.span("header_timeout")?.unwrap_or(or.header_timeout),
            idle_timeout: fields.span("idle_timeout")?.unwrap_or(or.idle_timeout),
        })
    }
}

/// Keys are kept in so many maps, so that a change copies one of them.
const SHARDS: usize = 256;

fn shard(key: &str) -> usize {
    hash::of(&[key.as_bytes()]) as usize % SHARDS
}

/// Whose a key is: of the tenant with the newest version, and at last of the others that name it, too.
type Claims = Vec<(Version, Arc<Tenant>)>;

/// All of it, ready to be asked. A clone shares what neither changes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// By host, the longest prefix first.
    routes: HashMap<String, Arc<Vec<Arc<Route>>>>,
    /// In the order of their names.
    tenants: Vec<Arc<Tenant>>,
    /// Which tenant a key is of; empty, or [`SHARDS`] maps.
    keys: Vec<Arc<HashMap<String, Claims>>>,
    /// By name.
    pub services: BTreeMap<String, Service>,
    /// What clients may send.
    pub limits: Limits,
}

impl Table {
    /// What the items that stand make. What can't be read, which no checked call brings, is left out.
    pub fn of(cells: &Cells) -> Table {
        let mut table = Table::default();
        for item in cells.all().filter(|item| item.key.kind.is_config()) {
            table.put(item);
        }
        table
    }

    /// Takes a change of an item, at the cost of what the item holds; after the change of each item that stands the table is
    /// that of all.
    pub fn change(&mut self, item: &Item) {
        let name = &item.key.name;
        match item.key.kind {
            Kind::Route => self.drop_route(name),
            Kind::Tenant => self.drop_tenant(name),
            Kind::Service => drop(self.services.remove(name)),
            Kind::Limits => self.limits = Limits::default(),
            Kind::Server | Kind::Node => {}
        }
        self.put(item);
    }

    fn put(&mut self, item: &Item) {
        let (name, Some(text)) = (&item.key.name, item.value.as_deref()) else { return };
        match item.key.kind {
            Kind::Route => {
                let Ok(route) = Route::read(name, text) else { return };
                let routes = Arc::make_mut(self.routes.entry(route.host.clone()).or_default());
                let place = |route: &Route| (Reverse(route.prefix.len()), route.name.clone());
                let at = routes.partition_point(|other| place(other) < place(&route));
                routes.insert(at, Arc::new(route));
            }
            Kind::Tenant => {
                let Ok(tenant) = Tenant::read(name, text) else { return };
                let tenant = Arc::new(tenant);
                let at = self.tenants.partition_point(|other| other.name < *name);
                self.tenants.insert(at, tenant.clone());
                self.keys.resize_with(SHARDS, Default::default);
                for key in &tenant.keys {
                    let claims = Arc::make_mut(&mut self.keys[shard(key)]).entry(key.clone()).or_default();
                    // A key that has moved while the tenant that gave it up is still known as it was: the newer word holds.
                    let place = |version: Version, tenant: &Tenant| (Reverse(version), tenant.name.clone());
                    let own = place(item.version, &tenant);
                    let at = claims.partition_point(|(version, other)| place(*version, other) < own);
                    if claims.get(at).is_none_or(|(_, other)| other.name != *name) {
                        claims.insert(at, (item.version, tenant.clone()));
                    }
                }
            }
            Kind::Service => {
                if let Ok(service) = Service::read(name, text) {
                    self.services.insert(name.clone(), service);
                }
            }
            Kind::Limits if name == LIMITS => self.limits = Limits::read(text).unwrap_or_default(),
            Kind::Limits | Kind::Server | Kind::Node => {}
        }
    }

    fn drop_route(&mut self, name: &str) {
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

    fn drop_tenant(&mut self, name: &str) {
        let Ok(at) = self.tenants.binary_search_by(|tenant| tenant.name.as_str().cmp(name)) else { return };
        for key in &self.tenants.remove(at).keys {
            let shard = Arc::make_mut(&mut self.keys[shard(key)]);
            if let Some(claims) = shard.get_mut(key) {
                claims.retain(|(_, tenant)| tenant.name != name);
                if claims.is_empty() {
                    shard.remove(key);
                }
            }
        }
        if self.tenants.is_empty() {
            self.keys.clear();
        }
    }

    /// The route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let name = name.map_or(host, |(name, _)| name);
        let routes = self.routes.get(name).or_else(|| self.routes.get(&name.to_ascii_lowercase()))?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant that a key is of.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        let claims = self.keys.get(shard(key))?.get(key)?;
        claims.first().map(|(_, tenant)| tenant)
    }

    /// The tenant of a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        let found = self.tenants.binary_search_by(|tenant| tenant.name.as_str().cmp(name));
        found.ok().map(|n| &self.tenants[n])
    }

    /// All tenants, in the order of their names.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        &self.tenants
    }

    /// Whether there is any route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(|routes| routes.iter())
    }
}
