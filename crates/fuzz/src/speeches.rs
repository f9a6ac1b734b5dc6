//! What processes say to each other, made of numbers and names at their borders.

use pinerelay_admission::duty::DutyMessage;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_config_state::anti_entropy::{DigestEntry, SyncPart};
use pinerelay_config_state::digest_tree::KeyRange;
use pinerelay_config_state::rollout::{Rollout, RolloutChange, RolloutOrder, Stage};
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, Key, Kind, Version};
use pinerelay_consensus::{Ballot, Batch, Member, Membership, Message};
use pinerelay_peer_link::message::{
    CallReply, ForwardedCall, Hello, Metric, PeerMessage, ProcessList, RegistryStatus, Role, SeenHeartbeat,
    TenantGrant,
};

use pinerelay_rollout::report::{RolloutPermit, RolloutReport, RouteSample, VersionSample};

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
    let role = *random.of(&[
        Role::Proxy,
        Role::Registry,
        Role::Registry,
        Role::ConfigStore,
        Role::ConfigStore,
        Role::Observer,
    ]);
    Hello { node: name(random), ip: name(random), role, process_id: random.whole() }
}

fn kind(random: &mut Random) -> Kind {
    *random.of(&[
        Kind::Route,
        Kind::Tenant,
        Kind::Service,
        Kind::Limits,
        Kind::Server,
        Kind::Node,
        Kind::Rollout,
    ])
}

fn server(random: &mut Random) -> Server {
    let octets = random.bits().to_le_bytes();
    Server {
        service: name(random),
        address: std::net::SocketAddrV4::new([octets[0], octets[1], 0, 1].into(), random.bits() as u16),
        zone: name(random),
        revision: name(random),
        capacity: random.whole() as u32,
        state: *random.of(&[ServerState::Ready, ServerState::Draining, ServerState::Lost, ServerState::Gone]),
        warmup_ms: random.whole() as u32,
    }
}

fn stage(random: &mut Random) -> Stage {
    let stages =
        [Stage::Baseline, Stage::Canary, Stage::Ramp, Stage::Cutover, Stage::Finished, Stage::Reverted];
    *random.of(&stages)
}

fn rollout(random: &mut Random) -> Rollout {
    Rollout {
        stage: stage(random),
        target: name(random),
        stable: list(random, 3, name),
        order: random.whole(),
        ordered_at_ms: random.whole(),
        deadline_ms: random.whole(),
    }
}

fn rollout_change(random: &mut Random) -> RolloutChange {
    match random.below(3) {
        0 => RolloutChange::SetBaseline { service: name(random), versions: list(random, 3, name) },
        1 => RolloutChange::Start {
            order: RolloutOrder { service: name(random), target: name(random), deadline_ms: random.whole() },
            ordered_at_ms: random.whole(),
        },
        _ => RolloutChange::Advance { service: name(random), revision: random.whole(), stage: stage(random) },
    }
}

fn version_sample(random: &mut Random) -> VersionSample {
    let mut sample = VersionSample { attempts: random.whole() as u32, ..VersionSample::default() };
    sample.failures = random.whole() as u32;
    sample.latencies.iter_mut().for_each(|count| *count = random.whole() as u32);
    sample
}

fn rollout_report(random: &mut Random) -> RolloutReport {
    let route_sample = |random: &mut Random| RouteSample {
        route: random.whole(),
        target_class: random.whole() as u8,
        stable: version_sample(random),
        target: version_sample(random),
    };
    RolloutReport {
        service: name(random),
        order: random.whole(),
        sent_at: random.whole(),
        in_force: random.whole(),
        exposed_for: random.whole(),
        has_drained: random.one_in(2),
        routes: list(random, 4, route_sample),
    }
}

fn rollout_permit(random: &mut Random) -> RolloutPermit {
    RolloutPermit {
        service: name(random),
        order: random.whole(),
        sent_at: random.whole(),
        duration: random.whole(),
        share_permille: random.whole() as u16,
        margin: random.whole() as u32,
        is_cumulative: random.one_in(2),
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
                Kind::Server | Kind::Node => return server(random).to_item(&name(random), random.whole()),
                Kind::Rollout => return rollout(random).to_item(&name(random), random.whole()),
            };
            Some(json_text::exchanged(random, sound))
        }
    };
    let key = Key::new(kind, name(random));
    Item { key, version: Version::new(random.whole(), random.whole()), value }
}

