//! What a proxy makes of those that are no registries, of the age of its news, and of registries that are cut off.

use googletest::prelude::*;
use pinerelay_admission::lease::LeaseGrant;
use pinerelay_admission::lease_cache::Admission;
use pinerelay_admission::quota::Quota;
use pinerelay_config_state::item::Item;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::ItemSet;
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role, TenantGrant, LEASE_DURATION};
use pinerelay_proxy::subscriber::{Output, Subscriber};

fn hello(role: Role) -> Hello {
    Hello { node: "n".into(), ip: "127.0.0.9".into(), role, process_id: 1 }
}

#[gtest]
fn one_that_looks_on_is_not_cut_and_news_are_as_old_as_the_last_digest_that_agreed() {
    let mut subscriber = Subscriber::new(0, hello(Role::Proxy), Vec::new());
    let mut out = Vec::new();
    subscriber.receive(1, 1, PeerMessage::Hello(hello(Role::Observer)), &mut out);
    expect_that!(out, is_empty());
    subscriber.receive(1, 2, PeerMessage::Hello(hello(Role::ConfigStore)), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Close(eq(&2)))]);
    subscriber.receive(1, 3, PeerMessage::Hello(hello(Role::Registry)), &mut out);
    subscriber.receive(5_000_000, 3, PeerMessage::Digests([1, 1]), &mut out);
    expect_that!(subscriber.update_age(5_000_000), eq(5_000_000));
    let [Output::Send(_, PeerMessage::Digests(own))] = out[1..2] else { panic!("it tells what it has") };
    subscriber.receive(6_000_000, 3, PeerMessage::Digests(own), &mut out);
    expect_that!(subscriber.update_age(6_500_000), eq(500_000));
}

fn draws(out: &[Output]) -> Vec<(u64, usize)> {
    let draw = |output: &Output| match output {
        Output::Send(peer, PeerMessage::LeaseRequests(asks)) => Some((*peer, asks.len())),
        _ => None,
    };
    out.iter().filter_map(draw).collect()
}

#[gtest]
fn a_grant_is_taken_on_the_connection_that_it_was_asked_on_and_once() {
    let mut subscriber = Subscriber::new(0, hello(Role::Proxy), Vec::new());
    let registry_hello = |ip: &str, life| Hello { ip: ip.into(), process_id: life, ..hello(Role::Registry) };
    let ips = ["127.0.0.1", "127.0.0.2"].map(String::from);
    let current_items = |majority| {
        let (registry_hellos, voters) = (ips.to_vec(), ips.to_vec());
        PeerMessage::RegistryStatus(RegistryStatus {
            registries: registry_hellos,
            voters,
            epoch: 1,
            epoch_settled: true,
            proxies: 1,
            has_majority: majority,
            is_complete: true,
            is_current: true,
        })
    };
    let mut out = Vec::new();
    for (peer, ip) in [(1, "127.0.0.1"), (2, "127.0.0.2")] {
        subscriber.receive(0, peer, PeerMessage::Hello(registry_hello(ip, 1)), &mut out);
        subscriber.receive(0, peer, current_items(true), &mut out);
    }
    let quota = Quota { rate: 100.0, burst: 10.0 };
    out.clear();
    expect_that!(subscriber.admit(1, "t1", quota, 70, &mut out), eq(Admission::Waiting));
    let [(asked, 1)] = draws(&out)[..] else { panic!("one is asked") };
    let grant = LeaseGrant::Units { units: 5.0, duration: 1_000_000, fencing_token: 1, share: 50.0 };
    let drawn = || PeerMessage::LeaseGrants(vec![TenantGrant { tenant: "t1".into(), grant: grant.clone() }]);
    // Nothing was asked of the other: whatever it answers, it is not to this.
    out.clear();
    subscriber.receive(2, 3 - asked, drawn(), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Close(eq(&(3 - asked))))]);
    // The link is taken up again by another life, which was asked nothing.
    out.clear();
    subscriber.disconnected(asked);
    subscriber.receive(3, 9, PeerMessage::Hello(registry_hello(&ips[asked as usize - 1], 2)), &mut out);
    out.clear();
    subscriber.receive(4, 9, drawn(), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Close(eq(&9)))]);
    expect_that!(subscriber.leases().waiting(), eq(1));
    // A second greeting on a connection would forget what was asked on it.
    out.clear();
    subscriber.receive(5, 9, PeerMessage::Hello(registry_hello(&ips[0], 3)), &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Close(eq(&9)))]);
}

