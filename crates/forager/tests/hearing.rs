//! What a proxy makes of those that are no registries, and of the age of its news.

use googletest::prelude::*;
use pinerelay_forager::hearing::{Hearing, Output};
use pinerelay_nectar::purse::{Admission, Grant};
use pinerelay_nectar::terms::Quota;
use pinerelay_propolis::speech::{Hello, Role, Speech, Standing};

fn hello(role: Role) -> Hello {
    Hello { node: "n".into(), ip: "127.0.0.9".into(), role, life: 1 }
}

#[gtest]
fn one_that_looks_on_is_not_cut_and_news_are_as_old_as_the_last_digest_that_agreed() {
    let mut hearing = Hearing::new(0, hello(Role::Forager), Vec::new());
    let mut out = Vec::new();
    hearing.said(1, 1, Speech::Hello(hello(Role::Visitor)), &mut out);
    expect_that!(out, is_empty());
    hearing.said(1, 2, Speech::Hello(hello(Role::Comb)), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Cut(eq(&2)))]);
    hearing.said(1, 3, Speech::Hello(hello(Role::Scout)), &mut out);
    hearing.said(5_000_000, 3, Speech::Digest([1, 1]), &mut out);
    expect_that!(hearing.behind(5_000_000), eq(5_000_000));
    let [Output::Say(_, Speech::Digest(own))] = out[1..2] else { panic!("it tells what it has") };
    hearing.said(6_000_000, 3, Speech::Digest(own), &mut out);
    expect_that!(hearing.behind(6_500_000), eq(500_000));
}

fn draws(out: &[Output]) -> Vec<(u64, usize)> {
    let draw = |output: &Output| match output {
        Output::Say(peer, Speech::Draw(asks)) => Some((*peer, asks.len())),
        _ => None,
    };
    out.iter().filter_map(draw).collect()
}

#[gtest]
fn a_grant_is_taken_on_the_connection_that_it_was_asked_on_and_once() {
    let mut hearing = Hearing::new(0, hello(Role::Forager), Vec::new());
    let scout = |ip: &str, life| Hello { ip: ip.into(), life, ..hello(Role::Scout) };
    let ips = ["127.0.0.1", "127.0.0.2"].map(String::from);
    let standing = |majority| {
        let (scouts, voters) = (ips.to_vec(), ips.to_vec());
        Speech::Standing(Standing { scouts, voters, foragers: 1, majority, whole: true })
    };
    let mut out = Vec::new();
    for (peer, ip) in [(1, "127.0.0.1"), (2, "127.0.0.2")] {
        hearing.said(0, peer, Speech::Hello(scout(ip, 1)), &mut out);
        hearing.said(0, peer, standing(true), &mut out);
    }
    let quota = Quota { rate: 100.0, burst: 10.0 };
    expect_that!(hearing.purse.arrive(1, "t1", quota, 70), eq(Admission::Wait));
    out.clear();
    hearing.ask(1, &mut out);
    let [(asked, 1)] = draws(&out)[..] else { panic!("one is asked") };
    let grant = Grant::Block { units: 5.0, life: 1_000_000, fence: 1, share: 50.0 };
    let drawn = || Speech::Drawn(vec![("t1".to_string(), grant.clone())]);
    // Nothing was asked of the other: whatever it answers, it is not to this.
    out.clear();
    hearing.said(2, 3 - asked, drawn(), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Cut(eq(&(3 - asked))))]);
    // The link is taken up again by another life, which was asked nothing.
    out.clear();
    hearing.down(asked);
    hearing.said(3, 9, Speech::Hello(scout(&ips[asked as usize - 1], 2)), &mut out);
    out.clear();
    hearing.said(4, 9, drawn(), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Cut(eq(&9)))]);
    expect_that!(hearing.purse.waiting(), eq(1));
    // A second greeting on a connection would forget what was asked on it.
    out.clear();
    hearing.said(5, 9, Speech::Hello(scout(&ips[0], 3)), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Cut(eq(&9)))]);
}

#[gtest]
fn one_that_lives_on_its_share_tells_every_registry_what_it_spends() {
    let mut hearing = Hearing::new(0, hello(Role::Forager), Vec::new());
    let mut out = Vec::new();
    for peer in 1..3 {
        let ip = format!("127.0.0.{peer}");
        hearing.said(1, peer, Speech::Hello(Hello { ip, ..hello(Role::Scout) }), &mut out);
        let (scouts, voters) = (Vec::new(), Vec::new());
        let standing = Standing { scouts, voters, foragers: 1, majority: true, whole: false };
        hearing.said(1, peer, Speech::Standing(standing), &mut out);
    }
    let asks = |hearing: &mut Hearing, now| {
        hearing.purse.arrive(now, "t", Quota { rate: 100.0, burst: 100.0 }, now);
        let mut out = Vec::new();
        hearing.tick(now, &mut out);
        let asks = out.into_iter().filter_map(|output| match output {
            Output::Say(peer, Speech::Draw(asks)) => Some((peer, asks[0].want, asks[0].spent)),
            _ => None,
        });
        asks.collect::<Vec<_>>()
    };
    let first = asks(&mut hearing, 10_000);
    let [(count, ..)] = first[..] else { panic!("one is asked") };
    let grant = Grant::Block { units: 1.0, life: 100_000, fence: 1, share: 0.5 };
    hearing.said(20_000, count, Speech::Drawn(vec![("t".into(), grant)]), &mut Vec::new());
    // No answer comes any more: by and by it spends of its share, and both hear of that; one is asked.
    let told: Vec<_> = (30_000..900_000).step_by(10_000).flat_map(|now| asks(&mut hearing, now)).collect();
    for peer in 1..3 {
        let spent = told.iter().filter(|ask| ask.0 == peer).map(|ask| ask.2).fold(0.0, f64::max);
        expect_that!(spent, gt(10.0), "told to {peer}");
    }
    expect_that!(told.iter().filter(|ask| ask.0 != count).all(|ask| ask.1 == 0.0), eq(true));
}
