//! What calls from outside may make the registry hold.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use pinerelay_scout::bodies::{Bodies, Untaken, LONGEST};

fn body(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

#[gtest]
fn long_bodies_share_a_part_of_the_memory_and_short_ones_come_through() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let bodies = Bodies::of(128);
        let first = bodies.take(body(LONGEST)).await.expect("room");
        let second = bodies.take(body(LONGEST)).await.expect("room");
        expect_that!(bodies.take(body(LONGEST)).await.map(drop), err(eq(&Untaken::Full)));
        expect_that!(bodies.take(body(100_000)).await.map(drop), err(eq(&Untaken::Full)));
        expect_that!(bodies.take(body(200)).await.map(|(bytes, _)| bytes.len()), ok(eq(&200)));
        drop(first);
        let third = bodies.take(body(LONGEST)).await.expect("room again");
        expect_that!(third.0.len(), eq(LONGEST));
        expect_that!(bodies.take(body(LONGEST + 1)).await.map(drop), err(eq(&Untaken::Long)));
        drop((second, third));
    });
}
