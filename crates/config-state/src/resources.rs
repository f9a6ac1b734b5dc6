//! The resources of the configuration: routes, tenants, services and request limits, parsed from the text of their items.

use std::time::Duration;

use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

use crate::duration::parse_duration;
use crate::error::ValidationError;
use crate::item::Kind;
use crate::json;
use crate::operator_call::LIMITS_NAME;

/// A latency target must exceed its route's timeout by less than this.
const MAX_TARGET_OVER_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteType {
    /// They are idempotent.
    Safe,
    /// They are executed at most once for each attempt of a client.
    Unsafe,
}

/// A service that a route forwards to.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: f64,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host whose requests it serves, in lower case.
    pub host: String,
    /// The prefix of the paths that it serves; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may be executed more than once.
    pub route_type: RouteType,
    /// The maximum time for which a request is held before it is answered.
    pub timeout: Duration,
    /// The latency target.
    pub latency_target: Duration,
    /// The priority of its requests; 0 is the highest.
    pub priority: u64,
    /// The number of servers that one attempt of a client may be sent to.
    pub max_attempts: u64,
    /// Whether requests need no API key.
    pub public: bool,
    /// The services that it forwards to. The sum of their weights is over 0.
    pub services: Vec<WeightedService>,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub api_keys: Vec<String>,
    /// The priority of its requests, which takes precedence over the route's.
    pub priority: Option<u64>,
    /// Its quota in requests per second, over all nodes together; 0 for none.
    pub rate: f64,
    /// The burst on top of the rate, in requests.
    pub burst: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its servers' health checks.
    pub health_path: String,
    /// The number of connections that one of its servers accepts from all callers together; 0 if unknown.
    pub max_connections: u64,
}

/// Limits on what clients may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Reads fields of an item's text; errors name the item and the field.
struct Fields {
    /// The kind and name of the item, such as `Route r1`, for errors.
    item_label: String,
    value: Value,
}

impl Fields {
    fn parse(kind: Kind, name: &str, text: &[u8]) -> Result<Fields, ValidationError> {
        let item_label = format!("{kind:?} {name}");
        let parsed = json::parse(text, &json::STORED);
        let value = parsed.map_err(|error| ValidationError::invalid(&item_label, error.to_string()))?;
        Ok(Fields { item_label, value })
    }

    fn error(&self, field: &str, reason: &str) -> ValidationError {
        ValidationError::invalid(format!("{}/{field}", self.item_label), reason)
    }

    fn get(&self, field: &str) -> Option<&Value> {
        self.value.get(field).filter(|value| !value.is_null())
    }

    fn text(&self, field: &str) -> Result<Option<&str>, ValidationError> {
        let Some(value) = self.get(field) else { return Ok(None) };
        value.as_str().map(Some).ok_or_else(|| self.error(field, "a text is wanted"))
    }

    fn required_text(&self, field: &str) -> Result<&str, ValidationError> {
        let text = self.text(field)?.filter(|text| !text.is_empty());
        text.ok_or_else(|| self.error(field, "a text that is not empty is wanted"))
    }

    fn duration(&self, field: &str) -> Result<Option<Duration>, ValidationError> {
        let Some(text) = self.text(field)? else { return Ok(None) };
        let duration = parse_duration(text);
        duration.map(Some).ok_or_else(|| self.error(field, "a time such as 1500ms or 2.5s is wanted"))
    }

    fn number(&self, field: &str, default: f64) -> Result<f64, ValidationError> {
        let Some(value) = self.get(field) else { return Ok(default) };
        let number = value.as_f64().filter(|number| number.is_finite() && *number >= 0.0);
        number.ok_or_else(|| self.error(field, "a number from 0 on is wanted"))
    }

    fn integer(&self, field: &str, default: u64) -> Result<u64, ValidationError> {
        let Some(value) = self.get(field) else { return Ok(default) };
        value.as_u64().ok_or_else(|| self.error(field, "a whole number from 0 on is wanted"))
    }

    fn flag(&self, field: &str) -> Result<bool, ValidationError> {
        let Some(value) = self.get(field) else { return Ok(false) };
        value.as_bool().ok_or_else(|| self.error(field, "true or false is wanted"))
    }
}

