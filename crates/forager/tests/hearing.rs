//! What a proxy makes of those that are no registries, and of the age of its news.

use googletest::prelude::*;
use pinerelay_forager::hearing::{Hearing, Output};
use pinerelay_propolis::speech::{Hello, Role, Speech};

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
