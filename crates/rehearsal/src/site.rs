//! The site that is rehearsed: classes, plans and rules, as a node's settings and as the judge's terms, and the
//! makes of its boxes.

use std::time::Duration;

use pinerelay_judge::terms::{Class, Effect, Plan, Terms};
use pinerelay_standins::billers;
use pinerelay_standins::boxes::{Make, Work};
use pinerelay_standins::lots::Lots;
use serde_json::{json, Value};

use crate::scenario::{Kind, Scenario, Unanswered, PLANS};

const MS: u64 = 1_000;
/// The figures of the rules: grace after a deadline, grace after a drain, when a change counts as told, a box's
/// least share when cold and how soon it is warm, and what it bears.
const ANSWER_SLACK: u64 = 8 * MS;
const DRAIN_GRACE: u64 = 500 * MS;
const TOLD_AFTER: u64 = 6_000 * MS;
const COLD_FROM: f64 = 0.22;
const COLD: u64 = 17_000 * MS;
const FALL_MULTIPLE: f64 = 3.0;
const TIP_AFTER: u64 = 1_500 * MS;
const TRY_LIMIT: u32 = 4;
const COUNT_WAIT: u64 = 80 * MS;
const LARGEST: f64 = 4.0;
const MAX_RETRY_AFTER: u64 = 1_000 * MS;
/// The class that comes with a retuning: clients ask for it in place of the safe one, and it may not run twice.
pub const ADDED: &str = "refund-check";
/// A request counts 1 to 4 units, so often each.
pub const UNITS: [f64; 4] = [0.4, 0.3, 0.2, 0.1];

/// A class: its share of the requests, and its mean work in milliseconds.
struct ClassMake {
    class: Class,
    share: f64,
    work_ms: f64,
    deadline: u64,
}

/// A plan: its share of the use inside quotas.
struct PlanMake {
    plan: Plan,
    share: f64,
    excess_cost: f64,
    extra_worth: f64,
    open_limit: u32,
}

/// What a retuning has changed for the nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tune {
    /// The class that comes with it is there, and there are fewer attempts.
    pub added: bool,
}

/// The site.
pub struct Site {
    classes: Vec<ClassMake>,
    plans: Vec<PlanMake>,
    work: f64,
}

impl Site {
    /// The site of a scenario: the classes and plans of the service, with work scaled as it says.
    pub fn new(scenario: &Scenario) -> Site {
        let class = |name: &str, effect, on_time: u64, worth, late_worth| Class {
            name: name.into(),
            effect,
            window: if effect == Effect::Keyed { 1_500 * MS } else { 0 },
            on_time: on_time * MS,
            worth,
            late_worth,
        };
        let make = |class, share, work_ms, deadline: u64| ClassMake {
            class,
            share,
            work_ms,
            deadline: deadline * MS,
        };
        let plan =
            |number: usize, share, quota_rate, burst, worth_factor, excess_cost, extra_worth| PlanMake {
                plan: Plan { name: PLANS[number].into(), quota_rate, burst, worth_factor, ..Plan::default() },
                share,
                excess_cost,
                extra_worth,
                open_limit: 0,
            };
        let mut plans = vec![
            plan(0, 0.30, 1.6, 8.0, 0.55, 0.6, 0.0),
            plan(1, 0.20, 3.1, 14.0, 0.8, 0.0, 0.2),
            plan(2, 0.29, 9.5, 19.0, 1.3, 0.8, 0.0),
            plan(3, 0.21, 24.0, 48.0, 1.4, 1.2, 0.0),
        ];
        let top = &mut plans[3];
        top.open_limit = 6;
        (top.plan.ceiling_rate, top.plan.ceiling_burst) = (41.0, 82.0);
        // A tenth, or one of the largest requests, whichever is more.
        top.plan.ceiling_slack = (top.plan.ceiling_burst * 0.1).max(LARGEST);
        let mut classes = vec![
            make(class("bill-lookup", Effect::Safe, 1_000, 2.0, 0.1), 0.39, 100.0, 4_000),
            make(class("slip-record", Effect::Keyed, 600, 2.0, 0.1), 0.31, 60.0, 2_500),
            make(class("payment-post", Effect::Unsafe, 1_200, 6.0, 0.1), 0.30, 100.0, 5_000),
        ];
        if scenario.fault.iter().any(|f| f.kind == Kind::Retune) {
            classes.push(make(class(ADDED, Effect::Unsafe, 900, 2.0, 0.1), 0.0, 60.0, 3_000));
        }
        Site { classes, plans, work: scenario.fleet.work }
    }

