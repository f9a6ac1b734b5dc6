//! Duties under partitions, freezes, restarts and changes of the voters: no two nodes ever act for one slice at once.

use std::collections::BTreeSet;

use googletest::prelude::*;
use mountbend::measure::uniform;
use pinerelay_admission::duty::{DutyAction, DutyMessage, DutyTable, Voters, JOINT_PERIOD, SLICE_COUNT};
use pinerelay_admission::Micros;

/// The duration of an epoch's lease. It is also the maximum age of a store's last contact to a quorum for which the store still
/// confirms its epoch.
const EPOCH_LEASE: Micros = 2_500_000;

/// A safeguard that is disabled, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disabled {
    Nothing,
    /// The lease of an epoch never expires.
    EpochLease,
    /// A majority of the new voters suffices from the start of an epoch.
    JointMajority,
}

/// A node in the simulation.
#[derive(Default)]
struct SimulatedNode {
    /// `None` while the node is down.
    duties: Option<DutyTable>,
    /// Until this time the process is frozen: messages to it wait, and its clock goes on.
    frozen_until: Micros,
    /// Messages in transit: arrival time, sender and message.
    inbox: Vec<(Micros, String, DutyMessage)>,
    /// The number of the node's process; increases with each restart.
    incarnation: u64,
    /// The index of the newest epoch that the node's store knows.
    stored_epoch: usize,
    /// When a quorum last confirmed to the store that no epoch is newer.
    quorum_contact_at: Micros,
    /// Until this time the store reaches no quorum.
    store_isolated_until: Micros,
    /// Answers of the store in transit: arrival time, epoch index, and when they were requested (`Micros::MAX` if the store is too
    /// long without contact to a quorum to confirm the epoch).
    store_answers: Vec<(Micros, usize, Micros)>,
    next_store_query: Micros,
    /// Notices of other nodes that they have known an epoch for the joint period: arrival time and epoch.
    settled_notices: Vec<(Micros, u64)>,
}

fn first_voters(names: &[String]) -> Voters {
    Voters { epoch: 1, members: names[..3].to_vec(), previous: Vec::new() }
}

/// Replaces one voter by another node, often a voter that is affected by a fault.
fn next_voters(
    current: &Voters,
    all: &[String],
    random_below: &mut impl FnMut(u64) -> u64,
    faulty: u64,
) -> Voters {
    let replaced = current.members.iter().position(|name| *name == all[faulty as usize]);
    let replaced = replaced
        .filter(|_| random_below(3) > 0)
        .unwrap_or(random_below(current.members.len() as u64) as usize);
    let candidates: Vec<&String> = all.iter().filter(|name| !current.members.contains(name)).collect();
    let mut members = current.members.clone();
    members[replaced] = candidates[random_below(candidates.len() as u64) as usize].clone();
    Voters { epoch: current.epoch + 1, members, previous: current.members.clone() }
}

