//! Tests of the keep-alive timeout of server connections.

use googletest::prelude::*;

use super::*;

#[gtest]
fn keep_alive_is_shorter_than_the_servers_timeout() {
    let keep_alive = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(KEEP_ALIVE, HeaderValue::from_static(value));
        keep_alive_of(&headers)
    };
    expect_that!(keep_alive("timeout=10, max=100"), eq(Duration::from_secs(8)));
    expect_that!(keep_alive("max=3, Timeout = 5"), eq(Duration::from_secs(4)));
    expect_that!(keep_alive("soon"), eq(DEFAULT_KEEP_ALIVE));
    expect_that!(keep_alive_of(&HeaderMap::new()), eq(DEFAULT_KEEP_ALIVE));
}
