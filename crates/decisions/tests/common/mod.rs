//! A gateway node under test, with shorthands for its events and actions.
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
        cold_start: ColdStart {
            cold_from: 0.2,
            cold: 15 * SECOND,
            fall_multiple: 2.5,
            tip_after: 1_500 * MS,
        },
        ..Settings::default()
    }
}

/// A controller with a clock that the test advances.
pub struct TestNode {
    pub now: Micros,
    pub controller: Controller,
    /// Number of the last request submitted.
    pub last_request: u32,
}

impl TestNode {
    pub fn new(config: Settings, servers: u32) -> TestNode {
        TestNode::seeded(5, config, servers)
    }

    pub fn seeded(seed: u64, config: Settings, servers: u32) -> TestNode {
        let mut gateway =
            TestNode { now: 100 * SECOND, controller: Controller::new(seed, config), last_request: 0 };
        let entries = (0..servers).map(|i| member(i, MemberState::InService, 0)).collect();
        gateway.event(Event::Members { kind: ListKind::Complete, entries });
        gateway
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.controller.handle(self.now, event, &mut out);
        out
    }

    pub fn advance(&mut self, span: Micros) {
        self.now += span;
    }

    pub fn tick(&mut self) -> Vec<Action> {
        self.event(Event::Timer { id: 0 })
    }

    /// Submits a request of one customer, due in 2 s.
    pub fn submit(&mut self, class: usize, units: f64) -> (RequestId, Vec<Action>) {
        self.submit_as(class, units, false)
    }

    pub fn submit_as(&mut self, class: usize, units: f64, marked_retry: bool) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId::from(format!("r{}", self.last_request).as_str());
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

    /// Ends an attempt 50 ms after it was sent.
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

    pub fn counter_reply(&mut self, name: CountName, outcome: Outcome, total: f64) -> Vec<Action> {
        self.event(Event::CounterReply { name, outcome, total })
    }
}

pub fn member(server: u32, state: MemberState, started: Micros) -> Member {
    Member { server: ServerId(server), cell: server % 2, state, started, weight: 1.0, ..Member::default() }
}

/// The first counter call among the actions: its key and amount.
pub fn counter_call(actions: &[Action]) -> Option<(CountName, f64)> {
    actions.iter().find_map(|a| match a {
        Action::Count { name, amount, .. } => Some((*name, *amount)),
        _ => None,
    })
}

/// The attempts sent among the actions.
pub fn sent(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let send = |a: &Action| match a {
        Action::Send { id, server, .. } => Some((id.clone(), *server)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

/// The retry-after time of the first refusal among the actions.
pub fn refused(actions: &[Action]) -> Option<Micros> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Settings without any quota, so that only server choice and retries are tested.
pub fn no_quota() -> Settings {
    let mut config = settings();
    config.plans[0] = Plan { worth_factor: 1.0, ..Plan::default() };
    config
}

/// Submits one request, which must be sent at once, and returns it with its server.
pub fn send_one(gateway: &mut TestNode, class: usize) -> (RequestId, ServerId) {
    let (_, actions) = gateway.submit(class, 1.0);
    sent(&actions).pop().expect("an attempt")
}

/// A counter service that keeps all totals.
#[derive(Default)]
pub struct Counter(pub std::collections::BTreeMap<CountName, f64>);

impl Counter {
    pub fn add(&mut self, name: CountName, amount: f64) -> f64 {
        let total = self.0.entry(name).or_default();
        *total += amount;
        *total
    }
}

/// Answers every counter call at once until none is left, and returns all actions.
pub fn answer_calls(gateway: &mut TestNode, counter: &mut Counter, mut actions: Vec<Action>) -> Vec<Action> {
    let mut all = actions.clone();
    while let Some((name, amount)) = counter_call(&actions) {
        let total = counter.add(name, amount);
        actions = gateway.counter_reply(name, Outcome::Ok, total);
        all.extend(actions.clone());
    }
    all
}