/// Simulates `nodes` nodes, three of which are voters, under partitions, crashes, freezes and restarts. With more than three nodes
/// the voters change. Returns for how many samples of a slice and a time a node acted, and the number of samples; or an error that
/// names a slice for which two nodes acted.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
fn simulate(seed: u64, nodes: usize, disabled: Disabled) -> std::result::Result<(u64, u64), String> {
    let names: Vec<String> = (0..nodes).map(|n| format!("n{n}")).collect();
    let node_count = nodes as u64;
    let mut random = seed;
    let mut random_below = |end: u64| (uniform(&mut random) * end as f64) as u64;
    let mut epochs = vec![first_voters(&names)];
    let mut last_change = 0;
    let mut sim_nodes: Vec<SimulatedNode> = names
        .iter()
        .map(|name| SimulatedNode {
            duties: Some(DutyTable::new(0, name, true)),
            incarnation: 1,
            ..SimulatedNode::default()
        })
        .collect();
    let (mut isolated, mut isolated_until, mut crashed, mut crashed_until) = (0, 0, 0, 0);
    // The incarnations that each node knows of the others, and the notices in transit that a restart is known: arrival time,
    // recipient, incarnation and sender.
    let mut known_incarnations = vec![vec![1_u64; nodes]; nodes];
    let mut restart_notices: Vec<(Micros, usize, u64, usize)> = Vec::new();
    let (mut acting, mut samples) = (0, 0);
    for step in 0..4_000_u64 {
        let now = step * 10_000;
        if now >= isolated_until + 1_000_000 && random_below(100) == 0 {
            let span = if nodes > 3 && random_below(2) == 0 { 15_000_000 } else { 3_000_000 };
            (isolated, isolated_until) = (random_below(node_count), now + random_below(span));
        }
        if now >= crashed_until + 1_000_000 && random_below(150) == 0 {
            (crashed, crashed_until) = (random_below(node_count), now + random_below(3_000_000));
            sim_nodes[crashed as usize].duties = None;
        }
        if random_below(1_000) == 0 {
            sim_nodes[random_below(node_count) as usize].frozen_until = now + random_below(2_000_000);
        }
        if nodes > 3 && random_below(400) == 0 {
            sim_nodes[random_below(node_count) as usize].store_isolated_until =
                now + random_below(10_000_000);
        }
        let is_partitioned =
            |a: usize, b: usize| now < isolated_until && (a as u64 == isolated) != (b as u64 == isolated);
        let is_running: Vec<bool> =
            sim_nodes.iter().map(|node| node.duties.is_some() && now >= node.frozen_until).collect();
        // A store that reaches a quorum learns the newest epoch.
        let newest = epochs.len() - 1;
        let reaches_quorum = |n: usize| {
            let members = epochs[newest]
                .members
                .iter()
                .filter_map(|member| names.iter().position(|voter| voter == member));
            is_running[n] && members.filter(|&m| is_running[m] && !is_partitioned(n, m)).count() >= 2
        };
        for (n, node) in sim_nodes.iter_mut().enumerate() {
            if now >= node.store_isolated_until && reaches_quorum(n) && random_below(20) == 0 {
                (node.stored_epoch, node.quorum_contact_at) = (newest, now);
            }
        }
        if nodes > 3
            && now >= last_change + JOINT_PERIOD
            && (0..nodes).any(reaches_quorum)
            && random_below(200) == 0
        {
            last_change = now;
            let faulty = if now < isolated_until { isolated } else { crashed };
            epochs.push(next_voters(&epochs[newest], &names, &mut random_below, faulty));
        }
        for n in 0..nodes {
            let name = &names[n];
            let is_linked = |m: &usize| *m != n && !is_partitioned(n, *m) && sim_nodes[*m].duties.is_some();
            let alive: Vec<usize> = (0..nodes).filter(is_linked).collect();
            let incarnations: Vec<u64> = sim_nodes.iter().map(|node| node.incarnation).collect();
            let node = &mut sim_nodes[n];
            if node.duties.is_none() && now >= crashed_until {
                node.duties = Some(DutyTable::new(now, name, false));
                node.incarnation += 1;
                // The store of a restarted process may know an older epoch than the process before.
                node.stored_epoch = random_below(node.stored_epoch as u64 + 1) as usize;
                node.quorum_contact_at = node.quorum_contact_at.min(now.saturating_sub(EPOCH_LEASE));
                node.store_answers.clear();
                node.next_store_query = now;
                node.store_answers.push((now, node.stored_epoch, Micros::MAX));
                known_incarnations[n] = vec![0; nodes];
            }
            if now < node.frozen_until {
                continue;
            }
            let Some(duties) = node.duties.as_mut() else {
                node.inbox.clear();
                continue;
            };
            let mut actions = Vec::new();
            // Linked nodes learn of a restart, and notify the new process of that.
            for &other in &alive {
                if known_incarnations[n][other] != incarnations[other] {
                    known_incarnations[n][other] = incarnations[other];
                    duties.peer_restarted(now, &names[other]);
                    restart_notices.push((now + random_below(40_000), other, incarnations[other], n));
                }
            }
            restart_notices.retain(|&(at, to, incarnation, from)| {
                let is_due = to == n && at <= now;
                if is_due && incarnation == node.incarnation {
                    duties.peer_introduced(&names[from]);
                }
                !is_due
            });
            if now >= node.next_store_query {
                node.next_store_query = now + 600_000;
                let at = now + random_below(60_000);
                let is_current = node.quorum_contact_at > 0 && now < node.quorum_contact_at + EPOCH_LEASE;
                node.store_answers.push((at, node.stored_epoch, if is_current { now } else { Micros::MAX }));
            }
            let (due, later) =
                std::mem::take(&mut node.store_answers).into_iter().partition(|(at, ..)| *at <= now);
            node.store_answers = later;
            let due: Vec<(Micros, usize, Micros)> = due;
            for (_, epoch, requested_at) in due {
                duties.set_voters(now, epochs[epoch].clone());
                let epoch = epochs[epoch].epoch;
                if disabled == Disabled::JointMajority {
                    duties.epoch_settled(epoch);
                }
                if requested_at < Micros::MAX {
                    duties.epoch_confirmed(
                        epoch,
                        if disabled == Disabled::EpochLease {
                            Micros::MAX
                        } else {
                            requested_at + EPOCH_LEASE
                        },
                    );
                }
            }
            node.settled_notices.retain(|(at, epoch)| {
                if *at <= now {
                    duties.epoch_settled(*epoch);
                }
                *at > now
            });
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut node.inbox).into_iter().partition(|(at, ..)| *at <= now);
            node.inbox = later;
            due.into_iter().for_each(|(_, from, message)| duties.receive(now, &from, message, &mut actions));
            duties.tick(now, alive.iter().map(|&m| names[m].clone()).collect(), &mut actions);
            let (epoch, is_settled) = (duties.epoch(), !duties.is_joint(now));
            for &other in alive.iter().filter(|_| is_settled && step % 30 == 0) {
                sim_nodes[other].settled_notices.push((now + random_below(40_000), epoch));
            }
            for action in actions {
                let DutyAction::Send(to, message) = action else { continue };
                let m = names.iter().position(|other| *other == to).expect("the recipient is a node");
                if !is_partitioned(n, m) && random_below(30) > 0 {
                    let at = now + random_below(40_000);
                    sim_nodes[m].inbox.push((at, name.clone(), message));
                }
            }
        }
        for slice in 0..SLICE_COUNT {
            let holds =
                |node: &&SimulatedNode| node.duties.as_ref().is_some_and(|table| table.holds(now, slice));
            let holders = sim_nodes.iter().filter(holds).count();
            if holders > 1 {
                return Err(format!("seed {seed}: {holders} act for slice {slice} at {now}"));
            }
            acting += holders as u64;
            samples += 1;
        }
    }
    Ok((acting, samples))
}

