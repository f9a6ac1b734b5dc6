//! Server lists and settings that make an estimate zero, negative or not finite must neither cause a panic nor make
//! an idle fleet refuse requests forever.

#[allow(clippy::too_many_lines, reason = "the fleet's one loop of events")]
mod common;
use common::*;
use mountbend::interface::*;
use proptest::prelude::*;

fn spans() -> impl Strategy<Value = Micros> {
    prop_oneof![Just(0), Just(1), 1..10 * SECOND, Just(u64::MAX / 4)]
}

fn numbers() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(1e-300),
        Just(1e300),
        0.0..100.0f64
    ]
}

prop_compose! {
    fn classes()(on_time in spans(), deadline in spans(), credit in numbers(), late in numbers()) -> Class {
        Class { on_time, deadline, credit, late_worth: late, ..class(Effect::Safe) }
    }
}

prop_compose! {
    fn members()(server in 0..40u32, weight in numbers(), started in spans(), zone in 0..3u32, out in 0..4u8) -> Member {
        let state = [MemberState::InService, MemberState::InService, MemberState::Draining, MemberState::Removed][out as usize];
        Member { weight, started, zone, ..member(server, state, 0) }
    }
}

prop_compose! {
    fn configs()(
        classes in prop::collection::vec(classes(), 0..4),
        (nodes, me) in (prop_oneof![Just(0), 1..400u32, Just(u32::MAX)], prop_oneof![0..400u32, Just(u32::MAX)]),
        (cold_from, cold) in (numbers(), spans()),
        worth_factor in numbers(),
        cross_zone_price in numbers(),
    ) -> Settings {
        let mut config = no_quota();
        (config.classes, config.nodes, config.me, config.cross_zone_price) = (classes, nodes, me, cross_zone_price);
        (config.cold_start.cold_from, config.cold_start.cold) = (cold_from, cold);
        config.plans[0].worth_factor = worth_factor;
        config
    }
}

fn submit(gateway: &mut TestNode, class: usize, number: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId::from(format!("q{number}").as_str());
    let customer = CustomerId(number % 5);
    let request = NewRequest {
        id: id.clone(),
        customer,
        class,
        plan: 0,
        units: 1.0,
        first_node: 0,
        spread: 3,
        marked_retry: false,
        due: gateway.now + 4 * SECOND,
    };
    (id, gateway.event(Event::Request(request)))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn an_idle_fleet_admits_requests_whatever_the_settings_and_lists(
        config in configs(),
        lists in prop::collection::vec(prop::collection::vec(members(), 0..30), 1..5),
        plays in prop::collection::vec((0..4usize, 0..300u64, 0..3u8), 0..60),
    ) {
        let classes = config.classes.len();
        let mut gateway = TestNode::seeded(3, config, 0);
        for (number, entries) in lists.into_iter().enumerate() {
            let kind = if number % 2 == 0 { ListKind::Complete } else { ListKind::Changes };
            gateway.event(Event::Members { kind, entries });
            for (i, &(class, delay, outcome_index)) in plays.iter().enumerate() {
                gateway.advance(delay * MS);
                gateway.tick();
                let (id, actions) = submit(&mut gateway, class, (number * 100 + i) as u64);
                for (_, server) in sent(&actions) {
                    gateway.advance(delay * MS);
                    let outcome = [Outcome::Ok, Outcome::Reset, Outcome::TimedOut][outcome_index as usize];
                    gateway.end(&id, 0, server, outcome);
                }
            }
        }
        // One sound server, warm for a long time, and no traffic for a while.
        let sound = vec![member(77, MemberState::InService, 0)];
        gateway.event(Event::Members { kind: ListKind::Complete, entries: sound });
        for _ in 0..600 {
            gateway.advance(50 * MS);
            gateway.tick();
        }
        for class in 0..classes {
            let (id, actions) = submit(&mut gateway, class, 9_000 + class as u64);
            prop_assert_eq!(sent(&actions).len(), 1, "a request of class {} is refused by an idle fleet", class);
            gateway.end(&id, 0, ServerId(77), Outcome::Ok);
        }
    }
}