    /// The settings that a node of this number is given.
    pub fn settings(&self, scenario: &Scenario, node: u32, tune: Tune) -> Value {
        let fleet = &scenario.fleet;
        let classes: Vec<_> = (self.classes.iter())
            .filter(|c| tune.added || c.class.name != ADDED)
            .map(|c| {
                let effect = match c.class.effect {
                    Effect::Safe => "safe",
                    Effect::Keyed => "keyed",
                    Effect::Unsafe => "unsafe",
                };
                json!({
                    "name": c.class.name, "effect": effect, "group": "zone", "window": c.class.window,
                    "credit": c.class.worth, "on_time": c.class.on_time, "deadline": c.deadline,
                    "late_worth": c.class.late_worth,
                })
            })
            .collect();
        let plans: Vec<_> = (self.plans.iter())
            .map(|p| {
                json!({
                    "name": p.plan.name, "worth_factor": p.plan.worth_factor, "quota_rate": p.plan.quota_rate,
                    "most_at_once": p.plan.burst, "ceiling_rate": p.plan.ceiling_rate,
                    "ceiling_burst": p.plan.ceiling_burst, "ceiling_slack": p.plan.ceiling_slack,
                    "concurrency": p.open_limit, "excess_cost": p.excess_cost, "extra_worth": p.extra_worth,
                })
            })
            .collect();
        json!({
            "n_instances": fleet.nodes, "me": node, "zone": self.hall_of_node(scenario, node), "quantum": 1_000,
            "registry_mode": "push", "zones": fleet.halls, "kinds": ["std-3core", "small-2core"],
            "classes": classes, "tariffs": plans, "clients": {"marks_retry": scenario.clients.marks_retry},
            "bounds": {
                "cancel": true, "probing": true, "retry_after": true, "max_retry_after": MAX_RETRY_AFTER,
                "try_limit": if tune.added { TRY_LIMIT - 1 } else { TRY_LIMIT }, "connect_timeout": 250 * MS,
                "conn_idle": fleet.idle.0.as_micros() as u64,
            },
            "charges": {"cross_zone": 0.01},
            "domain": {"may_count": true, "count_wait": COUNT_WAIT, "largest": LARGEST},
            "invariants": {
                "cold_from": COLD_FROM, "cold": COLD, "fall_multiple": FALL_MULTIPLE, "tip_after": TIP_AFTER,
                "drain_grace": DRAIN_GRACE, "answer_slack": ANSWER_SLACK,
            },
        })
    }

    /// The hall that a node stands in.
    pub fn hall_of_node(&self, scenario: &Scenario, node: u32) -> u32 {
        node % scenario.fleet.halls.len() as u32
    }

    /// What the run is judged by.
    pub fn terms(&self, scenario: &Scenario) -> Terms {
        Terms {
            classes: self.classes.iter().map(|c| c.class.clone()).collect(),
            plans: self.plans.iter().map(|p| p.plan.clone()).collect(),
            answer_slack: ANSWER_SLACK,
            drain_grace: DRAIN_GRACE,
            told_after: TOLD_AFTER,
            fall_multiple: FALL_MULTIPLE,
            tip_after: TIP_AFTER,
            unanswered_fails: scenario.judge.unanswered == Unanswered::Failed,
        }
    }

    /// The makes of the fleet's boxes: three in five have three cores, the others two.
    pub fn boxes(&self, scenario: &Scenario, seed: u64) -> Vec<Make> {
        let fleet = &scenario.fleet;
        let mut lots = Lots::new(seed, 0xb0);
        let work: Vec<Work> = (self.classes.iter())
            .map(|c| Work {
                class: c.class.name.clone(),
                mean_ms: c.work_ms * self.work,
                cv: 0.5,
                window: (c.class.window > 0).then(|| Duration::from_micros(c.class.window)),
            })
            .collect();
        (0..fleet.boxes)
            .map(|number| {
                let std = number % 5 < 3;
                let cores = if std { 3 } else { 2 };
                Make {
                    number,
                    hall: number % fleet.halls.len() as u32,
                    cores,
                    speed: if std { lots.between(0.85, 1.1) } else { lots.between(0.64, 0.86) },
                    room: fleet.room * cores,
                    connections: fleet.connections,
                    idle: fleet.idle.0,
                    handshake: fleet.handshake.0,
                    cold_from: COLD_FROM,
                    cold: Duration::from_micros(COLD),
                    fall_multiple: FALL_MULTIPLE,
                    tip_after: Duration::from_micros(TIP_AFTER),
                    work: work.clone(),
                    seed,
                }
            })
            .collect()
    }

    /// What the billers' clients do.
    pub fn habits(&self, scenario: &Scenario, seed: u64) -> billers::Habits {
        let clients = &scenario.clients;
        let class = |c: &ClassMake| billers::Class {
            name: c.class.name.clone(),
            safe: c.class.effect == Effect::Safe,
            keyed: c.class.effect == Effect::Keyed,
            deadline: Duration::from_micros(c.deadline),
        };
        billers::Habits {
            classes: self.classes.iter().map(class).collect(),
            plans: self.plans.iter().map(|p| p.plan.name.clone()).collect(),
            retries: clients.retries,
            try_share: (0.5, 0.6),
            honour: clients.honour,
            backoff: Duration::from_millis(50),
            marks_retry: clients.marks_retry,
            answer_slack: Duration::from_micros(ANSWER_SLACK),
            // Clients hold a third of a node's descriptors at most for requests.
            connections: scenario.fleet.sockets / 3,
            oldest_first: clients.oldest_first,
            busiest_for: Duration::from_secs(7),
            busiest_share: 0.4,
            notice: clients.notice.0,
            seed,
        }
    }

    /// Plans by number: name, units a second inside the quota, and the share of the use inside quotas.
    pub fn plans(&self) -> impl Iterator<Item = (&str, f64, f64)> {
        self.plans.iter().map(|p| (p.plan.name.as_str(), p.plan.quota_rate, p.share))
    }

    /// Classes by number: name and share of the requests.
    pub fn classes(&self) -> impl Iterator<Item = (&str, f64)> {
        self.classes.iter().map(|c| (c.class.name.as_str(), c.share))
    }

    /// The numbers of the class that clients leave with a retuning, and of the one that they take in its place.
    pub fn swap(&self) -> Option<(usize, usize)> {
        let added = self.classes.iter().position(|c| c.class.name == ADDED)?;
        Some((self.classes.iter().position(|c| c.class.effect == Effect::Safe)?, added))
    }

    /// The longest that any client waits.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
    }

    /// The longest that a node has after SIGTERM before it is killed.
    pub fn stop_limit(&self) -> Duration {
        self.longest().min(Duration::from_secs(3)) + Duration::from_millis(700)
    }
}