/// The fraction of samples in which a node acted for the slice, over these seeds.
fn acting_ratio(seeds: std::ops::Range<u64>, nodes: usize) -> f64 {
    let outcomes =
        seeds.map(|seed| simulate(seed, nodes, Disabled::Nothing).unwrap_or_else(|error| panic!("{error}")));
    let (acting, samples) = outcomes.fold((0, 0), |(a, s), outcome| (a + outcome.0, s + outcome.1));
    acting as f64 / samples as f64
}

#[gtest]
fn two_nodes_never_act_at_once_and_one_acts_most_of_the_time() {
    expect_that!(acting_ratio(0..40, 3), gt(0.75));
}

#[gtest]
fn two_nodes_never_act_at_once_while_voters_change() {
    expect_that!(acting_ratio(0..60, 5), gt(0.6));
}

#[gtest]
fn each_safeguard_is_needed_while_voters_change() {
    for disabled in [Disabled::EpochLease, Disabled::JointMajority] {
        let found = (0..60).find(|&seed| simulate(seed, 5, disabled).is_err());
        println!("{disabled:?}: seed {found:?}");
        expect_that!(found, some(anything()), "{disabled:?}");
    }
}

fn duties(name: &str) -> DutyTable {
    let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
    let mut duties = DutyTable::new(0, name, true);
    duties.set_voters(0, first_voters(&names));
    duties.epoch_confirmed(1, EPOCH_LEASE);
    duties
}

fn other_nodes() -> BTreeSet<String> {
    ["n1", "n2"].map(String::from).into()
}

#[gtest]
fn claims_of_slices_that_now_belong_to_others_are_released() {
    let mut duties = duties("n0");
    let mut actions = Vec::new();
    // While it sees no other node it claims all slices and gets no answer; then the others become reachable.
    duties.tick(0, BTreeSet::new(), &mut actions);
    actions.clear();
    duties.tick(10_000, other_nodes(), &mut actions);
    let released = actions.iter().find_map(|action| match action {
        DutyAction::Send(_, DutyMessage::Release { slices, .. }) => Some(slices.count_ones()),
        _ => None,
    });
    expect_that!(released, some(gt(5)));
}

