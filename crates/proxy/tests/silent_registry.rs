//! Lease requests of a proxy while registries are silent on open links.

use std::collections::BTreeSet;

use googletest::prelude::*;
use pinerelay_admission::duty::{slice_of, slice_owner, PROMISE_DURATION};
use pinerelay_admission::lease::LeaseGrant;
use pinerelay_admission::quota::Quota;
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role, TenantGrant};
use pinerelay_proxy::subscriber::{Output, Subscriber};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const TENANT: &str = "t";
const REGISTRIES: std::ops::Range<u64> = 1..6;
/// The time between two ticks of the proxy, and between two requests of clients.
const TICK: u64 = 25 * MS;
/// The time between two messages of a registry that is not asked for leases.
const STATUS_INTERVAL: u64 = 600 * MS;
/// An unanswered lease request is repeated after this time.
const LEASE_REQUEST_TIMEOUT: u64 = 120 * MS;
/// The longest time between two messages to a registry that does not answer: the timeout has doubled twice.
const MAX_LEASE_REQUEST_TIMEOUT: u64 = 4 * LEASE_REQUEST_TIMEOUT;
/// When a registry falls silent in these tests.
const SILENT_FROM: u64 = 5 * SECOND;

fn ip(registry: u64) -> String {
    format!("127.0.0.{registry}")
}

/// The registry that owns the tenant's slice while only these are alive.
fn owner_among(registries: impl IntoIterator<Item = u64>) -> u64 {
    let names: Vec<(String, u64)> = registries.into_iter().map(|registry| (ip(registry), registry)).collect();
    let owner = slice_owner(slice_of(TENANT), names.iter().map(|(name, _)| name));
    names.iter().find(|(name, _)| Some(name) == owner).expect("an owner").1
}

/// The registry that owns the tenant's slice while all are alive, and the one that owns it without that one.
fn owner_and_successor() -> (u64, u64) {
    let owner = owner_among(REGISTRIES);
    (owner, owner_among(REGISTRIES.filter(|registry| *registry != owner)))
}

/// A lease request that a registry was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Asked {
    at: u64,
    registry: u64,
}

/// A proxy that is linked to five registries, each of which answers lease requests at once unless it is silent.
struct Deployment {
    proxy: Subscriber,
    now: u64,
    /// The registry that grants units.
    owner: u64,
    /// Registries that send nothing, on links that stay open.
    silent: BTreeSet<u64>,
    /// Registries that send their status, and answer no lease requests.
    unanswering: BTreeSet<u64>,
    /// The requests for units, oldest first.
    asked: Vec<Asked>,
    /// When any message of each registry last arrived, by its number.
    last_message: [u64; REGISTRIES.end as usize],
}

impl Deployment {
    fn new() -> Deployment {
        let hello = |role, ip| Hello { node: "n".into(), ip, role, process_id: 1 };
        let mut deployment = Deployment {
            proxy: Subscriber::new(0, hello(Role::Proxy, "127.0.0.9".into()), Vec::new()),
            now: 0,
            owner: owner_among(REGISTRIES),
            silent: BTreeSet::new(),
            unanswering: BTreeSet::new(),
            asked: Vec::new(),
            last_message: Default::default(),
        };
        for registry in REGISTRIES {
            deployment.receive(registry, PeerMessage::Hello(hello(Role::Registry, ip(registry))));
            deployment.receive(registry, status());
        }
        deployment
    }

    /// The proxy handles a message of a registry.
    fn receive(&mut self, registry: u64, message: PeerMessage) {
        self.last_message[registry as usize] = self.now;
        let mut out = Vec::new();
        self.proxy.receive(self.now, registry, message, &mut out);
        self.answer(out);
    }

    /// Registries answer the lease requests that the proxy has sent.
    fn answer(&mut self, out: Vec<Output>) {
        for output in out {
            let Output::Send(registry, PeerMessage::LeaseRequests(requests)) = output else { continue };
            if requests.iter().any(|request| request.wanted >= 1.0) {
                self.asked.push(Asked { at: self.now, registry });
            }
            if self.silent.contains(&registry) || self.unanswering.contains(&registry) {
                continue;
            }
            let grant = if registry == self.owner {
                LeaseGrant::Units { units: 1.0, duration: 100 * MS, fencing_token: 1, share: 0.0 }
            } else {
                LeaseGrant::NotOwner
            };
            let grants = requests
                .into_iter()
                .map(|request| TenantGrant { tenant: request.tenant, grant: grant.clone() });
            self.receive(registry, PeerMessage::LeaseGrants(grants.collect()));
        }
    }

    /// A client's request arrives.
    fn admit(&mut self) {
        let mut out = Vec::new();
        self.proxy.admit(self.now, TENANT, Quota { rate: 100.0, burst: 100.0 }, self.now, &mut out);
        self.answer(out);
    }

    /// The proxy's tick runs, while messages that arrived within a time may not have been handled.
    fn tick(&mut self, backlog: u64) {
        let mut out = Vec::new();
        self.proxy.tick_with_backlog(self.now, backlog, &mut out);
        self.answer(out);
    }

    /// Registries that are not silent send their status when it is due.
    fn send_statuses(&mut self) {
        for registry in REGISTRIES.filter(|registry| !self.silent.contains(registry)).collect::<Vec<_>>() {
            // Each registry has a phase of its own.
            if (self.now + registry * 100 * MS) % STATUS_INTERVAL < TICK {
                self.receive(registry, status());
            }
        }
    }

