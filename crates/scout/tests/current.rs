//! What a registry says and acknowledges while it is cut off: whether it is current, beats, leavings.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_cells::call;
use pinerelay_cells::server::{Beat, Server, State};
use pinerelay_cells::{Cells, Item};
use pinerelay_dance::{Member, Membership};
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::speech::{Hello, Role, Speech, Standing, CURRENT};
use pinerelay_scout::dispatch::Call;
use pinerelay_scout::registry::{Birth, Output, Registry};

const MS: u64 = 1_000;
const STORE: u64 = 1;
const PROXY: u64 = 2;
const SCOUTS: [u64; 2] = [3, 4];

fn ip(n: u64) -> String {
    format!("127.0.0.{n}")
}

fn hello(role: Role, n: u64, life: u64) -> Hello {
    Hello { node: format!("n{n}"), ip: ip(n), role, life }
}

/// The registry of machine 1, of three that vote.
struct Play {
    registry: Registry,
    now: u64,
}

impl Play {
    fn new() -> Play {
        let bounds = Bounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
        let hello = hello(Role::Scout, 1, 1);
        let seeds = (1..4).map(ip).collect();
        let birth = Birth { hello, first: false, heartbeat: 1_500_000, bounds, seeds, wall: 0 };
        Play { registry: Registry::new(0, birth), now: 0 }
    }

    /// With its store, a proxy and both other registries linked.
    fn linked() -> Play {
        let mut play = Play::new();
        play.said(STORE, Speech::Hello(hello(Role::Comb, 1, 7)));
        play.said(PROXY, Speech::Hello(hello(Role::Forager, 9, 7)));
        play.link(2);
        play.link(3);
        play.pass(100);
        play
    }

    fn link(&mut self, n: u64) {
        self.said(SCOUTS[n as usize - 2], Speech::Hello(hello(Role::Scout, n, 7)));
    }

    fn cut(&mut self) {
        for peer in [PROXY].into_iter().chain(SCOUTS) {
            self.registry.down(self.now, peer, &mut Vec::new());
        }
    }

    fn said(&mut self, peer: u64, speech: Speech) -> Vec<Output> {
        let mut out = Vec::new();
        self.registry.said(self.now, peer, speech, &mut out);
        out
    }

    /// So many milliseconds pass, with a tick each hundred.
    fn pass(&mut self, ms: u64) -> Vec<Output> {
        let mut out = Vec::new();
        for _ in 0..ms / 100 {
            self.now += 100 * MS;
            self.registry.tick(self.now, &mut out);
        }
        out
    }

    fn store_stands(&mut self, epoch: u64, members: [u64; 3], before: &[u64], current: bool) -> Vec<Output> {
        let member = |&n: &u64| Member { name: ip(n), incarnation: 0 };
        let before = before.iter().map(|&n| ip(n)).collect();
        let membership = Membership { epoch, members: members.iter().map(member).collect(), before };
        self.said(STORE, Speech::StoreStands { membership, whole: true, current })
    }

    fn confirmed(&mut self, asked: u64, epoch: u64, digest: u64) -> Vec<Output> {
        self.said(STORE, Speech::Confirmed { asked, epoch, digest, left: CURRENT })
    }

    fn is_current(&self) -> bool {
        self.registry.is_current(self.now)
    }

    /// A server calls: the status of the answer, if there is one yet.
    fn call(&mut self, call: Call) -> (Option<u16>, Vec<Output>) {
        let mut out = Vec::new();
        self.registry.call(self.now, 5, call, &mut out);
        (status(&out), out)
    }

    fn beat(&mut self, state: State, calls: u64) -> (Option<u16>, Vec<Output>) {
        let server = Server {
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "z".into(),
            revision: "v".into(),
            capacity: 1,
            state,
            warmup_ms: 0,
        };
        self.call(Call::Beat("i".into(), Beat { server, calls }))
    }
}

fn status(out: &[Output]) -> Option<u16> {
    out.iter().find_map(|output| match output {
        Output::Answer(5, answered) => Some(answered.status),
        _ => None,
    })
}

