//! What processes say to each other, made of numbers and names at their borders.

use pinerelay_cells::merkle::{Part, Range};
use pinerelay_cells::server::{Server, State};
use pinerelay_cells::{Item, Key, Kind, Version};
use pinerelay_dance::{Ballot, Batch, Member, Membership, Word};
use pinerelay_nectar::fence;
use pinerelay_nectar::purse::{Ask, Grant};
use pinerelay_propolis::speech::{Answered, Hello, Passed, Role, Rolled, Speech, Standing};

use crate::json_text;
use crate::random::Random;

/// Names that processes, tenants and machines have in plays.
const NAMES: [&str; 10] =
    ["127.0.0.1", "127.0.0.2", "127.0.0.3", "n1", "n2", "t1", "r1", "s1", "", "no address"];

/// Up to `most` things.
fn list<T>(random: &mut Random, most: usize, mut one: impl FnMut(&mut Random) -> T) -> Vec<T> {
    let most = if random.one_in(50) { most * 40 } else { most };
    (0..random.below(most + 1)).map(|_| one(random)).collect()
}

/// A name: one of a few, and now and then another.
pub fn name(random: &mut Random) -> String {
    if random.one_in(12) {
        return "\u{e9}x\r\n\u{0}".repeat(random.below(100));
    }
    random.of(&NAMES).to_string()
}

/// Who a process says that it is.
pub fn hello(random: &mut Random) -> Hello {
    let role = *random.of(&[Role::Forager, Role::Scout, Role::Scout, Role::Comb, Role::Comb, Role::Visitor]);
    Hello { node: name(random), ip: name(random), role, life: random.whole() }
}

fn kind(random: &mut Random) -> Kind {
    *random.of(&[Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits, Kind::Server, Kind::Node])
}

fn server(random: &mut Random) -> Server {
    let octets = random.bits().to_le_bytes();
    Server {
        service: name(random),
        address: std::net::SocketAddrV4::new([octets[0], octets[1], 0, 1].into(), random.bits() as u16),
        zone: name(random),
        revision: name(random),
        capacity: random.whole() as u32,
        state: *random.of(&[State::Ready, State::Draining, State::Lost, State::Gone]),
        warmup_ms: random.whole() as u32,
    }
}

/// An item: sound ones among them.
pub fn item(random: &mut Random) -> Item {
    let kind = kind(random);
    let value = match random.below(6) {
        0 => None,
        1 => Some(json_text::any(random)),
        2 => Some(Vec::new()),
        _ => {
            let sound = match kind {
                Kind::Route => {
                    r#"{"host":"a.example","path_prefix":"/x/","route_type":"safe","timeout":"1s","service":"s1","retries":2}"#
                }
                Kind::Tenant => r#"{"api_keys":["k1"],"rate_per_s":10,"burst":5,"priority":1}"#,
                Kind::Service => r#"{"health_path":"/health","max_conns":3}"#,
                Kind::Limits => r#"{"max_header_bytes":16384,"max_body_bytes":1000,"idle_timeout":"1s"}"#,
                Kind::Server | Kind::Node => return server(random).item(&name(random), random.whole()),
            };
            Some(json_text::exchanged(random, sound))
        }
    };
    let key = Key::new(kind, name(random));
    Item { key, version: Version(random.whole(), random.whole()), value }
}

fn items(random: &mut Random) -> Vec<Item> {
    list(random, 4, item)
}

/// A range as it may come on the wire; whole ones among them.
fn range(random: &mut Random) -> Range {
    let depth = if random.one_in(2) { random.below(18) as u8 } else { random.bits() as u8 };
    let standard = bincode::config::standard();
    let bytes = bincode::encode_to_vec((random.whole(), depth), standard).unwrap_or_default();
    bincode::decode_from_slice(&bytes, standard).map_or(Range::ALL, |(range, _)| range)
}

fn part(random: &mut Random) -> Part {
    match random.below(4) {
        0 => Part::Digests {
            range: range(random),
            from: random.bits() as u8,
            sums: list(random, 20, Random::whole),
        },
        1 => Part::Lines {
            range: range(random),
            lines: list(random, 20, |r| (r.whole(), Version(r.whole(), r.whole()))),
        },
        2 => Part::nothing(),
        _ => Part::Want(list(random, 20, Random::whole)),
    }
}

fn parts(random: &mut Random) -> Vec<Part> {
    list(random, 4, part)
}

fn ballot(random: &mut Random) -> Ballot {
    Ballot(random.whole(), random.whole())
}

fn membership(random: &mut Random) -> Membership {
    let member = |random: &mut Random| Member { name: name(random), incarnation: random.whole() };
    Membership { epoch: random.whole(), members: list(random, 4, member), before: list(random, 4, name) }
}

fn batch(random: &mut Random) -> Batch {
    let membership = random.one_in(2).then(|| membership(random));
    Batch { items: items(random), membership }
}

