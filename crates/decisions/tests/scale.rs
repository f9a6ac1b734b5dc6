//! Faults that show in deployments of a hundred nodes: too few samples at each node, an overloaded counter, and
//! shares of the quota below one request.

#[allow(clippy::too_many_lines, reason = "the fleet's one loop of events")]
mod common;
use common::*;
use mountbend::control::Controller;
use mountbend::interface::*;

/// The settings of a deployment of `nodes` nodes.
fn fleet(nodes: u32) -> Settings {
    Settings { nodes, ..settings() }
}

/// A node with its own seed and the given servers.
fn seeded_node(seed: u64, config: Settings, servers: Vec<Member>) -> TestNode {
    let mut gateway = TestNode::new(config.clone(), 0);
    gateway.controller = Controller::new(seed, config);
    gateway.event(Event::Members { kind: ListKind::Complete, entries: servers });
    gateway
}

/// Submits the first request of customer `k`.
fn submit_new(gateway: &mut TestNode, k: u64, spread: u32) -> Vec<Action> {
    gateway.event(Event::Request(NewRequest {
        id: RequestId::from(format!("s{k}").as_str()),
        customer: CustomerId(1_000 + k),
        class: 0,
        plan: 0,
        units: 1.0,
        first_node: 0,
        spread,
        marked_retry: false,
        due: gateway.now + 2 * SECOND,
    }))
}

/// Submits requests of new customers while each counter call times out; returns how many of the last 100 called.
fn calls_to_silent_counter(nodes: u32) -> usize {
    let mut gateway = TestNode::new(fleet(nodes), 4);
    let mut calls = 0;
    for k in 0..200 {
        gateway.advance(SECOND);
        let actions = submit_new(&mut gateway, k, nodes);
        if let Some((name, _)) = counter_call(&actions) {
            calls += usize::from(k >= 100);
            gateway.counter_reply(name, Outcome::TimedOut, 0.0);
        }
    }
    calls
}

#[test]
fn a_hundred_nodes_call_a_silent_counter_less_and_a_few_nodes_go_on_calling() {
    let (many, few) = (calls_to_silent_counter(100), calls_to_silent_counter(3));
    assert!(many <= 40, "{many} of 100 requests called at one of a hundred nodes");
    assert!(few >= 90, "{few} of 100 requests called at one of three nodes");
}

#[test]
fn without_an_answer_a_new_customer_is_admitted_if_its_even_share_is_below_one_request() {
    let mut gateway = TestNode::new(fleet(100), 4);
    let actions = submit_new(&mut gateway, 1, 100);
    let (name, _) = counter_call(&actions).expect("a call");
    assert_eq!(
        sent(&gateway.counter_reply(name, Outcome::TimedOut, 0.0)).len(),
        1,
        "the even share is 0.12 units"
    );
}

#[test]
fn under_a_hard_ceiling_no_new_customer_is_admitted_without_an_answer() {
    let mut config = fleet(100);
    (config.plans[0].ceiling_rate, config.plans[0].ceiling_burst) = (4.0, 24.0);
    let mut gateway = TestNode::new(config, 4);
    let actions = submit_new(&mut gateway, 1, 100);
    let (name, _) = counter_call(&actions).expect("a call");
    assert!(sent(&gateway.counter_reply(name, Outcome::TimedOut, 0.0)).is_empty());
}

#[test]
fn a_rare_customer_within_its_quota_is_not_taken_to_have_exhausted_it() {
    let (mut gateway, mut counter) = (TestNode::new(settings(), 4), Counter::default());
    let mut request_units = |gateway: &mut TestNode, units: f64| {
        let (_, actions) = gateway.submit(0, units);
        let (name, _) = counter_call(&actions).expect("a call");
        let admitted = sent(&answer_calls(gateway, &mut counter, actions)).len();
        // The other nodes draw 1.2 of 2 units per second for the next 10 s.
        counter.add(name, 12.0);
        gateway.advance(10 * SECOND);
        admitted
    };
    let admitted: usize = (0..2).map(|_| request_units(&mut gateway, 3.0)).sum();
    assert_eq!(admitted, 2);
}

