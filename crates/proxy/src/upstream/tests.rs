//! How long connections are kept.

use googletest::prelude::*;

use super::*;

#[gtest]
fn a_connection_is_kept_for_less_than_the_server_says() {
    let sent = |value: &'static str| {
        let mut headers = HeaderMap::new();
        headers.insert(KEEP_ALIVE, HeaderValue::from_static(value));
        keep_alive_of(&headers)
    };
    expect_that!(sent("timeout=10, max=100"), eq(Duration::from_secs(8)));
    expect_that!(sent("max=3, Timeout = 5"), eq(Duration::from_secs(4)));
    expect_that!(sent("soon"), eq(DEFAULT_KEEP_ALIVE));
    expect_that!(keep_alive_of(&HeaderMap::new()), eq(DEFAULT_KEEP_ALIVE));
}
