use googletest::prelude::*;
use pinerelay_config_state::rollout::Rollout;

use super::*;

const DRAWS: u32 = 1_000;
const ROUTE: ObservedRoute = ObservedRoute { route: 9, target_class: 10 };

fn in_force(stage: Stage) -> Option<Arc<RolloutInForce>> {
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

/// A service with 20 servers of the old version and as many of the new one.
fn service(stage: Stage) -> Rc<ServiceVersions> {
    let versions = ServiceVersions::new(Rc::new(Clock::new()));
    versions.set_in_force(in_force(stage));
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

/// How many of the next requests go to the new version; each is sent where it goes.
fn sent_to_target(versions: &ServiceVersions) -> u32 {
    let is_target = |drawn: u32| {
        let version = versions.choose(85, f64::from(drawn) / f64::from(DRAWS));
        versions.count_sent(&version, true);
        version == "v2"
    };
    (0..DRAWS).map(|drawn| u32::from(is_target(drawn))).sum()
}

#[gtest]
fn a_version_that_no_rollout_has_let_in_gets_nothing() {
    expect_that!(sent_to_target(&service(Stage::Baseline)), eq(0));
    expect_that!(sent_to_target(&service(Stage::Reverted)), eq(0));
    // Nothing is permitted yet.
    expect_that!(sent_to_target(&service(Stage::Canary)), eq(0));
    expect_that!(sent_to_target(&service(Stage::Ramp)), eq(0));
}

#[gtest]
fn a_canary_gets_its_part_of_all_requests_and_no_more() {
    let versions = service(Stage::Canary);
    permit(&versions, 60, true, 3_600_000_000);
    expect_that!(sent_to_target(&versions), all![ge(50), le(60)]);
}

#[gtest]
fn a_ramp_gets_its_part_of_the_next_requests() {
    let versions = service(Stage::Ramp);
    permit(&versions, 250, false, 3_600_000_000);
    expect_that!(sent_to_target(&versions), all![ge(240), le(260)]);
}

#[gtest]
fn a_permit_that_has_run_out_lets_nothing_through() {
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
fn at_the_cutover_all_requests_go_to_the_new_version_and_the_old_one_completes_what_it_has() {
    let versions = service(Stage::Cutover);
    expect_that!(sent_to_target(&versions), eq(DRAWS));
    expect_that!(versions.may_send("v1"), eq(true));
    let drained = |is_idle: bool| versions.report("s", |_| is_idle).map(|report| report.has_drained);
    expect_that!((drained(false), drained(true)), eq((Some(false), Some(true))));
}

#[gtest]
fn what_waits_for_a_reverted_version_is_not_sent_there() {
    expect_that!(service(Stage::Reverted).may_send("v2"), eq(false));
    expect_that!(service(Stage::Baseline).may_send("v2"), eq(false));
}

#[gtest]
fn without_any_decision_requests_are_spread_over_the_servers() {
    let versions = service(Stage::Baseline);
    versions.set_in_force(None);
    expect_that!(sent_to_target(&versions), eq(DRAWS / 2));
}

#[gtest]
fn attempts_are_counted_by_version_while_a_rollout_is_under_way() {
    let versions = service(Stage::Canary);
    let observe = |version: &str| Observation::begin(&versions, &Rc::from(version), ROUTE);
    observe("v2").end(true);
    observe("v1").end(false);
    observe("v1").forget();
    // Given up.
    drop(observe("v2"));
    let report = versions.report("s", |_| true).expect("a report");
    let [sample] = report.routes[..] else { panic!("one route: {:?}", report.routes) };
    expect_that!((sample.route, sample.stable.attempts, sample.stable.failures), eq((9, 1, 0)));
    expect_that!((sample.target.attempts, sample.target.failures), eq((2, 1)));
    versions.set_in_force(in_force(Stage::Reverted));
    expect_that!(versions.report("s", |_| true), none());
}

#[gtest]
fn a_version_is_used_while_it_has_servers_or_requests_go_there() {
    let versions = service(Stage::Reverted);
    expect_that!(versions.is_used("v2"), eq(true));
    (0..20).for_each(|_| versions.server_removed("v2"));
    expect_that!(versions.is_used("v2"), eq(false));
    (0..20).for_each(|_| versions.server_removed("v1"));
    expect_that!(versions.is_used("v1"), eq(true));
}
