//! The operator of a play: its configuration, its calls, and what it reads back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use tokio::time::{sleep, Instant};

use crate::field::Field;
use crate::http;
use crate::record::{Change, Items, Quota, Records};

/// Pause before the next registry is called.
const AGAIN: Duration = Duration::from_millis(150);

/// The tenant that asks for far more than its quota.
pub const GREEDY: &str = "wasp";
/// Its rate and burst.
const GREEDY_QUOTA: (f64, f64) = (20.0, 10.0);

/// The first configuration.
pub const FIRST: &str = r#"{"upsert":{"routes":{"column_names":["name","host","path_prefix","route_type","timeout",
"target","priority","service","traffic_split","retries","public","revision"],"records":[
["bell","hill.example","/bell/","safe","2000ms","400ms",1,"bells",null,2,false,1],
["post","hill.example","/post/","unsafe","2000ms","400ms",1,"posts",null,2,false,1],
["both","hill.example","/both/","safe","2000ms","400ms",2,null,
[{"service":"bells","weight":70},{"service":"posts","weight":30}],2,false,1],
["open","lane.example","/open/","safe","2000ms","400ms",2,"posts",null,2,true,1],
["move","lane.example","/move/","unsafe","2000ms","400ms",1,"posts",null,2,false,1],
["old","lane.example","/old/","safe","2000ms","400ms",2,"bells",null,2,false,1]]},
"tenants":{"column_names":["name","api_keys","priority","rate_per_s","burst","revision"],"records":[
["bee",["key-of-bee","second-key-of-bee"],1,0,0,1],["moth",["key-of-moth"],1,900,900,1],
["wasp",["key-of-wasp"],1,20,10,1]]},
"services":{"column_names":["name","health_path","max_conns","protocol","tls","revision"],"records":[
["bells","/health",200,"h1",false,1],["posts","/health",200,"h1",false,1]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms",
"revision":1}},"remove":{}}"#;

/// The change: one route goes elsewhere, one goes, one comes.
pub const SECOND: &str = r#"{"upsert":{"routes":{"column_names":["name","host","path_prefix","route_type","timeout",
"target","priority","service","retries","public","revision"],"records":[
["move","lane.example","/move/","unsafe","2000ms","400ms",1,"bells",2,false,4],
["new","lane.example","/new/","safe","2000ms","400ms",2,"bells",2,false,2]]}},
"remove":{"routes":[{"name":"old","revision":3}]}}"#;

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

/// Notes a call that was acknowledged.
fn acknowledged(records: &mut Records, call: &str) {
    let Ok(call) = sonic_rs::from_str::<Value>(call) else { return };
    if let Some(upsert) = call.get("upsert") {
        records.acknowledged.extend(items(upsert));
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
pub async fn first(field: &Field, controls: &[SocketAddrV4], most: Duration) -> bool {
    let taken = insist(field, controls, "call=config.update", FIRST, most).await.is_some();
    let mut records = field.records.borrow_mut();
    if taken {
        acknowledged(&mut records, FIRST);
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
    }
    taken
}

/// Reads the configuration back.
pub async fn read(field: &Field, controls: &[SocketAddrV4], most: Duration) {
    let read = insist(field, controls, "call=config.read", "", most).await;
    field.records.borrow_mut().read = read.as_ref().map(items);
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn what_is_acknowledged_stands_and_what_is_removed_does_not() {
        let mut records = Records::default();
        acknowledged(&mut records, FIRST);
        expect_that!(records.acknowledged.len(), eq(6 + 3 + 2 + 1));
        acknowledged(&mut records, SECOND);
        let key = |list: &str, name: &str| (list.to_string(), name.to_string());
        expect_that!(records.acknowledged.contains_key(&key("routes", "old")), eq(false));
        expect_that!(records.acknowledged.contains_key(&key("routes", "new")), eq(true));
        let moved = &records.acknowledged[&key("routes", "move")];
        expect_that!(moved.get("service"), some(eq("\"bells\"")));
        expect_that!(moved.contains_key("traffic_split"), eq(false), "null is left out");
        expect_that!(records.acknowledged[&key("limits", "limits")].get("revision"), some(eq("1")));
    }

    #[gtest]
    fn the_greedy_tenant_is_judged_by_what_is_sent() {
        let mut records = Records::default();
        acknowledged(&mut records, FIRST);
        let tenant = &records.acknowledged[&("tenants".to_string(), GREEDY.to_string())];
        let number = |name: &str| tenant.get(name).and_then(|n| n.parse::<f64>().ok());
        expect_that!(
            (number("rate_per_s"), number("burst")),
            eq((Some(GREEDY_QUOTA.0), Some(GREEDY_QUOTA.1)))
        );
    }
}
