//! How many messages with lease requests a registry gets while many tenants need units.

use std::collections::BTreeSet;

use googletest::prelude::*;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::lease_cache::{Admission, LEASE_REQUEST_TIMEOUT};
use pinerelay_admission::quota::Quota;
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role, TenantGrant};
use pinerelay_proxy::subscriber::{Output, Subscriber};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
/// The only registry, which owns all slices.
const REGISTRY: u64 = 1;
/// Each has one client's request.
const TENANTS: u64 = 100;
/// The share of its quota's rate that a tenant is granted.
const SHARE: f64 = 0.3;
/// The time between two ticks of the proxy.
const TICK: u64 = 25 * MS;
/// The time between two clients' requests.
const ARRIVAL: u64 = MS;

fn hello(role: Role, ip: &str) -> Hello {
    Hello { node: "n".into(), ip: ip.into(), role, process_id: 1 }
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

/// A proxy that is linked to one registry.
fn linked_proxy() -> Subscriber {
    let mut proxy = Subscriber::new(0, hello(Role::Proxy, "127.0.0.9"), Vec::new());
    let mut out = Vec::new();
    proxy.receive(0, REGISTRY, PeerMessage::Hello(hello(Role::Registry, "127.0.0.1")), &mut out);
    proxy.receive(0, REGISTRY, status(), &mut out);
    proxy
}

/// The messages with lease requests among the outputs.
fn lease_messages(out: Vec<Output>) -> Vec<Vec<LeaseRequest>> {
    let message = |output| match output {
        Output::Send(REGISTRY, PeerMessage::LeaseRequests(requests)) => Some(requests),
        _ => None,
    };
    out.into_iter().filter_map(message).collect()
}

/// A client's request of each tenant arrives, one after the other from a time on.
fn admit_all(proxy: &mut Subscriber, from: u64) -> Vec<Vec<LeaseRequest>> {
    let mut out = Vec::new();
    for tenant in 0..TENANTS {
        let quota = Quota { rate: 100.0, burst: 100.0 };
        proxy.admit(from + tenant * ARRIVAL, &format!("t{tenant}"), quota, tenant, &mut out);
    }
    lease_messages(out)
}

/// A registry's answer to a message.
fn grants(message: &[LeaseRequest]) -> PeerMessage {
    let grant = LeaseGrant::Units { units: 1.0, duration: SECOND, fencing_token: 1, share: SHARE };
    let grants =
        message.iter().map(|request| TenantGrant { tenant: request.tenant.clone(), grant: grant.clone() });
    PeerMessage::LeaseGrants(grants.collect())
}

// Guards against a queue of lease requests at a registry that grows with tenants and clients: claims of duties wait behind it, and
// most of it has been repeated by the time it is handled.
#[gtest]
fn requests_of_many_tenants_share_a_message_while_two_are_unanswered() {
    let mut proxy = linked_proxy();
    let messages = admit_all(&mut proxy, 0);
    expect_that!(messages, len(eq(2)));
    let mut out = Vec::new();
    proxy.receive(TENANTS * ARRIVAL, REGISTRY, grants(&messages[0]), &mut out);
    let messages = lease_messages(out);
    let [third] = &messages[..] else { panic!("{} messages", messages.len()) };
    let tenants: BTreeSet<&str> = third.iter().map(|request| request.tenant.as_str()).collect();
    expect_that!(tenants.len() as u64, eq(TENANTS - 2));
}

// Guards against clients that are refused although their tenant has a share: a request that is not sent, as the registry does not
// answer those of other tenants, fails like one that is sent.
#[gtest]
fn a_tenant_whose_request_waits_for_a_registry_that_does_not_answer_lives_on_its_share() {
    let mut proxy = linked_proxy();
    let quota = Quota { rate: 100.0, burst: 100.0 };
    let seldom = "seldom";
    let mut out = Vec::new();
    // It gets a share, spends its unit, and asks for nothing more.
    proxy.admit(0, seldom, quota, 0, &mut out);
    let messages = lease_messages(std::mem::take(&mut out));
    proxy.receive(10 * MS, REGISTRY, grants(&messages[0]), &mut out);
    // The registry answers no more, and others ask it.
    let others_until = SECOND + 600 * MS;
    let mut now = SECOND;
    let step = |proxy: &mut Subscriber, now: u64, out: &mut Vec<Output>| {
        proxy.admit(now, &format!("t{now}"), quota, now, out);
        proxy.receive(now, REGISTRY, status(), out);
        proxy.tick(now, out);
    };
    while now < others_until {
        step(&mut proxy, now, &mut out);
        now += TICK;
    }
    out.clear();
    let id = 1;
    let from = now;
    expect_that!(proxy.admit(now, seldom, quota, id, &mut out), eq(Admission::Waiting));
    while now < from + 300 * MS {
        step(&mut proxy, now, &mut out);
        now += TICK;
    }
    let decided = out.iter().find_map(|output| match output {
        Output::Decided(decision) if decision.id == id => Some(decision.admission),
        _ => None,
    });
    expect_that!(decided, some(eq(Admission::Admitted)));
}

// Guards against a registry that is kept saturated by what is repeated: every proxy backs off from one that does not answer.
#[gtest]
fn messages_to_a_registry_that_does_not_answer_become_rare() {
    let mut proxy = linked_proxy();
    let mut sent_at = Vec::new();
    for from in (0..5 * SECOND).step_by((TENANTS * ARRIVAL) as usize) {
        let messages = admit_all(&mut proxy, from).len();
        sent_at.extend(std::iter::repeat_n(from, messages));
        let mut out = Vec::new();
        proxy.receive(from, REGISTRY, status(), &mut out);
        proxy.tick(from + TENANTS * ARRIVAL, &mut out);
        sent_at.extend(lease_messages(out).iter().map(|_| from));
    }
    let in_last_second = sent_at.iter().filter(|at| **at >= 4 * SECOND).count() as u64;
    expect_that!(in_last_second, all![ge(1), le(SECOND / (4 * LEASE_REQUEST_TIMEOUT) + 1)]);
}
