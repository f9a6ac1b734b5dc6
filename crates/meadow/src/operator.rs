//! The operator of a play: its configuration, its calls, and what it reads back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use tokio::time::{sleep, Instant};

use crate::field::Field;
use crate::http;
use crate::record::{Change, Items, Micros, Quota, Records};
use crate::soak;

#[cfg(test)]
mod tests;

/// Pause before the next registry is called.
const AGAIN: Duration = Duration::from_millis(150);

/// The tenant that asks for far more than its quota.
pub const GREEDY: &str = "wasp";
/// Its rate and burst.
const GREEDY_QUOTA: (f64, f64) = (20.0, 10.0);

/// The route whose servers fail at times.
pub const GREY: &str = "grey";
/// The route whose servers at times take longer than its `timeout`.
pub const SLOW: &str = "slow";
/// The route for long bodies, whose servers at times answer before these have come.
pub const LOAD: &str = "load";
/// The route that the change removes.
pub const REMOVED: &str = "old";
/// How many routes come later than all others.
pub const LATER: usize = 6;
/// How many tenants there are of whom each asks now and then, unless a play wants another number.
pub const CROWD: usize = 300;

/// How the names of a soak's own routes begin.
const SOAK_ROUTE: &str = "soak-";
/// Revisions of a soak's routes and touched tenants: each is higher than any that was given before.
const SOAK_REVISION: usize = 20;

/// The name of a soak's own route.
fn soak_route(n: usize) -> String {
    format!("{SOAK_ROUTE}{n}")
}

/// Whether a route is a soak's own.
pub fn is_soak_route(name: &str) -> bool {
    name.starts_with(SOAK_ROUTE)
}

/// The name of a route that comes later.
pub fn later_route(n: usize) -> String {
    format!("later-{n}")
}

/// The name of one of the many tenants.
pub fn crowd_tenant(n: usize) -> String {
    format!("crowd-{n:03}")
}

/// A tenant's first key.
pub fn key_of(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// The host of a route.
pub fn host_of(route: &str) -> &'static str {
    let hill = ["bell", "post", "both", GREY, LOAD].contains(&route);
    if hill {
        "hill.example"
    } else {
        "lane.example"
    }
}

/// The first configuration, with so many tenants of whom each asks now and then.
pub fn first_call(crowd: usize) -> String {
    let crowd = (0..crowd).map(crowd_tenant);
    let crowd: String =
        crowd.map(|name| format!(",\n[\"{name}\",[\"{}\"],1,0,0,1]", key_of(&name))).collect();
    FIRST.replace("CROWD", &crowd)
}

const FIRST: &str = r#"{"upsert":{"routes":{"column_names":["name","host","path_prefix","route_type","timeout",
"target","priority","service","traffic_split","retries","public","revision"],"records":[
["bell","hill.example","/bell/","safe","2000ms","400ms",1,"bells",null,2,false,1],
["post","hill.example","/post/","unsafe","2000ms","400ms",1,"posts",null,2,false,1],
["both","hill.example","/both/","safe","2000ms","400ms",2,null,
[{"service":"bells","weight":70},{"service":"posts","weight":30}],2,false,1],
["open","lane.example","/open/","safe","2000ms","400ms",2,"posts",null,2,true,1],
["move","lane.example","/move/","unsafe","2000ms","400ms",1,"posts",null,2,false,1],
["old","lane.example","/old/","safe","2000ms","400ms",2,"bells",null,2,false,1],
["grey","hill.example","/grey/","safe","2000ms","400ms",2,"greys",null,2,false,1],
["slow","lane.example","/slow/","safe","400ms","200ms",2,"greys",null,2,false,1],
["load","hill.example","/load/","unsafe","2000ms","400ms",1,"loads",null,2,false,1]]},
"tenants":{"column_names":["name","api_keys","priority","rate_per_s","burst","revision"],"records":[
["bee",["key-of-bee","second-key-of-bee"],1,0,0,1],["moth",["key-of-moth"],1,900,900,1],
["wasp",["key-of-wasp"],1,20,10,1]CROWD]},
"services":{"column_names":["name","health_path","max_conns","protocol","tls","revision"],"records":[
["bells","/health",200,"h1",false,1],["posts","/health",200,"h1",false,1],
["greys","/health",200,"h1",false,1],["loads","/health",200,"h1",false,1]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms",
"revision":1}},"remove":{}}"#;

/// The change: one route goes elsewhere, one goes, one comes.
pub const SECOND: &str = r#"{"upsert":{"routes":{"column_names":["name","host","path_prefix","route_type","timeout",
"target","priority","service","retries","public","revision"],"records":[
["move","lane.example","/move/","unsafe","2000ms","400ms",1,"bells",2,false,4],
["new","lane.example","/new/","safe","2000ms","400ms",2,"bells",2,false,2]]}},
"remove":{"routes":[{"name":"old","revision":3}]}}"#;

