//! Messages survive framing byte by byte, and arbitrary bytes never cause a panic.

use googletest::prelude::*;
use pinerelay_config_state::{Item, Key, Kind};
use proptest::prelude::*;

use super::*;

#[gtest]
fn decoding_byte_by_byte_yields_the_encoded_messages() {
    let item = Item::with_revision(Key::new(Kind::Route, "r"), 7, Some(b"{}".to_vec()));
    let sent = [PeerMessage::Goodbye, PeerMessage::Update(vec![item]), PeerMessage::Digests([9, 3])];
    let mut wire = BytesMut::new();
    sent.iter().for_each(|message| wire.extend_from_slice(&encode(message)));
    let mut decoded = Vec::new();
    let mut received = BytesMut::new();
    for byte in wire {
        received.put_u8(byte);
        decoded.extend(decode(&mut received).expect("well-formed messages"));
    }
    expect_that!(decoded, container_eq(sent));
    let mut too_long = BytesMut::from(&u32::MAX.to_le_bytes()[..]);
    expect_that!(decode(&mut too_long), err(eq(&CodecError::TooLong(u32::MAX as usize))));
}

proptest! {
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>, length in 0..40_u32) {
        let mut received = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = decode(&mut received) {}
        let mut framed = BytesMut::from(&length.to_le_bytes()[..]);
        framed.extend_from_slice(&bytes);
        while let Ok(Some(_)) = decode(&mut framed) {}
    }
}
