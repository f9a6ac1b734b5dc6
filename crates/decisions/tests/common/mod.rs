//! A node under test and short-hands for its events.
#![allow(dead_code)]

pub mod fleet;

use mountbend::control::Controller;
use mountbend::interface::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        on_time: 500 * MS,
        deadline: 2 * SECOND,
        credit: 1.0,
        window: SECOND,
        group: Group::Cell,
        effect,
        ..Class::default()
    }
}

pub fn settings() -> Settings {
    Settings {
        nodes: 3,
        quantum: 2 * MS,
        largest_units: 6.0,
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        plans: vec![Plan {
            quota_rate: 2.0,
            burst: 12.0,
            excess_cost: 1.0,
            worth_factor: 1.0,
            ..Plan::default()
        }],
        limits: Limits {
            cancel: true,
            probing: true,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            try_limit: 4,
        },
        counter: CounterSettings { allowed: true, wait: 30 * MS },
        rules: Rules { cold_from: 0.2, cold: 15 * SECOND, fall_multiple: 2.5, tip_after: 1_500 * MS },
        ..Settings::default()
    }
}

pub struct Node {
    pub now: Micros,
    pub node: Controller,
    pub next: u32,
}

impl Node {
    pub fn new(set: Settings, servers: u32) -> Node {
        Node::seeded(5, set, servers)
    }

    pub fn seeded(seed: u64, set: Settings, servers: u32) -> Node {
        let mut n = Node { now: 100 * SECOND, node: Controller::new(seed, set), next: 0 };
        let entries = (0..servers).map(|i| member(i, MemberState::In, 0)).collect();
        n.event(Event::Members { kind: ListKind::Whole, entries });
        n
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    pub fn wait(&mut self, span: Micros) {
        self.now += span;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.event(Event::Timer { id: 0 })
    }

    pub fn ask(&mut self, class: usize, units: f64) -> (RequestId, Vec<Action>) {
        self.ask_as(class, units, false)
    }

    pub fn ask_as(&mut self, class: usize, units: f64, marked_retry: bool) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId::from(format!("r{}", self.next).as_str());
        let request = NewRequest {
            id: id.clone(),
            customer: CustomerId(7),
            class,
            plan: 0,
            units,
            first_node: 0,
            spread: 3,
            marked_retry,
            due: self.now + 2 * SECOND,
        };
        (id, self.event(Event::Request(request)))
    }

    pub fn end(&mut self, id: &RequestId, attempt: u32, server: ServerId, outcome: Outcome) -> Vec<Action> {
        self.end_after(50 * MS, id, attempt, server, outcome)
    }

    pub fn end_after(
        &mut self,
        spent: Micros,
        id: &RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.event(Event::Ended(Ended {
            id: id.clone(),
            attempt,
            server,
            outcome,
            spent,
            finished: outcome == Outcome::Ok,
            final_units: None,
        }))
    }

    pub fn counted(&mut self, name: CountName, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::Counted { name, outcome, total })
    }
}

pub fn member(server: u32, state: MemberState, started: Micros) -> Member {
    Member { server: ServerId(server), cell: server % 2, state, started, weight: 1.0, ..Member::default() }
}

pub fn call(actions: &[Action]) -> Option<(CountName, f64)> {
    actions.iter().find_map(|a| match a {
        Action::Count { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

pub fn sent(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let pick = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((id.clone(), *server)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

pub fn refused(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Settings without any quota, so that only servers and attempts decide.
pub fn open() -> Settings {
    let mut set = settings();
    set.plans[0] = Plan { worth_factor: 1.0, ..Plan::default() };
    set
}

/// One request that is passed on at once, and the server it went to.
pub fn send_one(n: &mut Node, class: usize) -> (RequestId, ServerId) {
    let (_, actions) = n.ask(class, 1.0);
    sent(&actions).pop().expect("an attempt")
}

/// A counter that keeps one number, for tests.
#[derive(Default)]
pub struct Counter(pub std::collections::BTreeMap<CountName, f64>);

impl Counter {
    pub fn add(&mut self, name: CountName, amount: f64) -> f64 {
        let total = self.0.entry(name).or_default();
        *total += amount;
        *total
    }
}

/// Answers every call at once until none is left; gives all actions.
pub fn settle(n: &mut Node, counter: &mut Counter, mut actions: Vec<Action>) -> Vec<Action> {
    let mut all = actions.clone();
    while let Some((name, amount)) = call(&actions) {
        let total = counter.add(name, amount);
        actions = n.counted(name, Outcome::Ok, total);
        all.extend(actions.clone());
    }
    all
}
