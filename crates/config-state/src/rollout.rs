//! Rollouts: a service's requests move from the versions that have them to a new one, in stages.
//!
//! What is decided about a service's versions is one item, [`Rollout`], which changes only by [`RolloutChange::apply`] on top of
//! what a quorum of the stores holds. So a rollout ends once, as finished or as reverted, whoever proposes it.

use std::time::Duration;

use bincode::{Decode, Encode};
use sonic_rs::{JsonValueTrait, Value};

use crate::duration::parse_duration;
use crate::error::ValidationError;
use crate::item::{Item, Key, Kind};
use crate::json;
use crate::operator_call::MAX_NAME_LENGTH;

#[cfg(test)]
mod tests;

/// No item is longer, in bytes.
const MAX_ENCODED_LENGTH: usize = 64 * 1024;
/// So many versions may have a service's requests when a rollout begins.
const MAX_STABLE_VERSIONS: usize = 16;
/// An order that comes again within this time, in milliseconds, is a repetition by a caller that has not had the answer.
const REPEAT_WINDOW_MS: u64 = 20_000;

/// How far a rollout has come. The order is part of the encoding on the wire and on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Stage {
    /// No rollout has been ordered: it is known which versions have the requests.
    Baseline,
    /// The target gets a small part of the requests.
    Canary,
    /// The target gets a growing part.
    Ramp,
    /// The target gets all new requests; others complete what they have.
    Cutover,
    /// The target alone has the requests, and nothing is left at the others.
    Finished,
    /// The target gets nothing any more.
    Reverted,
}

impl Stage {
    /// Whether a rollout is under way.
    pub fn is_under_way(self) -> bool {
        matches!(self, Stage::Canary | Stage::Ramp | Stage::Cutover)
    }

    /// Whether a rollout may go on from here to another stage.
    fn leads_to(self, next: Stage) -> bool {
        match next {
            Stage::Baseline | Stage::Canary => false,
            Stage::Ramp => self == Stage::Canary,
            Stage::Cutover => self == Stage::Ramp,
            Stage::Finished => self == Stage::Cutover,
            Stage::Reverted => self.is_under_way(),
        }
    }

    /// The state as operators are told it; `None` if there is no rollout.
    fn public_name(self) -> Option<&'static str> {
        match self {
            Stage::Baseline => None,
            Stage::Canary | Stage::Ramp | Stage::Cutover => Some("serving"),
            Stage::Finished => Some("finished"),
            Stage::Reverted => Some("reverted"),
        }
    }
}

/// Whether a version may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionAccess {
    /// It may.
    Open,
    /// Only by a permit of the registry that has the duty for the rollout.
    ByPermit,
    /// It may not.
    Closed,
}

/// What is decided about the versions of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Rollout {
    /// How far it has come.
    pub stage: Stage,
    /// The version that the requests move to; empty without a rollout.
    pub target: String,
    /// The versions that had the requests before.
    pub stable: Vec<String>,
    /// Tells one order from another: the revision of the item at which it was accepted.
    pub order: u64,
    /// When the order was accepted, by the time of day, in milliseconds.
    pub ordered_at_ms: u64,
    /// How long it may take, in milliseconds.
    pub deadline_ms: u64,
}

impl Rollout {
    /// The key of a service's item.
    pub fn key(service: &str) -> Key {
        Key::new(Kind::Rollout, service)
    }

    /// Decodes an item's content; `None` if it cannot be.
    pub fn decode(value: &[u8]) -> Option<Rollout> {
        let config = bincode::config::standard().with_limit::<MAX_ENCODED_LENGTH>();
        bincode::decode_from_slice(value, config).ok().map(|(rollout, _)| rollout)
    }

    /// The rollout that an item holds.
    pub fn of(item: &Item) -> Option<Rollout> {
        item.value.as_deref().and_then(Rollout::decode)
    }

    /// The item of a service.
    pub fn to_item(&self, service: &str, revision: u64) -> Item {
        let value = bincode::encode_to_vec(self, bincode::config::standard()).ok();
        Item::with_revision(Rollout::key(service), revision, value)
    }

    /// Whether a version may be sent requests.
    pub fn access(&self, version: &str) -> VersionAccess {
        let (is_target, is_stable) = (self.target == version, self.stable.iter().any(|name| name == version));
        match self.stage {
            Stage::Canary | Stage::Ramp if is_target => VersionAccess::ByPermit,
            Stage::Cutover | Stage::Finished if is_target => VersionAccess::Open,
            Stage::Cutover | Stage::Finished => VersionAccess::Closed,
            _ if is_stable => VersionAccess::Open,
            _ => VersionAccess::Closed,
        }
    }

    /// The versions that have the requests if nothing else is ordered.
    pub fn open_versions(&self) -> Vec<String> {
        match self.stage {
            Stage::Cutover | Stage::Finished => vec![self.target.clone()],
            Stage::Baseline | Stage::Canary | Stage::Ramp | Stage::Reverted => self.stable.clone(),
        }
    }

    /// The answer to `rollouts.read`; `None` without a rollout.
    pub fn render(&self) -> Option<String> {
        let state = self.stage.public_name()?;
        let target = sonic_rs::to_string(&self.target).unwrap_or_else(|_| "\"\"".into());
        Some(format!("{{\"state\":\"{state}\",\"target_version\":{target}}}"))
    }
}

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// The version that its requests move to.
    pub target: String,
    /// How long that may take, in milliseconds.
    pub deadline_ms: u64,
}

