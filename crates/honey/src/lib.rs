//! Prepaid credit: one account a tenant, leased to proxies in blocks that have a life, debited once a request.
//!
//! [`account::Account`] is what the core knows of one tenant; [`pot::Pot`] is what one proxy holds of it; [`watch`] is how
//! other proxies keep the debits of a proxy that has no disk; [`pause`] is how all stop and start together; [`price`] is
//! what a request costs; [`told`] is what these say to each other. All are state machines: the caller brings the clock,
//! the links and the disks. Nothing uses the package yet.
//!
//! Money is whole micro-credits ([`Credits`]) everywhere. Times are microseconds of the caller's monotonic clock.

pub mod account;
pub mod pause;
pub mod pot;
pub mod price;
pub mod told;
pub mod watch;

#[cfg(test)]
mod play;

/// Whole micro-credits: a millionth of a credit is the least there is.
pub type Credits = u64;

/// Microseconds.
pub type Micros = u64;

/// Faults that the tests put in, to see that they are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Defect {
    DoubleRefill,
    BatchTwice,
    SpentAfterLife,
    SecondServer,
    UnsettledForgiven,
}

#[cfg(test)]
thread_local! {
    pub(crate) static SEEDED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

/// Whether a fault is put in: never outside of the tests.
pub(crate) fn seeded(defect: Defect) -> bool {
    #[cfg(test)]
    return SEEDED.get() == Some(defect);
    #[cfg(not(test))]
    {
        let _ = defect;
        false
    }
}
