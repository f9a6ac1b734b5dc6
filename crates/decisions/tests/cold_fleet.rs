//! A fleet that is cold as a whole: nodes and a few boxes played through a power cut, event by event.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use mountbend::interface::*;

const BOXES: u32 = 6;
const CORES: usize = 3;
/// A warm box's capacity and the load that all clients offer, in requests a second.
const CAPACITY: f64 = 30.0;
const LOAD: f64 = 110.0;
const COLD_FROM: f64 = 0.2;
const COLD: Micros = 15 * SECOND;
const FALL_MULTIPLE: f64 = 2.5;
const TIP_AFTER: Micros = 1_500 * MS;
/// What chance may add to what a box bears, in requests.
const SLACK: f64 = 3.0;

/// What is played: how many nodes, whether boxes are up and warm before, and how the cold ones come.
#[derive(Clone, Copy)]
struct Setup {
    nodes: usize,
    warm_before: bool,
    /// One box starts in each such span.
    gap: Micros,
    /// What a box that has started can do when warm, in requests a second.
    capacity: f64,
}

const USUAL: Setup = Setup { nodes: 3, warm_before: true, gap: 700 * MS, capacity: CAPACITY };

/// A box: one queue, served in order by a few cores at the speed of its guaranteed share. A request that takes
/// 100 ms on a warm one takes half a second on one that has just started. It answers nothing while it is off.
struct BoxUnderTest {
    capacity: f64,
    started: Option<Micros>,
    on: bool,
    /// When each core is free.
    free_at: [Micros; CORES],
    sent: Vec<Micros>,
}

impl BoxUnderTest {
    fn share(&self, at: Micros) -> f64 {
        let age = |started: Micros| at.saturating_sub(started) as f64 / COLD as f64;
        self.started.map_or(1.0, |s| (COLD_FROM + (1.0 - COLD_FROM) * age(s)).min(1.0))
    }

    fn take(&mut self, now: Micros) -> Micros {
        self.sent.push(now);
        let takes = 1e6 * CORES as f64 / (self.capacity * self.share(now));
        let core = self.free_at.iter_mut().min().expect("a box has cores");
        *core = (*core).max(now) + takes as Micros;
        *core
    }

    /// By how many times the most sent in any window is past what the box could do in it.
    fn pressed(&self) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let cold: Vec<_> = self.sent.iter().filter(|&&at| at >= started && at < started + COLD).collect();
        let within = |from| cold.iter().filter(|&&&at| at >= from && at < from + TIP_AFTER).count() as f64;
        let share = |from| (self.share(from) + self.share(from + TIP_AFTER)) / 2.0;
        let could = |from| share(from) * self.capacity * TIP_AFTER as f64 / 1e6;
        cold.iter().map(|&&from| (within(from) - SLACK) / could(from)).fold(0.0, f64::max)
    }
}

enum Due {
    Arrival,
    Tick(usize),
    End(usize, Ended),
    GiveUp(usize, RequestId),
    Start(u32),
    Cut,
}

/// The whole fleet, on one clock.
struct Fleet {
    setup: Setup,
    now: Micros,
    nodes: Vec<Node>,
    boxes: Vec<BoxUnderTest>,
    agenda: BTreeMap<(Micros, u64), Due>,
    numbered: u64,
    open: BTreeSet<(usize, RequestId)>,
    attempts: BTreeMap<(usize, RequestId), u32>,
    served: Vec<Micros>,
    random: u64,
}

impl Fleet {
    fn new(seed: u64, setup: Setup) -> Fleet {
        let mut set = open();
        set.nodes = setup.nodes as u32;
        set.rules =
            Rules { cold_from: COLD_FROM, cold: COLD, fall_multiple: FALL_MULTIPLE, tip_after: TIP_AFTER };
        let members = if setup.warm_before { BOXES } else { 0 };
        let node = |i| Node::seeded(seed * 1_000 + i as u64, set.clone(), members);
        let (on, capacity) = (setup.warm_before, CAPACITY);
        let fresh = |_| BoxUnderTest { capacity, started: None, on, free_at: [0; CORES], sent: Vec::new() };
        let mut fleet = Fleet {
            setup,
            now: 100 * SECOND,
            nodes: (0..setup.nodes).map(node).collect(),
            boxes: (0..BOXES).map(fresh).collect(),
            agenda: BTreeMap::new(),
            numbered: 0,
            open: BTreeSet::new(),
            attempts: BTreeMap::new(),
            served: Vec::new(),
            random: seed,
        };
        (0..setup.nodes).for_each(|i| fleet.plan(fleet.now + i as u64 * 7 * MS, Due::Tick(i)));
        fleet.plan(fleet.now, Due::Arrival);
        fleet
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.numbered += 1;
        self.agenda.insert((at, self.numbered), due);
    }

    /// A random number of [0, 1): a step of a linear congruential generator, its upper half.
    fn lot(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }

