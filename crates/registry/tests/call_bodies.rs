//! What calls from outside may make the registry hold.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use pinerelay_registry::call_body::{BodyError, BodyMemory, MAX_BODY_LENGTH};

fn body(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

#[gtest]
fn long_bodies_share_a_part_of_the_memory_and_short_ones_come_through() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let memory = BodyMemory::of_process(128);
        let first = memory.read(body(MAX_BODY_LENGTH)).await.expect("room");
        let second = memory.read(body(MAX_BODY_LENGTH)).await.expect("room");
        expect_that!(memory.read(body(MAX_BODY_LENGTH)).await.map(drop), err(eq(&BodyError::OutOfMemory)));
        expect_that!(memory.read(body(100_000)).await.map(drop), err(eq(&BodyError::OutOfMemory)));
        expect_that!(memory.read(body(200)).await.map(|(bytes, _)| bytes.len()), ok(eq(&200)));
        drop(first);
        let third = memory.read(body(MAX_BODY_LENGTH)).await.expect("room again");
        expect_that!(third.0.len(), eq(MAX_BODY_LENGTH));
        expect_that!(memory.read(body(MAX_BODY_LENGTH + 1)).await.map(drop), err(eq(&BodyError::TooLong)));
        drop((second, third));
    });
}
