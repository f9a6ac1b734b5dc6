//! What a request of a route costs.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::Credits;

#[cfg(test)]
mod tests;

/// A unit in thousandths, in which units are counted so that a part of one has a price, too.
pub const UNIT: u64 = 1_000;

/// The price of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct Price {
    /// Micro-credits for each request.
    pub request: Credits,
    /// Micro-credits for each whole unit on top.
    pub unit: Credits,
}

/// The prices of all routes, as one item of the configuration.
///
/// A change holds for requests that are taken after it: a debit carries what it cost when it was taken.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct Prices {
    /// That of a route without a price of its own.
    pub default: Price,
    /// By route.
    pub routes: BTreeMap<String, Price>,
}

/// Why there is no price.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PriceError {
    /// It would overflow.
    #[error("the price is more than can be counted")]
    Overflow,
}

impl Prices {
    /// Micro-credits for a request of `route` with so many thousandths of a unit. A part of a micro-credit counts as one.
    ///
    /// # Errors
    ///
    /// [`PriceError::Overflow`] if it is more than a `u64` holds.
    pub fn cost(&self, route: &str, thousandths: u64) -> Result<Credits, PriceError> {
        let price = self.routes.get(route).unwrap_or(&self.default);
        let units = (u128::from(price.unit) * u128::from(thousandths)).div_ceil(u128::from(UNIT));
        Credits::try_from(u128::from(price.request) + units).map_err(|_| PriceError::Overflow)
    }

    /// Micro-credits of the cheapest request that costs anything; 1 if none does.
    pub fn cheapest(&self) -> Credits {
        let all = self.routes.values().chain([&self.default]);
        all.map(|price| price.request.max(price.unit.div_ceil(UNIT)))
            .filter(|&price| price > 0)
            .min()
            .unwrap_or(1)
    }
}