impl Route {
    /// Parses the text of a route's item.
    pub fn parse(name: &str, text: &[u8]) -> Result<Route, ValidationError> {
        let fields = Fields::parse(Kind::Route, name, text)?;
        let path_prefix = fields.required_text("path_prefix")?;
        if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
            return Err(fields.error("path_prefix", "a path from slash to slash is wanted"));
        }
        let route_type = match fields.required_text("route_type")? {
            "safe" => RouteType::Safe,
            "unsafe" => RouteType::Unsafe,
            _ => return Err(fields.error("route_type", "safe or unsafe is wanted")),
        };
        let timeout = fields.duration("timeout")?.filter(|timeout| !timeout.is_zero());
        let timeout = timeout.ok_or_else(|| fields.error("timeout", "a time over 0 is wanted"))?;
        let latency_target = fields.duration("target")?.unwrap_or(timeout);
        if latency_target >= timeout + MAX_TARGET_OVER_TIMEOUT {
            return Err(fields.error("target", "it must not exceed the time-out by a minute or more"));
        }
        Ok(Route {
            name: name.into(),
            host: fields.required_text("host")?.to_ascii_lowercase(),
            path_prefix: path_prefix.into(),
            route_type,
            timeout,
            latency_target,
            priority: fields.integer("priority", 0)?,
            max_attempts: fields.integer("retries", 1)?.max(1),
            public: fields.flag("public")?,
            services: parse_services(&fields)?,
        })
    }
}

/// Parses `traffic_split`, or `service` where there is none.
fn parse_services(fields: &Fields) -> Result<Vec<WeightedService>, ValidationError> {
    let Some(split) = fields.get("traffic_split") else {
        let service = fields.required_text("service")?.into();
        return Ok(vec![WeightedService { service, weight: 1.0 }]);
    };
    let error = |reason| fields.error("traffic_split", reason);
    let list = split.as_array().ok_or_else(|| error("a list of services and weights is wanted"))?;
    let mut services = Vec::new();
    for part in list.iter() {
        let service = part.get("service").and_then(|value| value.as_str()).filter(|name| !name.is_empty());
        let weight = part.get("weight").and_then(|value| value.as_f64());
        let weight = weight.filter(|weight| weight.is_finite() && *weight >= 0.0);
        let (Some(service), Some(weight)) = (service, weight) else {
            return Err(error("each part has a service and a weight from 0 on"));
        };
        services.push(WeightedService { service: service.into(), weight });
    }
    if services.iter().map(|part| part.weight).sum::<f64>() <= 0.0 {
        return Err(error("weights with a sum over 0 are wanted"));
    }
    Ok(services)
}

impl Tenant {
    /// Parses the text of a tenant's item.
    pub fn parse(name: &str, text: &[u8]) -> Result<Tenant, ValidationError> {
        let fields = Fields::parse(Kind::Tenant, name, text)?;
        Ok(Tenant {
            name: name.into(),
            api_keys: parse_api_keys(&fields)?,
            priority: fields.get("priority").map(|_| fields.integer("priority", 0)).transpose()?,
            rate: fields.number("rate_per_s", 0.0)?,
            burst: fields.number("burst", 0.0)?,
        })
    }
}

fn parse_api_keys(fields: &Fields) -> Result<Vec<String>, ValidationError> {
    let Some(list) = fields.get("api_keys") else { return Ok(Vec::new()) };
    let error = || fields.error("api_keys", "a list of keys is wanted");
    let key = |value: &Value| value.as_str().filter(|key| !key.is_empty()).map(String::from);
    let list = list.as_array().ok_or_else(error)?;
    list.iter().map(|value| key(value).ok_or_else(error)).collect()
}

impl Service {
    /// Parses the text of a service's item.
    pub fn parse(name: &str, text: &[u8]) -> Result<Service, ValidationError> {
        let fields = Fields::parse(Kind::Service, name, text)?;
        Ok(Service {
            name: name.into(),
            health_path: fields.text("health_path")?.unwrap_or("/health").into(),
            max_connections: fields.integer("max_conns", 0)?,
        })
    }
}

impl Limits {
    /// Parses the text of the limits item.
    pub fn parse(text: &[u8]) -> Result<Limits, ValidationError> {
        let fields = Fields::parse(Kind::Limits, LIMITS_NAME, text)?;
        let default = Limits::default();
        Ok(Limits {
            max_header_bytes: fields.integer("max_header_bytes", default.max_header_bytes)?,
            max_body_bytes: fields.integer("max_body_bytes", default.max_body_bytes)?,
            header_timeout: fields.duration("header_timeout")?.unwrap_or(default.header_timeout),
            idle_timeout: fields.duration("idle_timeout")?.unwrap_or(default.idle_timeout),
        })
    }
}
