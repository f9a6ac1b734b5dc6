//! Duties under cuts, freezes, restarts and changes of who votes: two never act for one slice.

use std::collections::BTreeSet;

use googletest::prelude::*;
use mountbend::measure::lot;
use pinerelay_admission::duty::{DutyAction, DutyMessage, DutyTable, Voters, JOINT_PERIOD, SLICE_COUNT};
use pinerelay_admission::Micros;

/// A lease of an epoch, and how long ago a quorum may have been heard by the store that tells of it.
const CURRENT: Micros = 2_500_000;

/// What is left out on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    Nothing,
    /// A lease of an epoch has no end.
    Lease,
    /// A majority of the new voters is enough from the first moment on.
    Joint,
}

#[derive(Default)]
struct Place {
    duties: Option<DutyTable>,
    /// A frozen process: what came for it waits, and its clock goes on.
    frozen_until: Micros,
    inbox: Vec<(Micros, String, DutyMessage)>,
    life: u64,
    /// The epoch that its store knows, when a quorum last said that none is newer, and until when it hears of none.
    knows: usize,
    contact: Micros,
    deaf_until: Micros,
    /// The store's words under way: when they come, the epoch, and when they were asked for.
    told: Vec<(Micros, usize, Micros)>,
    ask_at: Micros,
    /// That others have known an epoch for long.
    settled: Vec<(Micros, u64)>,
}

fn first(names: &[String]) -> Voters {
    Voters { epoch: 1, members: names[..3].to_vec(), previous: Vec::new() }
}

/// One voter gives way to another, often one that is in trouble.
fn next(now: &Voters, all: &[String], dice: &mut impl FnMut(u64) -> u64, trouble: u64) -> Voters {
    let leaves = now.members.iter().position(|name| *name == all[trouble as usize]);
    let leaves = leaves.filter(|_| dice(3) > 0).unwrap_or(dice(now.members.len() as u64) as usize);
    let others: Vec<&String> = all.iter().filter(|name| !now.members.contains(name)).collect();
    let mut members = now.members.clone();
    members[leaves] = others[dice(others.len() as u64) as usize].clone();
    Voters { epoch: now.epoch + 1, members, previous: now.members.clone() }
}