#[gtest]
fn one_that_lives_on_its_share_tells_every_registry_what_it_spends() {
    let mut subscriber = Subscriber::new(0, hello(Role::Proxy), Vec::new());
    let mut out = Vec::new();
    for peer in 1..3 {
        let ip = format!("127.0.0.{peer}");
        subscriber.receive(1, peer, PeerMessage::Hello(Hello { ip, ..hello(Role::Registry) }), &mut out);
        subscriber.receive(1, peer, PeerMessage::RegistryStatus(current_items(1, &[], false)), &mut out);
    }
    let asks = |subscriber: &mut Subscriber, now| {
        let mut out = Vec::new();
        subscriber.admit(now, "t", Quota { rate: 100.0, burst: 100.0 }, now, &mut out);
        subscriber.tick(now, &mut out);
        let asks = out.into_iter().filter_map(|output| match output {
            Output::Send(peer, PeerMessage::LeaseRequests(asks)) => {
                Some((peer, asks[0].wanted, asks[0].share_spent))
            }
            _ => None,
        });
        asks.collect::<Vec<_>>()
    };
    let first = asks(&mut subscriber, 10_000);
    let [(count, ..)] = first[..] else { panic!("one is asked") };
    let grant = LeaseGrant::Units { units: 1.0, duration: 100_000, fencing_token: 1, share: 0.5 };
    subscriber.receive(
        20_000,
        count,
        PeerMessage::LeaseGrants(vec![TenantGrant { tenant: "t".into(), grant }]),
        &mut Vec::new(),
    );
    // No answer comes any more: by and by it spends of its share, and both hear of that; one is asked.
    let reported: Vec<_> =
        (30_000..900_000).step_by(10_000).flat_map(|now| asks(&mut subscriber, now)).collect();
    for peer in 1..3 {
        let spent = reported.iter().filter(|ask| ask.0 == peer).map(|ask| ask.2).fold(0.0, f64::max);
        expect_that!(spent, gt(10.0), "told to {peer}");
    }
    expect_that!(reported.iter().filter(|ask| ask.0 != count).all(|ask| ask.1 == 0.0), eq(true));
}

const SECOND: u64 = 1_000_000;

fn current_items(epoch: u64, voters: &[&str], current: bool) -> RegistryStatus {
    let voters: Vec<String> = voters.iter().map(|ip| ip.to_string()).collect();
    let registry_hellos = voters.clone();
    RegistryStatus {
        registries: registry_hellos,
        voters,
        epoch,
        epoch_settled: true,
        proxies: 1,
        has_majority: true,
        is_complete: true,
        is_current: current,
    }
}

fn service(revision: u64) -> Vec<Item> {
    let text = format!(
        r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s",{revision}]]}}}}}}"#
    );
    operator_call::parse_update(text.as_bytes()).expect("a configuration")
}

/// A proxy, and what registries tell it.
struct Play(Subscriber);

impl Play {
    fn new() -> Play {
        Play(Subscriber::new(0, hello(Role::Proxy), vec!["10.0.0.1".into()]))
    }

    fn said(&mut self, now: u64, peer: u64, message: PeerMessage) {
        self.0.receive(now, peer, message, &mut Vec::new());
    }

