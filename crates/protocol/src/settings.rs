//! The settings of one node, as its configuration and the simulator's first message contain them.

use mountbend::interface::{
    Class, ColdStart, CounterSettings, Effect, Group, Limits, Micros, Plan, Settings,
};
use serde::Deserialize;

/// The settings of one node, as the simulator's first message and a real node's configuration contain them.
#[derive(Deserialize)]
pub struct Env {
    /// Number of nodes.
    pub n_instances: u32,
    me: u32,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    quantum: Micros,
    #[serde(default)]
    registry_mode: String,
    /// The request classes in the order of their numbers.
    pub classes: Vec<EnvClass>,
    /// The plans in the order of their numbers.
    #[serde(default)]
    pub tariffs: Vec<EnvPlan>,
    /// The names of the zones in the order of their numbers.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The names of the machine types in the order of their numbers.
    #[serde(default)]
    pub kinds: Vec<String>,
    /// What the site permits.
    pub bounds: EnvBounds,
    #[serde(default)]
    domain: EnvDomain,
    #[serde(default)]
    charges: EnvCharges,
    #[serde(default)]
    clients: EnvClients,
    #[serde(default)]
    invariants: EnvRules,
}

impl Env {
    /// The maximum number of units of one request; 0 if not given.
    pub fn largest_units(&self) -> f64 {
        self.domain.largest
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EnvClients {
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EnvCharges {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EnvDomain {
    may_count: bool,
    count_wait: Micros,
    cost_after: bool,
    largest: f64,
}

/// What the site permits.
#[derive(Deserialize)]
pub struct EnvBounds {
    /// An app server closes a connection that has been idle for this long.
    #[serde(default)]
    pub conn_idle: Micros,
    /// Connecting fails after this time.
    #[serde(default)]
    pub connect_timeout: Micros,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: Micros,
    /// Maximum number of attempts per request.
    #[serde(default)]
    pub try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EnvRules {
    cold_from: f64,
    cold: Micros,
    fall_multiple: f64,
    tip_after: Micros,
}

/// A request class.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct EnvClass {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// An answer within this time has its full value.
    pub on_time: Micros,
    /// How long the client waits at most, over all its tries.
    pub deadline: Micros,
    /// Whether its requests may be executed more than once.
    pub effect: WireEffect,
    #[serde(default)]
    group: WireGroup,
    #[serde(default)]
    window: Micros,
    #[serde(default)]
    credit: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
}

/// Whether requests of a class may be executed more than once.
#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum WireEffect {
    /// Repeated execution is harmless.
    Safe,
    /// App servers of one group ignore a repeat.
    Keyed,
    /// Must never be executed twice.
    Unsafe,
}

#[derive(Debug, Deserialize, Clone, Copy, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
enum WireGroup {
    #[default]
    All,
    Zone,
    Cell,
}

/// A plan.
#[derive(Deserialize, Default)]
#[serde(default)]
pub struct EnvPlan {
    /// Its name.
    pub name: String,
    quota_rate: f64,
    most_at_once: f64,
    ceiling_rate: f64,
    ceiling_burst: f64,
    ceiling_slack: f64,
    concurrency: u32,
    excess_cost: f64,
    extra_worth: f64,
    worth_factor: f64,
}

impl From<Env> for Settings {
    fn from(env: Env) -> Self {
        Settings {
            me: env.me,
            nodes: env.n_instances,
            zone: env.zone,
            quantum: env.quantum,
            list_on_request: env.registry_mode == "ask",
            marks_retry: env.clients.marks_retry,
            largest_units: env.domain.largest,
            settles_after: env.domain.cost_after,
            cross_zone_price: env.charges.cross_zone,
            classes: env.classes.into_iter().map(Class::from).collect(),
            plans: env.tariffs.into_iter().map(Plan::from).collect(),
            limits: Limits {
                cancel: env.bounds.cancel,
                probing: env.bounds.probing,
                retry_after: env.bounds.retry_after,
                max_retry_after: env.bounds.max_retry_after,
                try_limit: env.bounds.try_limit,
            },
            counter: CounterSettings { allowed: env.domain.may_count, wait: env.domain.count_wait },
            cold_start: ColdStart {
                cold_from: env.invariants.cold_from,
                cold: env.invariants.cold,
                fall_multiple: env.invariants.fall_multiple,
                tip_after: env.invariants.tip_after,
            },
        }
    }
}

impl From<EnvClass> for Class {
    fn from(c: EnvClass) -> Self {
        Class {
            on_time: c.on_time,
            deadline: c.deadline,
            effect: match c.effect {
                WireEffect::Safe => Effect::Safe,
                WireEffect::Keyed => Effect::Keyed,
                WireEffect::Unsafe => Effect::Unsafe,
            },
            group: match c.group {
                WireGroup::All => Group::All,
                WireGroup::Zone => Group::Zone,
                WireGroup::Cell => Group::Cell,
            },
            window: c.window,
            credit: c.credit,
            late_worth: c.late_worth,
            stream: c.stream,
        }
    }
}

impl From<EnvPlan> for Plan {
    fn from(p: EnvPlan) -> Self {
        Plan {
            quota_rate: p.quota_rate,
            burst: p.most_at_once,
            ceiling_rate: p.ceiling_rate,
            ceiling_burst: p.ceiling_burst,
            ceiling_slack: p.ceiling_slack,
            open_limit: p.concurrency,
            excess_cost: p.excess_cost,
            extra_worth: p.extra_worth,
            worth_factor: p.worth_factor,
        }
    }
}
