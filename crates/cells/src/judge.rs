//! Whether items that are to stand together fit each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{Hash, Hasher};

use crate::call::Unfit;
use crate::item::{Cells, Item, Key, Kind};
use crate::json;
use crate::routes::{Limits, Route, Service, Tenant};
use crate::sendable::sendable;

/// What of an item others depend on.
enum Ties {
    Route(Vec<String>),
    Tenant(Vec<String>),
    Service,
    None,
}

fn ties(item: &Item) -> Result<Ties, Unfit> {
    let Some(text) = &item.value else { return Ok(Ties::None) };
    let name = &item.key.name;
    Ok(match item.key.kind {
        Kind::Route => {
            Ties::Route(Route::read(name, text)?.services.into_iter().map(|(service, _)| service).collect())
        }
        Kind::Tenant => Ties::Tenant(Tenant::read(name, text)?.keys),
        Kind::Service => {
            Service::read(name, text)?;
            Ties::Service
        }
        Kind::Limits => {
            Limits::read(text)?;
            Ties::None
        }
        Kind::Server | Kind::Node => Ties::None,
    })
}

/// Reads what an item holds; what is dropped always fits.
pub fn item(item: &Item) -> Result<(), Unfit> {
    ties(item).map(drop)
}

/// Looks at what a call brings that does not stand yet. What was taken once is acknowledged again, whatever would be wanted
/// of it today.
fn changes<'a>(standing: impl Fn(&Key) -> Option<&'a Item>, call: &[Item]) -> Result<(), Unfit> {
    let mut newer =
        call.iter().filter(|item| standing(&item.key).is_none_or(|old| old.version.0 < item.version.0));
    newer.try_for_each(sendable)
}

/// Whether an item that stands is over a bound on texts that the build which took it did not have. It is left out of the
/// table and of what has to fit, so that other changes are still taken.
fn over_bounds(item: &Item) -> bool {
    let over = |text: &Vec<u8>| json::check(text, &json::STORED).is_err_and(|error| error.is_bound());
    item.value.as_ref().is_some_and(over)
}

/// Finds a revision that stands for two contents: in a call, or beside what stands.
fn conflicts<'a>(standing: impl Fn(&Key) -> Option<&'a Item>, call: &[Item]) -> Result<(), Unfit> {
    let mut sent: BTreeMap<(&Key, u64), &Item> = BTreeMap::new();
    for item in call {
        let twin = sent.insert((&item.key, item.version.0), item).or_else(|| standing(&item.key));
        if twin.is_some_and(|twin| twin.version.0 == item.version.0 && twin != item) {
            return Err(Unfit::conflict(
                format!("{:?} {}/revision", item.key.kind, item.key.name),
                format!("{} is taken with another content: a higher one is wanted", item.version.0),
            ));
        }
    }
    Ok(())
}

fn no_service(route: &str, service: &str) -> Unfit {
    Unfit::new(format!("Route {route}/service"), format!("there is no service {service}"))
}

fn same_key(tenant: &str, other: &str) -> Unfit {
    Unfit::new(format!("Tenant {tenant}/api_keys"), format!("{other} has the same key"))
}

fn set(names: &mut BTreeSet<String>, name: &str, stands: bool) {
    if stands {
        names.insert(name.into());
    } else {
        names.remove(name);
    }
}

/// What has to fit, by the names that tie items together: a change costs by what it touches. Over another index it holds only
/// what differs from there.
#[derive(Debug, Clone, Default)]
struct Index<'a> {
    under: Option<&'a Index<'a>>,
    /// Which tenants have a key.
    owners: HashMap<String, BTreeSet<String>>,
    /// Which routes lead to a service, and whether it stands.
    needs: HashMap<String, (BTreeSet<String>, bool)>,
    /// How much does not fit: keys of several tenants, services that are needed and do not stand, items that can't be read.
    faults: usize,
}

