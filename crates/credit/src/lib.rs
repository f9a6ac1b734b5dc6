//! Prepaid credit: one account a tenant, leased to proxies in blocks that have a lifetime, debited once a request.
//!
//! - [`account`]: what the core knows of one tenant;
//! - [`credit_cache`]: the blocks that one proxy holds;
//! - [`debit_backup`]: how other proxies keep the debits of a proxy that has no disk, and how they are recovered;
//! - [`pause`]: how all proxies stop and start together;
//! - [`price`]: what a request costs;
//! - [`messages`]: what these send each other.
//!
//! All are state machines: the caller brings the clock, the links and the disks. Nothing uses the package yet. Money is whole
//! micro-credits ([`Credits`]) everywhere. Times are microseconds of the caller's monotonic clock.

pub mod account;
pub mod credit_cache;
pub mod debit_backup;
pub mod messages;
pub mod pause;
pub mod price;

#[cfg(test)]
mod random_load;

/// Whole micro-credits. A micro-credit is a millionth of a credit, and the smallest amount.
pub type Credits = u64;

/// Microseconds.
pub type Micros = u64;

/// Defects that tests inject, to see that they are found.
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
    /// What is unsettled is given back.
    UnsettledForgiven,
}

#[cfg(test)]
thread_local! {
    pub(crate) static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Whether a defect is injected: never outside of the tests.
pub(crate) fn is_injected(defect: Defect) -> bool {
    #[cfg(test)]
    return INJECTED.get() == Some(defect);
    #[cfg(not(test))]
    {
        let _ = defect;
        false
    }
}
