//! What happens to a process, written as bytes: connections that come and go, what is said on them, time that passes.
//!
//! A step is a byte that tells what happens, one for the connection or the length of time, and for what is said a message
//! as it goes on the wire. Bytes that make no step end the script.

use bytes::BytesMut;
use pinerelay_peer_link::codec;
use pinerelay_peer_link::message::PeerMessage;

use crate::mutate::mutate;
use crate::random::Random;
use crate::speeches;

/// A step.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// A connection has come up.
    Up(u64),
    /// It has gone.
    Down(u64),
    /// Something was said on it.
    Said(u64, PeerMessage),
    /// So many microseconds pass.
    Pass(u64),
}

const UP: u8 = 0;
const DOWN: u8 = 1;
const SAID: u8 = 2;
const PASS: u8 = 3;

/// Time passes in multiples of this, in microseconds.
const TICK: u64 = 25_000;

/// A script: connections that say who they are, and then anything.
pub fn write(random: &mut Random) -> Vec<u8> {
    let mut out = Vec::new();
    let mut say = |random: &mut Random, peer: u8, speech: &PeerMessage| {
        out.extend_from_slice(&[SAID, peer]);
        let mut wire = codec::encode(speech).to_vec();
        if random.one_in(8) {
            // Danger: the length in front stays as it was, or is spoilt on its own.
            let mut body = wire.split_off(4);
            mutate(random, &mut body, &[]);
            if random.one_in(2) {
                wire = (body.len() as u32).to_le_bytes().to_vec();
            }
            wire.extend_from_slice(&body);
        }
        out.extend_from_slice(&wire);
        match random.below(5) {
            0 => out.extend_from_slice(&[PASS, random.bits() as u8]),
            1 if random.one_in(4) => out.extend_from_slice(&[*random.of(&[UP, DOWN]), peer]),
            _ => {}
        }
    };
    for peer in 0..1 + random.below(4) as u8 {
        if !random.one_in(8) {
            let hello = PeerMessage::Hello(speeches::hello(random));
            say(random, peer, &hello);
        }
    }
    for _ in 0..random.below(12) {
        let (peer, speech) = (random.below(4) as u8, speeches::speech(random));
        say(random, peer, &speech);
    }
    out
}

/// The steps of a script.
pub fn read(script: &[u8]) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut left = BytesMut::from(script);
    while left.len() >= 2 {
        let head = left.split_to(2);
        let peer = u64::from(head[1]);
        match head[0] {
            UP => steps.push(Step::Up(peer)),
            DOWN => steps.push(Step::Down(peer)),
            SAID => match codec::decode(&mut left) {
                Ok(Some(speech)) => steps.push(Step::Said(peer, speech)),
                _ => break,
            },
            PASS => steps.push(Step::Pass(TICK * (1 + peer))),
            _ => break,
        }
    }
    steps
}
