//! Prepaid credit: one account a tenant, leased to proxies in blocks that have a lifetime, debited once a request.
//!
//! - [`account`]: one tenant's account at the core;
//! - [`credit_cache`]: the blocks that one proxy holds;
//! - [`debit_backup`]: copies of a proxy's debits at other proxies, since a proxy has no disk, and their recovery;
//! - [`pause`]: stopping and restarting all proxies together when a tenant's credit runs out;
//! - [`price`]: the price of a request;
//! - [`messages`]: the messages between proxies, backups and the core.
//!
//! All are state machines without I/O: the caller provides clock, network and storage. Nothing uses the package yet. All amounts
//! of money are whole micro-credits ([`Credits`]). Times are microseconds of the caller's monotonic clock.

pub mod account;
pub mod credit_cache;
pub mod debit_backup;
pub mod messages;
pub mod pause;
pub mod price;

#[cfg(test)]
mod random_load;

/// An amount in micro-credits, the smallest unit: a millionth of a credit.
pub type Credits = u64;

/// A time or duration in microseconds.
pub type Micros = u64;

/// Defects that tests inject to verify that the checks find them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    /// A refill that is sent twice counts twice.
    DoubleRefill,
    /// A batch of debits that is received twice counts twice.
    DoubleBatch,
    /// A block is spent after its lifetime.
    SpentAfterLifetime,
    /// A request that is sent to a second server is debited again.
    SecondServer,
    /// Unsettled micro-credits are returned to the balance.
    UnsettledForgiven,
}

#[cfg(test)]
thread_local! {
    pub(crate) static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Whether a defect is injected; always false outside of tests.
pub(crate) fn is_injected(defect: Defect) -> bool {
    #[cfg(test)]
    return INJECTED.get() == Some(defect);
    #[cfg(not(test))]
    {
        let _ = defect;
        false
    }
}