    fn link(&mut self, peer: u64) {
        let hello = Hello {
            node: format!("c{peer}"),
            ip: format!("10.0.0.{peer}"),
            role: Role::Registry,
            process_id: 1,
        };
        self.said(0, peer, PeerMessage::Hello(hello));
    }

    /// A registry says how it stands, and then what it has.
    fn pulse(&mut self, now: u64, peer: u64, current: bool, items: &[Item]) {
        let mut item_set = ItemSet::default();
        item_set.merge_all(items.iter().cloned());
        self.said(now, peer, PeerMessage::RegistryStatus(current_items(1, &["10.0.0.1"], current)));
        self.said(now, peer, PeerMessage::Digests([item_set.digest(), 0]));
        if current {
            self.confirmed(now, peer, now, LEASE_DURATION, items);
        }
    }

    /// A registry answers that it is current: asked then, with so much left of its lease.
    fn confirmed(&mut self, now: u64, peer: u64, asked: u64, left: u64, items: &[Item]) {
        let mut item_set = ItemSet::default();
        item_set.merge_all(items.iter().cloned());
        let digest = item_set.digest();
        self.said(now, peer, PeerMessage::Current { asked_at: asked, epoch: 1, digest, lease_left: left });
    }

    /// Time passes from one moment to another, while a registry says its own each half second.
    fn pass(&mut self, from: u64, to: u64, current: bool, items: &[Item]) {
        for now in (from..to).step_by(500_000) {
            self.pulse(now, 1, current, items);
            self.0.tick(now, &mut Vec::new());
        }
    }
}

#[gtest]
fn beside_a_core_that_was_cut_off_a_proxy_that_starts_waits_for_one_that_is_current() {
    let mut play = Play::new();
    let (old, new) = (service(5), service(6));
    play.link(1);
    play.said(0, 1, PeerMessage::Update(old.clone()));
    play.pass(0, 5 * SECOND, false, &old);
    expect_that!(play.0.can_serve(), eq(false));
    // What it had before it said that it is current may be older than that.
    play.said(5 * SECOND, 1, PeerMessage::RegistryStatus(current_items(1, &["10.0.0.1"], true)));
    play.0.tick(5 * SECOND, &mut Vec::new());
    expect_that!(play.0.can_serve(), eq(false));
    play.said(5 * SECOND, 1, PeerMessage::Update(new.clone()));
    play.pulse(5 * SECOND, 1, true, &new);
    expect_that!(play.0.can_serve(), eq(true));
    expect_that!(play.0.serves_unconfirmed(), eq(false));
    // In service it goes on, whatever becomes of the core.
    play.pass(6 * SECOND, 40 * SECOND, false, &new);
    expect_that!(play.0.can_serve(), eq(true));
}

#[gtest]
fn the_word_of_one_that_is_current_counts_for_a_while() {
    let mut play = Play::new();
    let (old, new) = (service(5), service(6));
    play.link(1);
    play.pulse(0, 1, true, &new);
    play.said(LEASE_DURATION, 1, PeerMessage::Update(new.clone()));
    expect_that!(play.0.can_serve(), eq(false), "it came too late");
    play.pulse(LEASE_DURATION + 1, 1, true, &new);
    expect_that!(play.0.can_serve(), eq(true));
    let mut play = Play::new();
    play.link(1);
    play.said(0, 1, PeerMessage::Update(old.clone()));
    play.pulse(0, 1, true, &new);
    play.link(2);
    play.pulse(0, 2, false, &old);
    expect_that!(play.0.can_serve(), eq(false), "it is not the current one's that it has");
}