impl RolloutOrder {
    /// Parses the body of a `rollouts.start` call.
    ///
    /// # Errors
    /// If a field is missing or invalid.
    pub fn parse(body: &[u8]) -> Result<RolloutOrder, ValidationError> {
        let fields = json::parse(body, &json::HEARTBEAT)?;
        let deadline = text(&fields, "deadline")?;
        let deadline = parse_duration(deadline).filter(|deadline| !deadline.is_zero());
        let error = || ValidationError::invalid("/deadline", "a time such as 12s is wanted");
        Ok(RolloutOrder {
            service: text(&fields, "service")?.into(),
            target: text(&fields, "target_version")?.into(),
            deadline_ms: deadline.as_ref().map(Duration::as_millis).ok_or_else(error)? as u64,
        })
    }
}

fn text<'a>(fields: &'a Value, name: &str) -> Result<&'a str, ValidationError> {
    let found = fields.get(name).and_then(|value| value.as_str());
    let text = found.filter(|text| !text.is_empty() && text.len() <= MAX_NAME_LENGTH);
    text.ok_or_else(|| ValidationError::invalid(format!("/{name}"), "a text is wanted"))
}

/// A change of what is decided about a service's versions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum RolloutChange {
    /// These versions have the service's requests, unless a rollout has decided that already.
    SetBaseline {
        /// The service.
        service: String,
        /// Its versions.
        versions: Vec<String>,
    },
    /// An operator's order.
    Start {
        /// The order.
        order: RolloutOrder,
        /// The time of day, in milliseconds.
        ordered_at_ms: u64,
    },
    /// A rollout goes on to a stage.
    Advance {
        /// The service.
        service: String,
        /// The revision of the item that this was decided on.
        revision: u64,
        /// The stage.
        stage: Stage,
    },
}

impl RolloutChange {
    /// The service that it is about.
    pub fn service(&self) -> &str {
        match self {
            RolloutChange::SetBaseline { service, .. } | RolloutChange::Advance { service, .. } => service,
            RolloutChange::Start { order, .. } => &order.service,
        }
    }

    /// The item to commit on top of what is live; `None` if the change holds already.
    ///
    /// # Errors
    /// If the change does not fit what is live: nothing of it is in force or will be.
    pub fn apply<'a>(
        &self,
        live: impl Fn(&Key) -> Option<&'a Item>,
    ) -> Result<Option<Item>, ValidationError> {
        let service = self.service();
        let key = Rollout::key(service);
        let item = live(&key);
        let current = item.and_then(Rollout::of);
        let revision = item.map_or(0, |item| item.version.revision);
        let is_service = live(&Key::new(Kind::Service, service)).is_some_and(|item| item.value.is_some());
        if !is_service {
            return Err(ValidationError::invalid("/service", format!("there is no service {service}")));
        }
        let next = match self {
            RolloutChange::SetBaseline { versions, .. } => Ok(set_baseline(current.as_ref(), versions)),
            RolloutChange::Start { order, ordered_at_ms } => {
                start(current.as_ref(), order, *ordered_at_ms, revision + 1)
            }
            RolloutChange::Advance { revision: expected, stage, .. } => {
                advance(current, *stage, *expected == revision)
            }
        }?;
        Ok(next.map(|next| next.to_item(service, revision + 1)))
    }
}

fn set_baseline(current: Option<&Rollout>, versions: &[String]) -> Option<Rollout> {
    let is_undecided = current.is_none_or(|current| current.stage == Stage::Baseline);
    let is_new = current.is_none_or(|current| current.stable != versions) && !versions.is_empty();
    (is_undecided && is_new).then(|| Rollout {
        stage: Stage::Baseline,
        target: String::new(),
        stable: versions.iter().take(MAX_STABLE_VERSIONS).cloned().collect(),
        order: 0,
        ordered_at_ms: 0,
        deadline_ms: 0,
    })
}

/// Accepts an order, unless another one is under way. One that was accepted is acknowledged again. It has to be decided before
/// which versions have the requests: proxies that have not heard of the order yet send the new one nothing.
fn start(
    current: Option<&Rollout>,
    order: &RolloutOrder,
    ordered_at_ms: u64,
    revision: u64,
) -> Result<Option<Rollout>, ValidationError> {
    let conflict = |reason: String| Err(ValidationError::conflict("/target_version", reason));
    let Some(last) = current else {
        return Err(ValidationError::invalid(
            "/service",
            "it is not decided which versions have its requests",
        ));
    };
    let target = &order.target;
    let is_same = last.target == *target && last.deadline_ms == order.deadline_ms;
    let is_repeated = is_same && ordered_at_ms.abs_diff(last.ordered_at_ms) < REPEAT_WINDOW_MS;
    if is_repeated || last.stage == Stage::Finished && last.target == *target {
        return Ok(None);
    }
    if last.stage.is_under_way() {
        return conflict(format!("a rollout of {} is under way", last.target));
    }
    if last.stage == Stage::Reverted && last.target == *target {
        return conflict(format!("{target} was reverted: another version is wanted"));
    }
    let stable = last.open_versions();
    if stable.contains(target) {
        return conflict(format!("{target} has the requests already"));
    }
    let (target, deadline_ms) = (target.clone(), order.deadline_ms);
    let stage = Stage::Canary;
    Ok(Some(Rollout { stage, target, stable, order: revision, ordered_at_ms, deadline_ms }))
}

fn advance(
    current: Option<Rollout>,
    stage: Stage,
    is_expected: bool,
) -> Result<Option<Rollout>, ValidationError> {
    match current {
        Some(current) if current.stage == stage => Ok(None),
        Some(current) if is_expected && current.stage.leads_to(stage) => {
            Ok(Some(Rollout { stage, ..current }))
        }
        _ => Err(ValidationError::conflict("/stage", "the rollout has gone on meanwhile")),
    }
}