/// So many nodes, three of which vote, see each other or not, die, freeze and come back. With more than three, who votes
/// changes. Tells for how many slices somebody acted, of how many, over all moments; or which slice had two.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
fn play(seed: u64, nodes: usize, left: Left) -> std::result::Result<(u64, u64), String> {
    let names: Vec<String> = (0..nodes).map(|n| format!("n{n}")).collect();
    let lots = nodes as u64;
    let mut random = seed;
    let mut dice = |most: u64| (lot(&mut random) * most as f64) as u64;
    let mut epochs = vec![first(&names)];
    let mut agreed = 0;
    let mut places: Vec<Place> = names
        .iter()
        .map(|name| Place { duties: Some(DutyTable::new(0, name, true)), life: 1, ..Place::default() })
        .collect();
    let (mut cut, mut cut_until, mut dead, mut dead_until) = (0, 0, 0, 0);
    // Whose life each has heard of, and the words that it has.
    let mut met = vec![vec![1_u64; nodes]; nodes];
    let mut hellos: Vec<(Micros, usize, u64, usize)> = Vec::new();
    let (mut acting, mut moments) = (0, 0);
    for step in 0..4_000_u64 {
        let now = step * 10_000;
        if now >= cut_until + 1_000_000 && dice(100) == 0 {
            let span = if nodes > 3 && dice(2) == 0 { 15_000_000 } else { 3_000_000 };
            (cut, cut_until) = (dice(lots), now + dice(span));
        }
        if now >= dead_until + 1_000_000 && dice(150) == 0 {
            (dead, dead_until) = (dice(lots), now + dice(3_000_000));
            places[dead as usize].duties = None;
        }
        if dice(1_000) == 0 {
            places[dice(lots) as usize].frozen_until = now + dice(2_000_000);
        }
        if nodes > 3 && dice(400) == 0 {
            places[dice(lots) as usize].deaf_until = now + dice(10_000_000);
        }
        let apart = |a: usize, b: usize| now < cut_until && (a as u64 == cut) != (b as u64 == cut);
        let runs: Vec<bool> = places.iter().map(|p| p.duties.is_some() && now >= p.frozen_until).collect();
        // A store hears a quorum: it then knows the newest epoch.
        let newest = epochs.len() - 1;
        let quorum = |n: usize| {
            let members = epochs[newest].members.iter().filter_map(|m| names.iter().position(|o| o == m));
            runs[n] && members.filter(|&m| runs[m] && !apart(n, m)).count() >= 2
        };
        for (n, place) in places.iter_mut().enumerate() {
            if now >= place.deaf_until && quorum(n) && dice(20) == 0 {
                (place.knows, place.contact) = (newest, now);
            }
        }
        if nodes > 3 && now >= agreed + JOINT_PERIOD && (0..nodes).any(quorum) && dice(200) == 0 {
            agreed = now;
            let trouble = if now < cut_until { cut } else { dead };
            epochs.push(next(&epochs[newest], &names, &mut dice, trouble));
        }
        for n in 0..nodes {
            let name = &names[n];
            let linked = |m: &usize| *m != n && !apart(n, *m) && places[*m].duties.is_some();
            let alive: Vec<usize> = (0..nodes).filter(linked).collect();
            let others: Vec<u64> = places.iter().map(|place| place.life).collect();
            let place = &mut places[n];
            if place.duties.is_none() && now >= dead_until {
                place.duties = Some(DutyTable::new(now, name, false));
                place.life += 1;
                // Its store may know less than the process before had heard of.
                place.knows = dice(place.knows as u64 + 1) as usize;
                place.contact = place.contact.min(now.saturating_sub(CURRENT));
                place.told.clear();
                place.ask_at = now;
                place.told.push((now, place.knows, Micros::MAX));
                met[n] = vec![0; nodes];
            }
            if now < place.frozen_until {
                continue;
            }
            let Some(duties) = place.duties.as_mut() else {
                place.inbox.clear();
                continue;
            };
            let mut out = Vec::new();
            // Who is linked hears of a new life, says so, and is then met by it.
            for &other in &alive {
                if met[n][other] != others[other] {
                    met[n][other] = others[other];
                    duties.peer_restarted(now, &names[other]);
                    hellos.push((now + dice(40_000), other, others[other], n));
                }
            }
            hellos.retain(|&(at, to, life, from)| {
                let due = to == n && at <= now;
                if due && life == place.life {
                    duties.peer_introduced(&names[from]);
                }
                !due
            });
            if now >= place.ask_at {
                place.ask_at = now + 600_000;
                let at = now + dice(60_000);
                let current = place.contact > 0 && now < place.contact + CURRENT;
                place.told.push((at, place.knows, if current { now } else { Micros::MAX }));
            }
            let (due, later) = std::mem::take(&mut place.told).into_iter().partition(|(at, ..)| *at <= now);
            place.told = later;
            let due: Vec<(Micros, usize, Micros)> = due;
            for (_, epoch, asked) in due {
                duties.set_voters(now, epochs[epoch].clone());
                let epoch = epochs[epoch].epoch;
                if left == Left::Joint {
                    duties.epoch_settled(epoch);
                }
                if asked < Micros::MAX {
                    duties.epoch_confirmed(
                        epoch,
                        if left == Left::Lease { Micros::MAX } else { asked + CURRENT },
                    );
                }
            }
            place.settled.retain(|(at, epoch)| {
                if *at <= now {
                    duties.epoch_settled(*epoch);
                }
                *at > now
            });
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut place.inbox).into_iter().partition(|(at, ..)| *at <= now);
            place.inbox = later;
            due.into_iter().for_each(|(_, from, word)| duties.receive(now, &from, word, &mut out));
            duties.tick(now, alive.iter().map(|&m| names[m].clone()).collect(), &mut out);
            let (epoch, settled) = (duties.epoch(), !duties.is_joint(now));
            for &other in alive.iter().filter(|_| settled && step % 30 == 0) {
                places[other].settled.push((now + dice(40_000), epoch));
            }
            for step in out {
                let DutyAction::Send(to, word) = step else { continue };
                let m = names.iter().position(|other| *other == to).expect("a name");
                if !apart(n, m) && dice(30) > 0 {
                    let at = now + dice(40_000);
                    places[m].inbox.push((at, name.clone(), word));
                }
            }
        }
        for slice in 0..SLICE_COUNT {
            let holds = |p: &&Place| p.duties.as_ref().is_some_and(|f| f.holds(now, slice));
            let holders = places.iter().filter(holds).count();
            if holders > 1 {
                return Err(format!("seed {seed}: {holders} act for slice {slice} at {now}"));
            }
            acting += holders as u64;
            moments += 1;
        }
    }
    Ok((acting, moments))
}

/// The part of all moments and slices in which somebody acted, over these seeds.
fn acted(seeds: std::ops::Range<u64>, nodes: usize) -> f64 {
    let played = seeds.map(|seed| play(seed, nodes, Left::Nothing).unwrap_or_else(|two| panic!("{two}")));
    let (acting, moments) = played.fold((0, 0), |(a, m), p| (a + p.0, m + p.1));
    acting as f64 / moments as f64
}

#[gtest]
fn two_never_act_at_once_and_somebody_nearly_always_does() {
    expect_that!(acted(0..40, 3), gt(0.75));
}

#[gtest]
fn two_never_act_at_once_while_voters_change() {
    expect_that!(acted(0..60, 5), gt(0.6));
}

#[gtest]
fn each_part_is_needed_while_voters_change() {
    for left in [Left::Lease, Left::Joint] {
        let found = (0..60).find(|&seed| play(seed, 5, left).is_err());
        println!("{left:?}: seed {found:?}");
        expect_that!(found, some(anything()), "{left:?}");
    }
}

