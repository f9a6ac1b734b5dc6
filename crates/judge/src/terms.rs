//! The terms that a run is judged by: the figures of the settings, as the judge needs them.

use pinerelay_evidence::Micros;
use serde::{Deserialize, Serialize};

/// How often a class's effect may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// The boxes of one hall drop a repeat within the class's window.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// A class of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether it may run again.
    pub effect: Effect,
    /// For keyed classes: how long repeats are dropped.
    pub window: Micros,
    /// Answered within this earns full worth.
    pub on_time: Micros,
    /// Worth of one unit.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
}

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second; 0: no quota.
    pub quota_rate: f64,
    /// Most units at once.
    pub burst: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Most units of the ceiling's store, which starts full.
    pub ceiling_burst: f64,
    /// How far the ceiling's store may go below nothing.
    pub ceiling_slack: f64,
    /// Factor on the worth.
    pub worth_factor: f64,
}

/// All of the terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Classes, in the order of their numbers.
    pub classes: Vec<Class>,
    /// Plans, in the order of their numbers.
    pub plans: Vec<Plan>,
    /// Grace after a client's deadline in which a final answer still counts; sockets have their slack beside it.
    pub answer_slack: Micros,
    /// Grace after which nothing new may go to a box that drains or is gone.
    pub drain_grace: Micros,
    /// A change that discovery has counts as told after this, whether or not it arrived.
    pub told_after: Micros,
    /// A cold box falls when it is sent this many times its present capacity
    pub fall_multiple: f64,
    /// for this long.
    pub tip_after: Micros,
    /// A request that has no answer when its time is up has failed, and is not lost. So the protocol has it on
    /// days of rude crowds and of few descriptors; elsewhere it is a breach.
    pub unanswered_fails: bool,
}
