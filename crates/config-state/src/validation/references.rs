//! The references of items, and the errors for references that dangle or conflict.

use crate::error::ValidationError;
use crate::item::{Item, Kind};
use crate::json;
use crate::resources::{Limits, Route, Service, Tenant};

/// The references by which an item may conflict with other items.
pub(super) enum References {
    /// The services that a route forwards to.
    Services(Vec<String>),
    /// The API keys of a tenant.
    ApiKeys(Vec<String>),
    /// No references.
    None,
}

/// Parses an item and returns its references.
pub(super) fn references(item: &Item) -> Result<References, ValidationError> {
    let Some(text) = &item.value else { return Ok(References::None) };
    let name = &item.key.name;
    match item.key.kind {
        Kind::Route => {
            let services = Route::parse(name, text)?.services;
            Ok(References::Services(services.into_iter().map(|part| part.service).collect()))
        }
        Kind::Tenant => Ok(References::ApiKeys(Tenant::parse(name, text)?.api_keys)),
        Kind::Service => Service::parse(name, text).map(|_| References::None),
        Kind::Limits => Limits::parse(text).map(|_| References::None),
        Kind::Server | Kind::Node | Kind::Rollout => Ok(References::None),
    }
}

/// Whether a live item exceeds a bound that the release which accepted it did not check. It is left out of the routing
/// table and of the checks, so that other changes are still accepted.
pub(super) fn exceeds_bounds(item: &Item) -> bool {
    let exceeds = |text: &Vec<u8>| json::check(text, &json::STORED).is_err_and(|error| error.exceeds_bound());
    item.value.as_ref().is_some_and(exceeds)
}

/// The error for a route that forwards to a service that is not live.
pub(super) fn unknown_service(route: &str, service: &str) -> ValidationError {
    ValidationError::invalid(format!("Route {route}/service"), format!("there is no service {service}"))
}

/// The error for two tenants that share an API key.
pub(super) fn shared_api_key(tenant: &str, other: &str) -> ValidationError {
    ValidationError::invalid(format!("Tenant {tenant}/api_keys"), format!("{other} has the same key"))
}