fn duties(name: &str) -> DutyTable {
    let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
    let mut duties = DutyTable::new(0, name, true);
    duties.set_voters(0, first(&names));
    duties.epoch_confirmed(1, CURRENT);
    duties
}

fn others() -> BTreeSet<String> {
    ["n1", "n2"].map(String::from).into()
}

#[gtest]
fn what_was_asked_for_and_is_another_s_by_now_is_given_up() {
    let mut duties = duties("n0");
    let mut out = Vec::new();
    // Alone it asks for all, and hears nothing; then the others are there.
    duties.tick(0, BTreeSet::new(), &mut out);
    out.clear();
    duties.tick(10_000, others(), &mut out);
    let released = out.iter().find_map(|step| match step {
        DutyAction::Send(_, DutyMessage::Release { slices, .. }) => Some(slices.count_ones()),
        _ => None,
    });
    expect_that!(released, some(gt(5)));
}

#[gtest]
fn with_nothing_wrong_duties_are_spread_and_kept() {
    let mut duties = duties("n0");
    let alive = others();
    let mut gained = 0;
    for now in (0..20_u64).map(|n| n * 100_000) {
        let mut out = Vec::new();
        duties.tick(now, alive.clone(), &mut out);
        for step in std::mem::take(&mut out) {
            if let DutyAction::Send(to, DutyMessage::Claim { claim, slices }) = step {
                duties.receive(now + 1_000, &to, DutyMessage::Promise { claim, slices }, &mut out);
            }
        }
        gained += out.iter().filter(|s| matches!(s, DutyAction::Acquired(_))).count();
    }
    expect_that!(duties.held_count(1_950_000), all!(gt(1), lt(12)));
    expect_that!(gained, eq(duties.held_count(1_950_000)), "once gained, a duty is kept");
}

/// What is promised to one who asks for one slice.
fn promised(duties: &mut DutyTable, now: Micros, to: &str, claim: u64) -> u32 {
    let mut out = Vec::new();
    duties.receive(now, to, DutyMessage::Claim { claim, slices: 1 }, &mut out);
    match out[..] {
        [DutyAction::Send(_, DutyMessage::Promise { slices, .. })] => slices,
        _ => panic!("{out:?}"),
    }
}

#[gtest]
fn a_release_that_comes_late_leaves_what_was_promised_since() {
    let mut duties = duties("n2");
    expect_that!(promised(&mut duties, 0, "n0", 1), eq(1));
    expect_that!(promised(&mut duties, 10_000, "n0", 2), eq(1));
    duties.receive(20_000, "n0", DutyMessage::Release { claim: 1, slices: 1 }, &mut Vec::new());
    expect_that!(promised(&mut duties, 30_000, "n1", 1), eq(0));
    duties.receive(40_000, "n0", DutyMessage::Release { claim: 2, slices: 1 }, &mut Vec::new());
    expect_that!(promised(&mut duties, 50_000, "n1", 2), eq(1));
}

#[gtest]
fn who_restarts_promises_early_only_where_it_knows_all_who_may_claim() {
    let mut duties = DutyTable::new(0, "n2", false);
    duties.set_voters(0, fence_voters(1, ["n0", "n1", "n2"], &[]));
    ["n0", "n1"].iter().for_each(|name| duties.peer_introduced(name));
    expect_that!(promised(&mut duties, 10_000, "n0", 1), eq(0), "its epoch may be an old one");
    duties.epoch_confirmed(1, CURRENT);
    expect_that!(promised(&mut duties, 20_000, "n0", 2), eq(1));
}

#[gtest]
fn a_new_voter_claims_nothing_before_the_epoch_before_is_over() {
    let claims = |duties: &mut DutyTable, now| {
        let mut out = Vec::new();
        duties.tick(now, ["n0", "n1"].map(String::from).into(), &mut out);
        out.iter().any(|step| matches!(step, DutyAction::Send(_, DutyMessage::Claim { .. })))
    };
    let mut duties = DutyTable::new(0, "n3", false);
    duties.set_voters(0, fence_voters(2, ["n0", "n1", "n3"], &["n0", "n1", "n2"]));
    duties.epoch_confirmed(2, 2 * JOINT_PERIOD);
    expect_that!(claims(&mut duties, JOINT_PERIOD - 1_000), eq(false));
    expect_that!(claims(&mut duties, JOINT_PERIOD + 300_000), eq(true));
    // Or that is known from another.
    let mut duties = DutyTable::new(0, "n3", false);
    duties.set_voters(0, fence_voters(2, ["n0", "n1", "n3"], &["n0", "n1", "n2"]));
    duties.epoch_settled(1);
    expect_that!(claims(&mut duties, 100_000), eq(false));
    duties.epoch_settled(2);
    expect_that!(claims(&mut duties, 400_000), eq(true));
}

fn fence_voters(epoch: u64, members: [&str; 3], before: &[&str]) -> Voters {
    let names = |of: &[&str]| of.iter().map(|name| name.to_string()).collect();
    Voters { epoch, members: names(&members), previous: names(before) }
}
