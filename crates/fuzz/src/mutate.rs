//! Changes of bytes that are near to sound ones.

use crate::random::Random;

/// No mutated input is longer, in bytes.
const LONGEST: usize = 64 * 1024;

/// Changes a text at a few places; `words` are pieces that mean something to its reader.
pub fn mutate(random: &mut Random, text: &mut Vec<u8>, words: &[&[u8]]) {
    for _ in 0..1 + random.below(4) {
        once(random, text, words);
        text.truncate(LONGEST);
    }
}

fn once(random: &mut Random, text: &mut Vec<u8>, words: &[&[u8]]) {
    let at = random.below(text.len() + 1);
    let end = (at + 1 + random.below(16)).min(text.len());
    match random.below(9) {
        0 => text.truncate(at),
        1 => drop(text.drain(at..end)),
        2 => text.insert(at, random.bits() as u8),
        3 => {
            if let Some(byte) = text.get_mut(at) {
                *byte ^= 1 << random.below(8);
            }
        }
        4 => {
            if let Some(byte) = text.get_mut(at) {
                *byte = *random.of(&[0, 0xff, 0x80, b'"', b'\\', b'\r', b'\n', b' ', b'[', b'{', 0x7f]);
            }
        }
        5 => {
            let piece = text[at..end].to_vec();
            let times = 1 + random.below(8);
            text.splice(at..at, piece.repeat(times));
        }
        6 => {
            let piece: Vec<u8> = text.drain(at..end).collect();
            let to = random.below(text.len() + 1);
            text.splice(to..to, piece);
        }
        7 if !words.is_empty() => {
            let word = random.of(words).to_vec();
            text.splice(at..end, word);
        }
        _ if !words.is_empty() => {
            let word = random.of(words).to_vec();
            text.splice(at..at, word);
        }
        _ => {}
    }
}