#[gtest]
fn without_faults_duties_are_spread_and_kept() {
    let mut duties = duties("n0");
    let alive = other_nodes();
    let mut acquired = 0;
    for now in (0..20_u64).map(|n| n * 100_000) {
        let mut actions = Vec::new();
        duties.tick(now, alive.clone(), &mut actions);
        for action in std::mem::take(&mut actions) {
            if let DutyAction::Send(to, DutyMessage::Claim { claim, slices }) = action {
                duties.receive(now + 1_000, &to, DutyMessage::Promise { claim, slices }, &mut actions);
            }
        }
        acquired += actions.iter().filter(|action| matches!(action, DutyAction::Acquired(_))).count();
    }
    expect_that!(duties.held_count(1_950_000), all!(gt(1), lt(12)));
    expect_that!(acquired, eq(duties.held_count(1_950_000)), "an acquired slice is kept");
}

/// Sends a claim of slice 0 to the node, and returns the bit set of the slices that it promises.
fn promised(duties: &mut DutyTable, now: Micros, to: &str, claim: u64) -> u32 {
    let mut actions = Vec::new();
    duties.receive(now, to, DutyMessage::Claim { claim, slices: 1 }, &mut actions);
    match actions[..] {
        [DutyAction::Send(_, DutyMessage::Promise { slices, .. })] => slices,
        _ => panic!("{actions:?}"),
    }
}

#[gtest]
fn a_late_release_does_not_cancel_a_newer_promise() {
    let mut duties = duties("n2");
    expect_that!(promised(&mut duties, 0, "n0", 1), eq(1));
    expect_that!(promised(&mut duties, 10_000, "n0", 2), eq(1));
    duties.receive(20_000, "n0", DutyMessage::Release { claim: 1, slices: 1 }, &mut Vec::new());
    expect_that!(promised(&mut duties, 30_000, "n1", 1), eq(0));
    duties.receive(40_000, "n0", DutyMessage::Release { claim: 2, slices: 1 }, &mut Vec::new());
    expect_that!(promised(&mut duties, 50_000, "n1", 2), eq(1));
}

#[gtest]
fn a_restarted_node_promises_early_only_if_it_knows_all_voters() {
    let mut duties = DutyTable::new(0, "n2", false);
    duties.set_voters(0, voters(1, ["n0", "n1", "n2"], &[]));
    ["n0", "n1"].iter().for_each(|name| duties.peer_introduced(name));
    expect_that!(promised(&mut duties, 10_000, "n0", 1), eq(0), "its epoch may be outdated");
    duties.epoch_confirmed(1, EPOCH_LEASE);
    expect_that!(promised(&mut duties, 20_000, "n0", 2), eq(1));
}

#[gtest]
fn a_new_voter_claims_nothing_before_the_joint_period_is_over() {
    let claims = |duties: &mut DutyTable, now| {
        let mut actions = Vec::new();
        duties.tick(now, ["n0", "n1"].map(String::from).into(), &mut actions);
        actions.iter().any(|action| matches!(action, DutyAction::Send(_, DutyMessage::Claim { .. })))
    };
    let mut duties = DutyTable::new(0, "n3", false);
    duties.set_voters(0, voters(2, ["n0", "n1", "n3"], &["n0", "n1", "n2"]));
    duties.epoch_confirmed(2, 2 * JOINT_PERIOD);
    expect_that!(claims(&mut duties, JOINT_PERIOD - 1_000), eq(false));
    expect_that!(claims(&mut duties, JOINT_PERIOD + 300_000), eq(true));
    // Another node's notice that the epoch has settled ends the joint period early.
    let mut duties = DutyTable::new(0, "n3", false);
    duties.set_voters(0, voters(2, ["n0", "n1", "n3"], &["n0", "n1", "n2"]));
    duties.epoch_settled(1);
    expect_that!(claims(&mut duties, 100_000), eq(false));
    duties.epoch_settled(2);
    expect_that!(claims(&mut duties, 400_000), eq(true));
}

fn voters(epoch: u64, members: [&str; 3], previous_members: &[&str]) -> Voters {
    let names = |of: &[&str]| of.iter().map(|name| name.to_string()).collect();
    Voters { epoch, members: names(&members), previous: names(previous_members) }
}
