//! Why an operator's call or a server's heartbeat is rejected.

use thiserror::Error;

use crate::json::JsonError;

/// The kind of a validation error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ValidationErrorKind {
    /// The value is invalid by itself or together with the live items.
    Invalid,
    /// The value may be valid, but conflicts with what was accepted before.
    Conflict,
    /// Nothing of this name exists.
    NotFound,
}

/// An invalid value in a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Error)]
#[error("{location}: {reason}")]
pub struct ValidationError {
    /// A JSON pointer to the value; for an item that is live already, its kind and name.
    pub location: String,
    /// What is wrong, or what is expected instead.
    pub reason: String,
    /// The kind of the error.
    pub kind: ValidationErrorKind,
}

impl ValidationError {
    /// An invalid value.
    pub fn invalid(location: impl Into<String>, reason: impl Into<String>) -> ValidationError {
        let kind = ValidationErrorKind::Invalid;
        ValidationError { location: location.into(), reason: reason.into(), kind }
    }

    /// A value that conflicts with what was accepted before.
    pub fn conflict(location: impl Into<String>, reason: impl Into<String>) -> ValidationError {
        ValidationError { kind: ValidationErrorKind::Conflict, ..ValidationError::invalid(location, reason) }
    }

    /// A name that does not exist.
    pub fn not_found(location: impl Into<String>, reason: impl Into<String>) -> ValidationError {
        ValidationError { kind: ValidationErrorKind::NotFound, ..ValidationError::invalid(location, reason) }
    }

    /// Whether the value conflicts with what was accepted before.
    pub fn is_conflict(&self) -> bool {
        self.kind == ValidationErrorKind::Conflict
    }
}

impl From<JsonError> for ValidationError {
    fn from(error: JsonError) -> ValidationError {
        ValidationError::invalid("", error.to_string())
    }
}