    fn event(&mut self, node: usize, event: Event) {
        self.nodes[node].now = self.now;
        let actions = self.nodes[node].event(event);
        self.act(node, actions);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(node, id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.open.remove(&(node, id));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: RequestId, server: ServerId) {
        let attempts = self.attempts.entry((node, id.clone())).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let one = &mut self.boxes[server.0 as usize];
        let (at, outcome) =
            if one.on { (one.take(self.now), Outcome::Ok) } else { (self.now + MS, Outcome::ConnectFailed) };
        let (spent, finished) = (at - self.now, outcome == Outcome::Ok);
        let end = Ended { id, attempt, server, outcome, spent, finished, final_units: None };
        self.plan(at, Due::End(node, end));
    }

    fn play(&mut self, until: Micros) {
        while let Some((&(at, n), _)) = self.agenda.first_key_value() {
            if at > until {
                break;
            }
            let due = self.agenda.remove(&(at, n)).expect("it is there");
            self.now = at;
            match due {
                Due::Arrival => {
                    let node = (self.lot() * self.setup.nodes as f64) as usize;
                    self.nodes[node].now = at;
                    let (id, actions) = self.nodes[node].ask(0, 1.0);
                    self.open.insert((node, id.clone()));
                    self.act(node, actions);
                    self.plan(at + 2 * SECOND, Due::GiveUp(node, id));
                    let gap = -(1.0 - self.lot()).ln() / LOAD;
                    self.plan(at + (gap * 1e6) as Micros, Due::Arrival);
                }
                Due::Tick(node) => {
                    self.event(node, Event::Timer { id: 0 });
                    self.plan(at + 20 * MS, Due::Tick(node));
                }
                Due::End(node, end) => {
                    if end.finished && self.open.remove(&(node, end.id.clone())) {
                        self.served.push(at);
                    }
                    self.event(node, Event::Ended(end));
                }
                Due::GiveUp(node, id) => {
                    if self.open.remove(&(node, id.clone())) {
                        self.event(node, Event::Gone { id });
                    }
                }
                Due::Start(server) => {
                    let one = &mut self.boxes[server as usize];
                    (one.on, one.started, one.free_at) = (true, Some(at), [at; CORES]);
                    one.capacity = self.setup.capacity;
                    self.list(server, MemberState::In, at);
                }
                Due::Cut => {
                    self.boxes.iter_mut().for_each(|b| b.on = false);
                    // What is inside is lost with the box.
                    let lost = |due: &mut Due| {
                        if let Due::End(_, end) = due {
                            (end.outcome, end.finished) = (Outcome::Reset, false);
                        }
                    };
                    self.agenda.values_mut().for_each(lost);
                    (0..BOXES).for_each(|b| self.list(b, MemberState::Out, 0));
                }
            }
        }
        self.now = until;
    }

    fn list(&mut self, server: u32, state: MemberState, started: Micros) {
        for node in 0..self.setup.nodes {
            let entries = vec![member(server, state, started)];
            self.event(node, Event::Members { kind: ListKind::Changes, entries });
        }
    }

    /// Boxes start cold, one after the other from `at` on, and the load goes on for 20 s more; gives when the
    /// last one starts.
    fn start_all(&mut self, at: Micros) -> Micros {
        let gap = self.setup.gap;
        (0..BOXES).for_each(|b| self.plan(at + u64::from(b) * gap, Due::Start(b)));
        let all = at + u64::from(BOXES - 1) * gap;
        self.play(all + 20 * SECOND);
        all
    }

    /// The load goes on for a while, the power fails for 4 s, and all boxes come back.
    fn cut(&mut self) -> Micros {
        self.play(self.now + 20 * SECOND);
        self.plan(self.now, Due::Cut);
        self.start_all(self.now + 4 * SECOND)
    }

    fn most_pressed(&self) -> f64 {
        self.boxes.iter().map(BoxUnderTest::pressed).fold(0.0, f64::max)
    }

    /// What was served in the 15 s since `from`, as a part of what all boxes could do and clients offered.
    fn used(&self, from: Micros) -> f64 {
        let to = from + 15 * SECOND;
        let served = self.served.iter().filter(|&&at| at >= from && at < to).count() as f64;
        let at_once = |at: Micros| self.boxes.iter().map(|b| b.share(at) * b.capacity).sum::<f64>();
        let step = 100 * MS;
        let could = (from..to).step_by(step as usize).map(|at| at_once(at).min(LOAD) * step as f64 / 1e6);
        served / could.sum::<f64>()
    }
}

/// Plays five seeds; none may press a box by more than `most` times what it can do, nor use less than `least`.
fn check(setup: Setup, most: f64, least: f64) {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(seed, setup);
        let all = if setup.warm_before { fleet.cut() } else { fleet.start_all(fleet.now + SECOND) };
        let (pressed, used) = (fleet.most_pressed(), fleet.used(all));
        assert!(pressed <= most, "seed {seed}: a cold box was sent {pressed:.2} times what it could do");
        assert!(used >= least, "seed {seed}: {used:.2} of what the boxes could do was used");
    }
}

#[test]
fn after_a_power_cut_no_box_is_pushed_over_and_what_they_can_do_is_used() {
    check(USUAL, 1.5, 0.8);
}

#[test]
fn boxes_that_come_back_long_apart_are_used_one_after_the_other() {
    check(Setup { gap: 2_500 * MS, ..USUAL }, 1.5, 0.7);
}

#[test]
fn nodes_and_boxes_that_start_together_find_their_pace() {
    check(Setup { warm_before: false, ..USUAL }, 1.5, 0.7);
}

#[test]
fn many_nodes_keep_it_together() {
    check(Setup { nodes: 30, ..USUAL }, 1.5, 0.7);
    check(Setup { nodes: 30, warm_before: false, ..USUAL }, 1.5, 0.7);
}

#[test]
fn boxes_that_come_back_half_as_large_are_not_pushed_over() {
    check(Setup { capacity: CAPACITY / 2.0, ..USUAL }, 2.0, 0.7);
}
