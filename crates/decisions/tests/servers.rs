//! Load balancing, retries and load shedding of one node, through the public API.

#[allow(clippy::too_many_lines, reason = "the fleet's one loop of events")]
mod common;
use common::*;
use mountbend::control::Controller;
use mountbend::interface::*;
use mountbend::memory::Memory;

#[test]
fn nothing_goes_to_a_draining_or_missing_server() {
    let mut gateway = TestNode::new(no_quota(), 2);
    gateway.event(Event::Members {
        kind: ListKind::Changes,
        entries: vec![member(0, MemberState::Draining, 0)],
    });
    for _ in 0..20 {
        let (id, server) = send_one(&mut gateway, 0);
        assert_eq!(server, ServerId(1));
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    gateway.event(Event::Members {
        kind: ListKind::Complete,
        entries: vec![member(0, MemberState::InService, 0)],
    });
    assert_eq!(send_one(&mut gateway, 0).1, ServerId(0), "a server missing from a complete list is removed");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_not_sent_again() {
    let mut gateway = TestNode::new(no_quota(), 3);
    let (id, server) = send_one(&mut gateway, 2);
    let actions = gateway.end(&id, 0, server, Outcome::Reset);
    assert!(sent(&actions).is_empty() && failed(&actions));
}

#[test]
fn an_unsafe_request_that_did_not_run_gets_another_server() {
    let mut gateway = TestNode::new(no_quota(), 3);
    let (id, server) = send_one(&mut gateway, 2);
    let again = sent(&gateway.end(&id, 0, server, Outcome::ConnectFailed));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, server);
}

#[test]
fn a_keyed_request_stays_in_its_cell_and_its_window() {
    let mut gateway = TestNode::new(no_quota(), 6);
    let (id, server) = send_one(&mut gateway, 1);
    let again = sent(&gateway.end(&id, 0, server, Outcome::Reset));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1 .0 % 2, server.0 % 2, "the same cell");
    gateway.advance(SECOND + MS);
    let late = gateway.end(&id, 1, again[0].1, Outcome::Reset);
    assert!(sent(&late).is_empty() && failed(&late), "past the window");
}

#[test]
fn a_request_that_is_due_on_arrival_is_refused_at_once() {
    let mut gateway = TestNode::new(no_quota(), 2);
    let request = NewRequest {
        id: "late".into(),
        customer: CustomerId(1),
        class: 0,
        plan: 0,
        units: 1.0,
        first_node: 0,
        spread: 1,
        marked_retry: true,
        due: gateway.now,
    };
    let actions = gateway.event(Event::Request(request));
    assert!(sent(&actions).is_empty() && refused(&actions).is_some());
}

