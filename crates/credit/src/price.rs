//! The price of a request by route.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::Credits;

#[cfg(test)]
mod tests;

/// The thousandths in one unit. Units are counted in thousandths, so that fractions of a unit are charged, too.
pub const UNIT: u64 = 1_000;

/// The price of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct Price {
    /// Micro-credits for each request.
    pub request: Credits,
    /// Additional micro-credits for each unit.
    pub unit: Credits,
}

/// The prices of all routes, as one item of the configuration.
///
/// A change applies to requests that are accepted after it: a debit carries the price at the time of acceptance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct Prices {
    /// The price of routes that are not in `routes`.
    pub default: Price,
    /// Prices by route.
    pub routes: BTreeMap<String, Price>,
}

/// Why a price cannot be calculated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PriceError {
    /// It does not fit into [`Credits`].
    #[error("the price would overflow")]
    Overflow,
}

impl Prices {
    /// The cost of a request of `route` with this many thousandths of a unit, rounded up to whole micro-credits.
    ///
    /// # Errors
    ///
    /// [`PriceError::Overflow`] if the cost does not fit into [`Credits`].
    pub fn cost(&self, route: &str, thousandths: u64) -> Result<Credits, PriceError> {
        let price = self.routes.get(route).unwrap_or(&self.default);
        let units = (u128::from(price.unit) * u128::from(thousandths)).div_ceil(u128::from(UNIT));
        Credits::try_from(u128::from(price.request) + units).map_err(|_| PriceError::Overflow)
    }

    /// The price of the cheapest request that is not free, or 1 if all are free.
    pub fn cheapest(&self) -> Credits {
        let all = self.routes.values().chain([&self.default]);
        all.map(|price| price.request.max(price.unit.div_ceil(UNIT)))
            .filter(|&price| price > 0)
            .min()
            .unwrap_or(1)
    }
}