/// The call that brings the routes that come later than all others.
fn later_call() -> String {
    let route = |n: usize| {
        let (name, service) = (later_route(n), ["bells", "posts"][n % 2]);
        format!(r#"["{name}","lane.example","/{name}/","safe","2000ms","400ms",2,"{service}",2,false,5]"#)
    };
    let routes: Vec<String> = (0..LATER).map(route).collect();
    format!(
        r#"{{"upsert":{{"routes":{{"column_names":["name","host","path_prefix","route_type","timeout",
        "target","priority","service","retries","public","revision"],"records":[{}]}}}},"remove":{{}}}}"#,
        routes.join(",")
    )
}

/// The call that gives one of the many tenants a new revision, with nothing else changed.
fn touch_call(n: usize, revision: usize) -> String {
    let name = crowd_tenant(n);
    let key = key_of(&name);
    format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","api_keys","priority","rate_per_s","burst","revision"],
        "records":[["{name}",["{key}"],1,0,0,{revision}]]}}}},"remove":{{}}}}"#
    )
}

/// The call that makes one change of a soak.
fn soak_call(change: soak::Change) -> String {
    let route = |n: usize, service: &str, revision: usize| {
        let name = soak_route(n);
        format!(
            r#"{{"upsert":{{"routes":{{"column_names":["name","host","path_prefix","route_type","timeout",
            "target","priority","service","retries","public","revision"],"records":[
            ["{name}","lane.example","/{name}/","safe","2000ms","400ms",2,"{service}",2,false,{revision}]]}}}},
            "remove":{{}}}}"#
        )
    };
    match change {
        soak::Change::Add(n) => route(n, "bells", SOAK_REVISION),
        soak::Change::Move(n) => route(n, "posts", SOAK_REVISION + 1),
        soak::Change::Remove(n) => {
            let (name, revision) = (soak_route(n), SOAK_REVISION + 2);
            format!(r#"{{"upsert":{{}},"remove":{{"routes":[{{"name":"{name}","revision":{revision}}}]}}}}"#)
        }
        soak::Change::Touch(n) => touch_call(n, SOAK_REVISION),
    }
}

/// The lists of items.
const LISTS: [&str; 3] = ["routes", "tenants", "services"];

/// Reads items laid out as in a call's `upsert` or in the answer to a read.
pub fn items(all: &Value) -> Items {
    let text = |value: &Value| sonic_rs::to_string(value).unwrap_or_default();
    let mut items = Items::new();
    for list in LISTS {
        let part = |name: &str| all.get(list).and_then(|l| l.get(name)).and_then(|v| v.as_array());
        let (Some(columns), Some(records)) = (part("column_names"), part("records")) else { continue };
        for record in records.iter().filter_map(|r| r.as_array()) {
            let fields = columns.iter().zip(record.iter()).filter(|(_, value)| !value.is_null());
            let fields: BTreeMap<String, String> =
                fields.map(|(name, value)| (name.as_str().unwrap_or_default().into(), text(value))).collect();
            let name = fields.get("name").cloned().unwrap_or_default().trim_matches('"').to_string();
            items.insert((list.into(), name), fields);
        }
    }
    if let Some(limits) = all.get("limits").and_then(|v| v.as_object()) {
        let fields = limits.iter().map(|(name, value)| (name.to_string(), text(value))).collect();
        items.insert(("limits".into(), "limits".into()), fields);
    }
    items
}

/// Notes what a route allows its requests.
fn note_bounds(records: &mut Records, name: &str, route: &BTreeMap<String, String>) {
    if let Some(retries) = route.get("retries").and_then(|n| n.parse::<usize>().ok()) {
        let most = records.retries.entry(name.into()).or_default();
        *most = retries.max(*most);
    }
    let timeout = route.get("timeout").map(|text| text.trim_matches('"').trim_end_matches("ms"));
    if let Some(timeout) = timeout.and_then(|ms| ms.parse::<Micros>().ok()) {
        let longest = records.timeouts.entry(name.into()).or_default();
        *longest = (timeout * 1_000).max(*longest);
    }
}

/// Notes a call that was acknowledged.
fn acknowledged(records: &mut Records, call: &str) {
    let Ok(call) = sonic_rs::from_str::<Value>(call) else { return };
    if let Some(upsert) = call.get("upsert") {
        let items = items(upsert);
        items.iter().filter(|((list, _), _)| list == "routes").for_each(|((_, name), route)| {
            note_bounds(records, name, route);
        });
        records.acknowledged.extend(items);
    }
    for list in LISTS {
        let removed = call.get("remove").and_then(|r| r.get(list)).and_then(|v| v.as_array());
        for name in removed.into_iter().flat_map(|r| r.iter()).filter_map(|r| r.get("name")) {
            records.acknowledged.remove(&(list.to_string(), name.as_str().unwrap_or_default().to_string()));
        }
    }
}