impl<'a> Index<'a> {
    fn over(under: &'a Index<'a>) -> Index<'a> {
        Index { under: Some(under), faults: under.faults, ..Index::default() }
    }

    fn owners(&self, key: &str) -> Option<&BTreeSet<String>> {
        self.owners.get(key).or_else(|| self.under?.owners(key))
    }

    fn needs(&self, service: &str) -> Option<&(BTreeSet<String>, bool)> {
        self.needs.get(service).or_else(|| self.under?.needs(service))
    }

    fn own(&mut self, key: &str, change: impl FnOnce(&mut BTreeSet<String>)) {
        let under = || self.under?.owners(key).cloned();
        let mut owners = self.owners.remove(key).or_else(under).unwrap_or_default();
        self.faults -= usize::from(owners.len() > 1);
        change(&mut owners);
        self.faults += usize::from(owners.len() > 1);
        if !owners.is_empty() || self.under.is_some() {
            self.owners.insert(key.into(), owners);
        }
    }

    fn need(&mut self, service: &str, change: impl FnOnce(&mut (BTreeSet<String>, bool))) {
        let fault = |(routes, stands): &(BTreeSet<String>, bool)| usize::from(!routes.is_empty() && !stands);
        let under = || self.under?.needs(service).cloned();
        let mut needs = self.needs.remove(service).or_else(under).unwrap_or_default();
        self.faults -= fault(&needs);
        change(&mut needs);
        self.faults += fault(&needs);
        if !needs.0.is_empty() || needs.1 || self.under.is_some() {
            self.needs.insert(service.into(), needs);
        }
    }

    /// Takes an item in or out.
    fn turn(&mut self, item: &Item, stands: bool) {
        let name = &item.key.name;
        // A service stands by its name, whatever it holds.
        let service = item.key.kind == Kind::Service && item.value.is_some();
        match ties(item) {
            _ if service => self.need(name, |(_, there)| *there = stands),
            Ok(Ties::Route(services)) => services.iter().for_each(|service| {
                self.need(service, |(routes, _)| set(routes, name, stands));
            }),
            Ok(Ties::Tenant(keys)) => keys.iter().for_each(|key| {
                self.own(key, |owners| set(owners, name, stands));
            }),
            Err(_) if matches!(item.key.kind, Kind::Route | Kind::Tenant) && !over_bounds(item) => {
                self.faults = if stands { self.faults + 1 } else { self.faults - 1 };
            }
            Ok(Ties::Service | Ties::None) | Err(_) => {}
        }
    }

    fn replace(&mut self, old: Option<&Item>, new: &Item) {
        old.into_iter().for_each(|old| self.turn(old, false));
        self.turn(new, true);
    }

    /// A fault that this index has and the one under it has not.
    fn fault(&self) -> Option<Unfit> {
        let shared = self.owners.values().filter_map(|owners| {
            let mut owners = owners.iter();
            Some((owners.next()?, owners.next()?))
        });
        let shared = shared.map(|(first, second)| same_key(second, first)).next();
        shared.or_else(|| {
            let mut without = self.needs.iter().filter(|(_, (_, stands))| !stands);
            without.find_map(|(service, (routes, _))| Some(no_service(routes.first()?, service)))
        })
    }
}

/// Items that stand, and what ties them together: a call is judged at the cost of what it touches.
#[derive(Debug, Clone, Default)]
pub struct Standing {
    cells: Cells,
    index: Index<'static>,
}

/// The index follows from the items.
impl PartialEq for Standing {
    fn eq(&self, other: &Standing) -> bool {
        self.cells == other.cells
    }
}

impl Eq for Standing {}

impl Hash for Standing {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.cells.hash(state);
    }
}

impl Standing {
    /// Of these items; costs by all of them.
    pub fn new(cells: Cells) -> Standing {
        let mut index = Index::default();
        cells.all().for_each(|item| index.turn(item, true));
        Standing { cells, index }
    }