#[gtest]
fn a_registry_s_lease_counts_for_what_was_left_of_it_from_when_it_was_asked() {
    let items = service(5);
    let whole_at = |asked, left, now| {
        let mut play = Play::new();
        play.link(1);
        let mut out = Vec::new();
        play.0.receive(
            asked,
            1,
            PeerMessage::RegistryStatus(current_items(1, &["10.0.0.1"], true)),
            &mut out,
        );
        let asks =
            out.iter().any(|o| matches!(o, Output::Send(1, PeerMessage::ConfirmCurrent(at)) if *at == asked));
        expect_that!(asks, eq(true));
        play.confirmed(now, 1, asked, left, &items);
        play.said(now, 1, PeerMessage::Update(items.clone()));
        play.0.tick(now, &mut Vec::new());
        play.0.can_serve()
    };
    expect_that!(whole_at(SECOND, SECOND / 2, SECOND + SECOND / 2 - 1), eq(true));
    expect_that!(whole_at(SECOND, SECOND / 2, SECOND + SECOND / 2), eq(false), "it was held up on its way");
    expect_that!(whole_at(SECOND, 0, SECOND), eq(false));
    expect_that!(whole_at(SECOND, 60 * SECOND, SECOND + LEASE_DURATION), eq(false), "no lease is longer");
    // Who says that he is current without an answer to a question is not believed.
    let mut play = Play::new();
    play.link(1);
    play.said(0, 1, PeerMessage::Update(items.clone()));
    play.pulse(0, 1, false, &items);
    play.said(1, 1, PeerMessage::RegistryStatus(current_items(1, &["10.0.0.1"], true)));
    let mut item_set = ItemSet::default();
    item_set.merge_all(items.iter().cloned());
    play.said(1, 1, PeerMessage::Digests([item_set.digest(), 0]));
    expect_that!(play.0.can_serve(), eq(false));
}

#[gtest]
fn with_none_current_for_long_it_serves_what_it_has_and_says_so() {
    let mut play = Play::new();
    let (old, new) = (service(5), service(6));
    play.link(1);
    play.said(0, 1, PeerMessage::Update(old.clone()));
    play.pass(0, 9 * SECOND, false, &old);
    expect_that!(play.0.can_serve(), eq(false));
    // What it did not hear while it stood still tells nothing.
    play.pass(20 * SECOND, 29 * SECOND, false, &old);
    expect_that!(play.0.can_serve(), eq(false));
    // Nor does it wait for the old one beside one that is current.
    play.link(2);
    play.pulse(29 * SECOND, 2, true, &new);
    play.pass(29 * SECOND, 38 * SECOND, false, &old);
    expect_that!(play.0.can_serve(), eq(false));
    play.pass(38 * SECOND, 43 * SECOND, false, &old);
    expect_that!((play.0.can_serve(), play.0.serves_unconfirmed()), eq((true, true)));
    play.said(43 * SECOND, 2, PeerMessage::Update(new.clone()));
    play.pulse(43 * SECOND, 2, true, &new);
    expect_that!((play.0.can_serve(), play.0.serves_unconfirmed()), eq((true, false)));
}

#[gtest]
fn it_reaches_those_who_vote_in_the_newest_epoch_and_no_more_than_it_needs() {
    let mut play = Play::new();
    (1..=3).for_each(|peer| play.link(peer));
    let (old, new) = (["10.0.0.1", "10.0.0.2", "10.0.0.3"], ["10.0.0.1", "10.0.0.2", "10.0.0.4"]);
    play.said(1, 1, PeerMessage::RegistryStatus(current_items(1, &old, true)));
    expect_that!(play.0.wanted_registries(), container_eq(old.map(String::from)));
    // One tells of a change; another does not know of it yet.
    play.said(2, 1, PeerMessage::RegistryStatus(current_items(2, &new, true)));
    play.said(2, 2, PeerMessage::RegistryStatus(current_items(1, &old, true)));
    let wanted = play.0.wanted_registries();
    new.iter().for_each(|ip| expect_that!(wanted, contains(eq(*ip))));
    expect_that!(wanted, contains(eq("10.0.0.3")), "as long as the new one is not reached");
    play.link(4);
    expect_that!(play.0.wanted_registries(), container_eq(new.map(String::from)));
}
