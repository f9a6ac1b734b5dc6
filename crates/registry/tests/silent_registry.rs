//! Duties while another registry is silent on an open link.

use googletest::prelude::*;
use pinerelay_admission::duty::{slice_owner, DutyMessage, PROMISE_DURATION, SLICE_COUNT};
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, LEASE_DURATION};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const TICK: u64 = 50 * MS;
/// The time between two messages of another registry.
const STATUS_INTERVAL: u64 = 600 * MS;
const STORE: u64 = 1;
/// The connections of the two other registries, which are the numbers of their machines.
const SILENT: u64 = 3;
const HEARD: u64 = 2;
/// When a registry falls silent in these tests.
const SILENT_FROM: u64 = 4 * SECOND;

fn ip(machine: u64) -> String {
    format!("127.0.0.{machine}")
}

fn hello(role: Role, machine: u64) -> Hello {
    Hello { node: format!("{role:?}-{machine}"), ip: ip(machine), role, process_id: 1 }
}

/// The bit set of the slices that a machine owns among machines that are alive.
fn owned_by(machine: u64, alive: &[u64]) -> u32 {
    let names: Vec<String> = alive.iter().map(|machine| ip(*machine)).collect();
    let is_owned = |slice: &usize| slice_owner(*slice, &names) == Some(&ip(machine));
    (0..SLICE_COUNT).filter(is_owned).fold(0, |bits, slice| bits | 1 << slice)
}

/// The registry of machine 1, one of three voters, and what the two others do.
struct Core {
    registry: Registry,
    now: u64,
    is_silent: bool,
    last_message: u64,
}

impl Core {
    fn new() -> Core {
        let config = RegistryConfig {
            hello: hello(Role::Registry, 1),
            first_start: true,
            heartbeat_interval: SECOND,
            quota_bounds: QuotaBounds::default(),
            seeds: (1..=3).map(ip).collect(),
            time_of_day: 0,
            rollouts: Default::default(),
        };
        let mut core = Core { registry: Registry::new(0, config), now: 0, is_silent: false, last_message: 0 };
        core.receive(STORE, PeerMessage::Hello(hello(Role::ConfigStore, 1)));
        let membership = Membership::first((1..=3).map(ip));
        core.receive(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
        for other in [SILENT, HEARD] {
            core.receive(other, PeerMessage::Hello(hello(Role::Registry, other)));
        }
        core
    }

    fn receive(&mut self, connection: u64, message: PeerMessage) {
        if connection == SILENT {
            self.last_message = self.now;
        }
        let mut out = Vec::new();
        self.registry.receive(self.now, connection, message, &mut out);
        self.answer(out);
    }

    /// The other voters promise the slices that are claimed, except those promised to another registry.
    fn answer(&mut self, out: Vec<Output>) {
        for output in out {
            let Output::Send(voter, PeerMessage::Duty(DutyMessage::Claim { claim, slices })) = output else {
                continue;
            };
            if voter == SILENT && self.is_silent {
                continue;
            }
            let promised_until = self.last_message + PROMISE_DURATION;
            let promised = if self.now < promised_until { owned_by(SILENT, &[1, 2, 3]) } else { 0 };
            let slices = slices & !promised & !owned_by(HEARD, &[1, 2, 3]);
            self.receive(voter, PeerMessage::Duty(DutyMessage::Promise { claim, slices }));
        }
    }

    /// Lets time pass until a time; messages that arrived within `backlog` may not have been handled.
    fn run_until(&mut self, end: u64, backlog: u64) {
        while self.now < end {
            self.now += TICK;
            if self.now % STATUS_INTERVAL < TICK {
                let current = PeerMessage::Current {
                    asked_at: self.now,
                    epoch: 1,
                    digest: 0,
                    lease_left: LEASE_DURATION,
                };
                self.receive(STORE, current);
                self.receive(HEARD, PeerMessage::KeepAlive);
                if !self.is_silent {
                    self.receive(SILENT, PeerMessage::KeepAlive);
                }
            }
            let mut out = Vec::new();
            self.registry.tick_with_backlog(self.now, backlog, &mut out);
            self.answer(out);
        }
    }

    fn held(&self) -> u32 {
        self.registry.held_slices(self.now)
    }
}

// Guards against slices of a registry without power that nobody allocates until the links to it close, two seconds after its last
// message, although its duty lapses within 0.9 s.
#[gtest]
fn the_duties_of_a_registry_that_is_silent_on_an_open_link_are_taken_over_when_they_lapse() {
    let mut core = Core::new();
    core.run_until(SILENT_FROM, 0);
    expect_that!(core.held(), eq(owned_by(1, &[1, 2, 3])));
    core.is_silent = true;
    let lapse = core.last_message + PROMISE_DURATION;
    core.run_until(lapse - TICK, 0);
    expect_that!(core.held(), eq(owned_by(1, &[1, 2, 3])));
    core.run_until(lapse + 2 * TICK, 0);
    expect_that!(core.held(), all![eq(owned_by(1, &[1, HEARD])), not(eq(owned_by(1, &[1, 2, 3])))]);
    // It is heard again on the same link.
    core.is_silent = false;
    core.run_until(lapse + SECOND, 0);
    expect_that!(core.held(), eq(owned_by(1, &[1, 2, 3])));
}

#[gtest]
fn the_duties_of_a_registry_whose_messages_wait_here_are_not_claimed() {
    let mut core = Core::new();
    core.run_until(SILENT_FROM, 0);
    core.is_silent = true;
    let last_message = core.last_message;
    while core.now < last_message + 3 * SECOND {
        let backlog = core.now + TICK - SILENT_FROM;
        core.run_until(core.now + TICK, backlog);
    }
    expect_that!(core.held(), eq(owned_by(1, &[1, 2, 3])));
}