/// What a store says.
pub fn word(random: &mut Random) -> Word {
    let incarnation = random.whole();
    let some = random.one_in(2).then_some(incarnation);
    match random.below(11) {
        0 => Word::Ask {
            ballot: ballot(random),
            membership: membership(random),
            ranges: list(random, 20, Random::whole),
        },
        1 => Word::Promise {
            ballot: ballot(random),
            incarnation,
            at: ballot(random),
            pending: random.one_in(2).then(|| batch(random)),
            ranges: list(random, 20, Random::whole),
            cells: items(random),
        },
        2 => Word::Deny { ballot: ballot(random), higher: ballot(random) },
        3 => Word::Put { ballot: ballot(random), fill: items(random), batch: batch(random) },
        4 => Word::Kept { ballot: ballot(random), incarnation },
        5 => Word::Settle { ballot: ballot(random), membership: membership(random), batch: batch(random) },
        6 => Word::Members(membership(random)),
        7 => Word::Digest {
            life: random.whole(),
            sent: random.whole(),
            digest: random.whole(),
            epoch: random.whole(),
            incarnation: some,
            highest: ballot(random),
        },
        8 => Word::Seen {
            life: random.below(3) as u64,
            sent: random.whole(),
            digest: random.whole(),
            epoch: random.whole(),
            incarnation: some,
            pends: random.one_in(2),
        },
        9 => Word::Mend { items: items(random), parts: parts(random) },
        _ => Word::News(items(random)),
    }
}

fn ask(random: &mut Random) -> Ask {
    Ask {
        tenant: name(random),
        want: random.float(),
        back: random.float(),
        holds: random.float(),
        spent: random.float(),
        lately: random.float(),
        left: random.float(),
        fence: random.whole(),
    }
}

fn grant(random: &mut Random) -> Grant {
    match random.below(3) {
        0 => Grant::Block {
            units: random.float(),
            life: random.whole(),
            fence: random.whole(),
            share: random.float(),
        },
        1 => Grant::Dry { wait: random.whole(), share: random.float() },
        _ => Grant::Elsewhere,
    }
}

fn standing(random: &mut Random) -> Standing {
    Standing {
        scouts: list(random, 4, name),
        voters: list(random, 4, name),
        epoch: random.whole(),
        settled: random.one_in(2),
        foragers: random.whole() as u32,
        majority: random.one_in(2),
        whole: random.one_in(2),
        current: random.one_in(2),
    }
}

fn fence_word(random: &mut Random) -> fence::Word {
    let (turn, slices) = (random.whole(), random.whole() as u32);
    match random.below(3) {
        0 => fence::Word::Claim { turn, slices },
        1 => fence::Word::Promised { turn, slices },
        _ => fence::Word::Released { turn, slices },
    }
}

/// Any message.
pub fn speech(random: &mut Random) -> Speech {
    match random.below(28) {
        0 => Speech::Hello(hello(random)),
        1 => Speech::Bye,
        2 | 3 => Speech::News(items(random)),
        4 => Speech::Digest([random.whole(), random.whole()]),
        5 | 6 => Speech::Mend { realm: random.below(4) as u8, items: items(random), parts: parts(random) },
        7 => Speech::Hold { number: random.whole(), items: items(random) },
        8 => Speech::Held(random.below(4) as u64),
        9 => Speech::Beats(list(random, 8, |r| (r.whole(), r.whole() as u32))),
        10 | 11 => Speech::Standing(standing(random)),
        12 => Speech::Placed { me: random.whole() as u32, nodes: random.whole() as u32 },
        13 => Speech::Here,
        14 | 15 => Speech::Fence(fence_word(random)),
        16 => Speech::Draw(list(random, 4, ask)),
        17 => Speech::Drawn(list(random, 4, |r| (name(r), grant(r)))),
        18 | 19 => Speech::Store(word(random)),
        20 => Speech::StoreStands {
            membership: membership(random),
            whole: random.one_in(2),
            current: random.one_in(2),
        },
        21 => Speech::Confirm(random.whole()),
        22 => Speech::Confirmed { asked: random.whole(), epoch: random.whole(), digest: random.whole() },
        23 => {
            let passed =
                if random.one_in(4) { Passed::Read } else { Passed::Update(json_text::update(random)) };
            Speech::Pass(random.below(9) as u64, passed)
        }
        24 => {
            let answered = Answered { status: random.bits() as u16, body: name(random) };
            Speech::Answer(random.below(9) as u64, answered)
        }
        25 => Speech::Roll,
        26 => {
            let rolled =
                Rolled { linked: list(random, 3, hello), missing: list(random, 3, name), core: Vec::new() };
            random
                .of(&[Speech::Rolled(rolled), Speech::Ask, Speech::Figures(vec![("n".into(), f64::NAN)])])
                .clone()
        }
        _ => Speech::Proxies(list(random, 4, name)),
    }
}