/// Calls registries in turn until one answers 200, for so long at most.
async fn insist(
    field: &Field,
    controls: &[SocketAddrV4],
    query: &str,
    body: &str,
    most: Duration,
) -> Option<Value> {
    let until = Instant::now() + most;
    let mut turn = field.below(controls.len() as u64) as usize;
    while Instant::now() < until {
        let reply = http::call(controls[turn % controls.len()], query, body.into()).await;
        match reply.filter(|reply| reply.status.as_u16() == 200) {
            Some(reply) => return sonic_rs::from_slice(&reply.body).ok(),
            None => sleep(AGAIN).await,
        }
        turn += 1;
    }
    None
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

/// Delivers the first configuration; whether it was acknowledged.
pub async fn first(field: &Field, controls: &[SocketAddrV4], crowd: usize, most: Duration) -> bool {
    let call = first_call(crowd);
    let taken = insist(field, controls, "call=config.update", &call, most).await.is_some();
    let mut records = field.records.borrow_mut();
    if taken {
        acknowledged(&mut records, &call);
    }
    let (rate, burst) = GREEDY_QUOTA;
    records.quotas.push(Quota { tenant: GREEDY.into(), rate, burst });
    for (route, services) in [
        ("bell", set(&["bells"])),
        ("post", set(&["posts"])),
        ("both", set(&["bells", "posts"])),
        ("open", set(&["posts"])),
        ("move", set(&["bells", "posts"])),
        ("old", set(&["bells"])),
        ("new", set(&["bells"])),
        (GREY, set(&["greys"])),
        (SLOW, set(&["greys"])),
        (LOAD, set(&["loads"])),
    ] {
        records.routes.insert(route.into(), services);
    }
    taken
}

/// Delivers the change; whether it was acknowledged.
pub async fn second(field: &Field, controls: &[SocketAddrV4], most: Duration) -> bool {
    let taken = insist(field, controls, "call=config.update", SECOND, most).await.is_some();
    if taken {
        let at = field.now();
        let mut records = field.records.borrow_mut();
        acknowledged(&mut records, SECOND);
        records.changes.push(Change { route: "move".into(), services: set(&["bells"]), at });
        records.changes.push(Change { route: "old".into(), services: set(&[]), at });
        records.added.insert("new".into(), at);
    }
    taken
}

/// Delivers the routes that come later than all others; whether it was acknowledged.
pub async fn later(field: &Field, controls: &[SocketAddrV4], most: Duration) -> bool {
    let call = later_call();
    let taken = insist(field, controls, "call=config.update", &call, most).await.is_some();
    if taken {
        let at = field.now();
        let mut records = field.records.borrow_mut();
        acknowledged(&mut records, &call);
        for n in 0..LATER {
            records.routes.insert(later_route(n), set(&[["bells", "posts"][n % 2]]));
            records.added.insert(later_route(n), at);
        }
    }
    taken
}

/// Delivers a new revision of one of the many tenants, with nothing else changed; whether it was acknowledged.
pub async fn touch(
    field: &Field,
    controls: &[SocketAddrV4],
    (n, revision): (usize, usize),
    most: Duration,
) -> bool {
    let call = touch_call(n, revision);
    let taken = insist(field, controls, "call=config.update", &call, most).await.is_some();
    if taken {
        acknowledged(&mut field.records.borrow_mut(), &call);
    }
    taken
}

/// Makes one change of a soak; whether it was acknowledged.
pub async fn soak_change(
    field: &Field,
    controls: &[SocketAddrV4],
    change: soak::Change,
    most: Duration,
) -> bool {
    let call = soak_call(change);
    if let soak::Change::Add(n) = change {
        field.records.borrow_mut().routes.insert(soak_route(n), set(&["bells", "posts"]));
    }
    let taken = insist(field, controls, "call=config.update", &call, most).await.is_some();
    if !taken {
        return false;
    }
    let at = field.now();
    let mut records = field.records.borrow_mut();
    acknowledged(&mut records, &call);
    let (n, services) = match change {
        soak::Change::Add(n) => {
            records.added.insert(soak_route(n), at);
            return true;
        }
        soak::Change::Touch(_) => return true,
        soak::Change::Move(n) => (n, set(&["posts"])),
        soak::Change::Remove(n) => (n, set(&[])),
    };
    records.changes.push(Change { route: soak_route(n), services, at });
    true
}

/// Reads the configuration back.
pub async fn read(field: &Field, controls: &[SocketAddrV4], most: Duration) {
    let read = insist(field, controls, "call=config.read", "", most).await;
    field.records.borrow_mut().read = read.as_ref().map(items);
}