    /// The items.
    pub fn cells(&self) -> &Cells {
        &self.cells
    }

    /// Takes an item that is newer than what is here; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        let old = self.cells.get(&item.key);
        if old.is_some_and(|old| old.version >= item.version) {
            return false;
        }
        self.index.replace(old, &item);
        self.cells.merge(item)
    }

    /// Takes those that are newer than what is here, and tells which they were.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// What would stand with more items, without them being taken here.
    pub fn overlay(&self) -> Overlay<'_> {
        Overlay { cells: &self.cells, index: Index::over(&self.index), items: BTreeMap::new() }
    }

    /// As [`taken`], at the cost of what the call touches.
    pub fn taken(&self, call: &[Item]) -> Result<Vec<Item>, Unfit> {
        self.overlay().taken(call)
    }
}

/// Items over others that stand: those of one turn, until it is known whether they are agreed on.
#[derive(Debug, Clone)]
pub struct Overlay<'a> {
    cells: &'a Cells,
    index: Index<'a>,
    items: BTreeMap<Key, Item>,
}

impl Overlay<'_> {
    /// An item, from here or from below.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(key).or_else(|| self.cells.get(key))
    }

    /// Takes an item that is newer than what is here; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        let old = self.items.get(&item.key).or_else(|| self.cells.get(&item.key));
        if old.is_some_and(|old| old.version >= item.version) {
            return false;
        }
        self.index.replace(old, &item);
        self.items.insert(item.key.clone(), item);
        true
    }

    /// Takes those that are newer than what is here, and tells which they were.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// All items in one; costs by all of them.
    pub fn to_cells(&self) -> Cells {
        let mut cells = self.cells.clone();
        cells.merge_all(self.items.values().cloned());
        cells
    }

    /// As [`taken`], at the cost of what the call touches. What is taken is not yet here.
    pub fn taken(&self, call: &[Item]) -> Result<Vec<Item>, Unfit> {
        call.iter().try_for_each(item)?;
        conflicts(|key| self.get(key), call)?;
        changes(|key| self.get(key), call)?;
        let mut next = Overlay { cells: self.cells, index: Index::over(&self.index), items: BTreeMap::new() };
        // Of two versions of one item in a call the higher prevails.
        let mut highest: BTreeMap<&Key, &Item> = BTreeMap::new();
        for item in call.iter().filter(|i| self.get(&i.key).is_none_or(|old| old.version.0 < i.version.0)) {
            let kept = highest.entry(&item.key).or_insert(item);
            if kept.version < item.version {
                *kept = item;
            }
        }
        for item in highest.values() {
            next.index.replace(self.get(&item.key), item);
        }
        if next.index.faults > 0 && !highest.is_empty() {
            // Where nothing that the call touches is at fault, what stands is, and no call is taken.
            return Err(match next.index.fault() {
                Some(unfit) => unfit,
                None => {
                    together(&self.to_cells()).err().unwrap_or(Unfit::new("", "what stands does not fit"))
                }
            });
        }
        let mut first = BTreeSet::new();
        let newer =
            call.iter().filter(|item| highest.get(&item.key) == Some(item) && first.insert(&item.key));
        Ok(newer.cloned().collect())
    }
}

/// Takes a call's items on top of what stands: those of them that are newer, if all that would then stand fits together.
/// An older version, or the same once more, has no effect and is no fault. Another content under a revision that is taken
/// is a conflict: of two operators who send one number at most one is confirmed.
///
/// It costs by all that stands, and is the reference for [`Overlay::taken`], which gives the same at the cost of the call.
pub fn taken(standing: &Cells, call: &[Item]) -> Result<Vec<Item>, Unfit> {
    call.iter().try_for_each(item)?;
    conflicts(|key| standing.get(key), call)?;
    changes(|key| standing.get(key), call)?;
    let mut next = standing.clone();
    let newer: Vec<Item> = call
        .iter()
        .filter(|item| {
            let old = standing.get(&item.key);
            old.is_none_or(|old| old.version.0 < item.version.0) && next.merge((*item).clone())
        })
        .cloned()
        .collect();
    // Of two versions of one item in a call the higher prevails.
    let newer: Vec<Item> = newer.into_iter().filter(|item| next.get(&item.key) == Some(item)).collect();
    if !newer.is_empty() {
        together(&next)?;
    }
    Ok(newer)
}