    /// Clients send requests until a time, and all processes run.
    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK;
            self.send_statuses();
            self.tick(0);
            self.admit();
        }
    }

    /// The registries asked from a time on.
    fn asked_from(&self, from: u64) -> Vec<u64> {
        self.asked.iter().filter(|asked| asked.at >= from).map(|asked| asked.registry).collect()
    }
}

fn status() -> PeerMessage {
    PeerMessage::RegistryStatus(RegistryStatus {
        registries: Vec::new(),
        voters: Vec::new(),
        epoch: 1,
        epoch_settled: true,
        proxies: 1,
        has_majority: true,
        is_complete: true,
        is_current: true,
    })
}

// Guards against lease requests that are repeated to a registry without power until its link closes, two seconds after its last
// message.
#[gtest]
fn a_registry_that_is_silent_on_an_open_link_is_not_asked_until_the_link_closes() {
    let (owner, successor) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.silent.insert(owner);
    let last_message = deployment.last_message[owner as usize];
    deployment.run_until(last_message + PROMISE_DURATION - TICK);
    expect_that!(deployment.asked_from(SILENT_FROM), each(eq(&owner)), "its duty may last");
    deployment.owner = successor;
    deployment.run_until(SILENT_FROM + 2 * SECOND);
    let others = deployment.asked.iter().filter(|asked| asked.registry != owner);
    let first = others.min_by_key(|asked| asked.at).expect("another registry is asked");
    expect_that!(first.registry, eq(successor));
    let limit = last_message + PROMISE_DURATION;
    expect_that!(first.at, all![ge(limit), le(limit + LEASE_REQUEST_TIMEOUT + TICK)]);
    expect_that!(deployment.asked_from(first.at), each(eq(&successor)));
    expect_that!(deployment.proxy.leases().tenants_cut_off(deployment.now), eq(0));
}

#[gtest]
fn lease_requests_that_time_out_do_not_move_on_from_a_registry_that_is_heard() {
    let (owner, _) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.unanswering.insert(owner);
    let unanswered_for = 10 * SECOND;
    deployment.run_until(SILENT_FROM + unanswered_for);
    let asked = deployment.asked_from(SILENT_FROM);
    expect_that!(asked.len() as u64, ge(unanswered_for / (MAX_LEASE_REQUEST_TIMEOUT + TICK)));
    expect_that!(asked, each(eq(&owner)));
}

#[gtest]
fn a_stalled_proxy_does_not_take_registries_for_silent() {
    let (owner, _) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.now += 2 * SECOND;
    // A client's request is handled first, then messages of the other registries, while those of the owner still wait.
    deployment.unanswering.insert(owner);
    deployment.admit();
    for other in REGISTRIES.filter(|registry| *registry != owner) {
        deployment.receive(other, status());
    }
    for _ in 0..10 {
        deployment.admit();
        deployment.tick(deployment.now - SILENT_FROM);
        deployment.now += TICK;
    }
    let asked = deployment.asked_from(SILENT_FROM + TICK);
    expect_that!(asked, all![not(is_empty()), each(eq(&owner))]);
}

#[gtest]
fn the_owner_is_asked_again_and_again_while_all_registries_are_silent() {
    let (owner, successor) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.silent.extend(REGISTRIES);
    // The last status of each has arrived at a time of its own, so others may be asked until all are silent.
    let all_silent = SILENT_FROM + PROMISE_DURATION + LEASE_REQUEST_TIMEOUT;
    deployment.run_until(all_silent + 3 * SECOND);
    let asked = deployment.asked_from(all_silent + TICK);
    expect_that!(asked, all![not(is_empty()), each(eq(&owner))]);
    // Another registry is heard again first.
    deployment.silent.remove(&successor);
    deployment.now += TICK;
    let back = deployment.now;
    deployment.receive(successor, status());
    deployment.run_until(back + STATUS_INTERVAL);
    deployment.silent.clear();
    deployment.run_until(back + 2 * SECOND);
    expect_that!(deployment.asked_from(back), all![not(is_empty()), each(eq(&owner))]);
}

#[gtest]
fn a_registry_that_is_heard_again_is_asked_again() {
    let (owner, successor) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.silent.insert(owner);
    deployment.run_until(SILENT_FROM + 900 * MS);
    deployment.owner = successor;
    deployment.run_until(SILENT_FROM + 3 * SECOND);
    // The successor keeps the slice at first, and then returns it.
    deployment.silent.clear();
    deployment.run_until(SILENT_FROM + 5 * SECOND);
    expect_that!(deployment.asked_from(SILENT_FROM + 3 * SECOND), each(eq(&successor)));
    deployment.owner = owner;
    deployment.run_until(SILENT_FROM + 6 * SECOND);
    let asked = deployment.asked_from(SILENT_FROM + 5 * SECOND + TICK);
    expect_that!(asked.iter().filter(|registry| **registry == successor).count(), eq(1), "{asked:?}");
    expect_that!(asked[1..], each(eq(&owner)));
}

#[gtest]
fn a_registry_that_kept_its_duty_while_it_was_silent_is_asked_at_once() {
    let (owner, _) = owner_and_successor();
    let mut deployment = Deployment::new();
    deployment.run_until(SILENT_FROM);
    deployment.silent.insert(owner);
    deployment.run_until(SILENT_FROM + 1_500 * MS);
    expect_that!(deployment.asked.last().expect("requests").registry, not(eq(owner)));
    deployment.silent.clear();
    deployment.now += TICK;
    deployment.receive(owner, status());
    let heard = deployment.now;
    deployment.run_until(heard + SECOND);
    expect_that!(deployment.asked_from(heard + TICK), all![not(is_empty()), each(eq(&owner))]);
}