fn standings(out: &[Output]) -> Vec<&Standing> {
    let said = out.iter().filter_map(|output| match output {
        Output::SayAll(peers, Speech::Standing(standing)) if peers.contains(&PROXY) => Some(standing),
        _ => None,
    });
    said.collect()
}

fn config() -> Vec<Item> {
    let text = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s",5]]}}}"#;
    call::read(text.as_bytes()).expect("a configuration")
}

#[gtest]
fn it_is_current_by_a_store_s_word_for_what_it_has_and_for_a_while() {
    let mut play = Play::linked();
    let asks = play.store_stands(1, [1, 2, 3], &[], true);
    expect_that!(asks, contains(eq(&Output::Say(STORE, Speech::Confirm(play.now)))));
    let mut cells = Cells::default();
    cells.merge_all(config());
    play.confirmed(play.now, 1, cells.digest());
    play.said(STORE, Speech::Digest([cells.digest(), 0]));
    expect_that!(play.is_current(), eq(false), "it lacks what the store has");
    let told = play.said(STORE, Speech::News(config()));
    expect_that!(play.is_current(), eq(true));
    expect_that!(standings(&told).iter().filter(|s| s.current).count(), eq(1), "who starts waits for it");
    // What it has can't get less, whatever comes to it.
    let more = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["t",6]]}}}"#;
    play.said(STORE, Speech::News(call::read(more.as_bytes()).expect("a configuration")));
    expect_that!(play.is_current(), eq(true));
    let over = play.pass(CURRENT / MS + 100);
    expect_that!(play.is_current(), eq(false));
    expect_that!(standings(&over).last().map(|s| (s.whole, s.current)), some(eq((true, false))));
}

#[gtest]
fn a_word_that_a_freeze_or_a_link_held_up_counts_from_when_it_was_asked_for() {
    let mut play = Play::linked();
    play.store_stands(1, [1, 2, 3], &[], true);
    let (asked, empty) = (play.now, Cells::default().digest());
    play.now += CURRENT - MS;
    play.confirmed(asked, 1, empty);
    expect_that!(play.is_current(), eq(true));
    play.now += MS;
    expect_that!(play.is_current(), eq(false));
    play.now += 20_000 * MS;
    let before_the_tick = play.confirmed(asked, 1, empty);
    expect_that!(play.is_current(), eq(false));
    expect_that!(standings(&before_the_tick).iter().any(|s| s.current), eq(false));
}

#[gtest]
fn a_store_s_lease_is_handed_on_with_what_is_left_of_it() {
    let mut play = Play::linked();
    play.store_stands(1, [1, 2, 3], &[], true);
    let (asked, empty) = (play.now, Cells::default().digest());
    play.now += 100 * MS;
    play.said(STORE, Speech::Confirmed { asked, epoch: 1, digest: empty, left: 500 * MS });
    let asks = |play: &mut Play| {
        let answers = play.said(PROXY, Speech::Confirm(77));
        answers.into_iter().find_map(|output| match output {
            Output::Say(PROXY, Speech::Confirmed { asked: 77, epoch: 1, digest, left }) => {
                Some((digest, left))
            }
            _ => None,
        })
    };
    expect_that!(asks(&mut play), some(eq((empty, 400 * MS))), "it counts from when the store was asked");
    play.now += 399 * MS;
    expect_that!(asks(&mut play), some(eq((empty, MS))));
    play.now += MS;
    expect_that!(play.is_current(), eq(false));
    expect_that!(asks(&mut play), none());
    // No store's word makes it longer than a lease is.
    let asked = play.now;
    play.said(STORE, Speech::Confirmed { asked, epoch: 1, digest: empty, left: u64::MAX });
    expect_that!(asks(&mut play), some(eq((empty, CURRENT))));
}

