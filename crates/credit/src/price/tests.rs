//! Tests that prices are rounded up and overflows are reported.

use googletest::prelude::*;

use super::*;

#[gtest]
fn fractions_are_rounded_up_and_overflow_is_an_error() {
    let mut prices = Prices { default: Price { request: 5, unit: 0 }, ..Prices::default() };
    prices.routes.insert("pay".into(), Price { request: 100, unit: 7 });
    prices.routes.insert("much".into(), Price { request: 1, unit: u64::MAX });
    expect_that!(prices.cost("elsewhere", 9_000), ok(eq(5)));
    expect_that!(prices.cost("pay", 0), ok(eq(100)));
    expect_that!(prices.cost("pay", 1_001), ok(eq(108)));
    expect_that!(prices.cost("much", 1_000), err(eq(PriceError::Overflow)));
    expect_that!(prices.cheapest(), eq(5));
}