#[test]
fn an_overloaded_fleet_refuses_and_an_idle_one_does_not() {
    let mut gateway = TestNode::new(no_quota(), 2);
    let mut out = Vec::new();
    for _ in 0..20 {
        out.push(send_one(&mut gateway, 0));
        gateway.advance(20 * MS);
    }
    for (id, server) in out.drain(..) {
        gateway.advance(50 * MS);
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    let mut refusals = 0;
    for step in 0..200 {
        gateway.advance(MS);
        if step % 20 == 0 {
            gateway.tick();
        }
        let (_, actions) = gateway.submit(0, 1.0);
        if let Some(advice) = refused(&actions) {
            refusals += 1;
            assert!((1..=2 * SECOND).contains(&advice), "refused without a retry-after time");
        }
        out.extend(sent(&actions));
    }
    assert!(refusals > 50, "{refusals} refused of 200 in 0.2 s on two servers at 20 a second");
    for (id, server) in out {
        gateway.advance(50 * MS);
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    for _ in 0..500 {
        gateway.advance(20 * MS);
        gateway.tick();
    }
    assert_eq!(
        sent(&gateway.submit(0, 1.0).1).len(),
        1,
        "past latencies must not shed requests of an idle fleet"
    );
}

#[test]
fn a_server_that_has_just_started_gets_few_requests() {
    let mut gateway = TestNode::new(no_quota(), 4);
    let started = gateway.now - MS;
    gateway.event(Event::Members {
        kind: ListKind::Changes,
        entries: vec![member(3, MemberState::InService, started)],
    });
    let (mut cold, mut all) = (0, 0);
    for _ in 0..150 {
        gateway.advance(10 * MS);
        let (id, server) = send_one(&mut gateway, 0);
        all += 1;
        cold += usize::from(server == ServerId(3));
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    // A cold server is guaranteed 0.2 to 0.28 of its capacity in this window: a fourth of 150 / 4, with slack.
    assert!(cold <= all / 4 / 3, "{cold} of {all} requests went to the cold server in its first 1.5 s");
}

#[test]
fn a_server_that_answers_nothing_is_avoided() {
    let mut gateway = TestNode::new(no_quota(), 4);
    let mut to_hung = 0;
    for i in 0..400 {
        gateway.advance(10 * MS);
        gateway.tick();
        let (id, server) = send_one(&mut gateway, 0);
        if server == ServerId(2) {
            to_hung += usize::from(i >= 200);
        } else {
            gateway.end(&id, 0, server, Outcome::Ok);
        }
    }
    assert!(to_hung <= 6, "{to_hung} of the last 200 requests went to the hanging server");
}

#[test]
fn a_server_that_resets_every_request_is_ejected_while_others_reset_some() {
    let mut gateway = TestNode::new(no_quota(), 3);
    let mut to_dead = 0;
    for i in 0..600 {
        gateway.advance(10 * MS);
        gateway.tick();
        let (id, server) = send_one(&mut gateway, 0);
        let dead = i >= 300 && server == ServerId(1);
        to_dead += usize::from(dead);
        let outcome = if dead || i % 8 == 0 { Outcome::Reset } else { Outcome::Ok };
        for (id, server) in sent(&gateway.end(&id, 0, server, outcome)) {
            gateway.end(&id, 1, server, Outcome::Ok);
        }
    }
    assert!(
        (1..=8).contains(&to_dead),
        "{to_dead} of the last 300 requests went to the server that resets all"
    );
}

#[test]
fn stale_events_are_ignored() {
    let mut gateway = TestNode::new(no_quota(), 2);
    gateway.end(&"never".into(), 3, ServerId(99), Outcome::Ok);
    gateway.event(Event::ClientGone { id: "never".into() });
    gateway.event(Event::Began { id: "never".into() });
    gateway.event(Event::Probed { server: ServerId(99), outcome: Outcome::Ok });
    gateway.counter_reply(CountName(5), Outcome::Ok, 3.0);
    gateway.event(Event::Timer { id: 77 });
    let (id, server) = send_one(&mut gateway, 0);
    gateway.end(&id, 9, server, Outcome::Ok);
    gateway.end(&id, 0, server, Outcome::Ok);
    assert!(gateway.end(&id, 0, server, Outcome::TimedOut).is_empty(), "an attempt ends once");
}

#[test]
fn without_servers_a_request_is_parked_and_then_refused() {
    let mut gateway = TestNode::new(no_quota(), 0);
    let (_, actions) = gateway.submit(0, 1.0);
    assert!(sent(&actions).is_empty() && refused(&actions).is_none());
    gateway.advance(600 * MS);
    assert!(refused(&gateway.tick()).is_some());
}

#[test]
fn a_recovered_server_is_used_while_an_unsafe_request_still_hangs_there() {
    let mut gateway = TestNode::new(no_quota(), 2);
    for _ in 0..50 {
        gateway.advance(20 * MS);
        let (id, server) = send_one(&mut gateway, 0);
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    while send_one(&mut gateway, 2).1 != ServerId(1) {} // never answered
    let mut back = 0;
    for _ in 0..75 {
        gateway.advance(20 * MS);
        gateway.tick();
        let (id, server) = send_one(&mut gateway, 0);
        back += usize::from(server == ServerId(1));
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    assert!(back > 20, "{back} of 75 requests in 1.5 s went to the recovered server");
}

#[test]
fn a_random_burst_in_an_idle_fleet_is_admitted() {
    let mut gateway = TestNode::new(no_quota(), 3);
    // 100 requests per second, each answered within 50 ms.
    let mut pending = std::collections::VecDeque::new();
    for step in 0..400 {
        gateway.advance(10 * MS);
        if step % 2 == 0 {
            gateway.tick();
        }
        pending.push_back(send_one(&mut gateway, 0));
        if pending.len() > 5 {
            let (id, server) = pending.pop_front().expect("one out");
            gateway.end(&id, 0, server, Outcome::Ok);
        }
    }
    for _ in 0..60 {
        send_one(&mut gateway, 0);
    }
}

#[test]
fn past_slow_answers_do_not_shed_requests_of_an_idle_fleet() {
    let mut gateway = TestNode::new(no_quota(), 3);
    // Answers take 450 ms, long enough to shed requests; then there is no traffic for three seconds.
    for _ in 0..20 {
        let mut out: Vec<_> = (0..10).filter_map(|_| sent(&gateway.submit(0, 1.0).1).pop()).collect();
        for _ in 0..15 {
            gateway.advance(20 * MS);
            gateway.tick();
        }
        out.drain(..).for_each(|(id, server)| drop(gateway.end_after(450 * MS, &id, 0, server, Outcome::Ok)));
    }
    for _ in 0..150 {
        gateway.advance(20 * MS);
        gateway.tick();
    }
    let (_, actions) = gateway.submit(0, 1.0);
    assert_eq!(
        sent(&actions).len(),
        1,
        "with every request shed no answer would show that the fleet is idle"
    );
}

#[test]
fn a_restored_node_avoids_a_failing_server_from_its_first_request() {
    let mut old = TestNode::new(no_quota(), 3);
    // Server 0 fails every request. One request at a time, so that load does not influence the choice.
    for _ in 0..60 {
        let (id, server) = send_one(&mut old, 2);
        let outcome = if server == ServerId(0) { Outcome::Error } else { Outcome::Ok };
        old.advance(20 * MS);
        old.end(&id, 0, server, outcome);
    }
    let first_ten = |memory: Option<&Memory>| {
        let mut controller = Controller::new(9, no_quota());
        let mut out = Vec::new();
        memory.iter().for_each(|memory| controller.restore(old.now, memory));
        let entries = (0..3).map(|i| member(i, MemberState::InService, 0)).collect();
        controller.handle(old.now, Event::Members { kind: ListKind::Complete, entries }, &mut out);
        let mut gateway = TestNode { now: old.now, controller, last_request: 0 };
        (0..10).filter(|_| send_one(&mut gateway, 2).1 == ServerId(0)).count()
    };
    assert!(first_ten(None) >= 2, "a node without learned state sends it a share");
    assert_eq!(first_ten(Some(&old.controller.memory())), 0);
}

#[test]
fn a_restarted_server_is_used_while_others_have_capacity() {
    let mut gateway = TestNode::new(no_quota(), 4);
    let serve = |gateway: &mut TestNode, rounds: usize| {
        let (mut used, mut out) = ([0; 4], std::collections::VecDeque::new());
        for _ in 0..rounds {
            let (id, server) = send_one(gateway, 0);
            used[server.0 as usize] += 1;
            out.push_back((id, server));
            gateway.advance(20 * MS);
            gateway.tick();
            if out.len() > 3 {
                let (id, server) = out.pop_front().expect("an attempt");
                gateway.end_after(80 * MS, &id, 0, server, Outcome::Ok);
            }
        }
        out.into_iter()
            .for_each(|(id, server)| drop(gateway.end_after(80 * MS, &id, 0, server, Outcome::Ok)));
        used
    };
    serve(&mut gateway, 200);
    let change = |gateway: &mut TestNode, state, started| {
        let entries = vec![member(0, state, started)];
        gateway.event(Event::Members { kind: ListKind::Changes, entries });
    };
    change(&mut gateway, MemberState::Draining, 0);
    assert_eq!(serve(&mut gateway, 200)[0], 0);
    let now = gateway.now;
    change(&mut gateway, MemberState::InService, now);
    // Five seconds with three or four pending requests: one of the other servers always has almost none.
    assert!(serve(&mut gateway, 250)[0] >= 2, "a cold server is never chosen");
}

/// Sends 50 requests per second for `span`; `answer` gives after how long and how a server ends each. Returns how
/// many requests each server got.
fn steadily(
    gateway: &mut TestNode,
    span: Micros,
    mut answer: impl FnMut(ServerId) -> (Micros, Outcome),
) -> [usize; 4] {
    let (mut used, mut out) = ([0; 4], Vec::new());
    let until = gateway.now + span;
    while gateway.now < until || !out.is_empty() {
        if gateway.now < until {
            if let Some((id, server)) = sent(&gateway.submit(2, 1.0).1).pop() {
                used[server.0 as usize] += 1;
                let (spent, outcome) = answer(server);
                out.push((gateway.now + spent, spent, id, server, outcome));
            }
        }
        gateway.advance(20 * MS);
        gateway.tick();
        let now = gateway.now;
        let (over, still): (Vec<_>, Vec<_>) = out.drain(..).partition(|o| o.0 <= now);
        out = still;
        over.into_iter().for_each(|(_, spent, id, server, outcome)| {
            gateway.end_after(spent, &id, 0, server, outcome);
        });
    }
    used
}

#[test]
fn cold_servers_take_the_warm_rate_while_warm_servers_fail() {
    let mut gateway = TestNode::new(no_quota(), 4);
    steadily(&mut gateway, 20 * SECOND, |_| (60 * MS, Outcome::Ok));
    // Two servers restart cold; 8 s later each has at least 0.63 of its capacity, and the warm two begin to fail.
    let entries = (2..4).map(|i| member(i, MemberState::InService, gateway.now)).collect();
    gateway.event(Event::Members { kind: ListKind::Changes, entries });
    let spent = |s: ServerId| if s.0 < 2 { 60 * MS } else { 90 * MS };
    steadily(&mut gateway, 8 * SECOND, |s| (spent(s), Outcome::Ok));
    let fail = |s: ServerId| (spent(s), if s.0 < 2 { Outcome::Error } else { Outcome::Ok });
    let used = steadily(&mut gateway, 4 * SECOND, fail);
    let failed = used[0] + used[1];
    // Of 200 requests the cold two can serve at least 0.73 of the 50 that each of four servers did.
    assert!(
        failed <= 108,
        "{failed} of {} requests went to failing servers: {used:?}",
        used.iter().sum::<usize>()
    );
}

#[test]
fn a_slow_server_is_used_again_soon_after_it_recovers() {
    let mut gateway = TestNode::new(no_quota(), 4);
    steadily(&mut gateway, 5 * SECOND, |_| (60 * MS, Outcome::Ok));
    let slow = |s: ServerId| (if s.0 == 0 { 400 * MS } else { 60 * MS }, Outcome::Ok);
    steadily(&mut gateway, 10 * SECOND, slow);
    let used = steadily(&mut gateway, 6 * SECOND, |_| (60 * MS, Outcome::Ok));
    assert!(
        used[0] >= 30,
        "{} of {} requests in 6 s went to the recovered server",
        used[0],
        used.iter().sum::<usize>()
    );
}

#[test]
fn the_warm_rate_and_latency_are_measured_within_seconds_and_restored() {
    let mut gateway = TestNode::new(no_quota(), 4);
    steadily(&mut gateway, 7 * SECOND, |_| (60 * MS, Outcome::Ok));
    // 50 requests per second over four servers.
    let known = gateway.controller.memory();
    assert!(
        (10.0..14.0).contains(&known.rates[0]),
        "a warm rate of {} per second, expected 12.5",
        known.rates[0]
    );
    assert!(
        (55e3..70e3).contains(&known.latency[2]),
        "a warm latency of {} us, expected 60,000",
        known.latency[2]
    );
    // The next process continues from these values and does not treat them as a first guess.
    let mut next = TestNode::new(no_quota(), 4);
    next.controller.restore(next.now, &known);
    steadily(&mut next, 5 * SECOND, |_| (120 * MS, Outcome::Ok));
    let usual = next.controller.memory().latency[2];
    assert!((62e3..90e3).contains(&usual), "a warm latency of {usual} us after 5 s of 120,000");
    // A version that does not report how long it measured took servers of any size for size 1: no warm rate.
    let mut next = TestNode::new(no_quota(), 4);
    next.controller.restore(next.now, &Memory { measured: 0.0, ..known });
    assert_eq!(next.controller.memory().rates[0], 0.0);
}

#[test]
fn a_cold_server_gets_a_share_proportional_to_its_size() {
    let mut gateway = TestNode::new(no_quota(), 4);
    steadily(&mut gateway, 10 * SECOND, |_| (60 * MS, Outcome::Ok));
    let sizes = [(1, 1.0), (2, 1.0), (3, 3.0)];
    let entries =
        sizes.map(|(i, weight)| Member { weight, ..member(i, MemberState::InService, gateway.now) }).to_vec();
    gateway.event(Event::Members { kind: ListKind::Changes, entries });
    // The warm server fails, so that the cold ones get all that their shares allow.
    let fails = |s: ServerId| (70 * MS, if s.0 == 0 { Outcome::Error } else { Outcome::Ok });
    let used = steadily(&mut gateway, 5 * SECOND, fails);
    let small = used[1] + used[2];
    assert!(used[3] * 10 >= small * 11, "{used:?}: a server of size 3 gets more than two of size 1 together");
}
