//! Registries that do not vote reach each other, too: each hears a part of the servers.

use std::collections::BTreeSet;

use googletest::prelude::*;
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::speech::{Hello, Role, Speech, Standing};
use pinerelay_scout::registry::{Birth, Registry};

fn hello(n: u8) -> Hello {
    Hello { node: format!("core-{n}"), ip: format!("10.0.0.{n}"), role: Role::Scout, life: 1 }
}

#[gtest]
fn a_registry_reaches_those_that_others_reach_as_long_as_they_say_so() {
    let seeds: Vec<String> = (1..=3).map(|n| hello(n).ip).collect();
    let birth = Birth {
        hello: hello(4),
        first: true,
        wall: 0,
        heartbeat: 1_500_000,
        bounds: Bounds::default(),
        seeds: seeds.clone(),
    };
    let mut registry = Registry::new(0, birth);
    let mut out = Vec::new();
    registry.said(1, 7, Speech::Hello(hello(1)), &mut out);
    let voters = seeds.clone();
    let mut scouts = seeds.clone();
    scouts.extend(["10.0.0.4".to_string(), "10.0.0.5".into()]);
    let standing = Standing {
        scouts,
        voters,
        epoch: 1,
        settled: true,
        foragers: 0,
        majority: true,
        whole: true,
        current: true,
    };
    registry.said(2, 7, Speech::Standing(standing), &mut out);
    let mut all: BTreeSet<String> = seeds.into_iter().collect();
    all.insert("10.0.0.5".into());
    expect_that!(registry.others(), eq(&all), "itself left out");
    // Who is gone is named by nobody by and by.
    registry.down(3, 7, &mut out);
    all.remove("10.0.0.5");
    expect_that!(registry.others(), eq(&all));
}
