//! Rollouts: a service's requests move in stages from the current software versions of its servers to a new one.
//!
//! The rollout state of a service is one item, [`Rollout`], which changes only by [`RolloutChange::apply`] on top of the
//! state that a quorum of the stores holds. So a rollout ends once, as finished or as reverted, whichever process proposes
//! the end.

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

/// Maximum encoded length of a rollout state, in bytes.
const MAX_ENCODED_LENGTH: usize = 64 * 1024;
/// Maximum number of versions in a baseline.
const MAX_STABLE_VERSIONS: usize = 16;
/// An order that is repeated within this time, in milliseconds, is a retry by a caller that has not received the answer.
const RETRY_WINDOW_MS: u64 = 20_000;

/// The stage of a rollout. The order is part of the encoding on the wire and on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Stage {
    /// No rollout has been ordered; the versions that get the requests are recorded.
    Baseline,
    /// The target gets a small part of the requests.
    Canary,
    /// The target gets a growing part.
    Ramp,
    /// The target gets all new requests; the other versions complete those they have received.
    Cutover,
    /// The target gets all requests, and the other versions have completed theirs.
    Finished,
    /// The target gets no more requests.
    Reverted,
}

impl Stage {
    /// Whether a rollout is under way.
    pub fn is_under_way(self) -> bool {
        matches!(self, Stage::Canary | Stage::Ramp | Stage::Cutover)
    }

    /// Whether a rollout may move from this stage to `next`.
    fn can_advance_to(self, next: Stage) -> bool {
        match next {
            Stage::Baseline | Stage::Canary => false,
            Stage::Ramp => self == Stage::Canary,
            Stage::Cutover => self == Stage::Ramp,
            Stage::Finished => self == Stage::Cutover,
            Stage::Reverted => self.is_under_way(),
        }
    }

    /// The state in answers to operators; `None` if there is no rollout.
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
    /// It may be sent requests.
    Open,
    /// Only with a permit of the registry that is in charge of the rollout.
    ByPermit,
    /// It may not be sent requests.
    Closed,
}

/// The rollout state of a service: which versions of its servers get its requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Rollout {
    /// The stage that decides which of the versions get requests.
    pub stage: Stage,
    /// The version that the requests move to; empty in the baseline.
    pub target: String,
    /// The versions that get the requests before the cutover and after a revert.
    pub stable: Vec<String>,
    /// Identifies the order: the item's revision at which it was accepted.
    pub order: u64,
    /// The wall-clock time at which the order was accepted, in milliseconds.
    pub ordered_at_ms: u64,
    /// The time that the rollout may take, in milliseconds.
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

    /// The rollout state that an item holds; `None` if it is a tombstone or cannot be decoded.
    pub fn from_item(item: &Item) -> Option<Rollout> {
        item.value.as_deref().and_then(Rollout::decode)
    }

    /// The item of a service that holds this state.
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

    /// The versions that may be sent requests without a permit.
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

/// An operator's order to start a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RolloutOrder {
    /// The name of the service that is rolled out.
    pub service: String,
    /// The version that its requests move to.
    pub target: String,
    /// The time that the rollout may take, in milliseconds.
    pub deadline_ms: u64,
}

impl RolloutOrder {
    /// Parses the body of a `rollouts.start` call.
    ///
    /// # Errors
    /// If a field is missing or invalid.
    pub fn parse(body: &[u8]) -> Result<RolloutOrder, ValidationError> {
        let fields = json::parse(body, &json::HEARTBEAT)?;
        let deadline = text_field(&fields, "deadline")?;
        let deadline = parse_duration(deadline).filter(|deadline| !deadline.is_zero());
        let error = || ValidationError::invalid("/deadline", "a time such as 12s is wanted");
        Ok(RolloutOrder {
            service: text_field(&fields, "service")?.into(),
            target: text_field(&fields, "target_version")?.into(),
            deadline_ms: deadline.as_ref().map(Duration::as_millis).ok_or_else(error)? as u64,
        })
    }
}

fn text_field<'a>(fields: &'a Value, name: &str) -> Result<&'a str, ValidationError> {
    let found = fields.get(name).and_then(|value| value.as_str());
    let text = found.filter(|text| !text.is_empty() && text.len() <= MAX_NAME_LENGTH);
    text.ok_or_else(|| ValidationError::invalid(format!("/{name}"), "a text is wanted"))
}

/// A proposed change of a service's rollout state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum RolloutChange {
    /// Records the versions that get the service's requests, unless a rollout has been ordered.
    SetBaseline {
        /// The name of the service.
        service: String,
        /// The versions that get its requests.
        versions: Vec<String>,
    },
    /// Starts a rollout.
    Start {
        /// The operator's order.
        order: RolloutOrder,
        /// The wall-clock time of the order, in milliseconds.
        ordered_at_ms: u64,
    },
    /// Moves a rollout to another stage.
    Advance {
        /// The name of the service.
        service: String,
        /// The revision of the item that the decision is based on.
        revision: u64,
        /// The next stage.
        stage: Stage,
    },
}

impl RolloutChange {
    /// The service that the change concerns.
    pub fn service(&self) -> &str {
        match self {
            RolloutChange::SetBaseline { service, .. } | RolloutChange::Advance { service, .. } => service,
            RolloutChange::Start { order, .. } => &order.service,
        }
    }

    /// The item to commit on top of the live ones; `None` if the change is already in effect.
    ///
    /// # Errors
    /// If the change conflicts with the live items. It has not taken effect and will not.
    pub fn apply<'a>(
        &self,
        live: impl Fn(&Key) -> Option<&'a Item>,
    ) -> Result<Option<Item>, ValidationError> {
        let service = self.service();
        let key = Rollout::key(service);
        let item = live(&key);
        let current = item.and_then(Rollout::from_item);
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
    let is_replaceable = current.is_none_or(|current| current.stage == Stage::Baseline);
    let is_new = current.is_none_or(|current| current.stable != versions) && !versions.is_empty();
    (is_replaceable && is_new).then(|| Rollout {
        stage: Stage::Baseline,
        target: String::new(),
        stable: versions.iter().take(MAX_STABLE_VERSIONS).cloned().collect(),
        order: 0,
        ordered_at_ms: 0,
        deadline_ms: 0,
    })
}

/// Accepts an order unless another rollout is under way, the target has just been reverted, or it gets the requests already.
/// A retried order is acknowledged again. A baseline must exist, so that proxies that have not received the order yet send
/// no requests to the new version.
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
    let is_retry = is_same && ordered_at_ms.abs_diff(last.ordered_at_ms) < RETRY_WINDOW_MS;
    if is_retry || last.stage == Stage::Finished && last.target == *target {
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
        Some(current) if is_expected && current.stage.can_advance_to(stage) => {
            Ok(Some(Rollout { stage, ..current }))
        }
        _ => Err(ValidationError::conflict("/stage", "the rollout has gone on meanwhile")),
    }
}
