//! The memory limit for request bodies: clients must not be able to exhaust the process's memory with long bodies.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use pinerelay_registry::call_body::{BodyError, BodyMemory, MAX_BODY_LENGTH};

fn body(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

#[gtest]
fn long_bodies_are_limited_together_and_short_ones_are_always_read() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(async {
        let memory = BodyMemory::of_process(128);
        let first = memory.read(body(MAX_BODY_LENGTH)).await.expect("within the limit");
        let second = memory.read(body(MAX_BODY_LENGTH)).await.expect("within the limit");
        expect_that!(memory.read(body(MAX_BODY_LENGTH)).await.map(drop), err(eq(&BodyError::OutOfMemory)));
        expect_that!(memory.read(body(100_000)).await.map(drop), err(eq(&BodyError::OutOfMemory)));
        expect_that!(memory.read(body(200)).await.map(|(bytes, _)| bytes.len()), ok(eq(&200)));
        drop(first);
        let third = memory.read(body(MAX_BODY_LENGTH)).await.expect("memory of the first body is released");
        expect_that!(third.0.len(), eq(MAX_BODY_LENGTH));
        expect_that!(memory.read(body(MAX_BODY_LENGTH + 1)).await.map(drop), err(eq(&BodyError::TooLong)));
        drop((second, third));
    });
}
