//! What comes on a link between processes: greeting and messages, in pieces.

use pinerelay_peer_link::codec::{self, Decoder, GREETING};

use crate::mutate::mutate;
use crate::random::Random;
use crate::reader::{Fault, Reader};
use crate::speeches;

/// The first byte tells in which pieces the others come.
pub struct Words;

impl Reader for Words {
    fn name(&self) -> &'static str {
        "words"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        let mut out = vec![random.bits() as u8];
        match random.below(10) {
            0 => out.extend_from_slice(b"prp2"),
            1 => out.extend_from_slice(b"GET / HTTP/1.1\r\n\r\n"),
            _ => out.extend_from_slice(&GREETING),
        }
        for _ in 0..random.below(5) {
            let mut wire = codec::encode(&speeches::speech(random)).to_vec();
            match random.below(4) {
                0 => mutate(
                    random,
                    &mut wire,
                    &[b"\xfb\xff\xff", b"\xfc\xff\xff\xff\x7f", b"\xfd\xff\xff\xff\xff\xff\xff\xff\xff"],
                ),
                1 => {
                    let mut body = wire.split_off(4);
                    mutate(random, &mut body, &[b"\xfb\xff\xff", b"\xfc\xff\xff\xff\x00", b"\xfd"]);
                    wire = (body.len() as u32).to_le_bytes().to_vec();
                    wire.extend_from_slice(&body);
                }
                _ => {}
            }
            out.extend_from_slice(&wire);
        }
        out
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let Some((&piece, wire)) = input.split_first() else { return Ok(()) };
        let heard = hear(wire, usize::from(piece).max(1));
        let whole = hear(wire, wire.len().max(1));
        if heard != whole {
            return Err("what is heard depends on the pieces in which it comes".into());
        }
        Ok(())
    }

    fn allocates(&self, input: &[u8]) -> Option<usize> {
        Some((2 << 20) + 400 * input.len())
    }
}

/// The messages that come, each as it would be written again, and how it ends. What is no number is not equal to itself.
fn hear(wire: &[u8], piece: usize) -> (Vec<Vec<u8>>, String) {
    let (mut come, mut heard) = (Decoder::default(), Vec::new());
    for piece in wire.chunks(piece) {
        come.read_buffer().extend_from_slice(piece);
        loop {
            match come.next_message() {
                Ok(Some(speech)) => heard.push(codec::encode(&speech).to_vec()),
                Ok(None) => break,
                Err(garbled) => return (heard, garbled.to_string()),
            }
        }
    }
    (heard, "more is waited for".into())
}