fn items(random: &mut Random) -> Vec<Item> {
    list(random, 4, item)
}

/// A range as it may come on the wire; whole ones among them.
fn range(random: &mut Random) -> KeyRange {
    let depth = if random.one_in(2) { random.below(18) as u8 } else { random.bits() as u8 };
    let standard = bincode::config::standard();
    let bytes = bincode::encode_to_vec((random.whole(), depth), standard).unwrap_or_default();
    bincode::decode_from_slice(&bytes, standard).map_or(KeyRange::ALL, |(range, _)| range)
}

fn part(random: &mut Random) -> SyncPart {
    match random.below(4) {
        0 => SyncPart::Digests {
            range: range(random),
            first_child: random.bits() as u8,
            digests: list(random, 20, Random::whole),
        },
        1 => SyncPart::Entries {
            range: range(random),
            entries: list(random, 20, |r| DigestEntry {
                key_hash: r.whole(),
                version: Version::new(r.whole(), r.whole()),
            }),
        },
        2 => SyncPart::request_all(),
        _ => SyncPart::Want(list(random, 20, Random::whole)),
    }
}

fn parts(random: &mut Random) -> Vec<SyncPart> {
    list(random, 4, part)
}

fn ballot(random: &mut Random) -> Ballot {
    Ballot::new(random.whole(), random.whole())
}

fn membership(random: &mut Random) -> Membership {
    let member = |random: &mut Random| Member { name: name(random), incarnation: random.whole() };
    Membership { epoch: random.whole(), members: list(random, 4, member), previous: list(random, 4, name) }
}

fn batch(random: &mut Random) -> Batch {
    let membership = random.one_in(2).then(|| membership(random));
    Batch { items: items(random), membership }
}

/// What a store says.
pub fn word(random: &mut Random) -> Message {
    let incarnation = random.whole();
    let some = random.one_in(2).then_some(incarnation);
    match random.below(11) {
        0 => Message::Prepare {
            ballot: ballot(random),
            membership: membership(random),
            range_digests: list(random, 20, Random::whole),
        },
        1 => Message::Promise {
            ballot: ballot(random),
            incarnation,
            accepted: ballot(random),
            pending: random.one_in(2).then(|| batch(random)),
            range_digests: list(random, 20, Random::whole),
            items: items(random),
        },
        2 => Message::Reject { ballot: ballot(random), promised: ballot(random) },
        3 => Message::Accept { ballot: ballot(random), missing: items(random), batch: batch(random) },
        4 => Message::Accepted { ballot: ballot(random), incarnation },
        5 => Message::Commit { ballot: ballot(random), membership: membership(random), batch: batch(random) },
        6 => Message::NewMembership(membership(random)),
        7 => Message::Heartbeat {
            process_id: random.whole(),
            sent_at: random.whole(),
            digest: random.whole(),
            epoch: random.whole(),
            incarnation: some,
            highest_ballot: ballot(random),
        },
        8 => Message::HeartbeatAck {
            process_id: random.below(3) as u64,
            sent_at: random.whole(),
            digest: random.whole(),
            epoch: random.whole(),
            incarnation: some,
            has_pending: random.one_in(2),
        },
        9 => Message::Sync { items: items(random), parts: parts(random) },
        _ => Message::Update(items(random)),
    }
}

fn ask(random: &mut Random) -> LeaseRequest {
    LeaseRequest {
        tenant: name(random),
        wanted: random.float(),
        returned: random.float(),
        held_share: random.float(),
        share_spent: random.float(),
        share_spent_lately: random.float(),
        share_left: random.float(),
        fencing_token: random.whole(),
    }
}

