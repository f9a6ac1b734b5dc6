//! Tests of version choice, permits and rollout reports.

use googletest::prelude::*;
use pinerelay_config_state::rollout::Rollout;

use super::*;

const DRAWS: u32 = 1_000;
const ROUTE: ObservedRoute = ObservedRoute { route: 9, target_class: 10 };

fn rollout_in_stage(stage: Stage) -> Option<Arc<RolloutInForce>> {
    let rollout = Rollout {
        stage,
        target: "v2".into(),
        stable: vec!["v1".into()],
        order: 5,
        ordered_at_ms: 0,
        deadline_ms: 12_000,
    };
    Some(Arc::new(RolloutInForce { revision: 7, rollout }))
}

/// A service with 20 ready servers of each of the versions `v1` and `v2`, in a rollout to `v2`.
fn service(stage: Stage) -> Rc<ServiceVersions> {
    let versions = ServiceVersions::new(Rc::new(Clock::new()));
    versions.set_current_rollout(rollout_in_stage(stage));
    for _ in 0..20 {
        versions.server_added("v1");
        versions.server_added("v2");
    }
    versions
}

fn permit(versions: &ServiceVersions, share_permille: u16, is_cumulative: bool, duration: Micros) {
    let (service, order, sent_at) = ("s".into(), 5, versions.clock.now());
    versions.permit(RolloutPermit {
        service,
        order,
        sent_at,
        duration,
        share_permille,
        margin: 0,
        is_cumulative,
    });
}

/// Sends `DRAWS` requests; returns how many of them go to the target version.
fn sent_to_target(versions: &ServiceVersions) -> u32 {
    let is_target = |drawn: u32| {
        let version = versions.choose(85, f64::from(drawn) / f64::from(DRAWS));
        versions.count_sent(&version, true);
        version == "v2"
    };
    (0..DRAWS).map(|drawn| u32::from(is_target(drawn))).sum()
}

#[gtest]
fn a_version_without_permission_receives_no_requests() {
    expect_that!(sent_to_target(&service(Stage::Baseline)), eq(0));
    expect_that!(sent_to_target(&service(Stage::Reverted)), eq(0));
    // These stages need a permit, and none was received.
    expect_that!(sent_to_target(&service(Stage::Canary)), eq(0));
    expect_that!(sent_to_target(&service(Stage::Ramp)), eq(0));
}

#[gtest]
fn a_canary_receives_at_most_its_share_of_all_requests() {
    let versions = service(Stage::Canary);
    permit(&versions, 60, true, 3_600_000_000);
    expect_that!(sent_to_target(&versions), all![ge(50), le(60)]);
}

#[gtest]
fn a_ramp_receives_its_share_of_the_next_requests() {
    let versions = service(Stage::Ramp);
    permit(&versions, 250, false, 3_600_000_000);
    expect_that!(sent_to_target(&versions), all![ge(240), le(260)]);
}

#[gtest]
fn an_expired_permit_allows_no_requests() {
    let versions = service(Stage::Ramp);
    permit(&versions, 1_000, false, 0);
    expect_that!(sent_to_target(&versions), eq(0));
    expect_that!(versions.may_send("v2"), eq(false));
    expect_that!(versions.may_send("v1"), eq(true));
}

#[gtest]
fn a_permit_of_another_order_is_ignored() {
    let versions = service(Stage::Ramp);
    let (service, sent_at, duration) = ("s".into(), versions.clock.now(), 3_600_000_000);
    let (share_permille, is_cumulative) = (1_000, false);
    versions.permit(RolloutPermit {
        service,
        order: 4,
        sent_at,
        duration,
        share_permille,
        margin: 0,
        is_cumulative,
    });
    expect_that!(sent_to_target(&versions), eq(0));
}

#[gtest]
fn a_cutover_sends_all_requests_to_the_target_while_the_stable_version_drains() {
    let versions = service(Stage::Cutover);
    expect_that!(sent_to_target(&versions), eq(DRAWS));
    expect_that!(versions.may_send("v1"), eq(true));
    let drained = |is_idle: bool| versions.report("s", |_| is_idle).map(|report| report.has_drained);
    expect_that!((drained(false), drained(true)), eq((Some(false), Some(true))));
}

#[gtest]
fn requests_waiting_for_a_reverted_version_are_not_sent_to_it() {
    expect_that!(service(Stage::Reverted).may_send("v2"), eq(false));
    expect_that!(service(Stage::Baseline).may_send("v2"), eq(false));
}

#[gtest]
fn without_a_rollout_requests_are_distributed_by_server_count() {
    let versions = service(Stage::Baseline);
    versions.set_current_rollout(None);
    expect_that!(sent_to_target(&versions), eq(DRAWS / 2));
}

#[gtest]
fn attempts_are_counted_by_version_during_a_rollout() {
    let versions = service(Stage::Canary);
    let observe = |version: &str| Observation::begin(&versions, &Rc::from(version), ROUTE);
    observe("v2").end(true);
    observe("v1").end(false);
    observe("v1").discard();
    // A dropped observation is an abandoned attempt.
    drop(observe("v2"));
    let report = versions.report("s", |_| true).expect("a report");
    let [sample] = report.routes[..] else { panic!("one route: {:?}", report.routes) };
    expect_that!((sample.route, sample.stable.attempts, sample.stable.failures), eq((9, 1, 0)));
    expect_that!((sample.target.attempts, sample.target.failures), eq((2, 1)));
    versions.set_current_rollout(rollout_in_stage(Stage::Reverted));
    expect_that!(versions.report("s", |_| true), none());
}

#[gtest]
fn a_version_is_used_while_it_has_servers_or_may_receive_requests() {
    let versions = service(Stage::Reverted);
    expect_that!(versions.is_used("v2"), eq(true));
    (0..20).for_each(|_| versions.server_removed("v2"));
    expect_that!(versions.is_used("v2"), eq(false));
    (0..20).for_each(|_| versions.server_removed("v1"));
    expect_that!(versions.is_used("v1"), eq(true));
}
