//! Messages are framed and decoded.

use googletest::prelude::*;
use pinerelay_config_state::{Item, Key, Kind};
use proptest::prelude::*;

use super::*;

#[gtest]
fn messages_come_apart_as_they_were_put_together() {
    let item = Item::with_revision(Key::new(Kind::Route, "r"), 7, Some(b"{}".to_vec()));
    let sent = [PeerMessage::Goodbye, PeerMessage::Update(vec![item]), PeerMessage::Digests([9, 3])];
    let mut wire = BytesMut::new();
    sent.iter().for_each(|message| wire.extend_from_slice(&encode(message)));
    let mut heard = Vec::new();
    let mut come = BytesMut::new();
    for byte in wire {
        come.put_u8(byte);
        heard.extend(decode(&mut come).expect("sound"));
    }
    expect_that!(heard, container_eq(sent));
    let mut huge = BytesMut::from(&u32::MAX.to_le_bytes()[..]);
    expect_that!(decode(&mut huge), err(eq(&CodecError::TooLong(u32::MAX as usize))));
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(noise: Vec<u8>, length in 0..40_u32) {
        let mut come = BytesMut::from(&noise[..]);
        while let Ok(Some(_)) = decode(&mut come) {}
        let mut framed = BytesMut::from(&length.to_le_bytes()[..]);
        framed.extend_from_slice(&noise);
        while let Ok(Some(_)) = decode(&mut framed) {}
    }
}
