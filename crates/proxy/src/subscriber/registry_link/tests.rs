//! When a registry may be asked for leases.

use googletest::prelude::*;
use pinerelay_peer_link::message::Role;

use super::*;

// Guards against reports of spent units that hold up the requests of others: with tenants without an owner, each of their reports
// would put the next request off.
#[gtest]
fn reports_of_spent_units_do_not_count_as_unanswered_requests() {
    let hello = Hello { node: "n".into(), ip: "127.0.0.1".into(), role: Role::Registry, process_id: 1 };
    let mut link = RegistryLink::new(0, hello);
    for at in 0..10 {
        link.lease_message_sent(at, false);
    }
    expect_that!(link.lease_permission(10), eq(Permission::Granted));
    link.lease_message_sent(10, true);
    link.lease_message_sent(20, true);
    expect_that!(link.lease_permission(20), eq(Permission::Deferred));
    expect_that!(link.lease_permission(10 + LEASE_REQUEST_TIMEOUT), eq(Permission::Unanswered));
    expect_that!(link.lease_permission(20 + LEASE_REQUEST_TIMEOUT), eq(Permission::Granted));
    for at in 0..10 {
        expect_that!(link.lease_message_answered(), some(eq(at)));
    }
    expect_that!(link.lease_permission(30), eq(Permission::Deferred));
    expect_that!(link.lease_message_answered(), some(eq(10)));
    expect_that!(link.lease_permission(30), eq(Permission::Granted));
}
