//! Validation of a client's request, and its conversion to [`NewRequest`], the load balancer's input (crate `mountbend`).

use std::str::FromStr;

use http::{HeaderMap, HeaderName, Method};
use mountbend::interface::{CustomerId, Micros, NewRequest, RequestId};

use crate::settings::{Env, WireEffect};

/// Header with the request's id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the key by which app servers recognize repeats.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the time for which the client waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Header with the name of the class.
pub const CLASS: HeaderName = HeaderName::from_static("x-class");
/// Header with the name of the customer's tariff, called plan in this module.
pub const PLAN: HeaderName = HeaderName::from_static("x-tariff");
/// Header with the units and the customer's set of nodes.
pub const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
/// Header that marks a client's retry with `1`.
pub const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// Maximum length of a body, in bytes.
pub const BODY_MOST: usize = 64 * 1024;
/// Maximum length of a request id, in bytes.
const MAX_ID_LENGTH: usize = 128;
/// Maximum value of the deadline header, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Customer keys must be below this number.
const CUSTOMERS: u64 = 1 << 33;

/// A malformed request, with a line that explains the error to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// The rules for requests that the settings define.
pub struct Rules {
    /// Name, effect, and index in the load balancer's class table.
    classes: Vec<(String, WireEffect, usize)>,
    /// Names of the tariffs; the index is the plan's number.
    plans: Vec<String>,
    /// The number of nodes, at least 1.
    nodes: u32,
    /// The maximum number of units of a request; `f64::MAX` if the settings give none.
    largest_units: f64,
}

impl Rules {
    /// The rules of these settings; `numbers` are their classes' indices in the load balancer's table.
    pub fn new(env: &Env, numbers: &[usize]) -> Self {
        let classes = env.classes.iter().zip(numbers);
        Rules {
            classes: classes.map(|(c, &number)| (c.name.clone(), c.effect, number)).collect(),
            plans: env.tariffs.iter().map(|p| p.name.clone()).collect(),
            nodes: env.n_instances.max(1),
            largest_units: Some(env.largest_units()).filter(|&most| most > 0.0).unwrap_or(f64::MAX),
        }
    }

    /// Validates a request and converts it for the load balancer. Danger: a malformed request must never reach
    /// it.
    pub fn read(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
        headers: &HeaderMap,
        now: Micros,
    ) -> Result<NewRequest, Malformed> {
        let named = [&REQUEST_ID, &CLASS, &PLAN, &DEADLINE, &WEIGHT, &RETRY, &IDEMPOTENCY_KEY];
        if named.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(Malformed("a header comes twice\n"));
        }
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let id = text(&REQUEST_ID)
            .filter(|id| !id.is_empty() && id.len() <= MAX_ID_LENGTH)
            .ok_or(Malformed("no id\n"))?;
        let name = text(&CLASS).ok_or(Malformed("no class\n"))?;
        let class = self.classes.iter().find(|(n, ..)| n == name);
        let &(_, effect, class) = class.ok_or(Malformed("no such class\n"))?;
        if path.split('/').nth(1) != Some(name) {
            return Err(Malformed("the path is not the class's\n"));
        }
        let keyed = headers.contains_key(IDEMPOTENCY_KEY);
        let fits = match effect {
            WireEffect::Safe => *method == Method::GET,
            WireEffect::Keyed => *method == Method::POST && keyed,
            WireEffect::Unsafe => *method == Method::POST && !keyed,
        };
        if !fits {
            return Err(Malformed("method and key are not the class's\n"));
        }
        let plan = text(&PLAN).and_then(|name| self.plans.iter().position(|n| n == name));
        let plan = plan.ok_or(Malformed("no such plan\n"))?;
        let mut keys = query.unwrap_or_default().split('&').filter_map(|pair| pair.strip_prefix("key="));
        let customer = (keys.next())
            .filter(|_| keys.next().is_none())
            .filter(|k| k.len() == 16 && k.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|k| u64::from_str_radix(k, 16).ok())
            .filter(|&k| k < CUSTOMERS)
            .ok_or(Malformed("no key of 16 hex digits\n"))?;
        let wait = text(&DEADLINE).and_then(whole_number::<u64>).filter(|&ms| ms <= MAX_DEADLINE_MS);
        let wait = wait.ok_or(Malformed("no deadline in milliseconds\n"))?;
        let (units, spread, first_node) =
            text(&WEIGHT).and_then(|v| self.weight(v)).ok_or(Malformed("no weight\n"))?;
        Ok(NewRequest {
            id: RequestId::from(id),
            customer: CustomerId(customer),
            class,
            plan,
            units,
            first_node,
            spread,
            marked_retry: text(&RETRY) == Some("1"),
            due: now + wait * 1000,
        })
    }

    /// Parses the value of [`WEIGHT`]: units, number of nodes in the customer's set, and its first node; none if
    /// it is malformed or out of range.
    fn weight(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            // A part that occurs twice is ambiguous.
            let is_repeated = match pair.trim().split_once('=')? {
                ("units", v) => units.replace(number(v)?).is_some(),
                ("spread", v) => spread.replace(whole_number(v)?).is_some(),
                ("first", v) => first.replace(whole_number(v)?).is_some(),
                _ => false,
            };
            if is_repeated {
                return None;
            }
        }
        let units = units.filter(|u| *u > 0.0 && *u <= self.largest_units)?;
        let spread = spread.filter(|s| (1..=self.nodes).contains(s))?;
        Some((units, spread, first.filter(|&f| f < self.nodes)?))
    }
}

/// An unsigned integer of digits only.
fn whole_number<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// A decimal number without sign or exponent.
fn number(text: &str) -> Option<f64> {
    text.bytes().all(|b| b.is_ascii_digit() || b == b'.').then(|| text.parse().ok()).flatten()
}
