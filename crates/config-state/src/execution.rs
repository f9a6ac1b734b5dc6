//! Whether a request may have been executed, and which answers and retries that allows.
//!
//! RFC 9110, section 9.2.2: a request that is not idempotent may be retried only if it is known that it was not executed.

#[cfg(test)]
mod tests;

/// What is known about a request's execution by a server. It only ever rises: a request that was sent cannot be recalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum ExecutionStatus {
    /// Not executed, and it never will be: nothing was sent, or each server that received it has reported that it did not
    /// execute it.
    #[default]
    NotExecuted,
    /// It may have been executed, or may yet be.
    MayHaveExecuted,
    /// Executed: a server has answered it.
    Executed,
}

impl ExecutionStatus {
    /// The status of a request after two attempts with these statuses.
    #[must_use]
    pub fn combine(self, other: ExecutionStatus) -> ExecutionStatus {
        self.max(other)
    }

    /// Whether the request may be answered 429 or 503. Both promise that it was not executed and never will be.
    pub fn allows_rejection(self) -> bool {
        self == ExecutionStatus::NotExecuted
    }

    /// Whether the request may be sent to another server.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        idempotent || self == ExecutionStatus::NotExecuted
    }
}