#[gtest]
fn one_that_is_cut_off_hears_beats_and_sends_the_server_on() {
    let mut play = Play::new();
    expect_that!(play.beat(State::Ready, 1).0, some(eq(200)), "a process that begins has no links yet");
    play.pass(1_100);
    expect_that!(play.beat(State::Ready, 2).0, some(eq(503)));
    let mut play = Play::linked();
    play.pass(2_000);
    expect_that!(play.beat(State::Ready, 1).0, some(eq(200)));
    play.cut();
    play.said(PROXY, Speech::Hello(hello(Role::Forager, 9, 7)));
    play.pass(100);
    let (refused, told) = play.beat(State::Draining, 2);
    expect_that!(refused, some(eq(503)));
    let news = |output: &Output| matches!(output, Output::SayAll(to, Speech::News(_)) if to.contains(&PROXY));
    expect_that!(told.iter().any(news), eq(true), "proxies on its side are told all the same");
    expect_that!(play.beat(State::Ready, 1).0, some(eq(503)), "nor is what changes nothing acknowledged");
    expect_that!(play.call(Call::Leave("i".into())).0, some(eq(503)));
    // With a majority it is as before.
    play.link(2);
    play.pass(100);
    expect_that!(play.beat(State::Ready, 1).0, some(eq(200)));
    // Thawed before time has passed for it: its links may be gone.
    play.now += 20_000 * MS;
    expect_that!(play.beat(State::Ready, 1).0, some(eq(503)));
}

#[gtest]
fn a_leaving_is_held_by_one_that_reaches_a_majority() {
    let hold = |play: &mut Play| play.said(SCOUTS[0], Speech::Hold { number: 8, items: Vec::new() });
    let held = Output::Say(SCOUTS[0], Speech::Held(8));
    let mut play = Play::linked();
    play.pass(2_000);
    expect_that!(hold(&mut play), contains(eq(&held)));
    // Beside one that does not vote it is cut off with it.
    play.cut();
    play.said(SCOUTS[0], Speech::Hello(hello(Role::Scout, 8, 7)));
    play.pass(100);
    expect_that!(hold(&mut play), not(contains(eq(&held))));
    // Its own leavings wait for the other's word.
    let (none_yet, _) = play.beat(State::Draining, 1);
    expect_that!(none_yet, none());
    expect_that!(status(&play.pass(800)), some(eq(503)));
}

#[gtest]
fn servers_that_nobody_acknowledged_have_longer_to_call_again() {
    let lost = |after: u64| {
        let mut play = Play::linked();
        play.pass(2_000);
        play.beat(State::Ready, 1);
        play.cut();
        play.pass(after);
        play.link(2);
        let told = play.pass(20_000);
        let lost = told.iter().position(|o| matches!(o, Output::SayAll(_, Speech::News(_))));
        // Each tick is a hundred milliseconds; what is said between does not matter here.
        lost.map(|at| told[..at].iter().filter(|o| matches!(o, Output::SayAll(_, Speech::Beats(_)))).count())
    };
    let (short, long) = (lost(500), lost(20_000));
    expect_that!(short, some(le(10)), "pulses of 600 ms: 4.8 s and what the cut took");
    expect_that!(long, some(ge(22)), "9.6 s more");
}

#[gtest]
fn while_voters_change_news_are_passed_on_and_both_epochs_are_reached() {
    let mut play = Play::linked();
    let passes = |play: &mut Play, revision: u64| {
        let text = format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s",{revision}]]}}}}}}"#
        );
        let out = play.said(SCOUTS[0], Speech::News(call::read(text.as_bytes()).expect("a configuration")));
        out.iter().any(|o| matches!(o, Output::SayAll(to, Speech::News(_)) if to.contains(&PROXY)))
    };
    play.store_stands(1, [1, 2, 3], &[], true);
    expect_that!(passes(&mut play, 5), eq(false), "the other voter's own links carry it");
    play.store_stands(2, [1, 2, 4], &[1, 2, 3], true);
    expect_that!(passes(&mut play, 6), eq(true), "proxies may not be linked to a new one yet");
    let others = play.registry.others();
    expect_that!(others, unordered_elements_are![eq(&ip(2)), eq(&ip(3)), eq(&ip(4))]);
    // An older word changes nothing.
    play.store_stands(1, [1, 2, 3], &[], true);
    let told = play.pass(1_000);
    let last = standings(&told).last().map(|s| (s.epoch, s.settled, s.voters.contains(&ip(4))));
    expect_that!(last, some(eq((2, false, true))));
    let told = play.pass(6_000);
    expect_that!(standings(&told).last().map(|s| s.settled), some(eq(true)));
}
