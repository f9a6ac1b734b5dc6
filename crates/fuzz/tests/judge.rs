//! What judges the proxy: messages that can be read in two ways are none, and the same seed makes the same input.

use googletest::prelude::*;
use pinerelay_fuzz::http::{read, Read, Side};
use pinerelay_fuzz::{readers, run};

fn body(message: &str, side: Side) -> Option<(Vec<u8>, usize)> {
    match read(message.as_bytes(), side) {
        Read::Whole(message, taken) => Some((message.body, taken)),
        _ => None,
    }
}

#[gtest]
fn a_message_is_whole_part_or_none() {
    let sound = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET";
    expect_that!(body(sound, Side::Request), some(eq(&(b"abc".to_vec(), sound.len() - 3))));
    let chunked =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: 1\r\n\r\n";
    expect_that!(body(chunked, Side::Request), some(eq(&(b"abc".to_vec(), chunked.len()))));
    for message in [sound, chunked] {
        let least = if message == sound { message.len() - 3 } else { message.len() };
        for cut in 0..least {
            expect_that!(read(&message.as_bytes()[..cut], Side::Request), eq(&Read::Part), "{cut}");
        }
    }
    let unsound = [
        "GET  /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1 \r\n\r\n",
        "GET /a\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost : x\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n",
        "GET /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "GET /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
        "GET /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
        "GET /a HTTP/1.1\r\nx: \0\r\n\r\n",
    ];
    for message in unsound {
        expect_that!(
            read(message.as_bytes(), Side::Request),
            matches_pattern!(Read::Malformed(_)),
            "{message}"
        );
    }
    let to_end = "HTTP/1.1 200 OK\r\n\r\nabc";
    expect_that!(body(to_end, Side::Answer(true)), some(eq(&(b"abc".to_vec(), to_end.len()))));
    expect_that!(body(to_end, Side::Answer(false)), none());
}

#[gtest]
fn the_same_seed_makes_the_same_input() {
    for name in readers::PURE.iter().chain(&readers::SOCKETS) {
        let input = |seed| {
            let mut reader = readers::named(name, std::path::Path::new("none")).expect("a reader");
            run::input(&mut *reader, seed)
        };
        expect_that!(input(7), eq(&input(7)), "{name}");
        expect_that!((0..20).map(input).collect::<std::collections::HashSet<_>>().len(), ge(10), "{name}");
    }
}
