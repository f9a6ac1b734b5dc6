//! What a request of a route costs.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::Credits;

/// Units are told in thousandths, so that a part of one has a price, too.
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
    /// Where a route has none of its own.
    pub other: Price,
    /// By route.
    pub routes: BTreeMap<String, Price>,
}

/// Why there is no price.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PriceError {
    /// More than can be counted.
    #[error("the price is more than can be counted")]
    TooMuch,
}

impl Prices {
    /// Micro-credits for a request of `route` with so many thousandths of a unit. A part of a micro-credit counts as one.
    ///
    /// # Errors
    ///
    /// [`PriceError::TooMuch`] if it is more than a `u64` holds.
    pub fn cost(&self, route: &str, thousandths: u64) -> Result<Credits, PriceError> {
        let price = self.routes.get(route).unwrap_or(&self.other);
        let units = (u128::from(price.unit) * u128::from(thousandths)).div_ceil(u128::from(UNIT));
        Credits::try_from(u128::from(price.request) + units).map_err(|_| PriceError::TooMuch)
    }

    /// Micro-credits of the cheapest request that costs anything; 1 if none does.
    pub fn least(&self) -> Credits {
        let all = self.routes.values().chain([&self.other]);
        all.map(|price| price.request.max(price.unit.div_ceil(UNIT))).filter(|&c| c > 0).min().unwrap_or(1)
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn parts_are_rounded_up_and_nothing_wraps() {
        let mut prices = Prices { other: Price { request: 5, unit: 0 }, ..Prices::default() };
        prices.routes.insert("pay".into(), Price { request: 100, unit: 7 });
        prices.routes.insert("much".into(), Price { request: 1, unit: u64::MAX });
        expect_that!(prices.cost("elsewhere", 9_000), ok(eq(5)));
        expect_that!(prices.cost("pay", 0), ok(eq(100)));
        expect_that!(prices.cost("pay", 1_001), ok(eq(108)));
        expect_that!(prices.cost("much", 1_000), err(eq(PriceError::TooMuch)));
        expect_that!(prices.least(), eq(5));
    }
}