fn grant(random: &mut Random) -> LeaseGrant {
    match random.below(3) {
        0 => LeaseGrant::Units {
            units: random.float(),
            duration: random.whole(),
            fencing_token: random.whole(),
            share: random.float(),
        },
        1 => LeaseGrant::Exhausted { retry_after: random.whole(), share: random.float() },
        _ => LeaseGrant::NotOwner,
    }
}

fn standing(random: &mut Random) -> RegistryStatus {
    RegistryStatus {
        registries: list(random, 4, name),
        voters: list(random, 4, name),
        epoch: random.whole(),
        epoch_settled: random.one_in(2),
        proxies: random.whole() as u32,
        has_majority: random.one_in(2),
        is_complete: random.one_in(2),
        is_current: random.one_in(2),
    }
}

fn fence_word(random: &mut Random) -> DutyMessage {
    let (turn, slices) = (random.whole(), random.whole() as u32);
    match random.below(3) {
        0 => DutyMessage::Claim { claim: turn, slices },
        1 => DutyMessage::Promise { claim: turn, slices },
        _ => DutyMessage::Release { claim: turn, slices },
    }
}

/// Any message.
#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
pub fn speech(random: &mut Random) -> PeerMessage {
    match random.below(30) {
        0 => PeerMessage::Hello(hello(random)),
        1 => PeerMessage::Goodbye,
        2 | 3 => PeerMessage::Update(items(random)),
        4 => PeerMessage::Digests([random.whole(), random.whole()]),
        5 | 6 => {
            PeerMessage::Sync { realm: random.below(4) as u8, items: items(random), parts: parts(random) }
        }
        7 => PeerMessage::Replicate { number: random.whole(), items: items(random) },
        8 => PeerMessage::Replicated(random.below(4) as u64),
        9 => PeerMessage::HeartbeatsSeen(list(random, 8, |r| SeenHeartbeat {
            key_hash: r.whole(),
            age_ms: r.whole() as u32,
        })),
        10 | 11 => PeerMessage::RegistryStatus(standing(random)),
        12 => PeerMessage::ProxyPlace { index: random.whole() as u32, proxies: random.whole() as u32 },
        13 => PeerMessage::KeepAlive,
        14 | 15 => PeerMessage::Duty(fence_word(random)),
        16 => PeerMessage::LeaseRequests(list(random, 4, ask)),
        17 => PeerMessage::LeaseGrants(list(random, 4, |r| TenantGrant { tenant: name(r), grant: grant(r) })),
        18 | 19 => PeerMessage::Consensus(word(random)),
        20 => PeerMessage::StoreStatus {
            membership: membership(random),
            is_complete: random.one_in(2),
            is_current: random.one_in(2),
        },
        21 => PeerMessage::ConfirmCurrent(random.whole()),
        22 => PeerMessage::Current {
            asked_at: random.whole(),
            epoch: random.whole(),
            digest: random.whole(),
            lease_left: random.whole(),
        },
        23 => {
            let passed = match random.below(6) {
                0 => ForwardedCall::Read,
                1 => ForwardedCall::ReadRollout(name(random)),
                2 => ForwardedCall::ChangeRollout(rollout_change(random)),
                _ => ForwardedCall::Update(json_text::update(random)),
            };
            PeerMessage::ForwardCall(random.below(9) as u64, passed)
        }
        24 => {
            let answered = CallReply { status: random.bits() as u16, body: name(random) };
            PeerMessage::CallReply(random.below(9) as u64, answered)
        }
        25 => PeerMessage::ProcessListRequest,
        26 => {
            let rolled = ProcessList {
                linked: list(random, 3, hello),
                missing: list(random, 3, name),
                voters: Vec::new(),
            };
            random
                .of(&[
                    PeerMessage::ProcessList(rolled),
                    PeerMessage::MetricsRequest,
                    PeerMessage::Metrics(vec![Metric::new("n", f64::NAN)]),
                ])
                .clone()
        }
        27 => PeerMessage::RolloutReports(list(random, 3, rollout_report)),
        28 => PeerMessage::RolloutPermits(list(random, 3, rollout_permit)),
        _ => PeerMessage::KnownProxies(list(random, 4, name)),
    }
}