#[test]
fn an_overflow_removed_by_two_nodes_is_put_back_once() {
    let mut gateway = TestNode::new(settings(), 4);
    for _ in 0..8 {
        gateway.advance(4 * SECOND);
        let (id, actions) = gateway.submit(0, 1.0);
        let (name, amount) = counter_call(&actions).expect("a call");
        let actions = gateway.counter_reply(name, Outcome::Ok, amount);
        let (_, server) = sent(&actions)[0];
        if let Some((name, removed)) = counter_call(&actions).filter(|c| c.1 > 0.0) {
            let twice = gateway.counter_reply(name, Outcome::Ok, amount + 2.0 * removed);
            let (_, back) = counter_call(&twice).expect("the second removal is put back");
            return assert!((back + removed).abs() < 1e-6, "{removed} removed twice, {back} put back");
        }
        gateway.end(&id, 0, server, Outcome::Ok);
        gateway.tick();
    }
    panic!("an idle customer's overflow was never removed");
}

#[test]
fn with_nothing_pending_servers_are_chosen_in_proportion_to_size() {
    let sized =
        |i: u32| Member { weight: if i < 2 { 3.0 } else { 2.0 }, ..member(i, MemberState::InService, 0) };
    let mut gateway = seeded_node(3, Settings { nodes: 100, ..no_quota() }, (0..4).map(sized).collect());
    let mut small = 0;
    for _ in 0..200 {
        gateway.advance(200 * MS);
        let (id, server) = send_one(&mut gateway, 0);
        small += usize::from(server.0 >= 2);
        gateway.end(&id, 0, server, Outcome::Ok);
    }
    assert!(
        (50..=110).contains(&small),
        "{small} of 200 requests went to the servers with two fifths of the total size"
    );
}

#[test]
fn servers_that_fail_one_class_are_avoided_for_that_class_alone() {
    let mut others = 0;
    for seed in 1..=8 {
        let servers = (0..4).map(|i| member(i, MemberState::InService, 0)).collect();
        let mut gateway = seeded_node(seed, Settings { nodes: 100, ..no_quota() }, servers);
        let mut failed = 0;
        for i in 0..300 {
            gateway.advance(100 * MS);
            let class = if i % 2 == 0 { 2 } else { 0 };
            let (id, server) = send_one(&mut gateway, class);
            let bad = class == 2 && server.0 >= 2;
            gateway.end(&id, 0, server, if bad { Outcome::Error } else { Outcome::Ok });
            failed += usize::from(i >= 100 && bad);
            others += usize::from(i >= 100 && class == 0 && server.0 >= 2);
        }
        assert!(failed <= 20, "seed {seed}: {failed} of 100 unsafe requests went to servers that fail them");
    }
    assert!(
        others >= 40,
        "{others} of 800 requests of the other class went to those servers, which serve it"
    );
}

#[test]
fn a_hundred_nodes_do_not_each_send_a_cold_server_a_request_at_once() {
    let mut cold = 0;
    for seed in 0..200 {
        let started = 100 * SECOND - MS;
        let age = |i: u32| member(i, MemberState::InService, if i == 3 { started } else { 0 });
        let mut gateway = seeded_node(seed, Settings { nodes: 200, ..no_quota() }, (0..4).map(age).collect());
        for _ in 0..5 {
            gateway.advance(200 * MS);
            let (id, server) = send_one(&mut gateway, 0);
            cold += usize::from(server == ServerId(3));
            gateway.end(&id, 0, server, Outcome::Ok);
        }
    }
    // A warm server gets 1,000 / 3.2 in that second, and a cold one is guaranteed 0.2 to 0.25 of that capacity.
    assert!(cold <= 70, "200 nodes sent the cold server {cold} requests in its first second");
}

#[test]
fn customers_that_come_once_and_removed_servers_are_evicted() {
    let mut gateway = TestNode::new(fleet(3), 4);
    let mut counter = Counter::default();
    for k in 0..3_000 {
        gateway.advance(20 * MS);
        for action in gateway.tick() {
            answer_calls(&mut gateway, &mut counter, vec![action]);
        }
        // Each second one server is replaced by another under a new id.
        if k % 50 == 0 {
            let (old, new) = (k / 50, k / 50 + 4);
            let entries = vec![
                member(old as u32, MemberState::Removed, 0),
                member(new as u32, MemberState::InService, 0),
            ];
            gateway.event(Event::Members { kind: ListKind::Changes, entries });
        }
        let asked = submit_new(&mut gateway, k, 3);
        let actions = answer_calls(&mut gateway, &mut counter, asked);
        for (id, server) in sent(&actions) {
            gateway.end(&id, 0, server, Outcome::Ok);
        }
    }
    // 50 customers per second, each with a bucket that is full again after 6 s; and 4 servers at a time.
    let (customers, servers) = gateway.controller.state_counts();
    assert!(customers <= 50 * 8, "the state of {customers} customers of 3000 in a minute is kept");
    assert_eq!(servers, 4);
}