/// Whether all items that stand fit each other.
pub fn together(cells: &Cells) -> Result<(), Unfit> {
    let services: BTreeSet<&str> = cells.standing(Kind::Service).map(|(name, _)| name).collect();
    let of = |kind: Kind| {
        let items = cells.all().filter(move |item| item.key.kind == kind && !over_bounds(item));
        items.filter_map(|item| Some((item.key.name.as_str(), item.value.as_deref()?)))
    };
    for (name, text) in of(Kind::Route) {
        let route = Route::read(name, text)?;
        if let Some((unknown, _)) = route.services.iter().find(|(s, _)| !services.contains(s.as_str())) {
            return Err(no_service(name, unknown));
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (name, text) in of(Kind::Tenant) {
        for key in Tenant::read(name, text)?.keys {
            if let Some(other) = owners.insert(key, name).filter(|other| *other != name) {
                return Err(same_key(name, other));
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;
    use crate::call::read;
    use crate::routes::Table;

    fn call(route: &str, tenants: &str, remove: &str) -> Vec<Item> {
        let body = format!(
            r#"{{"upsert":{{"routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout",
            "target","service","traffic_split"],"records":[{route}]}},"tenants":{{"column_names":["name","revision",
            "api_keys"],"records":[{tenants}]}},"services":{{"column_names":["name","revision"],
            "records":[["s1",1],["s2",1]]}}}},"remove":{{{remove}}}}}"#
        );
        read(body.as_bytes()).expect("a call")
    }

    const GOOD: &str = r#"["r",1,"a.example","/x/","safe","2500ms","400ms","s1",null]"#;

    #[gtest]
    fn what_the_protocol_calls_invalid_is_and_all_else_is_not() {
        let judged = |route: &str| taken(&Cells::default(), &call(route, "", "")).map(|newer| newer.len());
        expect_that!(judged(GOOD), ok(eq(&3)));
        let cases = [
            ("safe", "idempotent", "Route r/route_type: safe or unsafe is wanted"),
            ("a.example", "", "Route r/host: a text that is not empty is wanted"),
            ("400ms", "62500ms", "Route r/target: it must not exceed the time-out by a minute or more"),
            ("\"s1\",null", "\"s9\",null", "Route r/service: there is no service s9"),
            (
                "\"s1\",null",
                "null,[{\"service\":\"s1\",\"weight\":0}]",
                "Route r/traffic_split: weights with",
            ),
            ("2500ms", "soon", "Route r/timeout: a time such as"),
            ("/x/", "x/", "Route r/path_prefix: a path from slash to slash is wanted"),
        ];
        for (from, to, why) in cases {
            let unfit = judged(&GOOD.replace(from, to)).expect_err(to);
            expect_that!(unfit.to_string(), starts_with(why));
        }
        expect_that!(judged(&GOOD.replace("400ms", "62499ms")), ok(eq(&3)));
    }

    #[gtest]
    fn nothing_of_an_invalid_call_is_taken_and_an_older_one_has_no_effect() {
        let mut cells = Cells::default();
        let first = call(GOOD, r#"["t1",1,["k1"]],["t2",1,["k2"]]"#, "");
        cells.merge_all(taken(&cells, &first).expect("valid"));
        expect_that!(taken(&cells, &first), ok(is_empty()), "the same once more");
        let shared = call(&GOOD.replace("\"r\",1", "\"r\",5"), r#"["t2",2,["k2","k1"]]"#, "");
        expect_that!(taken(&cells, &shared).is_err(), eq(true));
        let gone = call(GOOD, "", r#""services":[{"name":"s1","revision":2}]"#);
        expect_that!(taken(&cells, &gone).is_err(), eq(true), "a route leads there");
        // A key may move from one tenant to another in one call.
        let moved = call(GOOD, r#"["t1",4,[]],["t2",4,["k2","k1"]]"#, "");
        cells.merge_all(taken(&cells, &moved).expect("valid"));
        expect_that!(taken(&cells, &first), ok(is_empty()), "older");
        let table = Table::of(&cells);
        expect_that!(table.tenant("k1").map(|t| t.name.as_str()), some(eq("t2")));
        let both = call(GOOD, r#"["t1",7,["a"]],["t1",6,["b"]]"#, "");
        let newer = taken(&cells, &both).expect("valid");
        expect_that!(newer.iter().map(|i| i.version.0).collect::<Vec<_>>(), elements_are![eq(&7)]);
    }

    #[gtest]
    fn one_number_stands_for_one_content() {
        let mut cells = Cells::default();
        let first = call(GOOD, r#"["t1",5,["k1"]]"#, "");
        cells.merge_all(taken(&cells, &first).expect("valid"));
        expect_that!(taken(&cells, &first), ok(is_empty()), "the same once more");
        let clashes = |standing: &Cells, tenants: &str, remove: &str| {
            let unfit = taken(standing, &call(GOOD, tenants, remove)).expect_err("a conflict");
            expect_that!(unfit.conflict, eq(true));
            expect_that!(unfit.at, eq("Tenant t1/revision"));
        };
        clashes(&cells, r#"["t1",5,["k2"]]"#, "");
        clashes(&cells, "", r#""tenants":[{"name":"t1","revision":5}]"#);
        // Nothing else of such a call is taken, either, and in one call a number stands for one content, too.
        clashes(&cells, r#"["t2",5,["k3"]],["t1",5,["k2"]]"#, "");
        clashes(&Cells::default(), r#"["t1",5,["k1"]],["t1",5,["k2"]]"#, "");
        clashes(&Cells::default(), r#"["t1",5,["k1"]]"#, r#""tenants":[{"name":"t1","revision":5}]"#);
        // A drop that is taken, against a set under its number.
        let dropped = call(GOOD, "", r#""tenants":[{"name":"t1","revision":6}]"#);
        cells.merge_all(taken(&cells, &dropped).expect("valid"));
        clashes(&cells, r#"["t1",6,["k1"]]"#, "");
        // What was acknowledged and has been overtaken since is acknowledged again, whoever holds its keys by now.
        let other = call(GOOD, r#"["t2",7,["k1"]]"#, "");
        cells.merge_all(taken(&cells, &other).expect("valid"));
        expect_that!(taken(&cells, &first), ok(is_empty()));
        expect_that!(taken(&cells, &dropped), ok(is_empty()));
    }

    #[gtest]
    fn the_longest_prefix_of_the_host_is_the_route() {
        let route = |name: &str, host: &str, prefix: &str| {
            GOOD.replace("\"r\"", &format!("\"{name}\"")).replace("a.example", host).replace("/x/", prefix)
        };
        let routes = [
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("b", "b.example", "/"),
        ];
        let mut cells = Cells::default();
        cells.merge_all(taken(&cells, &call(&routes.join(","), "", "")).expect("valid"));
        let table = Table::of(&cells);
        let find = |host, path| table.route(host, path).map_or("none", |r| r.name.as_str()).to_string();
        expect_that!(find("a.example", "/x/y/z"), eq("long"));
        expect_that!(find("A.example:8080", "/x/yz"), eq("short"));
        expect_that!(find("a.example", "/x"), eq("none"));
        expect_that!(find("b.example", "/x/y/"), eq("b"));
        expect_that!(find("c.example", "/x/y/"), eq("none"));
    }
}
