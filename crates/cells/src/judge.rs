//! Whether items that are to stand together fit each other.

use std::collections::{BTreeMap, BTreeSet};

use crate::call::Unfit;
use crate::item::{Cells, Item, Key, Kind};
use crate::routes::{Limits, Route, Service, Tenant};

/// Reads what an item holds; what is dropped always fits.
pub fn item(item: &Item) -> Result<(), Unfit> {
    let Some(text) = &item.value else { return Ok(()) };
    let name = &item.key.name;
    match item.key.kind {
        Kind::Route => Route::read(name, text).map(drop),
        Kind::Tenant => Tenant::read(name, text).map(drop),
        Kind::Service => Service::read(name, text).map(drop),
        Kind::Limits => Limits::read(text).map(drop),
        Kind::Server | Kind::Node => Ok(()),
    }
}

/// Takes a call's items on top of what stands: those of them that are newer, if all that would then stand fits together.
/// An older version, or the same once more, has no effect and is no fault. Another content under a revision that is taken
/// is a conflict: of two operators who send one number at most one is confirmed.
pub fn taken(standing: &Cells, call: &[Item]) -> Result<Vec<Item>, Unfit> {
    call.iter().try_for_each(item)?;
    let mut sent: BTreeMap<(&Key, u64), &Item> = BTreeMap::new();
    for item in call {
        let twin = sent.insert((&item.key, item.version.0), item).or(standing.get(&item.key));
        if twin.is_some_and(|twin| twin.version.0 == item.version.0 && twin != item) {
            return Err(Unfit::conflict(
                format!("{:?} {}/revision", item.key.kind, item.key.name),
                format!("{} is taken with another content: a higher one is wanted", item.version.0),
            ));
        }
    }
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
    for (name, text) in cells.standing(Kind::Route) {
        let route = Route::read(name, text)?;
        if let Some((unknown, _)) = route.services.iter().find(|(s, _)| !services.contains(s.as_str())) {
            return Err(Unfit::new(
                format!("Route {name}/service"),
                format!("there is no service {unknown}"),
            ));
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (name, text) in cells.standing(Kind::Tenant) {
        for key in Tenant::read(name, text)?.keys {
            if let Some(other) = owners.insert(key, name).filter(|other| *other != name) {
                return Err(Unfit::new(
                    format!("Tenant {name}/api_keys"),
                    format!("{other} has the same key"),
                ));
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
